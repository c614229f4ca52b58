/**
 * Stand-in of the platform's store: revisions, transactions, leases and watches in memory, with faults.
 */
import type {
	CoordinationStore, StoreChange, StoreChanges, StoredItem, StoreLease, StoreListing, StoreTransaction,
} from '../src/model/coordination-store.js';
import {
	ConflictError, HistoryLostError, LeaseEndedError, RouterError, StoreAmbiguousError, StoreUnavailableError, WatchInterruptedError,
} from '../src/model/errors.js';
import {StoreEra} from '../src/model/store-era.js';

/** Fault that the store applies to calls. */
export enum StoreFault {
	None = 'none',
	/** Every call fails without effect. */
	Down = 'down',
	/** Writes take effect, but their replies are lost. */
	LosesReplies = 'loses replies',
	/** Writes get no reply and are carried out late, if their condition still holds. */
	DelaysWrites = 'delays writes',
}

/** Time until a call reaches the store, in milliseconds. */
const requestDelayMs = 2;

/** Time until an answer reaches a daemon over an ordinary link, in milliseconds. */
const defaultAnswerDelayMs = 2;

/** Time after which a caller treats a missing reply as lost, in milliseconds. */
const replyTimeoutMs = 300;

/** Time beyond the wait of a watch after which a caller treats the watch as failed, in milliseconds. */
const watchTimeoutSlackMs = 1000;

type Entry = StoredItem & {lease: number | undefined};

type Lease = {
	durationMs: number;
	timer: NodeJS.Timeout | undefined;
};

/** A copy of the store's contents, without leases. */
export type StoreCopy = {
	entries: ReadonlyMap<string, Entry>;
	revision: number;
	nextLease: number;
};

/** The store; `createClient` gives each daemon its own client, which can be disconnected. */
export class MemoryCoordinationStore {
	revision = 1;
	/** Undefined while answers name no era. */
	era: number | undefined;
	fault = StoreFault.None;
	/** Time until a delayed write is carried out, in milliseconds. */
	lateWriteDelayMs = 2000;
	private readonly entries = new Map<string, Entry>();
	private readonly leases = new Map<number, Lease>();
	private history: StoreChange[] = [];
	private compactedRevision = 0;
	private nextLease = 1;
	private readonly changeListeners = new Set<() => void>();

	takeCopy(): StoreCopy {
		return {entries: new Map(this.entries), revision: this.revision, nextLease: this.nextLease};
	}

	/** Goes back to a copy and raises the era. Leases end, and the entries of those in the copy stay until they are written again. */
	restore({entries, revision, nextLease}: StoreCopy): void {
		for (const {timer} of this.leases.values()) {
			clearTimeout(timer);
		}

		this.leases.clear();
		this.entries.clear();
		for (const [key, entry] of entries) {
			this.entries.set(key, entry);
		}

		this.history = [];
		this.compactedRevision = revision;
		this.revision = revision;
		this.nextLease = nextLease;
		this.era = (this.era ?? 0) + 1;
		this.notifyListeners();
	}

	createClient(): MemoryStoreClient {
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
		if (after < this.compactedRevision || (this.era !== undefined && after > this.revision)) {
			throw new HistoryLostError(after);
		}

		return this.history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
	}

	/** Discards the history of changes, as the platform may do at any time. */
	compact(): void {
		this.history = [];
		this.compactedRevision = this.revision;
		this.notifyListeners();
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

		this.notifyListeners();
		return this.revision;
	}

	/** Writes without a condition, as the operator and the targets do. Returns the revision of the write. */
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

	/** Takes the keys of all leases away; the leases go on, so that no request shows it. */
	removeLeasedKeys(): void {
		const removals = [...this.entries.values()].filter(({lease}) => lease !== undefined).map(({key}) => key);
		this.write({expected: [], puts: [], removals});
	}

	/** Calls a listener at every change until it is removed. */
	addChangeListener(listener: () => void): void {
		this.changeListeners.add(listener);
	}

	removeChangeListener(listener: () => void): void {
		this.changeListeners.delete(listener);
	}

	private remove(key: string): void {
		if (this.entries.delete(key)) {
			this.history.push({key, value: undefined, revision: this.revision});
		}
	}

