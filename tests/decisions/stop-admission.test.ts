import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {RouteDurations} from '../../src/decisions/forwarding/route-durations.js';
import {StopAdmission} from '../../src/decisions/forwarding/stop-admission.js';

/** Time from the begin of the stop to the exit, in milliseconds. */
const graceMs = 5100;

type Case = {
	title: string;
	/** Time between the begin of the stop and the arrival of the request, in milliseconds. */
	afterMs: number;
	timeoutMs?: number;
	isIdempotent?: boolean;
	/** Durations of earlier requests of the route in milliseconds. */
	durationsMs?: number[];
	isAccepted: boolean;
};

const longTimeoutMs = 5200;
const steady = Array.from({length: 40}, () => 800);
const varying = Array.from({length: 40}, (_, index) => index % 2 === 0 ? 100 : 1500);
const slow = Array.from({length: 40}, () => 4000);

const cases: Case[] = [
	{
		title: 'accept a request whose deadline is before the exit', afterMs: 100, timeoutMs: 5000, isIdempotent: false, isAccepted: true,
	},
	{
		title: 'accept a late request whose deadline is before the exit', afterMs: 4000, timeoutMs: 1000, isIdempotent: false, isAccepted: true,
	},
	{
		title: 'accept an idempotent request that is expected to end in time', afterMs: 100, durationsMs: varying, isAccepted: true,
	},
	{title: 'accept an idempotent request of which nothing is known', afterMs: 100, isAccepted: true},
	{
		title: 'refuse an idempotent request that usually outlasts the daemon', afterMs: 1200, durationsMs: slow, isAccepted: false,
	},
	{
		title: 'accept an early idempotent request that may outlast the daemon', afterMs: 2700, durationsMs: [...varying, 2300], isAccepted: true,
	},
	{
		title: 'refuse a late idempotent request that may outlast the daemon', afterMs: 2900, durationsMs: [...varying, 2300], isAccepted: false,
	},
	{title: 'refuse a late idempotent request of which nothing is known', afterMs: 2900, isAccepted: false},
	{
		title: 'refuse a late request that may outlast the daemon although none did before', afterMs: 4000, durationsMs: steady, isAccepted: false,
	},
	{
		title: 'accept a request that must not be repeated and ends in time', afterMs: 100, isIdempotent: false, durationsMs: varying, isAccepted: true,
	},
	{
		title: 'refuse a request that must not be repeated and may be cut', afterMs: 2500, isIdempotent: false, durationsMs: [...varying, 2300], isAccepted: false,
	},
	{
		title: 'refuse a request that must not be repeated and of which nothing is known', afterMs: 100, isIdempotent: false, isAccepted: false,
	},
];

for (const {
	title, afterMs, timeoutMs = longTimeoutMs, isIdempotent = true, durationsMs = [], isAccepted,
} of cases) {
	test.serial(`should ${title} while the daemon stops`, t => {
		const clock = FakeTimers.install();
		try {
			const durations = new RouteDurations();
			for (const durationMs of durationsMs) {
				durations.record('route', durationMs);
			}

			const admission = new StopAdmission();
			admission.begin(graceMs);
			clock.tick(afterMs);
			const receivedAt = performance.now();
			t.is(admission.isAccepted({
				receivedAt, deadlineAt: receivedAt + timeoutMs, isIdempotent, duration: durations.estimate('route'),
			}), isAccepted);
		} finally {
			clock.uninstall();
		}
	});
}

test('should accept all requests of a daemon that does not stop', t => {
	t.true(new StopAdmission().isAccepted({
		receivedAt: 0, deadlineAt: 3_600_000, isIdempotent: false, duration: undefined,
	}));
});

test('should not accept a late request of a route of which one in thirty outlasts the daemon', t => {
	const leftMs = 200;
	const durations = new RouteDurations();
	const admission = new StopAdmission();
	admission.begin(graceMs, 0);
	let cut = 0;
	for (let index = 0; index < 3000; index += 1) {
		const durationMs = index % 30 === 29 ? 2000 : 20;
		const receivedAt = graceMs - leftMs;
		const isAccepted = admission.isAccepted({
			receivedAt, deadlineAt: receivedAt + longTimeoutMs, isIdempotent: false, duration: durations.estimate('route'),
		});
		cut += Number(isAccepted && durationMs > leftMs);
		durations.record('route', durationMs);
	}

	t.is(cut, 0);
});
