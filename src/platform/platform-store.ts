/**
 * HTTP client of the platform's store.
 */
import {Buffer} from 'node:buffer';
import type {
	CoordinationStore, StoreChanges, StoredItem, StoreLease, StoreListing, StoreTransaction,
} from '../model/coordination-store.js';
import {
	ConflictError, HistoryLostError, LeaseEndedError, MalformedDocumentError, StoreAmbiguousError, StoreUnavailableError, WatchInterruptedError,
} from '../model/errors.js';
import {StoreEra} from '../model/store-era.js';
import {ConnectionPool} from '../transport/connection-pool.js';
import {
	callJson, CallFailure, type JsonAnswer, type JsonCall,
} from '../transport/json-call.js';
import {
	decodeChanges, decodeEra, decodeItem, decodeLease, decodePage, decodeRevision, type StorePage,
} from './store-answers.js';
import {WireHeader, wirePaths} from './wire.js';

/** Timeout of a call in milliseconds. When the store is slow, its calls take 4 ms to about 400 ms. */
const callTimeoutMs = 1200;

/** Maximum size of the body of an answer, in bytes: of one item, which has up to a megabyte, and of a list of items or changes. */
const maxAnswerBytes = {item: 4_194_304, list: 16_777_216};

/** Margin between the end of a watch's wait in the store and its timeout, in milliseconds. */
const watchTimeoutMarginMs = 1000;

/** Called for an answer with items that cannot be read. */
export type StoreFaultListener = (detail: string) => void;

/** Calls the store over pooled connections. */
export class PlatformStore implements CoordinationStore {
	readonly era = new StoreEra();
	private readonly pool = new ConnectionPool();
	private abortWatch: ((reason: string) => void) | undefined;
	private interruptionReason: string | undefined;
	private calls = 0;

	constructor(private readonly address: string, private readonly onFault: StoreFaultListener = () => undefined) {}

	/** Number of calls since the start. */
	get callCount(): number {
		return this.calls;
	}

	async list(prefix: string): Promise<StoreListing> {
		let items: StoredItem[] = [];
		let revision: number | undefined;
		let after: string | undefined;
		const startedIn = this.era.current;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- each page starts after the last key of the previous one.
			const page = await this.readPage(prefix, after);
			// The pages are no snapshot. A watch from the first page's revision delivers the changes made while the others were read.
			revision ??= page.revision;
			items = [...items, ...page.items];
			after = page.nextAfter;
			// Pages of different eras do not belong together.
			this.era.requireSame(startedIn);
			if (after === undefined) {
				return {items, revision};
			}
		}
	}

	async watch(prefix: string, after: number, waitMs: number): Promise<StoreChanges> {
		const query = new URLSearchParams({prefix, after: String(after), waitMs: String(waitMs)});
		const answer = await this.waitForChanges({
			method: 'GET', path: `${wirePaths.storeWatch}?${query.toString()}`, timeoutMs: waitMs + watchTimeoutMarginMs, maxAnswerBytes: maxAnswerBytes.list,
		});
		if (answer.status === 410) {
			throw new HistoryLostError(after);
		}

		return this.decodeItems(answer, decodeChanges);
	}

	async read(key: string): Promise<StoredItem | undefined> {
		const query = new URLSearchParams({key});
		const answer = await this.call({method: 'GET', path: `${wirePaths.storeItem}?${query.toString()}`, timeoutMs: callTimeoutMs});
		return answer.status === 404 ? undefined : decode(answer, text => decodeItem(text, key));
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

		return decodeWritten(answer, decodeRevision);
	}

	async openLease(durationMs: number): Promise<StoreLease> {
		const answer = await this.call({
			method: 'POST', path: wirePaths.storeLease, body: {ttlMs: durationMs}, timeoutMs: callTimeoutMs,
		});
		const lease = decodeWritten(answer, decodeLease);
		// A longer lease than the requested one is not relied on.
		return {id: lease.id, durationMs: Math.min(lease.durationMs, durationMs)};
	}

	async renewLease(id: number): Promise<void> {
		const answer = await this.call({method: 'POST', path: `${wirePaths.storeLeaseRenewal}/${id}`, timeoutMs: callTimeoutMs});
		if (answer.status === 404) {
			throw new LeaseEndedError(id);
		}

		requireSuccess(answer);
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

	private async readPage(prefix: string, after: string | undefined): Promise<StorePage> {
		const query = new URLSearchParams({prefix, ...(after !== undefined && {after})});
		const answer = await this.call({
			method: 'GET', path: `${wirePaths.storeRange}?${query.toString()}`, timeoutMs: callTimeoutMs, maxAnswerBytes: maxAnswerBytes.list,
		});
		return this.decodeItems(answer, (text, faults) => decodePage(text, after, faults));
	}

	/** Decodes an answer with items; those that cannot be read are reported and do not affect the others. */
	private decodeItems<Content>(answer: JsonAnswer, decodeContent: (text: string, faults: string[]) => Content): Content {
		const faults: string[] = [];
		const content = decode(answer, text => decodeContent(text, faults));
		if (faults.length > 0) {
			this.onFault(new MalformedDocumentError('answer of the store', faults).message);
		}

		return content;
	}

	/** Makes a call and checks the era of its answer, of whatever status. */
	private async call(storeCall: JsonCall, onStart?: (abort: (reason: string) => void) => void): Promise<JsonAnswer> {
		this.calls += 1;
		const startedIn = this.era.current;
		const call = {maxAnswerBytes: maxAnswerBytes.item, ...storeCall};
		try {
			const answer = await callJson(this.pool, this.address, call, onStart);
			this.era.acceptAnswer(startedIn, decodeEra(answer.headers[WireHeader.StoreEra]), call.method !== 'GET');
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

function requireSuccess(answer: JsonAnswer): void {
	if (answer.status !== 200) {
		throw new StoreUnavailableError(`status ${answer.status}`);
	}
}

function decode<Content>(answer: JsonAnswer, decodeContent: (text: string) => Content): Content {
	requireSuccess(answer);
	try {
		return decodeContent(answer.text);
	} catch (error) {
		throw error instanceof MalformedDocumentError ? new StoreUnavailableError(error.message) : error;
	}
}

/** Decodes the answer to a call that changes the store; the call took effect even if its answer cannot be read. */
function decodeWritten<Content>(answer: JsonAnswer, decodeContent: (text: string) => Content): Content {
	requireSuccess(answer);
	try {
		return decodeContent(answer.text);
	} catch (error) {
		throw error instanceof MalformedDocumentError ? new StoreAmbiguousError(error.message) : error;
	}
}