	private notifyListeners(): void {
		for (const listener of this.changeListeners) {
			listener();
		}
	}
}

/** Client of one daemon. */
export class MemoryStoreClient implements CoordinationStore {
	readonly era = new StoreEra();
	/** True while the daemon cannot reach the store. */
	isDisconnected = false;
	/** True while watches get no answer, although their connection is open. */
	isWatchSilent = false;
	/** Time until an answer reaches this client, in milliseconds; longer over a slow link or with a busy processor. */
	answerDelayMs = defaultAnswerDelayMs;
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
		const startedIn = this.era.current;
		await this.wait(requestDelayMs);
		this.assertReachable();
		if (this.isWatchSilent) {
			// Ends only when the watch is interrupted, or when the caller treats it as failed.
			await this.wait(waitMs + watchTimeoutSlackMs);
			throw new StoreUnavailableError('the watch got no answer');
		}

		return this.answerWithEra(startedIn, false, async () => {
			if (this.store.changesAfter(prefix, after).length === 0) {
				await this.wait(waitMs, true);
			}

			this.assertReachable();
			const answer = {changes: this.store.changesAfter(prefix, after), revision: this.store.revision};
			return answer;
		}, async () => this.wait(this.answerDelayMs));
	}

	interruptWatch(reason: string): void {
		this.interrupt?.(reason);
	}

	async close(): Promise<void> {
		this.interruptWatch('closed');
	}

	/** Waits for a duration, with `endsAtChange` at most until the next change; rejects if the watch is interrupted. */
	private async wait(durationMs: number, endsAtChange = false): Promise<void> {
		return new Promise<void>((resolve, reject) => {
			const cleanUp = (): void => {
				clearTimeout(timer);
				this.store.removeChangeListener(settle);
				this.interrupt = undefined;
			};

			const settle = (): void => {
				cleanUp();
				resolve();
			};

			const timer = setTimeout(settle, durationMs);
			if (endsAtChange) {
				this.store.addChangeListener(settle);
			}

			this.interrupt = reason => {
				cleanUp();
				reject(new WatchInterruptedError(reason));
			};
		});
	}

	private async call<Result>(operation: () => Result, isWrite: boolean): Promise<Result> {
		const startedIn = this.era.current;
		await pause(requestDelayMs);
		this.assertReachable();
		if (isWrite && this.store.fault === StoreFault.DelaysWrites) {
			setTimeout(() => {
				runIfPossible(operation);
			}, this.store.lateWriteDelayMs);
			await pause(replyTimeoutMs);
			throw new StoreAmbiguousError('the reply was lost');
		}

		return this.answerWithEra(startedIn, isWrite, async () => {
			const result = operation();
			if (isWrite && this.store.fault === StoreFault.LosesReplies) {
				await pause(replyTimeoutMs);
				throw new StoreAmbiguousError('the reply was lost');
			}

			return result;
		}, async () => pause(this.answerDelayMs));
	}

	/** Carries out a call, and checks the era that the store had then once the answer arrives. */
	private async answerWithEra<Result>(startedIn: number | undefined, isWrite: boolean, carryOut: () => Promise<Result>, arrive: () => Promise<void>): Promise<Result> {
		try {
			const result = await carryOut();
			const {era} = this.store;
			await arrive();
			this.era.acceptAnswer(startedIn, era, isWrite);
			return result;
		} catch (error) {
			// Refusals are answers of the store, too.
			if (error instanceof ConflictError || error instanceof HistoryLostError || error instanceof LeaseEndedError) {
				this.era.acceptAnswer(startedIn, this.store.era, isWrite);
			}

			throw error;
		}
	}

	private assertReachable(): void {
		if (this.isDisconnected || this.store.fault === StoreFault.Down) {
			throw new StoreUnavailableError('no connection');
		}
	}
}

/** Carries out a late write; its caller has given up and does not learn of a failure. */
function runIfPossible(operation: () => unknown): void {
	try {
		operation();
	} catch (error) {
		if (!(error instanceof RouterError)) {
			throw error;
		}
	}
}

async function pause(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
