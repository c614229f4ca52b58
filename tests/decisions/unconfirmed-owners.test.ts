import test from 'ava';
import {LogEvent} from '../../src/model/events.js';
import {TargetState} from '../../src/model/fleet.js';
import type {KeyHolder} from '../../standins/key-holder.js';
import {KeyedFleet} from '../../standins/keyed-fleet.js';
import {StoreFault} from '../../standins/memory-coordination-store.js';
import {withPausedClock} from '../../standins/scripted-store.js';

type Copy = ReturnType<KeyedFleet['store']['takeCopy']>;

/** Time from a kill until keys have to be served again if all targets answer, in milliseconds: `recoveryS` 15 in the users' SYSTEM.md. */
const recoveryMs = 15_000;

/** Time for which the store is away, in milliseconds. */
const awayMs = 1800;

class Drill {
	constructor(readonly fleet: KeyedFleet, private readonly advance: (ms: number) => Promise<unknown>) {}

	async run(durationMs: number): Promise<void> {
		await this.fleet.run(durationMs, this.advance);
	}

	/** A target joins and is given the keys of another one, which drains. */
	async moveKeys(): Promise<KeyHolder> {
		const holder = this.fleet.addTarget('late');
		await this.run(500);
		this.fleet.putEntry(this.fleet.holder(0), TargetState.Draining);
		await this.run(2000);
		return holder;
	}

	/** The store is away, so that the leader extends the holds, and comes back from a copy. */
	async loseStore(copy: Copy, whileAway?: () => void): Promise<void> {
		const {store} = this.fleet;
		store.fault = StoreFault.Down;
		await this.run(awayMs);
		whileAway?.();
		this.restore(copy);
	}

	restore(copy: Copy): void {
		const {store, holders} = this.fleet;
		store.restore(copy);
		store.fault = StoreFault.None;
		for (const holder of holders.values()) {
			this.fleet.putEntry(holder, TargetState.Ready);
		}
	}

	killAll(): void {
		const killed = [...this.fleet.daemons];
		for (const daemon of killed) {
			this.fleet.restartDaemon(daemon);
		}
	}
}

type DrillCase = {
	title: string;
	/** True if a target stays silent, so that its longest hold has to run out. */
	isSilent?: boolean;
	/** Loses what only the targets know then. */
	lose(drill: Drill): Promise<void>;
};

const cases: DrillCase[] = [
	{
		title: 'all daemons are killed while the store is away',
		async lose(drill) {
			const copy = drill.fleet.store.takeCopy();
			await drill.moveKeys();
			await drill.loseStore(copy, () => {
				drill.killAll();
			});
		},
	},
	{
		title: 'only a daemon that is cut off knows the move',
		async lose(drill) {
			const {fleet} = drill;
			const copy = fleet.store.takeCopy();
			const leader = fleet.leaderDaemon();
			fleet.announcesOwners = false;
			for (const daemon of fleet.daemons.filter(each => each !== leader)) {
				daemon.client.isDisconnected = true;
			}

			await drill.moveKeys();
			await drill.loseStore(copy, () => {
				leader!.client.isDisconnected = true;
				leader!.isPaused = true;
			});
			fleet.announcesOwners = true;
			for (const daemon of fleet.daemons.filter(each => each !== leader)) {
				daemon.client.isDisconnected = false;
			}

			await drill.run(8000);
			leader!.isPaused = false;
			leader!.client.isDisconnected = false;
		},
	},
	{
		title: 'the first owners were written in the lost seconds',
		async lose(drill) {
			const {fleet} = drill;
			const copy = fleet.store.takeCopy();
			const entries = new Map([...copy.entries].filter(([key]) => !key.startsWith('eelgrasswheel/')));
			await drill.loseStore({...copy, entries}, () => {
				drill.killAll();
				fleet.addTarget('late');
			});
		},
	},
	{
		title: 'the store is restored again before the releases are answered',
		async lose(drill) {
			const copy = drill.fleet.store.takeCopy();
			const holder = await drill.moveKeys();
			await drill.loseStore(copy, () => {
				drill.killAll();
				holder.suspension.isActive = true;
			});
			await drill.run(2600);
			drill.restore(copy);
			await drill.run(1500);
			holder.suspension.isActive = false;
		},
	},
	{
		title: 'the next leader is lost before the releases are answered',
		async lose(drill) {
			const {fleet} = drill;
			const copy = fleet.store.takeCopy();
			const holder = await drill.moveKeys();
			await drill.loseStore(copy, () => {
				drill.killAll();
				holder.suspension.isActive = true;
			});
			await drill.run(2600);
			fleet.restartDaemon(fleet.leaderDaemon()!);
			await drill.run(1500);
			holder.suspension.isActive = false;
		},
	},
	{
		title: 'a target is deaf to the releases',
		isSilent: true,
		async lose(drill) {
			const copy = drill.fleet.store.takeCopy();
			const holder = await drill.moveKeys();
			await drill.loseStore(copy, () => {
				drill.killAll();
				holder.isUnreachable = true;
			});
			await drill.run(20_000);
			holder.isUnreachable = false;
		},
	},
	{
		title: 'a target without keys is deaf to the releases',
		isSilent: true,
		async lose(drill) {
			const copy = drill.fleet.store.takeCopy();
			await drill.moveKeys();
			const silent = drill.fleet.addTarget('silent');
			await drill.run(500);
			silent.isUnreachable = true;
			await drill.loseStore(copy, () => {
				drill.killAll();
			});
			await drill.run(20_000);
			silent.isUnreachable = false;
		},
	},
];

for (const {title, lose, isSilent} of cases) {
	// OWNER: after a restore, keys were granted to the owners of the copy while others held them, whom no daemon knew.
	test.serial(`should give no key two holders after a restore if ${title}`, async t => {
		await withPausedClock(async clock => {
			const fleet = new KeyedFleet(3, 4);
			fleet.store.era = 1;
			fleet.announcesOwners = true;
			const drill = new Drill(fleet, async ms => clock.tickAsync(ms));
			await drill.run(8000);
			t.deepEqual(fleet.unheldKeys(), []);
			fleet.resetGaps();
			await lose(drill);
			await drill.run(recoveryMs);
			t.log(`longest time without a holder ${fleet.maxGapMs()} ms, ${fleet.events.filter(({event}) => event === LogEvent.TargetEvicted).length} releases`);
			t.deepEqual(fleet.overlappingHolds.slice(0, 3), []);
			t.deepEqual(fleet.unheldKeys(), []);
			t.is(fleet.events.findLast(({event}) => event === LogEvent.OwnersSettled)?.unproved === 0, isSilent !== true);
			for (const {view} of fleet.daemons) {
				t.is(view.unreleasedRangeCount, 0);
			}

			fleet.stop();
		});
	});
}
