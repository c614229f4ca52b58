/**
 * In-memory key-value service with compare-and-swap and leases, for tests and the demo.
 */
import type {
	StoreEntry, StoreResult, StoreTransaction, StoreVersion,
} from '../src/model/key-value-store.js';

/** Number of calls by kind. */
export type CallCounts = {
	reads: number;
	writes: number;
	leases: number;
};

type StoredRecord = {value: string; modRevision: number; leaseId: string | undefined};

/** Linearizable store; every call takes effect at once. */
export class MemoryStore {
	readonly calls: CallCounts = {reads: 0, writes: 0, leases: 0};
	/** Called with the keys of each write that took effect. */
	onWrite: ((keys: string[]) => void) | undefined;
	private revision = 0;
	private readonly records = new Map<string, StoredRecord>();
	private readonly leases = new Map<string, number>();
	private nextLease = 1;

	read(key: string): StoreEntry | undefined {
		this.calls.reads += 1;
		this.expire();
		const record = this.records.get(key);
		return record && {key, value: record.value, modRevision: record.modRevision};
	}

	readPrefix(prefix: string): StoreEntry[] {
		this.calls.reads += 1;
		this.expire();
		return [...this.records]
			.filter(([key]) => key.startsWith(prefix))
			.map(([key, {value, modRevision}]) => ({key, value, modRevision}))
			.toSorted((a, b) => (a.key < b.key ? -1 : 1));
	}

	readVersions(prefix: string): StoreVersion[] {
		return this.readPrefix(prefix).map(({key, modRevision}) => ({key, modRevision}));
	}

	transact({compare, puts, deletes}: StoreTransaction): StoreResult {
		this.calls.writes += 1;
		this.expire();
		const succeeded = compare.every(({key, modRevision}) => (this.records.get(key)?.modRevision ?? 0) === modRevision);
		if (!succeeded) {
			return {succeeded, revision: this.revision};
		}

		this.revision += 1;
		for (const {key, value, leaseId} of puts) {
			this.records.set(key, {value, modRevision: this.revision, leaseId});
		}

		for (const key of deletes ?? []) {
			this.records.delete(key);
		}

		this.onWrite?.(puts.map(({key}) => key));
		return {succeeded, revision: this.revision};
	}

	grantLease(ttlSeconds: number): string {
		this.calls.leases += 1;
		const id = String(this.nextLease);
		this.nextLease += 1;
		this.leases.set(id, Date.now() + (ttlSeconds * 1000));
		return id;
	}

	private expire(): void {
		for (const [id, expiresAt] of this.leases) {
			if (expiresAt > Date.now()) {
				continue;
			}

			this.leases.delete(id);
			for (const [key, record] of this.records) {
				if (record.leaseId === id) {
					this.records.delete(key);
				}
			}
		}
	}
}
