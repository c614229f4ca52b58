/**
 * The platform's store as the daemons use it: compare-and-swap, leases and a watch.
 */

import type {StoreEra} from './store-era.js';

/** A key with its value. */
export type StoredItem = {
	key: string;
	value: string;
	/** Revision of the last change. */
	revision: number;
};

/** A change that a watch reports; a removed key has no value. */
export type StoreChange = {
	key: string;
	value?: string | undefined;
	revision: number;
	/** True if the value is too large to be relayed and has to be read from the store. */
	isOmitted?: boolean | undefined;
};

/** All items under a prefix, which may already include changes after `revision`. */
export type StoreListing = {
	items: StoredItem[];
	revision: number;
};

/** Changes since a revision. */
export type StoreChanges = {
	changes: StoreChange[];
	/** Revision after which the next watch starts. */
	revision: number;
};

/** Changes after a revision, as one daemon relays them to another. */
export type StoreUpdate = StoreChanges & {
	/** Revision up to which the receiver must already have all changes. */
	after: number;
	/**
	 * True if the changes were derived from a listing. Changes to keys that were created and removed since `after` are missing
	 * then, so the receiver has to be at exactly that revision.
	 */
	isListing?: boolean | undefined;
};

/** An atomic write; an expected revision of 0 means that the key must not exist. */
export type StoreTransaction = {
	expected: Array<{key: string; revision: number}>;
	puts: Array<{key: string; value: string; lease?: number}>;
	removals?: string[];
};

/** A lease as it was granted. */
export type StoreLease = {
	id: number;
	durationMs: number;
};

/**
 * Calls reject with `StoreUnavailableError` if they had no effect, `StoreAmbiguousError` if a write may have taken effect
 * or may still do so, `ConflictError` if a key did not have its expected revision, `HistoryLostError` if the changes since
 * a watch's revision are no longer available and `LeaseEndedError` if a lease has ended. If the store was restored meanwhile,
 * they reject with `StoreRestoredError`, or with `StoreAmbiguousError` for a write.
 */
export type CoordinationStore = {
	/** Era of the newest answer; an answer of an earlier era, or to a call that was made in one, is not returned. */
	readonly era: StoreEra;
	list(prefix: string): Promise<StoreListing>;
	/** Waits up to `waitMs` for changes after a revision. */
	watch(prefix: string, after: number, waitMs: number): Promise<StoreChanges>;
	read(key: string): Promise<StoredItem | undefined>;
	/** Returns the revision of the write. */
	write(transaction: StoreTransaction): Promise<number>;
	openLease(durationMs: number): Promise<StoreLease>;
	renewLease(id: number): Promise<void>;
	endLease(id: number): Promise<void>;
	/** Ends a pending watch, which then rejects. */
	interruptWatch(reason: string): void;
	close(): Promise<void>;
};
