/**
 * Rule for serving on while the store is unreachable.
 */
import type {PeerConfirmation} from '../model/peer.js';

/** Returns the size of a majority of a set. */
export function majorityOf(size: number): number {
	return Math.floor(size / 2) + 1;
}

/** What one daemon knows when it decides whether to hold. */
export type HoldEvidence = {
	daemon: string;
	/** False after a restart until the store was read or a confirmation was relayed. */
	canAttest: boolean;
	service: string;
	version: number;
	voters: string[];
	confirmations: PeerConfirmation[];
};

/**
 * Decides whether a daemon may extend its route lease without the store.
 *
 * A majority of the voters must attest that they cannot reach the store and know no newer version. A takeover needs
 * the acknowledgement of a majority, so that any two such majorities share a daemon that knows of the takeover.
 */
export function mayHold(evidence: HoldEvidence): boolean {
	const {daemon, canAttest, service, version, voters, confirmations} = evidence;
	if (!canAttest) {
		return false;
	}

	if (confirmations.some(confirmation => confirmation.proofAgeMs !== undefined)) {
		return false;
	}

	if (confirmations.some(confirmation => (confirmation.known.assignments[service] ?? 0) > version)) {
		return false;
	}

	const attesting = new Set(confirmations.filter(confirmation => confirmation.canAttest).map(confirmation => confirmation.daemon));
	attesting.add(daemon);
	const votes = voters.filter(voter => attesting.has(voter)).length;
	return votes >= majorityOf(voters.length);
}
