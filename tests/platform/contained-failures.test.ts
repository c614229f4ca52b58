import {setTimeout as delay} from 'node:timers/promises';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {Membership} from '../../src/decisions/fleet/membership.js';
import type {CoordinationStore} from '../../src/model/coordination-store.js';
import {LogEvent} from '../../src/model/events.js';
import {createPlatformKernel, type PlatformComponents} from '../../src/services/platform-kernel.js';

/** Component of which every call throws. */
const failing = {
	tick() {
		throw new Error('unexpected');
	},
};

test.serial('should retry the entry of a daemon at intervals after an unexpected error, instead of ending the process', async t => {
	const clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	try {
		const events: LogEvent[] = [];
		const store = {
			async openLease() {
				throw new TypeError('unexpected');
			},
		};
		const membership = new Membership({
			daemon: 'daemon-1', availabilityZone: 'zone', ip: '127.0.0.1', port: 1, room: 1,
		}, {
			store: store as unknown as CoordinationStore,
			view: new FleetView(),
			log: {
				record(event) {
					events.push(event);
				},
			},
			onAnswer: () => undefined,
		});
		for (let elapsedMs = 0; elapsedMs < 2000; elapsedMs += 20) {
			membership.tick();
			// eslint-disable-next-line no-await-in-loop -- the clock is advanced step by step.
			await clock.tickAsync(20);
		}

		t.deepEqual(new Set(events), new Set([LogEvent.InternalFailure]));
		t.true(events.length >= 3 && events.length <= 5, `${events.length} attempts`);
	} finally {
		clock.uninstall();
	}
});

test.serial('should go on with the synchronization in each tick although messages to peers fail', async t => {
	let ticks = 0;
	const events: LogEvent[] = [];
	const kernel = createPlatformKernel('daemon-1', {
		membership: failing,
		exchange: failing,
		leader: failing,
		sync: {
			async run() {
				// The synchronization is not under test.
			},
			tick() {
				ticks += 1;
			},
			stop() {
				// It never ran.
			},
		},
		log: {
			record(event: LogEvent) {
				events.push(event);
			},
		},
	} as unknown as PlatformComponents, []);
	await kernel.start();
	await delay(200);
	await kernel.stop();
	t.true(ticks > 0);
	t.deepEqual(new Set(events), new Set([LogEvent.InternalFailure]));
});
