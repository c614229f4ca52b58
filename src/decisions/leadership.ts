/**
 * Election of the daemon that leads a service.
 */
import type {XXHashAPI} from 'xxhash-wasm';
import type {Timing} from '../model/timing.js';

/** What a standby has observed of the leader. */
export type LeaderObservations = {
	daemon: string;
	leader: string;
	members: string[];
	/** Consecutive failed probes of the leader. */
	failedProbes: number;
	/** True if the leader's VM refuses connections. */
	isConnectionRefused: boolean;
	/** Milliseconds since the leader was first suspected. */
	suspectedForMs: number;
	/** True if this daemon has a fresh confirmation by the store. */
	hasFreshConfirmation: boolean;
};

/**
 * Orders the daemons that may lead a service by rendezvous hashing, which spreads services over daemons.
 */
export function leaderRanking(service: string, members: string[], hash: XXHashAPI): string[] {
	const scored = members.map(member => ({member, score: hash.h32(`${service}/${member}`)}));
	scored.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1));
	return scored.map(({member}) => member);
}

/**
 * Decides whether a daemon takes leadership. The higher term fences off the old leader, so no lease has to expire first.
 */
export function shouldTakeLeadership(observations: LeaderObservations, ranking: string[], timing: Timing): boolean {
	if (!observations.hasFreshConfirmation || observations.leader === observations.daemon) {
		return false;
	}

	const candidates = ranking.filter(member => member !== observations.leader);
	const rank = candidates.indexOf(observations.daemon);
	// Later candidates wait longer, so that daemons rarely compete for the term.
	const staggerMs = rank * timing.probePeriodMs;
	const isVacant = observations.leader === '' || !observations.members.includes(observations.leader);
	if (isVacant) {
		return observations.suspectedForMs >= staggerMs;
	}

	const isSuspected = observations.isConnectionRefused || observations.failedProbes >= timing.silentProbes;
	return isSuspected && observations.suspectedForMs >= staggerMs;
}
