/**
 * Changes of the daemons whose majority counts.
 */
import type {Assignment} from '../model/assignment.js';
import type {Acknowledgements} from './acknowledgements.js';

/** Largest number of voters; more daemons are served but not counted. */
export const maxVoters = 11;

/**
 * Returns the next set of voters, or undefined if none is due.
 *
 * Voters change one at a time, and only after a majority knows of the last change, so that successive majorities
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

	const gone = voters.find(voter => !members.includes(voter)) ?? voters.find(voter => !stableMembers.includes(voter));
	if (gone !== undefined && voters.length > 1) {
		return voters.filter(voter => voter !== gone);
	}

	if (gone !== undefined && gone !== assignment.leader) {
		return [assignment.leader];
	}

	// Only a daemon that acknowledged this version joins, so that a new voter counts as soon as it is one.
	const joining = stableMembers.find(member => !voters.includes(member) && acknowledgements.has(member, assignment.version));
	if (joining !== undefined && voters.length < maxVoters) {
		return [...voters, joining].toSorted();
	}

	return undefined;
}
