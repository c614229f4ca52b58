/**
 * Evidence that no daemon dispatches under an older version of an assignment.
 */
import {MoveKind, type Assignment, type Move} from '../model/assignment.js';
import {Fencing} from '../model/configuration.js';
import type {Acknowledgement} from '../model/peer.js';
import type {Timing} from '../model/timing.js';
import {majorityOf} from './hold-rule.js';

type DaemonRecord = {
	version: number;
	/** Time of the first acknowledgement of each version at or above the one asked for. */
	acknowledgedAt: Map<number, number>;
	inFlight: number;
	startByAt: number;
	/** Time of the last acknowledgement. */
	observedAt: number;
};

/** Context of the question whether a move's old owner is out of use. */
export type MoveContext = {
	fencing: Fencing;
	/** Daemons that may exist; a daemon that the VM list no longer shows counts as lapsed. */
	members: string[];
	/** Longest deadline of the service's classes in milliseconds. */
	longestDeadlineMs: number;
	/** True once the old server confirmed that it executes nothing for the moving shards. */
	revoked: boolean;
};

/**
 * Collects acknowledgements of one leader and decides when a paused move may write its new owner.
 */
export class Acknowledgements {
	private readonly records = new Map<string, DaemonRecord>();

	constructor(private readonly timing: Timing) {}

	/** Forgets everything; called when leadership begins. */
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
	 * @param members daemons that may exist; voters that are gone hold nothing and are not counted
	 */
	hasMajority(voters: string[], members: string[], version: number): boolean {
		return this.majorityAt(voters, members, version) < Infinity;
	}

	/** True if a daemon acknowledged the version. */
	has(daemon: string, version: number): boolean {
		return this.acknowledgedAt(daemon, version) < Infinity;
	}

	/** Requests for moving shards that a daemon last reported in flight. */
	inFlightOf(daemon: string): number {
		return this.records.get(daemon)?.inFlight ?? 0;
	}

	/** True once no request of the moving shard can start or run at the old server any more. */
	isOldOwnerOut(move: Move, assignment: Assignment, context: MoveContext, now = performance.now()): boolean {
		const majorityAt = this.majorityAt(assignment.voters, context.members, move.sinceVersion);
		if (majorityAt === Infinity) {
			return false;
		}

		for (const daemon of context.members) {
			if (!this.isDaemonOut(daemon, move, {context, majorityAt, now})) {
				return false;
			}
		}

		const isPlannedAndChecked = move.kind === MoveKind.Planned && context.fencing === Fencing.Epoch;
		return !isPlannedAndChecked || context.revoked;
	}

	private isDaemonOut(daemon: string, move: Move, options: {context: MoveContext; majorityAt: number; now: number}): boolean {
		const {context, majorityAt, now} = options;
		const {routeLeaseMs, clockSkewMs} = this.timing;
		if (!this.has(daemon, move.sinceVersion)) {
			// The daemon's lease lapses, counted from the majority; its start-by deadlines end with the lease.
			const unseenWorkMs = context.fencing === Fencing.None ? context.longestDeadlineMs : 0;
			return now >= majorityAt + routeLeaseMs + clockSkewMs + unseenWorkMs;
		}

		const record = this.records.get(daemon);
		if (!record) {
			return false;
		}

		if (move.kind === MoveKind.Takeover) {
			return now >= record.startByAt + clockSkewMs;
		}

		if (context.fencing === Fencing.Epoch) {
			// The server itself tells that it runs nothing; a daemon that is lost now could not.
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
