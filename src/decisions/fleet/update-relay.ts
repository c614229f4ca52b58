/**
 * Interface of the synchronization with the store to the other daemons.
 */
import type {StoreUpdate} from '../../model/coordination-store.js';

/** Relays changes between daemons, so that few of them watch the store. */
export type UpdateRelay = {
	/** True while another daemon relays the changes that it reads. */
	isFollowing(): boolean;
	/** Relays changes to the daemons that follow this one. */
	publish(update: StoreUpdate): void;
	/** Requests the changes after a revision from a daemon with a newer one. */
	requestChanges(after: number): void;
	/** Requests evidence that the active configuration and the known owners are the newest ones, from the daemon that watches the store. */
	requestEvidence(): void;
	/** Requests the same from the leader. */
	requestLeaderEvidence(): void;
};
