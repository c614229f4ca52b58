/**
 * What the synchronization with the store asks of the other daemons.
 */
import type {StoreUpdate} from '../../model/coordination-store.js';

/** Passes changes on between daemons, so that few of them watch the store. */
export type UpdateRelay = {
	/** True while another daemon passes on what it reads. */
	isFollowing(): boolean;
	/** Passes changes on to the daemons that follow this one. */
	publish(update: StoreUpdate): void;
	/** Asks a daemon that knows more for the changes after a revision. */
	request(after: number): void;
	/** Asks the daemon that watches whether the configuration in force is the newest one. */
	requestEvidence(): void;
};
