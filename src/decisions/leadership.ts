/**
 * Choice of the daemon that leads a service.
 */
import type {XXHashAPI} from 'xxhash-wasm';
import type {Timing} from '../model/timing.js';

/** What a standby knows about the leader. */
export type LeaderEvidence = {
	daemon: string;
	leader: string;
	members: string[];
	/** Probes of the leader in a row without an answer. */
	silentProbes: number;
	/** True if the leader's VM refuses connections. */
	refused: boolean;
	/** Milliseconds since the leader was first suspected. */
	suspectedForMs: number;
	/** True if this daemon has a fresh proof from the store. */
	hasProof: boolean;
};

/**
 * Orders the daemons that may lead a service by rendezvous hashing, so that services spread over daemons.
 */
export function leaderRanking(service: string, members: string[], hash: XXHashAPI): string[] {
	const scored = members.map(member => ({member, score: hash.h32(`${service}/${member}`)}));
	scored.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1));
	return scored.map(({member}) => member);
}

/**
 * Decides whether a daemon takes leadership. Terms fence the old leader, so no lease of its need lapse first.
 */
export function shouldTakeLeadership(evidence: LeaderEvidence, ranking: string[], timing: Timing): boolean {
	if (!evidence.hasProof || evidence.leader === evidence.daemon) {
		return false;
	}

	const candidates = ranking.filter(member => member !== evidence.leader);
	const rank = candidates.indexOf(evidence.daemon);
	// Lower ranks wait longer, so that daemons seldom compete for the term.
	const staggerMs = rank * timing.probePeriodMs;
	const isVacant = evidence.leader === '' || !evidence.members.includes(evidence.leader);
	if (isVacant) {
		return evidence.suspectedForMs >= staggerMs;
	}

	const isSuspected = evidence.refused || evidence.silentProbes >= timing.silentProbes;
	return isSuspected && evidence.suspectedForMs >= staggerMs;
}
