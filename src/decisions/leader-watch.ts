/**
 * Failure detection of a service's leader by a standby.
 */
import {Deadline} from '../model/deadline.js';
import {PeerUnavailableError} from '../model/errors.js';
import type {PeerNetwork} from '../model/peer.js';
import type {Timing} from '../model/timing.js';
import type {Confirmation} from './confirmation.js';
import {leaderRanking, shouldTakeLeadership} from './leadership.js';
import {settleSome} from './settle-some.js';
import {hash} from './shard-hash.js';
import type {VmDirectory} from './vm-directory.js';

/** Dependencies of a leader watch. */
export type LeaderWatchParts = {
	daemon: string;
	peers: PeerNetwork;
	confirmation: Confirmation;
	directory: VmDirectory;
	timing: Timing;
};

/** Number of standbys that probe a leader at the full rate. */
const fullRateStandbys = 3;

/** Interval in which the other standbys probe a leader, in milliseconds. */
const slowProbePeriodMs = 2000;

/** Number of peers whose answers about the leader are awaited. */
const requiredAnswers = 2;

/**
 * Probes the leader and decides when this daemon takes over.
 */
export class LeaderWatch {
	private term = 0;
	private probedAt = -Infinity;
	private failedProbes = 0;
	private isConnectionRefused = false;
	private suspectedAt: number | undefined;

	constructor(private readonly service: string, private readonly parts: LeaderWatchParts) {}

	/** Probes the leader if a probe is due, and returns whether this daemon should take over. */
	async shouldTakeOver(leader: string, term: number): Promise<boolean> {
		this.resetOnNewTerm(term);
		await this.probe(leader);
		if (!this.mayTakeLeadership(leader)) {
			return false;
		}

		return leader === '' || !await this.isReachedByOthers(leader);
	}

	/** True if this daemon is the first candidate to succeed the leader. */
	isFirstCandidate(leader: string): boolean {
		return this.rank(leader) === 0;
	}

	/** Discards the probe results of an earlier leader. */
	private resetOnNewTerm(term: number): void {
		if (this.term === term) {
			return;
		}

		this.term = term;
		this.clearSuspicion();
	}

	private clearSuspicion(): void {
		this.failedProbes = 0;
		this.isConnectionRefused = false;
		this.suspectedAt = undefined;
	}

	private async probe(leader: string): Promise<void> {
		const {peers, confirmation, timing} = this.parts;
		const now = performance.now();
		if (leader === '' || now - this.probedAt < this.periodMs(leader)) {
			return;
		}

		this.probedAt = now;
		try {
			const answer = await peers.confirm(leader, Deadline.after(timing.peerCallMs, `probe of ${leader}`));
			if (!answer.reachesStore && confirmation.storeReachable) {
				// A leader that cannot reach the store cannot finish its moves.
				this.failedProbes += 1;
				return;
			}

			confirmation.recordResponse(leader);
			this.clearSuspicion();
		} catch (error) {
			this.failedProbes += 1;
			this.isConnectionRefused = error instanceof PeerUnavailableError && this.failedProbes > 1;
		}
	}

	/** Only the first standbys probe a leader at the full rate, so that the cost of probing does not grow with the number of daemons. */
	private periodMs(leader: string): number {
		const rank = this.rank(leader);
		const probesAtFullRate = rank !== -1 && rank < fullRateStandbys;
		// After a failed probe, any standby probes at the full rate.
		return probesAtFullRate || this.failedProbes > 0 ? this.parts.timing.probePeriodMs : slowProbePeriodMs;
	}

	private mayTakeLeadership(leader: string): boolean {
		const {daemon, confirmation, directory, timing} = this.parts;
		const isVacant = leader === '' || directory.isDaemonRemoved(leader);
		const isSuspected = isVacant || this.isConnectionRefused || this.failedProbes >= timing.silentProbes;
		this.suspectedAt = isSuspected ? this.suspectedAt ?? performance.now() : undefined;
		const observations = {
			daemon,
			leader: isVacant ? '' : leader,
			members: [...directory.members(), leader],
			failedProbes: this.failedProbes,
			isConnectionRefused: this.isConnectionRefused,
			suspectedForMs: this.suspectedAt === undefined ? 0 : performance.now() - this.suspectedAt,
			hasFreshConfirmation: confirmation.hasFreshConfirmation(),
		};
		return shouldTakeLeadership(observations, this.ranking(), timing);
	}

	private async isReachedByOthers(leader: string): Promise<boolean> {
		const {peers, daemon, timing} = this.parts;
		const others = peers.members().filter(member => member !== leader && member !== daemon);
		const requests = others.map(async other => peers.confirm(other, Deadline.after(timing.peerCallMs, `confirmation by ${other}`)));
		let isReached = false;
		await settleSome(requests, requiredAnswers, confirmation => {
			isReached ||= confirmation.heard.includes(leader);
		});
		return isReached;
	}

	private rank(leader: string): number {
		return this.ranking().filter(member => member !== leader).indexOf(this.parts.daemon);
	}

	private ranking(): string[] {
		return leaderRanking(this.service, this.parts.directory.stableMembers(), hash);
	}
}
