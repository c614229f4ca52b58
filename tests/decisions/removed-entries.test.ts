import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import test from 'ava';
import {storeKeys} from '../../src/decisions/fleet/daemon-documents.js';
import {FleetSync} from '../../src/decisions/fleet/fleet-sync.js';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {Membership} from '../../src/decisions/fleet/membership.js';
import type {EventLog} from '../../src/model/events.js';
import type {Member} from '../../src/model/fleet.js';
import type {RouteConfiguration} from '../../src/model/route-configuration.js';
import {decodeEvacuation} from '../../src/platform/documents.js';
import {KeyedFleet} from '../../standins/keyed-fleet.js';
import {MemoryCoordinationStore, StoreFault} from '../../standins/memory-coordination-store.js';

/** RULES.md, OWNER: "Two servers that are up hold the same keys for over half a second, with requests or without". */
const statedOverlapMs = 500;

/** Time after the end of a disruption within which a machine is in touch, in milliseconds: `stableWindowMs` of the users' bounds. */
const stableWindowMs = 3000;

/** Longest time after which a store carries out a write that it left unanswered, in milliseconds; `fleetbench kinds`: platform_lost, late. */
const lateWriteMs = 6000;

/** Interval between ticks, in milliseconds. */
const tickMs = 50;

/** Time after which the stand-in has opened a lease and not yet carried out the write that follows, in milliseconds. */
const leaseAnswerMs = 5;

const member: Member = {
	daemon: 'daemon-0', availabilityZone: 'zone', ip: '127.0.0.1', port: 1, room: 1,
};

const silentLog: EventLog = {
	record() {
		// The store shows what happened.
	},
};

function install(): Clock {
	return FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
}

for (const daemonCount of [2, 3, 5]) {
	test.serial(`should not go on leading once the leader's key was removed although its lease goes on, with ${daemonCount} daemons`, async t => {
		const clock = install();
		const fleet = new KeyedFleet(daemonCount, 4);
		const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
		try {
			await run(6000);
			const former = fleet.leaderDaemon();
			for (const {orders} of fleet.daemons.filter(daemon => daemon !== former)) {
				orders.unreachable.add('target-1');
			}

			fleet.store.delete(storeKeys.leader);
			await run(stableWindowMs);
			t.is(fleet.daemons.filter(({leader}) => leader.leadership.isLeader).length, 1);
			await run(17_000);
			t.true(fleet.longestOverlapMs <= statedOverlapMs, `two targets held a key for ${fleet.longestOverlapMs} ms`);
		} finally {
			fleet.stop();
			clock.uninstall();
		}
	});
}

type Case = {
	title: string;
	/** Fault of the store once it has opened the lease. */
	fault: StoreFault;
	/** Removes the entry; the daemon has just written it. */
	remove(store: MemoryCoordinationStore, run: (durationMs: number) => Promise<void>): Promise<void>;
};

const cases: Case[] = [
	{
		title: 'it was removed although its lease goes on',
		fault: StoreFault.None,
		async remove(store) {
			store.delete(`${storeKeys.members}${member.daemon}`);
		},
	},
	{
		title: 'an earlier write of it was carried out late, under a lease that is not renewed',
		fault: StoreFault.DelaysWrites,
		async remove(_store, run) {
			await run(lateWriteMs + 9000);
		},
	},
];

for (const {title, fault, remove} of cases) {
	test.serial(`should write the entry of a daemon again when ${title}`, async t => {
		const clock = install();
		const store = new MemoryCoordinationStore();
		store.put('configuration', '{}');
		const client = store.createClient();
		const view = new FleetView();
		const sync = new FleetSync(client, view, {
			configurationKey: 'configuration',
			targetsPrefix: 'targets/',
			evacuationsPrefix: 'op/evacuate/',
			decodeConfiguration: () => ({version: 1, routes: [], services: new Map()}) as unknown as RouteConfiguration,
			decodeTarget() {
				throw new Error('there are no targets');
			},
			decodeEvacuation,
		}, {log: silentLog});
		const membership = new Membership(member, {
			store: client, view, log: silentLog, onAnswer: () => undefined,
		});
		const run = async (durationMs: number): Promise<void> => {
			for (let passed = 0; passed < durationMs; passed += tickMs) {
				membership.tick();
				sync.tick();
				// eslint-disable-next-line no-await-in-loop -- the clock advances step by step.
				await clock.tickAsync(tickMs);
			}
		};

		try {
			void sync.run();
			membership.tick();
			await clock.tickAsync(leaseAnswerMs);
			store.fault = fault;
			await run(500);
			store.fault = StoreFault.None;
			await run(500);
			await remove(store, run);
			await run(stableWindowMs);
			t.true(view.members.has(member.daemon));
		} finally {
			sync.stop();
			clock.uninstall();
		}
	});
}

test.serial('should not write the entry of a daemon again and again if its view never shows it', async t => {
	const clock = install();
	const store = new MemoryCoordinationStore();
	const view = new FleetView();
	const membership = new Membership(member, {
		store: store.createClient(), view, log: silentLog, onAnswer: () => undefined,
	});
	try {
		const before = store.revision;
		for (let passed = 0; passed < 10 * stableWindowMs; passed += tickMs) {
			view.revision = store.revision;
			membership.tick();
			// eslint-disable-next-line no-await-in-loop -- the clock advances step by step.
			await clock.tickAsync(tickMs);
		}

		t.true(store.revision - before <= 11, `${store.revision - before} writes in ${10 * stableWindowMs} ms`);
	} finally {
		clock.uninstall();
	}
});
