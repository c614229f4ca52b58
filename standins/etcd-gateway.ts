/**
 * Stand-in of the key-value service: the subset of the etcd v3 HTTP/JSON gateway that the router uses, with faults.
 */
import {Buffer} from 'node:buffer';
import type {Server} from 'node:http';
import {listenJson, sendJson} from './json-http.js';
import {MemoryStore} from './memory-store.js';

/** Faults that callers of `/standin/faults` switch on. */
export type StoreFaults = {
	/** Closes every connection without an answer. */
	down: boolean;
	/** Delay of each call in milliseconds. */
	delayMs: number;
	/** Number of writes whose replies are lost after they took effect. */
	loseReplies: number;
};

const decode = (text: string) => Buffer.from(text, 'base64').toString();
const encode = (text: string) => Buffer.from(text).toString('base64');

type RangeRequest = {key: string; range_end?: string; keys_only?: boolean};
type TransactionRequest = {
	compare?: Array<{key: string; mod_revision: string}>;
	success?: Array<{request_put?: {key: string; value: string; lease?: string}; request_delete_range?: {key: string}}>;
};

/** Serves the store over HTTP. */
export class EtcdGateway {
	readonly faults: StoreFaults = {down: false, delayMs: 0, loseReplies: 0};
	readonly store = new MemoryStore();
	private server: Server | undefined;

	async listen(port: number): Promise<void> {
		this.server = await listenJson(port, async (request, response, body) => {
			if (request.url === '/standin/faults') {
				Object.assign(this.faults, body);
				sendJson(response, 200, this.store.calls);
				return;
			}

			if (this.faults.delayMs > 0) {
				await new Promise(resolve => {
					setTimeout(resolve, this.faults.delayMs);
				});
			}

			if (this.faults.down) {
				response.destroy();
				return;
			}

			const answer = this.answer(request.url ?? '', body);
			if (request.url === '/v3/kv/txn' && this.faults.loseReplies > 0) {
				this.faults.loseReplies -= 1;
				response.destroy();
				return;
			}

			sendJson(response, 200, answer);
		});
	}

	async close(): Promise<void> {
		this.server?.closeAllConnections();
		await new Promise(resolve => {
			this.server?.close(resolve);
		});
	}

	private answer(path: string, body: unknown): unknown {
		switch (path) {
			case '/v3/kv/range': {
				return this.range(body as RangeRequest);
			}

			case '/v3/kv/txn': {
				return this.transact(body as TransactionRequest);
			}

			case '/v3/lease/grant': {
				// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the published protocol.
				return {ID: this.store.grantLease(Number((body as {TTL: string}).TTL))};
			}

			default: {
				return {};
			}
		}
	}

	private range(request: RangeRequest): unknown {
		const key = decode(request.key);
		const single = request.range_end === undefined ? this.store.read(key) : undefined;
		const entries = request.range_end === undefined ? (single ? [single] : []) : this.store.readPrefix(key);
		return {
			kvs: entries.map(entry => ({
				key: encode(entry.key),
				// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the published protocol.
				mod_revision: String(entry.modRevision),
				...(request.keys_only ? {} : {value: encode(entry.value)}),
			})),
		};
	}

	private transact(request: TransactionRequest): unknown {
		const operations = request.success ?? [];
		const puts = operations.flatMap(({request_put: put}) => put ? [{key: decode(put.key), value: decode(put.value), leaseId: put.lease}] : []);
		const deletes = operations.flatMap(({request_delete_range: range}) => range ? [decode(range.key)] : []);
		const compare = (request.compare ?? []).map(({key, mod_revision: modRevision}) => ({key: decode(key), modRevision: Number(modRevision)}));
		const result = this.store.transact({compare, puts, deletes});
		return {header: {revision: String(result.revision)}, succeeded: result.succeeded};
	}
}
