import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import {GrantOutcome} from '../../src/decisions/ownership/key-holds.js';
import {LogEvent} from '../../src/model/events.js';
import {TargetState} from '../../src/model/fleet.js';
import type {OrderLink} from '../../standins/key-holder.js';
import {KeyedFleet} from '../../standins/keyed-fleet.js';
import {StoreFault} from '../../standins/memory-coordination-store.js';

/** Time without an owner after the loss of a target, in milliseconds; see docs/platform.md. */
const unownedLimitMs = 5000;

/** Delay of an order that does not arrive during a case, in milliseconds. */
const cutOffMs = 1_000_000;

/** Most that the clock of a target may be slow. */
const slowestClock = 1.02;

type CaseContext = {
	fleet: KeyedFleet;
	run(durationMs: number): Promise<void>;
};

type Case = {
	title: string;
	daemonCounts?: number[];
	/** Injects the faults, once the fleet is stable. */
	simulate(context: CaseContext): Promise<void>;
};

function install(): Clock {
	return FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
}

function delayLink(fleet: KeyedFleet, index: number, link: Partial<OrderLink>): void {
	const holder = fleet.holder(index);
	holder.link = {...holder.link, ...link};
}

/** Suspends the leader, then the next one, each for 2.5 s. */
async function suspendLeadersInTurn({fleet, run}: CaseContext): Promise<void> {
	for (let turn = 0; turn < 3; turn += 1) {
		const leader = fleet.leaderDaemon();
		if (leader) {
			leader.isPaused = true;
		}

		// eslint-disable-next-line no-await-in-loop -- one after another.
		await run(2500);
		if (leader) {
			leader.isPaused = false;
		}

		// eslint-disable-next-line no-await-in-loop -- one after another.
		await run(700);
	}
}

async function checkOneHolder(t: ExecutionContext, daemonCount: number, simulate: Case['simulate']): Promise<void> {
	const clock = install();
	const fleet = new KeyedFleet(daemonCount, 4);
	const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
	try {
		for (const holder of fleet.holders.values()) {
			holder.clockFactor = slowestClock;
		}

		await run(6000);
		await simulate({fleet, run});
		for (let index = 0; index < 4; index += 1) {
			delayLink(fleet, index, {
				connectMs: 0, toTargetMs: 1, toDaemonMs: 1, losesAnswers: false,
			});
		}

		await run(unownedLimitMs + 3000);
		t.deepEqual(fleet.overlappingHolds.slice(0, 3), []);
		t.true([0, 20_000, 40_000, 65_535].every(key => [...fleet.holders.values()].some(holder => holder.isHolding(key))), 'a key has no holder at the end');
	} finally {
		fleet.stop();
		clock.uninstall();
	}
}

const lateCases = [350, 800, 1500, 1900].flatMap((lateMs): Case[] => [
	{
		title: `orders and answers are ${lateMs} ms late`,
		async simulate({fleet, run}) {
			delayLink(fleet, 1, {toTargetMs: lateMs, toDaemonMs: lateMs});
			await run(9000);
		},
	},
	{
		title: `orders are ${lateMs} ms late for a time`,
		async simulate({fleet, run}) {
			delayLink(fleet, 1, {toTargetMs: lateMs});
			await run(1400);
			fleet.holder(1).isUnreachable = true;
			await run(6000);
			fleet.holder(1).isUnreachable = false;
		},
	},
	{
		title: `answers are ${lateMs} ms late`,
		async simulate({fleet, run}) {
			delayLink(fleet, 1, {toDaemonMs: lateMs});
			await run(9000);
		},
	},
	{
		title: `one order is ${lateMs} ms late before the target is cut off`,
		async simulate({fleet, run}) {
			delayLink(fleet, 1, {toTargetMs: lateMs});
			await run(750);
			delayLink(fleet, 1, {toTargetMs: cutOffMs});
			await run(6000);
		},
	},
	{
		title: `leaders are suspended in turn while orders are ${lateMs} ms late`,
		async simulate(context) {
			delayLink(context.fleet, 1, {toTargetMs: lateMs, toDaemonMs: lateMs});
			await suspendLeadersInTurn(context);
		},
	},
]);

