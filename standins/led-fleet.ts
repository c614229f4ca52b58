/**
 * A fleet on a paused clock with an owner of all keys and a daemon that leads and moves them.
 */
import {encodeAssignment} from '../src/decisions/fleet/assignment-codec.js';
import {initialAssignment} from '../src/decisions/ownership/assignment-draft.js';
import {withLimitedTarget, type LimitedRun} from './limited-fleet.js';
import {
	success, target, type FleetSize, type RelayedDaemon, type RelayedFleet,
} from './relayed-fleet.js';

const assignmentKey = 'eelgrasswheel/assignments/service';

const leaderName = 'one-2';

/** Time until the leader leads, in milliseconds. */
const leadingMs = 2000;

/** A request that was handed to the transport. */
export type Sent = {
	daemon: string;
	target: string;
	at: number;
};

/** Records what daemons send to targets that answer at once. */
export function recordSent(fleet: RelayedFleet): Sent[] {
	const sent: Sent[] = [];
	fleet.setTargetAnswer(async (daemon, {target: {id}}) => {
		sent.push({daemon, target: id, at: performance.now()});
		return success;
	});
	return sent;
}

/** Gives all keys to another target in the store, as the leader does. */
export function moveKeys(fleet: RelayedFleet, owner: string, fence = 2): void {
	fleet.store.put(assignmentKey, encodeAssignment({...initialAssignment('service', [target(owner)]), fence}));
}

export type LedRun = LimitedRun & {leader: RelayedDaemon};

/** Runs a fleet with an owner of all keys, targets that answer at once, and a leader. */
export async function withLedFleet(size: FleetSize, run: (run: LedRun) => Promise<void>): Promise<void> {
	await withLimitedTarget(size, {targetCount: 2}, async limitedRun => {
		const {fleet, wait} = limitedRun;
		moveKeys(fleet, 'a');
		recordSent(fleet);
		const leader = fleet.daemon(leaderName);
		leader.compete(() => fleet.random());
		await wait(leadingMs);
		await run({...limitedRun, leader});
	});
}

/** Writes and announces a move as the leader does; returns the time from which the write is known, or undefined if it failed. */
export async function moveAsLeader({leadership, client, view, exchange}: RelayedDaemon, owner: string, fence: number): Promise<number | undefined> {
	const assignment = {...initialAssignment('service', [target(owner)]), fence};
	try {
		const revision = await client.write({
			expected: [{key: 'eelgrasswheel/leader', revision: leadership?.revision ?? 0}], puts: [{key: assignmentKey, value: encodeAssignment(assignment)}],
		});
		view.applyAssignment({assignment, revision});
		exchange.announce('service');
		return performance.now();
	} catch {
		return undefined;
	}
}
