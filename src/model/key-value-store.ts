/**
 * Interface of the platform's key-value service.
 */
import type {Deadline} from './deadline.js';

/** One key with its value and the revision of its last change. */
export type StoreEntry = {
	key: string;
	value: string;
	/** Revision of the last change; 0 for an absent key. */
	modRevision: number;
};

/** A key and the revision of its last change, without the value. */
export type StoreVersion = {
	key: string;
	modRevision: number;
};

/** An atomic write: all puts and deletes take effect if every comparison succeeds. */
export type StoreTransaction = {
	compare: StoreVersion[];
	puts: Array<{key: string; value: string; leaseId?: string}>;
	deletes?: string[];
};

/** Result of a transaction. */
export type StoreResult = {
	succeeded: boolean;
	/** Revision of the store after the transaction. */
	revision: number;
};

/**
 * The platform's key-value service. Reads are linearizable.
 *
 * Methods reject with `StoreUnavailableError` when the call had no effect, and `transact` with
 * `StoreAmbiguousError` when it may have had one.
 */
export type KeyValueStore = {
	read(key: string, deadline: Deadline): Promise<StoreEntry | undefined>;
	readPrefix(prefix: string, deadline: Deadline): Promise<StoreEntry[]>;
	readVersions(prefix: string, deadline: Deadline): Promise<StoreVersion[]>;
	transact(transaction: StoreTransaction, deadline: Deadline): Promise<StoreResult>;
	/** Creates a lease and returns its id; keys put with it are removed when it ends. */
	grantLease(ttlSeconds: number, deadline: Deadline): Promise<string>;
	close(): Promise<void>;
};

/** Keys in the store. */
export const storeKeys = {
	/** Prefix of all documents that daemons replicate. */
	documents: 'eelgrasswheel/documents/',
	configuration: 'eelgrasswheel/documents/configuration',
	assignment: (service: string) => `eelgrasswheel/documents/assignments/${service}`,
	plans: 'eelgrasswheel/plans/',
	plan: (id: string) => `eelgrasswheel/plans/${encodeURIComponent(id)}`,
	claim: (service: string, instructionId: string) => `eelgrasswheel/claims/${service}/${encodeURIComponent(instructionId)}`,
	history: (service: string, version: number) => `eelgrasswheel/history/${service}/${String(version).padStart(12, '0')}`,
	historyPrefix: (service: string) => `eelgrasswheel/history/${service}/`,
} as const;