const cases: Case[] = [
	...lateCases,
	{
		title: 'connections open late',
		async simulate({fleet, run}) {
			delayLink(fleet, 1, {connectMs: 290, toTargetMs: 1600});
			await run(1500);
			delayLink(fleet, 1, {toTargetMs: cutOffMs});
			await run(6000);
		},
	},
	{
		title: 'a busy leader sends orders 800 ms after the decision and a target is cut off',
		async simulate({fleet, run}) {
			for (const {orders} of fleet.daemons) {
				orders.sendDelayMs = 800;
			}

			delayLink(fleet, 1, {losesAnswers: true});
			await run(2000);
			delayLink(fleet, 1, {toTargetMs: cutOffMs});
			await run(7000);
		},
	},
	{
		title: 'a daemon loses leadership and regains it while orders are late',
		daemonCounts: [1],
		async simulate(context) {
			const {fleet, run} = context;
			delayLink(fleet, 1, {toTargetMs: 1900});
			await run(800);
			delayLink(fleet, 1, {toTargetMs: cutOffMs});
			await suspendLeadersInTurn(context);
			await run(9000);
		},
	},
	{
		title: 'the store is down and holds are long while orders are late',
		async simulate({fleet, run}) {
			fleet.store.fault = StoreFault.Down;
			delayLink(fleet, 1, {toTargetMs: 1900});
			await run(1500);
			fleet.store.fault = StoreFault.None;
			delayLink(fleet, 1, {toTargetMs: cutOffMs});
			await run(16_000);
		},
	},
	{
		title: 'writes of owners take effect 2 s late while targets leave and the leader changes',
		async simulate({fleet, run}) {
			fleet.store.fault = StoreFault.DelaysWrites;
			fleet.putEntry(fleet.holder(0), TargetState.Draining);
			await run(700);
			fleet.leaderDaemon()?.stop();
			fleet.putEntry(fleet.holder(0), TargetState.Ready);
			fleet.putEntry(fleet.holder(1), TargetState.Draining);
			await run(1500);
			fleet.store.fault = StoreFault.None;
			await run(4000);
		},
		daemonCounts: [3, 5],
	},
	{
		title: 'a target is suspended for 9 s with a grant in its socket',
		async simulate({fleet, run}) {
			fleet.holder(1).suspension.isActive = true;
			await run(9000);
			fleet.holder(1).suspension.isActive = false;
		},
	},
	{
		title: 'a suspended leader has a connection open after its successor gave the keys away',
		daemonCounts: [3],
		async simulate({fleet, run}) {
			const leader = fleet.leaderDaemon();
			if (!leader) {
				return;
			}

			for (const {orders} of fleet.daemons.filter(daemon => daemon !== leader)) {
				orders.unreachable.add('target-1');
			}

			delayLink(fleet, 1, {connectMs: 290});
			const before = fleet.holder(1).grantCount;
			while (fleet.holder(1).grantCount === before) {
				// eslint-disable-next-line no-await-in-loop -- polling.
				await run(10);
			}

			// In the middle of the next renewal.
			await run(800);
			leader.isPaused = true;
			await run(16_000);
			leader.isPaused = false;
			await run(1000);
		},
	},
	{
		title: 'a restarted target gets a grant that was meant for the incarnation before, and leaves',
		async simulate({fleet, run}) {
			fleet.holder(1).isStopped = true;
			const {incarnation} = fleet.addTarget('target-1', false);
			await run(1500);
			fleet.putEntry({incarnation}, TargetState.Draining);
			await run(4000);
			fleet.putEntry({incarnation}, TargetState.Ready);
		},
	},
	...[
		{startsLaterMs: 1000, address: 'target-1:1'}, {startsLaterMs: 1000, address: 'target-9:1'}, {startsLaterMs: 0, address: 'target-9:1'},
	].map(({startsLaterMs, address}): Case => ({
		title: `the entry of a target that cannot be reached at target-1:1 names ${address} and a start ${startsLaterMs} ms later`,
		async simulate({fleet, run}) {
			const holder = fleet.holder(1);
			const {id, bornAt} = holder.incarnation;
			fleet.holder(1).isUnreachable = true;
			fleet.putEntry({incarnation: {id, bornAt: bornAt + startsLaterMs, address}}, TargetState.Draining);
			await run(6000);
			fleet.holder(1).isUnreachable = false;
			fleet.putEntry(holder, TargetState.Ready);
		},
	})),
	{
		title: 'the entry of a target names the address of another one',
		async simulate({fleet, run}) {
			const holder = fleet.holder(1);
			const {id, bornAt} = holder.incarnation;
			fleet.putEntry({incarnation: {id, bornAt, address: fleet.holder(2).incarnation.address}}, TargetState.Ready);
			await run(1500);
			fleet.holder(1).isUnreachable = true;
			fleet.putEntry(holder, TargetState.Draining);
			await run(6000);
			fleet.holder(1).isUnreachable = false;
			fleet.putEntry(holder, TargetState.Ready);
		},
	},
];

