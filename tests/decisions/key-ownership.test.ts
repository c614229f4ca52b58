import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import test from 'ava';
import {LogEvent} from '../../src/model/events.js';
import {TargetState} from '../../src/model/fleet.js';
import {KeyedFleet} from '../../standins/keyed-fleet.js';
import {HoldStart, LateOrders, exactly} from '../../standins/late-orders.js';
import {StoreFault} from '../../standins/memory-coordination-store.js';

/** Longest hold in the fleet, including clock drift, in milliseconds. */
const longestHoldMs = 10_200;

/** Time until a late order is carried out, in milliseconds; PROTOCOL.md: "may be applied seconds later". */
const lateOrderMs = 3000;

/** Time within which a key has to be served again after all daemons have stopped, in milliseconds. */
const servedAgainMs = 1000;

/** Time until a daemon with requests finds out that it is cut off from all targets, in milliseconds; see target-access.ts. */
const cutDetectionMs = 800;

/** Most writes of owners that the faults of a case may cause; each move takes two. */
const writeLimit = 16;

type CaseContext = {
	fleet: KeyedFleet;
	run(durationMs: number): Promise<void>;
};

type Case = {
	title: string;
	/** Longest time for which a key may have no holder, in milliseconds. */
	gapLimitMs: number;
	/** Events that must have been logged. */
	events: LogEvent[];
	/** Injects the faults, once the fleet is stable. */
	simulate(context: CaseContext): Promise<void>;
};

function install(): Clock {
	return FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
}

const cases: Case[] = [
	{
		title: 'nothing happens',
		gapLimitMs: 0,
		events: [],
		async simulate({run}) {
			await run(5000);
		},
	},
	{
		title: 'a target leaves with notice',
		gapLimitMs: 200,
		events: [LogEvent.RangeReleased],
		async simulate({fleet, run}) {
			fleet.putEntry(fleet.holder(0), TargetState.Draining);
			await run(2000);
			fleet.holder(0).isStopped = true;
			fleet.removeEntry(fleet.holder(0));
			await run(3000);
		},
	},
	{
		title: 'a target stops responding and its entry expires',
		// A renewal, the latest arrival of the next one, the hold and the writes; see hold-policy.ts.
		gapLimitMs: 5000,
		events: [LogEvent.TargetSuspected, LogEvent.HoldRanOut],
		async simulate({fleet, run}) {
			fleet.holder(1).isStopped = true;
			await run(2600);
			fleet.removeEntry(fleet.holder(1));
			await run(6000);
		},
	},
	{
		title: 'a target ends and its VM refuses connections',
		// The hold of the last renewal, the clock's drift and the writes.
		gapLimitMs: 2500,
		events: [LogEvent.TargetSuspected, LogEvent.HoldRanOut],
		async simulate({fleet, run}) {
			fleet.holder(1).isStopped = true;
			fleet.holder(1).isRefusing = true;
			await run(2600);
			fleet.removeEntry(fleet.holder(1));
			await run(6000);
		},
	},
	{
		title: 'a target is cut off from every daemon and keeps working',
		gapLimitMs: 4500,
		events: [LogEvent.TargetSuspected, LogEvent.HoldRanOut],
		async simulate({fleet, run}) {
			fleet.holder(1).isUnreachable = true;
			await run(8000);
			fleet.holder(1).isUnreachable = false;
			await run(5000);
		},
	},
	{
		title: 'a target restarts under the same id',
		gapLimitMs: 500,
		events: [LogEvent.RangeReleased],
		async simulate({fleet, run}) {
			fleet.holder(1).isStopped = true;
			fleet.addTarget('target-1');
			await run(4000);
		},
	},
	{
		title: 'the leader stops',
		gapLimitMs: 0,
		events: [LogEvent.LeadershipTaken],
		async simulate({fleet, run}) {
			const leader = fleet.leaderDaemon();
			leader?.stop();
			await run(8000);
		},
	},
	{
		title: 'the leader is suspended past its lease and resumes while its successor moves keys',
		gapLimitMs: 4500,
		events: [LogEvent.LeadershipLost],
		async simulate({fleet, run}) {
			const leader = fleet.leaderDaemon();
			if (leader) {
				leader.isPaused = true;
			}

			await run(3000);
			fleet.putEntry(fleet.holder(0), TargetState.Draining);
			await run(500);
			if (leader) {
				leader.isPaused = false;
			}

			await run(8000);
		},
	},
	{
		title: 'the leader and a target stop together',
		// The successor has to assume the longest hold of the target that it cannot reach.
		gapLimitMs: longestHoldMs + 3500,
		events: [LogEvent.LeadershipTaken, LogEvent.HoldRanOut],
		async simulate({fleet, run}) {
			fleet.leaderDaemon()?.stop();
			fleet.holder(2).isStopped = true;
			await run(3000);
			fleet.removeEntry(fleet.holder(2));
			await run(16_000);
		},
	},
	{
		title: 'all daemons stop, and the last of many by name starts first',
		gapLimitMs: servedAgainMs,
		events: [LogEvent.LeadershipTaken],
		async simulate({fleet, run}) {
			for (let index = 0; index < 11; index += 1) {
				fleet.putMemberEntry(`daemon-0${index}`);
			}

			await run(500);
			fleet.stop();
			await run(1900);
			fleet.putMemberEntry('daemon-last');
			fleet.addDaemon('daemon-last');
			await run(6000);
		},
	},
	{
		title: 'the store is down for 8 s',
		gapLimitMs: 0,
		events: [LogEvent.StoreLost, LogEvent.StoreRegained],
		async simulate({fleet, run}) {
			fleet.store.fault = StoreFault.Down;
			await run(8000);
			fleet.store.fault = StoreFault.None;
			await run(8000);
		},
	},
	{
		title: 'the store loses the replies of writes while a target leaves',
		gapLimitMs: 2500,
		events: [LogEvent.RangeReleased],
		async simulate({fleet, run}) {
			fleet.store.fault = StoreFault.LosesReplies;
			fleet.putEntry(fleet.holder(0), TargetState.Draining);
			await run(6000);
			fleet.store.fault = StoreFault.None;
			await run(6000);
		},
	},
	{
		title: 'the leader alone is cut off from the store',
		// Only the handover of the leaving target's keys causes a gap; the cut causes none.
		gapLimitMs: 200,
		events: [LogEvent.LeadershipTaken],
		async simulate({fleet, run}) {
			const leader = fleet.leaderDaemon();
			if (leader) {
				leader.client.isDisconnected = true;
			}

			await run(6000);
			fleet.putEntry(fleet.holder(0), TargetState.Draining);
			await run(4000);
			if (leader) {
				leader.client.isDisconnected = false;
			}

			await run(4000);
		},
	},
	{
		title: 'the leader cannot reach a target that its successor and the old leader can',
		gapLimitMs: 4500,
		events: [LogEvent.TargetSuspected],
		async simulate({fleet, run}) {
			fleet.leaderDaemon()?.orders.unreachable.add('target-1');
			await run(10_000);
		},
	},
	{
		title: 'the leader is cut off from all targets',
		gapLimitMs: 0,
		events: [LogEvent.LeadershipLost],
		async simulate({fleet, run}) {
			const leader = fleet.leaderDaemon();
			for (const {incarnation} of fleet.holders.values()) {
				leader?.orders.unreachable.add(incarnation.id);
			}

			await run(cutDetectionMs);
			if (leader) {
				leader.isCutOff = true;
			}

			await run(4000);
			leader?.orders.unreachable.clear();
			if (leader) {
				leader.isCutOff = false;
			}

			await run(4000);
		},
	},
	{
		title: 'orders to a target are executed late across a change of leader',
		gapLimitMs: longestHoldMs + 3500,
		events: [LogEvent.OrderFailed],
		async simulate({fleet, run}) {
			fleet.holder(1).lateOrders = new LateOrders({
				share: 1, lateness: exactly(lateOrderMs), holdStart: HoldStart.Arrival, areProbesLate: true, seed: 1,
			});
			await run(1200);
			fleet.leaderDaemon()?.stop();
			await run(3000);
			fleet.holder(1).lateOrders = undefined;
			await run(12_000);
		},
	},
	{
		title: 'the store compacts its history while a target leaves',
		gapLimitMs: 200,
		events: [LogEvent.RangeReleased],
		async simulate({fleet, run}) {
			fleet.putEntry(fleet.holder(3), TargetState.Draining);
			fleet.store.compact();
			await run(4000);
		},
	},
];

