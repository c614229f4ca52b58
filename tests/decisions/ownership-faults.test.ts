import process from 'node:process';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import * as fc from 'fast-check';
import {TargetState} from '../../src/model/fleet.js';
import type {KeyHolder} from '../../standins/key-holder.js';
import {KeyedFleet, keyedService, type FleetDaemon} from '../../standins/keyed-fleet.js';
import {StoreFault} from '../../standins/memory-coordination-store.js';

/** Cases of a run; more are played by hand: OWNERSHIP_CASES=400 OWNERSHIP_SEED=7 npx ava dist/tests/decisions/ownership-faults.test.js */
const caseCount = Number(process.env.OWNERSHIP_CASES ?? 20);

const seed = Number(process.env.OWNERSHIP_SEED ?? 28);

/** Latest arrival of an order after its call, in milliseconds, of which a connection may take the first part. */
const latestArrivalMs = 2000;
const latestConnectionMs = 350;

/** Time after the last fault within which all keys have to be held again, in milliseconds: the longest hold and its late arrival. */
const recoveryMs = 14_000;

/** Time for which the last faults go on, in milliseconds; long enough for a hold to run out. */
const faultDurationMs = 5500;

const targetCount = 4;
const slowestClock = 1.02;

enum Fault {
	LateOrders = 'late orders',
	/** An order is late, and it is the last one before a cut. */
	LastOrder = 'last order',
	LateAnswers = 'late answers',
	LateConnections = 'late connections',
	LostAnswers = 'lost answers',
	Cut = 'cut',
	DaemonCut = 'daemon cut',
	Heal = 'heal',
	Restart = 'restart',
	Crash = 'crash',
	Drain = 'drain',
	Suspend = 'suspend leader',
	Busy = 'busy leader',
	StoreDown = 'store down',
	LostReplies = 'lost replies',
	LateWrites = 'late writes',
	StoreCut = 'leader cut from store',
	Load = 'load',
}

type Step = {
	fault: Fault;
	target: number;
	/** Size of the fault, from 0 to 1. */
	size: number;
	/** Time until the next step, in milliseconds. */
	afterMs: number;
};

const steps = fc.array(fc.record<Step>({
	fault: fc.constantFrom(...Object.values(Fault), Fault.LastOrder, Fault.LastOrder, Fault.LastOrder),
	target: fc.constantFrom(0, 0, 0, 0, 1, 2),
	size: fc.double({min: 0, max: 1, noNaN: true}),
	afterMs: fc.integer({min: 10, max: 2500}),
}), {minLength: 3, maxLength: 12});

type Injection = (fleet: FaultedFleet, step: Step, holder: KeyHolder, leader: FleetDaemon | undefined) => void;

const injections: Record<Fault, Injection> = {
	[Fault.LateOrders](_fleet, {size}, {link}) {
		link.toTargetMs = 1 + (size * (latestArrivalMs - latestConnectionMs - 1));
	},
	[Fault.LastOrder](_fleet, {size}, holder) {
		holder.link.toTargetMs = 1 + (size * (latestArrivalMs - latestConnectionMs - 1));
		holder.isCutAfterNextOrder = true;
	},
	[Fault.LateAnswers](_fleet, {size}, {link}) {
		link.toDaemonMs = 1 + (size * latestArrivalMs);
	},
	[Fault.LateConnections](_fleet, {size}, {link}) {
		link.connectMs = size * latestConnectionMs;
	},
	[Fault.LostAnswers](_fleet, _step, {link}) {
		link.losesAnswers = true;
	},
	[Fault.Cut](_fleet, _step, holder) {
		holder.isUnreachable = true;
	},
	[Fault.DaemonCut](_fleet, _step, {incarnation}, leader) {
		leader?.orders.unreachable.add(incarnation.id);
	},
	[Fault.Heal](fleet) {
		fleet.heal();
	},
	[Fault.Restart](fleet, {size}, holder) {
		fleet.restart(holder, size > 0.5);
	},
	[Fault.Crash](_fleet, {size}, holder) {
		holder.isStopped = true;
		holder.isRefusing = size > 0.5;
	},
	[Fault.Drain](fleet, {size}, holder) {
		fleet.putEntry(holder, size > 0.3 ? TargetState.Draining : TargetState.Ready);
	},
	[Fault.Suspend](_fleet, _step, _holder, leader) {
		if (leader) {
			leader.isPaused = true;
		}
	},
	[Fault.Busy](fleet, {size}) {
		for (const {orders} of fleet.daemons) {
			orders.sendDelayMs = size > 0.5 ? size * 800 : 0;
		}
	},
	[Fault.StoreDown](fleet) {
		fleet.store.fault = StoreFault.Down;
	},
	[Fault.LostReplies](fleet) {
		fleet.store.fault = StoreFault.LosesReplies;
	},
	[Fault.LateWrites](fleet) {
		fleet.store.fault = StoreFault.DelaysWrites;
	},
	[Fault.StoreCut](_fleet, _step, _holder, leader) {
		if (leader) {
			leader.client.isDisconnected = true;
		}
	},
	[Fault.Load](fleet, {size}) {
		fleet.load(Math.floor(size * 65_000));
	},
};

