/**
 * Watch of a standby over the leader of a service.
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

/** What a watch needs. */
export type LeaderWatchParts = {
	daemon: string;
	peers: PeerNetwork;
	confirmation: Confirmation;
	directory: VmDirectory;
	timing: Timing;
};

/** Number of standbys that probe a leader at the full rate. */
const closeStandbys = 3;

/** Interval in which the other standbys probe a leader, in milliseconds. */
const distantProbeMs = 2000;

/** Number of peers whose word on the leader is waited for. */
const wordCount = 2;

/**
 * Probes the leader and decides when this daemon takes its place.
 */
export class LeaderWatch {
	private term = 0;
	private probedAt = -Infinity;
	private silentProbes = 0;
	private isRefused = false;
	private suspectedAt: number | undefined;

	constructor(private readonly service: string, private readonly parts: LeaderWatchParts) {}

	/** Probes the leader if it is time to, and tells whether this daemon shall take its place. */
	async shouldTakeOver(leader: string, term: number): Promise<boolean> {
		this.noteTerm(term);
		await this.probe(leader);
		if (!this.isDue(leader)) {
			return false;
		}

		return leader === '' || !await this.isHeardByOthers(leader);
	}

	/** True if this daemon is the first to take the leader's place. */
	isNext(leader: string): boolean {
		return this.rank(leader) === 0;
	}

	/** Evidence against one leader says nothing about the next. */
	private noteTerm(term: number): void {
		if (this.term === term) {
			return;
		}

		this.term = term;
		this.clearSuspicion();
	}

	private clearSuspicion(): void {
		this.silentProbes = 0;
		this.isRefused = false;
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
				// A leader that is cut off from the store cannot finish its moves.
				this.silentProbes += 1;
				return;
			}

			confirmation.noteHeard(leader);
			this.clearSuspicion();
		} catch (error) {
			this.silentProbes += 1;
			this.isRefused = error instanceof PeerUnavailableError && this.silentProbes > 1;
		}
	}

	/** Only the first standbys watch a leader closely, so that its cost does not grow with the number of daemons. */
	private periodMs(leader: string): number {
		const rank = this.rank(leader);
		const isClose = rank !== -1 && rank < closeStandbys;
		// A standby that has begun to doubt the leader does not wait for its next turn.
		return isClose || this.silentProbes > 0 ? this.parts.timing.probePeriodMs : distantProbeMs;
	}

	private isDue(leader: string): boolean {
		const {daemon, confirmation, directory, timing} = this.parts;
		const isVacant = leader === '' || directory.isDaemonGone(leader);
		const isSuspected = isVacant || this.isRefused || this.silentProbes >= timing.silentProbes;
		this.suspectedAt = isSuspected ? this.suspectedAt ?? performance.now() : undefined;
		const evidence = {
			daemon,
			leader: isVacant ? '' : leader,
			members: [...directory.members(), leader],
			silentProbes: this.silentProbes,
			refused: this.isRefused,
			suspectedForMs: this.suspectedAt === undefined ? 0 : performance.now() - this.suspectedAt,
			hasProof: confirmation.hasProof(),
		};
		return shouldTakeLeadership(evidence, this.ranking(), timing);
	}

	private async isHeardByOthers(leader: string): Promise<boolean> {
		const {peers, daemon, timing} = this.parts;
		const others = peers.members().filter(member => member !== leader && member !== daemon);
		const asked = others.map(async other => peers.confirm(other, Deadline.after(timing.peerCallMs, `asking ${other}`)));
		let isHeard = false;
		await settleSome(asked, wordCount, confirmation => {
			isHeard ||= confirmation.heard.includes(leader);
		});
		return isHeard;
	}

	private rank(leader: string): number {
		return this.ranking().filter(member => member !== leader).indexOf(this.parts.daemon);
	}

	private ranking(): string[] {
		return leaderRanking(this.service, this.parts.directory.stableMembers(), hash);
	}
}
