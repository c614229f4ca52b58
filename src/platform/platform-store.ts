/**
 * HTTP client of the platform's store.
 */
import {Buffer} from 'node:buffer';
import type {
	CoordinationStore, StoreChange, StoreChanges, StoredItem, StoreLease, StoreListing, StoreTransaction,
} from '../model/coordination-store.js';
import {
	ConflictError, HistoryLostError, LeaseEndedError, StoreAmbiguousError, StoreUnavailableError, WatchInterruptedError,
} from '../model/errors.js';
import {ConnectionPool} from '../transport/connection-pool.js';
import {
	callJson, CallFailure, type JsonAnswer, type JsonCall,
} from '../transport/json-call.js';
import {wirePaths} from './wire.js';

/** Timeout of a call in milliseconds. When the store is slow, its calls take 4 ms to about 400 ms. */
const callTimeoutMs = 1200;

/** Margin between the end of a watch's wait in the store and its timeout, in milliseconds. */
const watchTimeoutMarginMs = 1000;

type WireItem = {key: string; value: string; revision: number; tombstone?: boolean};

/** Calls the store over pooled connections. */
export class PlatformStore implements CoordinationStore {
	private readonly pool = new ConnectionPool();
	private abortWatch: ((reason: string) => void) | undefined;
	private interruptionReason: string | undefined;
	private calls = 0;

	constructor(private readonly address: string) {}

	/** Number of calls since the start. */
	get callCount(): number {
		return this.calls;
	}

	async list(prefix: string): Promise<StoreListing> {
		const items: StoredItem[] = [];
		let revision: number | undefined;
		let after: string | undefined;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- each page starts after the last key of the previous one.
			const page = await this.readPage(prefix, after);
			// The pages are no snapshot. A watch from the first page's revision delivers the changes made while the others were read.
			revision ??= page.storeRevision;
			items.push(...page.items.map(item => decodeItem(item)));
			if (!page.hasMore || page.items.length === 0) {
				return {items, revision};
			}

			after = page.items.at(-1)?.key;
		}
	}

	async watch(prefix: string, after: number, waitMs: number): Promise<StoreChanges> {
		const query = new URLSearchParams({prefix, after: String(after), waitMs: String(waitMs)});
		const answer = await this.waitForChanges({method: 'GET', path: `${wirePaths.storeWatch}?${query.toString()}`, timeoutMs: waitMs + watchTimeoutMarginMs});
		if (answer.status === 410) {
			throw new HistoryLostError(after);
		}

		const {events, storeRevision} = parse<{events: WireItem[]; storeRevision: number}>(answer);
		return {changes: events.map(event => decodeChange(event)), revision: storeRevision};
	}

	async read(key: string): Promise<StoredItem | undefined> {
		const query = new URLSearchParams({key});
		const answer = await this.call({method: 'GET', path: `${wirePaths.storeItem}?${query.toString()}`, timeoutMs: callTimeoutMs});
		return answer.status === 404 ? undefined : decodeItem(parse<WireItem>(answer));
	}

	async write({expected, puts, removals = []}: StoreTransaction): Promise<number> {
		const body = {
			expect: expected,
			puts: puts.map(({key, value, lease}) => ({key, value: Buffer.from(value).toString('base64'), ...(lease !== undefined && {lease})})),
			remove: removals,
		};
		const answer = await this.call({
			method: 'POST', path: wirePaths.storeTransaction, body, timeoutMs: callTimeoutMs,
		});
		if (answer.status === 412) {
			throw new ConflictError(expected.map(({key}) => key).join(', '));
		}

		if (answer.status === 404) {
			throw new LeaseEndedError(puts.find(({lease}) => lease !== undefined)?.lease ?? 0);
		}

		return parse<{revision: number}>(answer).revision;
	}

	async openLease(durationMs: number): Promise<StoreLease> {
		const answer = await this.call({
			method: 'POST', path: wirePaths.storeLease, body: {ttlMs: durationMs}, timeoutMs: callTimeoutMs,
		});
		const {lease, ttlMs} = parse<{lease: number; ttlMs: number}>(answer);
		return {id: lease, durationMs: ttlMs};
	}

	async renewLease(id: number): Promise<void> {
		const answer = await this.call({method: 'POST', path: `${wirePaths.storeLeaseRenewal}/${id}`, timeoutMs: callTimeoutMs});
		if (answer.status === 404) {
			throw new LeaseEndedError(id);
		}

		parse(answer);
	}

	async endLease(id: number): Promise<void> {
		await this.call({method: 'DELETE', path: `${wirePaths.storeLeaseEnd}/${id}`, timeoutMs: callTimeoutMs});
	}

	interruptWatch(reason: string): void {
		this.interruptionReason = reason;
		this.abortWatch?.(reason);
	}

	async close(): Promise<void> {
		this.abortWatch?.('the daemon is stopping');
		this.pool.close();
	}

	private async waitForChanges(call: JsonCall): Promise<JsonAnswer> {
		this.interruptionReason = undefined;
		try {
			return await this.call(call, abort => {
				this.abortWatch = abort;
			});
		} catch (error) {
			const reason = this.interruptionReason as string | undefined;
			throw reason === undefined ? error : new WatchInterruptedError(reason);
		} finally {
			this.abortWatch = undefined;
		}
	}

	private async readPage(prefix: string, after: string | undefined): Promise<{items: WireItem[]; hasMore: boolean; storeRevision: number}> {
		const query = new URLSearchParams({prefix, ...(after !== undefined && {after})});
		return parse(await this.call({method: 'GET', path: `${wirePaths.storeRange}?${query.toString()}`, timeoutMs: callTimeoutMs}));
	}

	private async call(call: JsonCall, onStart?: (abort: (reason: string) => void) => void): Promise<JsonAnswer> {
		this.calls += 1;
		try {
			const answer = await callJson(this.pool, this.address, call, onStart);
			if (answer.status === 429 || answer.status >= 500) {
				throw new StoreUnavailableError(`status ${answer.status}`);
			}

			return answer;
		} catch (error) {
			if (!(error instanceof CallFailure)) {
				throw error;
			}

			// Other idle connections may be broken as well.
			this.pool.discardIdle(this.address);
			const mayHaveRun = error.wasSent && call.method !== 'GET';
			throw mayHaveRun ? new StoreAmbiguousError(error.message) : new StoreUnavailableError(error.message);
		}
	}
}

function parse<Body>(answer: JsonAnswer): Body {
	if (answer.status !== 200) {
		throw new StoreUnavailableError(`status ${answer.status}`);
	}

	try {
		return JSON.parse(answer.text) as Body;
	} catch (error) {
		throw new StoreUnavailableError(`the answer is not JSON: ${error instanceof Error ? error.message : String(error)}`);
	}
}

function decodeItem({key, value, revision}: WireItem): StoredItem {
	return {key, value: Buffer.from(value, 'base64').toString('utf8'), revision};
}

function decodeChange(event: WireItem): StoreChange {
	return event.tombstone ? {key: event.key, value: undefined, revision: event.revision} : decodeItem(event);
}
