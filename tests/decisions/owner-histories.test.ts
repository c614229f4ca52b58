import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {wordReachMs} from '../../src/decisions/fleet/leader-word.js';
import {ownerEvidenceLifetimeMs} from '../../src/decisions/fleet/owner-freshness.js';
import {callerRequest} from '../../standins/caller-request.js';
import {
	moveAsLeader, moveKeys, recordSent, type Sent,
} from '../../standins/led-fleet.js';
import {withLimitedTarget, type LimitedRun} from '../../standins/limited-fleet.js';
import {StoreFault} from '../../standins/memory-coordination-store.js';
import type {FleetSize, RelayedFleet} from '../../standins/relayed-fleet.js';

/** Histories of a run; more are played by hand: OWNER_HISTORIES=400 OWNER_SEED=7 npx ava dist/tests/decisions/owner-histories.test.js */
const historyCount = Number(process.env.OWNER_HISTORIES ?? 12);

const seed = Number(process.env.OWNER_SEED ?? 1);

const size: FleetSize = {availabilityZones: ['one', 'two'], daemonsPerZone: 3};

/** Interval between the requests of each daemon, in milliseconds. */
const intervalMs = 100;

/** Time in which all daemons serve again after the last fault, in milliseconds: a leader is elected and silent connections end. */
const recoveryMs = 6000;

enum Step {
	Move = 'move',
	Cut = 'cut',
	/** Cut off from the store and all daemons that are not isolated as well. */
	Isolate = 'isolate',
	Heal = 'heal',
	SilenceWatch = 'silence the watch',
	DropIncoming = 'drop incoming messages',
	DropUpdates = 'drop updates',
	Delay = 'delay messages',
	Deliver = 'deliver messages',
	StopStore = 'stop the store',
	StartStore = 'start the store',
	SlowStore = 'slow the store',
	Compact = 'compact the store',
	Suspend = 'suspend',
	Restart = 'restart',
	Wait = 'wait',
}

type History = Array<{step: Step; daemon: number; waitMs: number}>;

/** The owner of all keys, and until when the leader did not know of another one. */
type Ownership = {
	owner: string;
	until: number;
};

/** Moves keys as the leader's rule allows: not before the evidence from the word of an earlier leader has ended. */
class Mover {
	readonly owners: Ownership[] = [{owner: 'a', until: Infinity}];
	moveCount = 0;
	private fence = 2;
	private leaderRevision = 0;
	private takenOverAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly fleet: RelayedFleet) {
		fleet.store.addChangeListener(() => {
			const revision = fleet.store.get('eelgrasswheel/leader')?.revision;
			if (revision !== undefined && revision !== this.leaderRevision) {
				// Before the first leader, nobody gave a word.
				this.takenOverAt = this.leaderRevision === 0 ? this.takenOverAt : performance.now();
				this.leaderRevision = revision;
			}
		});
	}

	async move(): Promise<void> {
		const leader = this.fleet.daemons.find(({leadership, isSuspended}) => leadership?.isConfirmed === true && leadership.revision === this.leaderRevision && !isSuspended);
		if (!leader || performance.now() - this.takenOverAt < wordReachMs) {
			return;
		}

		const owner = this.owners.at(-1)?.owner === 'a' ? 'b' : 'a';
		this.fence += 1;
		const writtenAt = await moveAsLeader(leader, owner, this.fence);
		if (writtenAt !== undefined) {
			this.moveCount += 1;
			this.owners.at(-1)!.until = writtenAt;
			this.owners.push({owner, until: Infinity});
		}
	}
}

function applyStep(fleet: RelayedFleet, {step, daemon: index, waitMs}: History[number], mover: Mover): void {
	const daemon = fleet.daemons[index % fleet.daemons.length];
	const {client, member: {daemon: name}} = daemon;
	switch (step) {
		case Step.Move: {
			void mover.move();
			break;
		}

		case Step.Cut: {
			client.isDisconnected = true;
			break;
		}

		case Step.Isolate: {
			client.isDisconnected = true;
			fleet.isolated.add(name);
			break;
		}

		case Step.Heal: {
			client.isDisconnected = false;
			fleet.isolated.delete(name);
			client.isWatchSilent = false;
			fleet.dropMessagesTo(name, false);
			break;
		}

		case Step.SilenceWatch: {
			client.isWatchSilent = true;
			break;
		}

		case Step.DropIncoming: {
			fleet.dropMessagesTo(name);
			break;
		}

		case Step.DropUpdates: {
			fleet.dropsUpdates = true;
			break;
		}

		case Step.Delay: {
			fleet.setDeliveryDelays(() => [1500]);
			break;
		}

		case Step.Deliver: {
			fleet.dropsUpdates = false;
			fleet.setDeliveryDelays(() => [1]);
			break;
		}

		case Step.StopStore: {
			fleet.store.fault = StoreFault.Down;
			break;
		}

		case Step.StartStore: {
			fleet.store.fault = StoreFault.None;
			break;
		}

		case Step.SlowStore: {
			client.answerDelayMs = 800;
			break;
		}

		case Step.Compact: {
			fleet.store.compact();
			break;
		}

		case Step.Suspend: {
			if (!daemon.isSuspended) {
				daemon.suspend(waitMs * 2);
			}

			break;
		}

		case Step.Restart: {
			if (!daemon.isSuspended) {
				fleet.restart(name).compete(() => fleet.random());
			}

			break;
		}

		case Step.Wait: {
			break;
		}
	}
}

