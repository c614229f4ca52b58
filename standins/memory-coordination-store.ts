/**
 * Stand-in of the platform's store: revisions, transactions, leases and watches in memory, with faults.
 */
import type {
	CoordinationStore, StoreChange, StoreChanges, StoredItem, StoreLease, StoreListing, StoreTransaction,
} from '../src/model/coordination-store.js';
import {
	ConflictError, HistoryLostError, LeaseEndedError, StoreAmbiguousError, StoreUnavailableError, WatchInterruptedError,
} from '../src/model/errors.js';

/** How the store treats calls. */
export enum StoreFault {
	None = 'none',
	/** Nothing is done and nothing is answered. */
	Down = 'down',
	/** Writes are done, but their replies are lost. */
	LosesReplies = 'loses replies',
}

/** Time until a call reaches the store, in milliseconds. */
const requestMs = 2;

/** Time until an answer reaches a daemon with an ordinary link, in milliseconds. */
const answerMs = 2;

/** Time after which a caller takes a lost reply for lost, in milliseconds. */
const lostReplyMs = 300;

/** Time beyond its own wait after which a caller takes a watch for lost, in milliseconds. */
const silentWatchMs = 1000;

type Entry = StoredItem & {lease: number | undefined};

type Lease = {
	durationMs: number;
	timer: NodeJS.Timeout | undefined;
};

/** The store; `clientOf` gives each daemon a client of its own that can be cut off. */
export class MemoryCoordinationStore {
	revision = 1;
	fault = StoreFault.None;
	private readonly entries = new Map<string, Entry>();
	private readonly leases = new Map<number, Lease>();
	private history: StoreChange[] = [];
	private historyFrom = 0;
	private nextLease = 1;
	private readonly waiting = new Set<() => void>();

	clientOf(): MemoryStoreClient {
		return new MemoryStoreClient(this);
	}

	get(key: string): StoredItem | undefined {
		const entry = this.entries.get(key);
		return entry && {key, value: entry.value, revision: entry.revision};
	}

	list(prefix: string): StoreListing {
		const items = [...this.entries.values()].filter(({key}) => key.startsWith(prefix)).map(({key, value, revision}) => ({key, value, revision}));
		return {items, revision: this.revision};
	}

	changesAfter(prefix: string, after: number): StoreChange[] {
		if (after < this.historyFrom) {
			throw new HistoryLostError(after);
		}

		return this.history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
	}

	/** Forgets the history, as the platform may at any time. */
	compact(): void {
		this.history = [];
		this.historyFrom = this.revision;
		this.wake();
	}

	write({expected, puts, removals = []}: StoreTransaction): number {
		if (expected.some(({key, revision}) => (this.entries.get(key)?.revision ?? 0) !== revision)) {
			throw new ConflictError(expected.map(({key}) => key).join(', '));
		}

		const ended = puts.find(({lease}) => lease !== undefined && !this.leases.has(lease));
		if (ended) {
			throw new LeaseEndedError(ended.lease ?? 0);
		}

		this.revision += 1;
		for (const {key, value, lease} of puts) {
			this.entries.set(key, {
				key, value, revision: this.revision, lease,
			});
			this.history.push({key, value, revision: this.revision});
		}

		for (const key of removals) {
			this.remove(key);
		}

		this.wake();
		return this.revision;
	}

	/** Writes outside any condition, as the operator and the targets do. */
	/** Returns the revision of the write. */
	put(key: string, value: string): number {
		return this.write({expected: [], puts: [{key, value}]});
	}

	delete(key: string): void {
		this.write({expected: [], puts: [], removals: [key]});
	}

	openLease(durationMs: number): StoreLease {
		const id = this.nextLease;
		this.nextLease += 1;
		this.leases.set(id, {durationMs, timer: undefined});
		this.renewLease(id);
		return {id, durationMs};
	}

	renewLease(id: number): void {
		const lease = this.leases.get(id);
		if (!lease) {
			throw new LeaseEndedError(id);
		}

		clearTimeout(lease.timer);
		lease.timer = setTimeout(() => {
			this.endLease(id);
		}, lease.durationMs);
	}

