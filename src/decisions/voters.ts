/**
 * Changes to the voters: the daemons whose majority must acknowledge a move.
 */
import type {Assignment} from '../model/assignment.js';
import type {Acknowledgements} from './acknowledgements.js';

/** Largest number of voters; further daemons get every version but do not vote. */
export const maxVoters = 11;

/**
 * Returns the next set of voters, or undefined if none is due.
 *
 * Voters change one at a time, and only after a majority has acknowledged the last change, so that successive majorities
 * overlap.
 */
export function nextVoters(
	assignment: Assignment,
	members: string[],
	stableMembers: string[],
	acknowledgements: Acknowledgements,
): string[] | undefined {
	const {voters, votersVersion} = assignment;
	if (voters.length > 0 && !acknowledgements.hasMajority(voters, members, Math.max(1, votersVersion))) {
		return undefined;
	}

	const leaving = voters.find(voter => !members.includes(voter)) ?? voters.find(voter => !stableMembers.includes(voter));
	if (leaving !== undefined && voters.length > 1) {
		return voters.filter(voter => voter !== leaving);
	}

	if (leaving !== undefined && leaving !== assignment.leader) {
		return [assignment.leader];
	}

	// Only a daemon that acknowledged this version joins, so that a new voter counts towards the majority at once.
	const joining = stableMembers.find(member => !voters.includes(member) && acknowledgements.hasAcknowledged(member, assignment.version));
	if (joining !== undefined && voters.length < maxVoters) {
		return [...voters, joining].toSorted();
	}

	return undefined;
}