/** Ends all faults but suspensions, which end by themselves. */
function endFaults(fleet: RelayedFleet): void {
	fleet.store.fault = StoreFault.None;
	fleet.dropsUpdates = false;
	fleet.isolated.clear();
	fleet.setDeliveryDelays(() => [1]);
	for (const {client, member} of fleet.daemons) {
		client.isDisconnected = false;
		client.isWatchSilent = false;
		fleet.dropMessagesTo(member.daemon, false);
	}
}

async function sendThroughAll({fleet, wait}: LimitedRun, durationMs: number): Promise<void> {
	for (let passed = 0; passed < durationMs; passed += intervalMs) {
		for (const {forwarder, isSuspended} of fleet.daemons) {
			if (!isSuspended) {
				void forwarder.forward(callerRequest('/a/x'));
			}
		}

		// eslint-disable-next-line no-await-in-loop -- time passes in steps.
		await wait(intervalMs);
	}
}

/** Requests that were sent to an old owner when the new one may have held the keys. */
function wrongRequests(sent: readonly Sent[], owners: readonly Ownership[]): string[] {
	return sent.filter(({target, at}) => !owners.some(({owner, until}) => owner === target && at <= until + ownerEvidenceLifetimeMs))
		.map(({daemon, target, at}) => `${daemon} sent to ${target} at ${at}, owners ${JSON.stringify(owners)}`);
}

/** Names the daemons that do not send a request now. */
async function unservedDaemons(run: LimitedRun, sent: readonly Sent[]): Promise<string[]> {
	const before = sent.length;
	await sendThroughAll(run, intervalMs);
	const served = new Set(sent.slice(before).map(({daemon}) => daemon));
	return run.fleet.daemons.filter(({member, isSuspended}) => !isSuspended && !served.has(member.daemon)).map(({member}) => `${member.daemon} does not serve`);
}

/** Plays a history; returns what was seen that must not be, and the number of moves. */
async function play(history: History, run: LimitedRun): Promise<{violations: string[]; moveCount: number}> {
	const {fleet, wait} = run;
	moveKeys(fleet, 'a');
	const sent = recordSent(fleet);
	const mover = new Mover(fleet);
	for (const daemon of fleet.daemons) {
		daemon.compete(() => fleet.random());
	}

	await wait(2000);
	for (const entry of history) {
		applyStep(fleet, entry, mover);
		// eslint-disable-next-line no-await-in-loop -- one step after another.
		await sendThroughAll(run, entry.waitMs);
	}

	endFaults(fleet);
	await sendThroughAll(run, recoveryMs);
	const unserved = await unservedDaemons(run, sent);
	return {violations: [...wrongRequests(sent, mover.owners), ...unserved], moveCount: mover.moveCount};
}

test.serial('should send nothing to an old owner once another may hold the keys in any history of faults, and serve after it', async t => {
	const steps = fc.array(fc.record({
		step: fc.constantFrom(...Object.values(Step), Step.Move, Step.Move, Step.Move), daemon: fc.nat({max: 5}), waitMs: fc.constantFrom(50, 300, 900, 2100, 5000),
	}), {minLength: 5, maxLength: 25});
	let moves = 0;
	await t.notThrowsAsync(async () => fc.assert(fc.asyncProperty(steps, async history => {
		await withLimitedTarget(size, {targetCount: 2}, async run => {
			const {violations, moveCount} = await play(history, run);
			moves += moveCount;
			if (violations.length > 0) {
				throw new Error(violations.slice(0, 5).join('\n'));
			}
		});
	}), {seed, numRuns: historyCount}));
	t.true(moves >= historyCount, `${moves} moves`);
});