for (const {title, gapLimitMs, events, simulate} of cases) {
	test.serial(`should keep one holder for each key when ${title}`, async t => {
		const clock = install();
		const fleet = new KeyedFleet(3, 4);
		const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
		try {
			await run(6000);
			fleet.resetGaps();
			await simulate({fleet, run});
			t.deepEqual(fleet.overlappingHolds, []);
			t.true(fleet.maxGapMs() <= gapLimitMs, `a key had no holder for ${fleet.maxGapMs()} ms, allowed ${gapLimitMs}`);
			for (const event of events) {
				t.true(fleet.events.some(entry => entry.event === event), `no ${LogEvent[event]}`);
			}

			t.true(fleet.events.filter(({event}) => event === LogEvent.AssignmentWritten).length <= writeLimit, 'owners were written more often than they changed');
			t.true([0, 20_000, 40_000, 65_535].every(key => [...fleet.holders.values()].some(holder => holder.isHolding(key))), 'a key has no holder at the end');
		} finally {
			fleet.stop();
			clock.uninstall();
		}
	});
}

test.serial('should give keys to a target that joins', async t => {
	const clock = install();
	const fleet = new KeyedFleet(2, 2);
	const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
	try {
		await run(5000);
		const joined = fleet.addTarget('target-9');
		for (let round = 0; round < 20; round += 1) {
			for (const daemon of fleet.daemons) {
				daemon.leader.recordKeys('registry', Array.from({length: 40}, (_, index) => ((index * 1637) + round) % 65_536));
			}

			// eslint-disable-next-line no-await-in-loop -- load arrives over time.
			await run(200);
		}

		t.true(joined.grantCount > 0);
		t.deepEqual(fleet.overlappingHolds, []);
	} finally {
		fleet.stop();
		clock.uninstall();
	}
});

test.serial('should move the load of a target that names a low limit to others', async t => {
	const clock = install();
	const fleet = new KeyedFleet(2, 4);
	const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
	const keys = Array.from({length: 40}, (_, index) => index * 1637);
	const loadOf = (id: string): number => keys.filter(key => fleet.ownerOf(key) === id).length;
	const load = async (durationMs: number): Promise<void> => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += 200) {
			for (const {leader, statements} of fleet.daemons) {
				const {incarnation} = fleet.holder(0);
				statements.receiveLimit(incarnation, {limitPerS: 4, namedAgeMs: 0});
				leader.recordKeys('registry', keys.slice(0, 8 + ((passedMs / 200) % 33)));
			}

			// eslint-disable-next-line no-await-in-loop -- load arrives over time.
			await run(200);
		}
	};

	try {
		await run(5000);
		const before = loadOf('target-0');
		await load(8000);
		t.true(loadOf('target-0') <= before / 2, `${loadOf('target-0')} of ${before} busy keys are left`);
		t.deepEqual(fleet.overlappingHolds, []);
	} finally {
		fleet.stop();
		clock.uninstall();
	}
});