	endLease(id: number): void {
		clearTimeout(this.leases.get(id)?.timer);
		this.leases.delete(id);
		const keys = [...this.entries.values()].filter(({lease}) => lease === id).map(({key}) => key);
		if (keys.length > 0) {
			this.write({expected: [], puts: [], removals: keys});
		}
	}

	/** Calls back at the next change. */
	onChange(listener: () => void): void {
		this.waiting.add(listener);
	}

	offChange(listener: () => void): void {
		this.waiting.delete(listener);
	}

	private remove(key: string): void {
		if (this.entries.delete(key)) {
			this.history.push({key, value: undefined, revision: this.revision});
		}
	}

	private wake(): void {
		for (const listener of this.waiting) {
			listener();
		}
	}
}

/** Client of one daemon. */
export class MemoryStoreClient implements CoordinationStore {
	/** True while the daemon cannot reach the store. */
	isCut = false;
	/** True while the connection of the watch is silent, though open. */
	isWatchSilent = false;
	/** Time until an answer arrives here, in milliseconds; longer behind a small link or a busy processor. */
	answerMs = answerMs;
	private interrupt: ((reason: string) => void) | undefined;

	constructor(private readonly store: MemoryCoordinationStore) {}

	async list(prefix: string): Promise<StoreListing> {
		return this.call(() => this.store.list(prefix), false);
	}

	async read(key: string): Promise<StoredItem | undefined> {
		return this.call(() => this.store.get(key), false);
	}

	async write(transaction: StoreTransaction): Promise<number> {
		return this.call(() => this.store.write(transaction), true);
	}

	async openLease(durationMs: number): Promise<StoreLease> {
		return this.call(() => this.store.openLease(durationMs), true);
	}

	async renewLease(id: number): Promise<void> {
		return this.call(() => {
			this.store.renewLease(id);
		}, false);
	}

	async endLease(id: number): Promise<void> {
		return this.call(() => {
			this.store.endLease(id);
		}, true);
	}

	async watch(prefix: string, after: number, waitMs: number): Promise<StoreChanges> {
		await this.wait(requestMs);
		this.expectReachable();
		if (this.isWatchSilent) {
			// Ends only by an interruption, or when the caller takes the watch for lost.
			await this.wait(waitMs + silentWatchMs);
			throw new StoreUnavailableError('silent');
		}

		if (this.store.changesAfter(prefix, after).length === 0) {
			await this.wait(waitMs, true);
		}

		this.expectReachable();
		const answer = {changes: this.store.changesAfter(prefix, after), revision: this.store.revision};
		await this.wait(this.answerMs);
		return answer;
	}

	interruptWatch(reason: string): void {
		this.interrupt?.(reason);
	}

	async close(): Promise<void> {
		this.interruptWatch('closed');
	}

	/** Waits for a time, or for the next change if that is sooner; rejects if the watch is interrupted. */
	private async wait(durationMs: number, endsAtChange = false): Promise<void> {
		return new Promise<void>((resolve, reject) => {
			const end = (): void => {
				clearTimeout(timer);
				this.store.offChange(settle);
				this.interrupt = undefined;
			};

			const settle = (): void => {
				end();
				resolve();
			};

			const timer = setTimeout(settle, durationMs);
			if (endsAtChange) {
				this.store.onChange(settle);
			}

			this.interrupt = reason => {
				end();
				reject(new WatchInterruptedError(reason));
			};
		});
	}

	private async call<Result>(action: () => Result, isWrite: boolean): Promise<Result> {
		await pause(requestMs);
		this.expectReachable();
		const result = action();
		if (isWrite && this.store.fault === StoreFault.LosesReplies) {
			await pause(lostReplyMs);
			throw new StoreAmbiguousError('the reply was lost');
		}

		await pause(this.answerMs);
		return result;
	}

	private expectReachable(): void {
		if (this.isCut || this.store.fault === StoreFault.Down) {
			throw new StoreUnavailableError('no connection');
		}
	}
}

async function pause(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