for (const {title, simulate, daemonCounts = [1, 3, 5]} of cases) {
	for (const daemonCount of daemonCounts) {
		test.serial(`should not grant keys that another target may hold when ${title}, with ${daemonCount} daemons`, async t => {
			await checkOneHolder(t, daemonCount, simulate);
		});
	}
}

type Loss = {
	title: string;
	/** Longest time without a holder, in milliseconds; see docs/platform.md. */
	gapLimitMs: number;
	lose(fleet: KeyedFleet): void;
};

function loseTarget(fleet: KeyedFleet, isRefusing: boolean): void {
	const holder = fleet.holder(1);
	holder.isStopped = true;
	holder.isRefusing = isRefusing;
}

const losses: Loss[] = [
	{
		title: 'a target that refuses connections',
		gapLimitMs: 2500,
		lose(fleet) {
			loseTarget(fleet, true);
		},
	},
	{
		title: 'a target that does not answer',
		gapLimitMs: unownedLimitMs,
		lose(fleet) {
			loseTarget(fleet, false);
		},
	},
	{
		title: 'a target that does not answer, together with the leader',
		gapLimitMs: 13_700,
		lose(fleet) {
			fleet.leaderDaemon()?.stop();
			loseTarget(fleet, false);
		},
	},
];

for (const {title, gapLimitMs, lose} of losses) {
	test.serial(`should give the keys of ${title} another owner in time, whenever it is lost`, async t => {
		for (let phaseMs = 0; phaseMs < 700; phaseMs += 100) {
			const clock = install();
			const fleet = new KeyedFleet(3, 4);
			const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
			try {
				// eslint-disable-next-line no-await-in-loop -- one after another.
				await run(6000 + phaseMs);
				fleet.resetGaps();
				lose(fleet);
				// eslint-disable-next-line no-await-in-loop -- one after another.
				await run(gapLimitMs + 500);
				t.deepEqual(fleet.overlappingHolds, []);
				t.true(fleet.maxGapMs() <= gapLimitMs, `a key had no holder for ${fleet.maxGapMs()} ms with phase ${phaseMs}`);
			} finally {
				fleet.stop();
				clock.uninstall();
			}
		}
	});
}

test.serial('should count grants that may still arrive, and name the last one when its hold has run out', async t => {
	const clock = install();
	const fleet = new KeyedFleet(1, 4);
	const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
	try {
		await run(6000);
		t.is(fleet.daemons[0].leader.unansweredGrants, 0);
		fleet.daemons[0].loads.receiveReport('peer', {inFlight: {}, samples: {'target-1': [1, 50]}});
		fleet.holder(1).isUnreachable = true;
		await run(1200);
		t.is(fleet.daemons[0].leader.unansweredGrants, 1);
		await run(unownedLimitMs);
		t.is(fleet.daemons[0].leader.unansweredGrants, 0);
		const line = fleet.events.find(({event}) => event === LogEvent.HoldRanOut);
		t.is(line?.lastGrant, GrantOutcome.Unanswered);
		t.true(Number(line?.answeredMsAgo) > unownedLimitMs - 1000);
		t.true(fleet.events.some(({event, order, wasSent, fence}) => event === LogEvent.OrderFailed && order === 'grant' && wasSent === true && Number(fence) > 0));
		t.true(fleet.events.some(({event, answeredMsAgo}) => event === LogEvent.TargetSuspected && Number(answeredMsAgo) < 1000));
	} finally {
		fleet.stop();
		clock.uninstall();
	}
});
