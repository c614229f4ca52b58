/**
 * Key-value store over the HTTP/JSON gateway of etcd v3.
 */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {Deadline} from '../model/deadline.js';
import {StoreAmbiguousError, StoreUnavailableError} from '../model/errors.js';
import type {
	KeyValueStore, StoreEntry, StoreResult, StoreTransaction, StoreVersion,
} from '../model/key-value-store.js';
import {readJsonAnswer} from '../transport/json-answer.js';
import {limitProvisionalAnswers} from '../transport/provisional-answers.js';

const rangeAnswerSchema = z.object({
	kvs: z.array(z.object({
		key: z.string(),
		value: z.string().default(''),
		// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the published protocol.
		mod_revision: z.coerce.number(),
	})).default([]),
});

const transactionAnswerSchema = z.object({
	header: z.object({revision: z.coerce.number()}),
	succeeded: z.boolean().default(false),
});

// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the published protocol.
const leaseAnswerSchema = z.object({ID: z.string()});

/** Maximum size of the body of an answer, in bytes: of one value, which has up to a megabyte, and of all those under a prefix. */
const maxAnswerBytes = {value: 2_097_152, prefix: 67_108_864};

/** Error codes of connections that failed before anything was sent. */
const unsentErrorCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

type CallOptions = {deadline: Deadline; maxBytes?: number; isWrite?: boolean};

/**
 * Client of etcd. All reads are linearizable.
 */
export class EtcdStore implements KeyValueStore {
	private readonly agent = new Agent({connections: 16, pipelining: 1, connectTimeout: 1000});
	private endpointIndex = 0;

	/** @param endpoints base URLs of the gateway; the next one is used after each failure */
	constructor(private readonly endpoints: string[]) {}

	async read(key: string, deadline: Deadline): Promise<StoreEntry | undefined> {
		const answer = rangeAnswerSchema.parse(await this.call('/v3/kv/range', {key: encode(key)}, {deadline}));
		return answer.kvs.map(kv => entryOf(kv))[0];
	}

	async readPrefix(prefix: string, deadline: Deadline): Promise<StoreEntry[]> {
		const answer = rangeAnswerSchema.parse(await this.call('/v3/kv/range', prefixRange(prefix), {deadline, maxBytes: maxAnswerBytes.prefix}));
		return answer.kvs.map(kv => entryOf(kv));
	}

	async readVersions(prefix: string, deadline: Deadline): Promise<StoreVersion[]> {
		// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the published protocol.
		const answer = rangeAnswerSchema.parse(await this.call('/v3/kv/range', {...prefixRange(prefix), keys_only: true}, {deadline, maxBytes: maxAnswerBytes.prefix}));
		return answer.kvs.map(kv => ({key: decode(kv.key), modRevision: kv.mod_revision}));
	}

	async transact(transaction: StoreTransaction, deadline: Deadline): Promise<StoreResult> {
		/* eslint-disable @typescript-eslint/naming-convention -- names of the published protocol. */
		const compare = transaction.compare.map(({key, modRevision}) => ({
			key: encode(key), target: 'MOD', result: 'EQUAL', mod_revision: String(modRevision),
		}));
		const puts = transaction.puts.map(({key, value, leaseId}) => ({
			request_put: {key: encode(key), value: encode(value), ...(leaseId === undefined ? {} : {lease: leaseId})},
		}));
		const deletes = (transaction.deletes ?? []).map(key => ({request_delete_range: {key: encode(key)}}));
		/* eslint-enable @typescript-eslint/naming-convention */
		const answer = transactionAnswerSchema.parse(await this.call('/v3/kv/txn', {compare, success: [...puts, ...deletes]}, {deadline, isWrite: true}));
		return {succeeded: answer.succeeded, revision: answer.header.revision};
	}

	async grantLease(ttlSeconds: number, deadline: Deadline): Promise<string> {
		// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the published protocol.
		const answer = leaseAnswerSchema.parse(await this.call('/v3/lease/grant', {TTL: String(ttlSeconds)}, {deadline}));
		return answer.ID;
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async call(path: string, body: unknown, {deadline, maxBytes = maxAnswerBytes.value, isWrite = false}: CallOptions): Promise<unknown> {
		const endpoint = this.endpoints[this.endpointIndex % this.endpoints.length] ?? '';
		try {
			return await deadline.run(async signal => {
				const answer = await request(`${endpoint}${path}`, {
					method: 'POST',
					headers: {'content-type': 'application/json'},
					body: JSON.stringify(body),
					dispatcher: this.agent,
					onInfo: limitProvisionalAnswers(),
					signal,
				});
				if (answer.statusCode !== 200) {
					await answer.body.dump();
					throw new StoreUnavailableError(`status ${answer.statusCode}`);
				}

				return readJsonAnswer(answer.body, maxBytes);
			});
		} catch (error) {
			this.endpointIndex += 1;
			throw toStoreError(error, isWrite);
		}
	}
}

function toStoreError(error: unknown, isWrite: boolean): Error {
	if (error instanceof StoreUnavailableError && !isWrite) {
		return error;
	}

	const code = (error as {code?: string}).code ?? '';
	const detail = code || String(error);
	return isWrite && !unsentErrorCodes.has(code) ? new StoreAmbiguousError(detail) : new StoreUnavailableError(detail);
}

function encode(text: string): string {
	return Buffer.from(text).toString('base64');
}

function decode(text: string): string {
	return Buffer.from(text, 'base64').toString();
}

function prefixRange(prefix: string) {
	const end = prefix.slice(0, -1) + String.fromCodePoint(prefix.codePointAt(prefix.length - 1)! + 1);
	// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the published protocol.
	return {key: encode(prefix), range_end: encode(end)};
}

function entryOf(kv: {key: string; value: string; mod_revision: number}): StoreEntry {
	return {key: decode(kv.key), value: decode(kv.value), modRevision: kv.mod_revision};
}
