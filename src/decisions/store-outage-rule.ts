/**
 * Rule for serving from the last confirmed versions while the store is unreachable.
 */
import type {PeerConfirmation} from '../model/peer.js';

/** Returns the number of members that form a majority of a set. */
export function majorityOf(size: number): number {
	return Math.floor(size / 2) + 1;
}

/** What a daemon knows about itself and its peers while it has no fresh confirmation by the store. */
export type StoreOutageState = {
	daemon: string;
	/** False after a restart until the store has confirmed the daemon's versions, directly or through a peer. */
	canAttest: boolean;
	service: string;
	version: number;
	voters: string[];
	confirmations: PeerConfirmation[];
};

/**
 * Decides whether a daemon may extend its route lease without the store.
 *
 * No peer that answers may have a fresh confirmation by the store or know a newer version, and a majority of the voters,
 * counting this daemon, must have answered with `canAttest`. A takeover needs acknowledgements from a majority too, so at
 * least one daemon belongs to both majorities and reports the takeover's newer version.
 */
export function mayServeWithoutStore(state: StoreOutageState): boolean {
	const {daemon, canAttest, service, version, voters, confirmations} = state;
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
