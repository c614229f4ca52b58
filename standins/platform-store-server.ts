/**
 * Serves the stand-in of the platform's store over its wire protocol, JSON over HTTP.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {
	ConflictError, HistoryLostError, LeaseEndedError, StoreAmbiguousError,
} from '../src/model/errors.js';
import type {StoreChange, StoredItem, StoreTransaction} from '../src/model/coordination-store.js';
import {WireHeader, wirePaths} from '../src/platform/wire.js';
import {listenJson, sendJson} from './json-http.js';
import type {MemoryCoordinationStore, MemoryStoreClient} from './memory-coordination-store.js';

type WireTransaction = {
	expect: StoreTransaction['expected'];
	puts: StoreTransaction['puts'];
	remove: string[];
};

/** A call with the client that carries it out, which learns the era of its answer. */
type Call = {
	response: ServerResponse;
	client: MemoryStoreClient;
};

/** Serves a store on loopback. */
export class PlatformStoreServer {
	/** While true, calls get no answer. */
	isSilent = false;
	private server: Server | undefined;

	constructor(private readonly store: MemoryCoordinationStore) {}

	async listen(port: number, ip?: string): Promise<void> {
		this.server = await listenJson(port, async (request, response, body) => {
			await this.handle(request, response, body);
		}, ip);
	}

	close(): void {
		this.server?.close();
		this.server?.closeAllConnections();
	}

	private async handle(request: IncomingMessage, response: ServerResponse, body: unknown): Promise<void> {
		if (this.isSilent) {
			return;
		}

		const url = new URL(request.url ?? '/', 'http://store');
		const client = this.store.createClient();
		try {
			await this.answer(url, {response, client}, body);
		} catch (error) {
			if (error instanceof StoreAmbiguousError) {
				// The write took effect, so that no status would be true.
				response.destroy();
				return;
			}

			send({response, client}, statusOf(error), {});
		}
	}

	private async answer(url: URL, call: Call, body: unknown): Promise<void> {
		const query = (name: string): string => url.searchParams.get(name) ?? '';
		const {client} = call;
		const storeRevision = this.store.revision;
		const [basePath = '', lease = ''] = splitLease(url.pathname);
		switch (basePath) {
			case wirePaths.storeItem: {
				const item = await client.read(query('key'));
				send(call, item ? 200 : 404, item ? {...encode(item), storeRevision} : {});
				return;
			}

			case wirePaths.storeRange: {
				const {items} = await client.list(query('prefix'));
				send(call, 200, {items: items.map(item => encode(item)), hasMore: false, storeRevision});
				return;
			}

			case wirePaths.storeWatch: {
				const {changes, revision} = await client.watch(query('prefix'), Number(query('after')), Number(query('waitMs')));
				send(call, 200, {events: changes.map(change => encode(change)), storeRevision: revision});
				return;
			}

			case wirePaths.storeTransaction: {
				send(call, 200, {revision: await client.write(decode(body as WireTransaction))});
				return;
			}

			case wirePaths.storeLease: {
				const granted = await client.openLease((body as {ttlMs: number}).ttlMs);
				send(call, 200, {lease: granted.id, ttlMs: granted.durationMs});
				return;
			}

			case wirePaths.storeLeaseRenewal: {
				await client.renewLease(Number(lease));
				send(call, 200, {});
				return;
			}

			case wirePaths.storeLeaseEnd: {
				await client.endLease(Number(lease));
				send(call, 200, {});
				return;
			}

			default: {
				send(call, 404, {});
			}
		}
	}
}

function send({response, client}: Call, status: number, body: unknown): void {
	const era = client.era.current;
	sendJson(response, status, body, era === undefined ? {} : {[WireHeader.StoreEra]: String(era)});
}

function splitLease(path: string): string[] {
	const match = /^(?<base>.*)\/(?<lease>\d+)$/v.exec(path);
	return match?.groups ? [match.groups.base ?? '', match.groups.lease ?? ''] : [path];
}

function statusOf(error: unknown): number {
	if (error instanceof ConflictError) {
		return 412;
	}

	if (error instanceof HistoryLostError) {
		return 410;
	}

	return error instanceof LeaseEndedError ? 404 : 503;
}

function encode({key, value, revision}: StoredItem | StoreChange): Record<string, unknown> {
	return value === undefined ? {key, revision, tombstone: true} : {key, revision, value: Buffer.from(value).toString('base64')};
}

function decode({expect, puts, remove}: WireTransaction): StoreTransaction {
	return {
		expected: expect,
		puts: puts.map(put => ({...put, value: Buffer.from(put.value, 'base64').toString('utf8')})),
		removals: remove,
	};
}
