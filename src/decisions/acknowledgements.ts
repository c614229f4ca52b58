/**
 * Acknowledgements of assignment versions, by which a leader knows that no daemon dispatches under an older version.
 */
import {MoveKind, type Assignment, type Move} from '../model/assignment.js';
import {Fencing} from '../model/configuration.js';
import type {Acknowledgement} from '../model/peer.js';
import type {Timing} from '../model/timing.js';
import {majorityOf} from './store-outage-rule.js';

type AcknowledgementRecord = {
	version: number;
	/** Time of the first acknowledgement of each version. */
	acknowledgedAt: Map<number, number>;
	inFlight: number;
	/** Latest start-by deadline of the daemon's requests for moving shards, as a monotonic time in milliseconds. */
	startByAt: number;
	/** Time of the last acknowledgement. */
	observedAt: number;
};

/** Inputs for deciding whether the old owner of a move is out of use. */
export type MoveContext = {
	fencing: Fencing;
	/** Daemons that may be running; a daemon that the VM list no longer shows counts as stopped. */
	members: string[];
	/** Longest deadline of the service's request classes in milliseconds. */
	longestDeadlineMs: number;
	/** True once the old server confirmed that it executes no requests for the moving shards. */
	revoked: boolean;
};

/**
 * Collects the acknowledgements that a leader receives and decides when the new owner of a paused move may be written.
 */
export class Acknowledgements {
	private readonly records = new Map<string, AcknowledgementRecord>();

	constructor(private readonly timing: Timing) {}

	/** Removes all acknowledgements; called when leadership begins. */
	clear(): void {
		this.records.clear();
	}

	observe(acknowledgement: Acknowledgement, now = performance.now()): void {
		const record = this.records.get(acknowledgement.daemon) ?? {
			version: 0, acknowledgedAt: new Map(), inFlight: 0, startByAt: -Infinity, observedAt: now,
		};
		if (acknowledgement.version < record.version) {
			return;
		}

		record.version = acknowledgement.version;
		record.observedAt = now;
		record.inFlight = acknowledgement.inFlight;
		if (acknowledgement.startByRemainingMs > 0) {
			record.startByAt = now + acknowledgement.startByRemainingMs;
		}

		if (!record.acknowledgedAt.has(acknowledgement.version)) {
			record.acknowledgedAt.set(acknowledgement.version, now);
		}

		this.records.set(acknowledgement.daemon, record);
	}

	/**
	 * True if a majority of the voters acknowledged the version.
	 *
	 * @param members daemons that may be running; a voter that is not among them has stopped and is not counted
	 */
	hasMajority(voters: string[], members: string[], version: number): boolean {
		return this.majorityAt(voters, members, version) < Infinity;
	}

	/** True if a daemon acknowledged the version. */
	hasAcknowledged(daemon: string, version: number): boolean {
		return this.acknowledgedAt(daemon, version) < Infinity;
	}

	/** Requests for moving shards that were in flight at a daemon in its last acknowledgement. */
	inFlightOf(daemon: string): number {
		return this.records.get(daemon)?.inFlight ?? 0;
	}

	/** True once no request for the moving shard can start or run on the old server any more. */
	isOldOwnerOut(move: Move, assignment: Assignment, context: MoveContext, now = performance.now()): boolean {
		const majorityAt = this.majorityAt(assignment.voters, context.members, move.sinceVersion);
		if (majorityAt === Infinity) {
			return false;
		}

		for (const daemon of context.members) {
			if (!this.hasDaemonFinished(daemon, move, {context, majorityAt, now})) {
				return false;
			}
		}

		const needsRevocation = move.kind === MoveKind.Planned && context.fencing === Fencing.Epoch;
		return !needsRevocation || context.revoked;
	}

	private hasDaemonFinished(daemon: string, move: Move, options: {context: MoveContext; majorityAt: number; now: number}): boolean {
		const {context, majorityAt, now} = options;
		const {routeLeaseMs, clockSkewMs} = this.timing;
		if (!this.hasAcknowledged(daemon, move.sinceVersion)) {
			// The daemon's route lease expires at the latest one lease after the majority acknowledged; no start-by deadline is later.
			const unreportedWorkMs = context.fencing === Fencing.None ? context.longestDeadlineMs : 0;
			return now >= majorityAt + routeLeaseMs + clockSkewMs + unreportedWorkMs;
		}

		const record = this.records.get(daemon);
		if (!record) {
			return false;
		}

		if (move.kind === MoveKind.Takeover) {
			return now >= record.startByAt + clockSkewMs;
		}

		if (context.fencing === Fencing.Epoch) {
			// The server confirms itself that it runs nothing, so a daemon that stops now cannot block the move.
			return true;
		}

		return record.inFlight === 0 || now >= record.observedAt + routeLeaseMs + clockSkewMs + context.longestDeadlineMs;
	}

	private acknowledgedAt(daemon: string, version: number): number {
		const record = this.records.get(daemon);
		if (!record) {
			return Infinity;
		}

		let first = Infinity;
		for (const [acknowledged, at] of record.acknowledgedAt) {
			if (acknowledged >= version) {
				first = Math.min(first, at);
			}
		}

		return first;
	}

	private majorityAt(voters: string[], members: string[], version: number): number {
		const present = voters.filter(voter => members.includes(voter));
		const counted = present.length > 0 ? present : members;
		if (counted.length === 0) {
			return Infinity;
		}

		const times = counted.map(voter => this.acknowledgedAt(voter, version)).toSorted((a, b) => a - b);
		return times[majorityOf(counted.length) - 1] ?? Infinity;
	}
}