class FaultedFleet extends KeyedFleet {
	inject(step: Step): void {
		injections[step.fault](this, step, this.holder(step.target), this.leaderDaemon());
	}

	/** Ends all faults of links, the store and daemons. */
	heal(): void {
		this.restoreLeader();
		for (const holder of this.holders.values()) {
			holder.isUnreachable = false;
			holder.isCutAfterNextOrder = false;
			holder.link = {
				connectMs: 0, toTargetMs: 1, toDaemonMs: 1, losesAnswers: false,
			};
		}
	}

	/** Ends the faults of the store and of daemons. */
	restoreLeader(): void {
		this.store.fault = StoreFault.None;
		for (const daemon of this.daemons) {
			daemon.isPaused = false;
			daemon.client.isDisconnected = false;
			daemon.orders.sendDelayMs = 0;
			daemon.orders.unreachable.clear();
		}
	}

	/** Starts targets that have crashed and makes all ready. */
	restoreTargets(): void {
		for (const holder of this.holders.values()) {
			if (holder.isStopped) {
				this.restart(holder, true);
			} else {
				this.putEntry(holder, TargetState.Ready);
			}
		}
	}

	/** Makes keys near one another hot, so that their range is split. */
	load(key: number): void {
		for (const {leader} of this.daemons) {
			leader.recordKeys(keyedService, Array.from({length: 400}, (_, index) => key + (index % 40)));
		}
	}

	restart(holder: KeyHolder, hasEntry: boolean): void {
		holder.isStopped = true;
		const {link, clockFactor} = holder;
		const restarted = this.addTarget(holder.incarnation.id, hasEntry);
		restarted.link = {...link};
		restarted.clockFactor = clockFactor;
	}
}

async function play(daemonCount: number, faults: readonly Step[]): Promise<string[]> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	const fleet = new FaultedFleet(daemonCount, targetCount);
	const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
	try {
		for (const holder of fleet.holders.values()) {
			holder.clockFactor = slowestClock;
		}

		await run(4000);
		for (const step of faults) {
			fleet.inject(step);
			// eslint-disable-next-line no-await-in-loop -- one after another.
			await run(step.afterMs);
			// Without a leader, nothing would follow.
			fleet.restoreLeader();
		}

		await run(faultDurationMs);
		fleet.heal();
		fleet.restoreTargets();
		await run(recoveryMs);
		const unheld = [0, 20_000, 40_000, 65_535].filter(key => ![...fleet.holders.values()].some(holder => holder.isHolding(key)));
		return [...fleet.overlappingHolds.slice(0, 3), ...unheld.map(key => `key ${key} has no holder`)];
	} finally {
		fleet.stop();
		clock.uninstall();
	}
}

for (const daemonCount of [1, 3]) {
	test.serial(`should never give a key two holders, whatever happens to links, targets, the store and ${daemonCount} daemons`, async t => {
		await fc.assert(fc.asyncProperty(steps, async faults => {
			t.deepEqual(await play(daemonCount, faults), []);
		}), {numRuns: caseCount, seed: seed + daemonCount});
	});
}
