import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {ProgramRun} from '../src/daemon/program-run.js';
import {LogEvent} from '../src/model/events.js';

/** Time that a shutdown may take, in milliseconds. */
const shutdownLimitMs = 5700;

/** Number of failures after which the process ends. */
const failureLimit = 20;

type Case = {
	title: string;
	/** Times in milliseconds at which a signal comes, or repeated failures occur. */
	signals?: Array<{signal: NodeJS.Signals; atMs: number}>;
	failuresAtMs?: number;
	/** Time at which the program is started; the module that handles signals is loaded before. */
	startAtMs?: number;
	startMs?: number;
	isStartFailing?: boolean;
	shutdownMs?: number;
	isShutdownFailing?: boolean;
	expected: {code: number; atMs: number; shutdowns: number};
};

const cases: Case[] = [
	{title: 'wait for the end of the shutdown after SIGTERM', signals: [{signal: 'SIGTERM', atMs: 100}], expected: {code: 0, atMs: 2800, shutdowns: 1}},
	{
		title: 'not shorten the shutdown because of a second SIGTERM',
		signals: [{signal: 'SIGTERM', atMs: 100}, {signal: 'SIGTERM', atMs: 800}],
		expected: {code: 0, atMs: 2800, shutdowns: 1},
	},
	{
		title: 'not shorten the shutdown because of SIGINT after SIGTERM',
		signals: [{signal: 'SIGTERM', atMs: 100}, {signal: 'SIGINT', atMs: 1600}, {signal: 'SIGINT', atMs: 2700}],
		expected: {code: 0, atMs: 2800, shutdowns: 1},
	},
	{
		title: 'shut down when a signal comes before the start is over', signals: [{signal: 'SIGTERM', atMs: 10}], startMs: 50, expected: {code: 0, atMs: 2750, shutdowns: 1},
	},
	{
		title: 'exit without a start when a signal comes before it', signals: [{signal: 'SIGINT', atMs: 10}], startAtMs: 50, expected: {code: 0, atMs: 10, shutdowns: 0},
	},
	{
		title: 'shut down what a failed start has opened', startMs: 50, isStartFailing: true, expected: {code: 1, atMs: 2750, shutdowns: 1},
	},
	{title: 'complete the requests in flight after repeated failures', failuresAtMs: 100, expected: {code: 1, atMs: 2800, shutdowns: 1}},
	{
		title: 'not shorten the shutdown after repeated failures because of a signal',
		failuresAtMs: 100,
		signals: [{signal: 'SIGTERM', atMs: 200}],
		expected: {code: 1, atMs: 2800, shutdowns: 1},
	},
	{
		title: 'exit when the shutdown fails', signals: [{signal: 'SIGTERM', atMs: 100}], isShutdownFailing: true, expected: {code: 0, atMs: 2800, shutdowns: 1},
	},
	{
		title: 'exit before SIGKILL when the shutdown does not end', signals: [{signal: 'SIGTERM', atMs: 100}], shutdownMs: 60_000, expected: {code: 0, atMs: 5800, shutdowns: 1},
	},
	{
		title: 'exit before SIGKILL when the start does not end', signals: [{signal: 'SIGTERM', atMs: 100}], startMs: 60_000, expected: {code: 0, atMs: 5800, shutdowns: 0},
	},
];

for (const {
	title, signals = [], failuresAtMs, startAtMs = 0, startMs = 0, isStartFailing = false, shutdownMs = 2700, isShutdownFailing = false, expected,
} of cases) {
	test.serial(`should ${title}`, async t => {
		const clock = FakeTimers.install();
		try {
			const exits: Array<{code: number; atMs: number}> = [];
			let shutdowns = 0;
			const events: LogEvent[] = [];
			const pass = async (durationMs: number, isFailing: boolean): Promise<void> => {
				await new Promise(resolve => {
					setTimeout(resolve, durationMs);
				});
				if (isFailing) {
					throw new Error('failed on purpose');
				}
			};

			const run = new ProgramRun({
				program: {
					start: async () => pass(startMs, isStartFailing),
					async shutdown() {
						shutdowns += 1;
						return pass(shutdownMs, isShutdownFailing);
					},
					recordCutRequests: () => 0,
				},
				log: {
					record(event) {
						events.push(event);
					},
				},
				shutdownLimitMs,
				drainLog: async () => undefined,
				exit(code) {
					exits.push({code, atMs: Math.round(performance.now())});
				},
			});
			setTimeout(() => {
				void run.start();
			}, startAtMs);
			for (const {signal, atMs} of signals) {
				setTimeout(() => {
					void run.stop(signal);
				}, atMs);
			}

			if (failuresAtMs !== undefined) {
				setTimeout(() => {
					for (let count = 0; count < failureLimit; count += 1) {
						void run.recordFailure(new Error('failed on purpose'));
					}
				}, failuresAtMs);
			}

			await clock.tickAsync(10_000);
			t.deepEqual(exits, [{code: expected.code, atMs: expected.atMs}]);
			t.is(shutdowns, expected.shutdowns);
			t.is(events.filter(event => event === LogEvent.SignalReceived).length, signals.length);
		} finally {
			clock.uninstall();
		}
	});
}
