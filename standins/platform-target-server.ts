/**
 * Stand-in of a target on the platform: it holds keys and answers requests with a response seal.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {FenceRejectedError} from '../src/model/errors.js';
import {TargetState} from '../src/model/fleet.js';
import type {KeyGrant, KeyOrder} from '../src/model/key-orders.js';
import {WireHeader, wireKeys, wirePaths} from '../src/platform/wire.js';
import {listenJson, sendJson} from './json-http.js';
import {KeyHolder} from './key-holder.js';
import {HoldStart} from './late-orders.js';
import type {MemoryCoordinationStore} from './memory-coordination-store.js';

/** Settings of a target. */
export type PlatformTargetOptions = {
	id: string;
	service: string;
	/** Address on loopback. */
	ip?: string;
	port: number;
	/** Address in the target's entry, if it differs. */
	entryAddress?: string;
	/** Time that a request takes, in milliseconds; chosen for each request if it is a function. */
	workMs: number | (() => number);
	isKeyed: boolean;
	slots?: number;
	/** Called when the execution of a request starts. */
	onRun(target: string, requestId: string, key: number): void;
};

/** How a target fails the requests that it runs. */
export type RunFailure = {
	status: number;
	/** True if the answer bears the target's signature. */
	isSealed?: boolean;
	bodyBytes?: number;
	/** True if the body is sent in chunks, without a length. */
	isChunked?: boolean;
	/** True if the target answers as soon as the first part of the request's body has arrived, and reads the rest later. */
	isEarly?: boolean;
	/** Time until the answer, in milliseconds; the time that the work takes by default. */
	delayMs?: number;
	headers?: Record<string, string>;
};

/** Path of the targets' health check. */
export const healthPath = '/health';

type WireOrder = {from: number; target: number; fence: number; holdMs: number};

/** Serves one target on loopback. */
export class PlatformTargetServer {
	readonly holder: KeyHolder;
	/** Headers in which the target says something of itself in each answer to a request. */
	statementHeaders: Record<string, string> = {};
	/** Undefined while requests succeed. */
	failure: RunFailure | undefined;
	private readonly servers: Server[] = [];
	private sequence = 0;

	constructor(protected readonly options: PlatformTargetOptions, private readonly store: MemoryCoordinationStore) {
		this.holder = new KeyHolder({
			id: options.id, bornAt: Date.now(), address: options.entryAddress ?? `${options.ip ?? '127.0.0.1'}:${options.port}`,
		});
	}

	async listen(): Promise<void> {
		await this.listenAt(this.options.ip);
		this.putEntry(TargetState.Ready);
	}

	/** Writes the target's entry to the store. */
	putEntry(state: TargetState): void {
		this.sequence += 1;
		const {id, service, slots = 3} = this.options;
		const {address, bornAt} = this.holder.incarnation;
		this.store.put(`${wireKeys.targets}${id}`, JSON.stringify({
			service, address, zone: 'zone-a', version: 'v1', slots, state, warmupLeftMs: 0, sequence: this.sequence, born: bornAt,
		}));
	}

	/** Stops at once; the entry stays in the store until `removeEntry` is called. */
	close(): void {
		this.holder.isStopped = true;
		for (const server of this.servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	removeEntry(): void {
		this.store.delete(`${wireKeys.targets}${this.options.id}`);
	}

	protected async listenAt(ip: string | undefined): Promise<void> {
		this.servers.push(await listenJson(this.options.port, async (request, response, body) => {
			await this.handle(request, response, body);
		}, ip, (request, response) => this.failEarly(request, response)));
	}

	protected async handle(request: IncomingMessage, response: ServerResponse, body: unknown): Promise<void> {
		const arrival = await this.receive(request, response);
		if (!arrival) {
			return;
		}

		const expectedId = request.headers[WireHeader.ExpectedTarget];
		if (expectedId !== undefined && expectedId !== this.options.id) {
			this.refuseMisdirected(request, response);
			return;
		}

		const {from: first, target: last, fence, holdMs: holdDurationMs} = (body ?? {}) as WireOrder;
		const order = {range: {first, last}, fence, timeoutMs: 0};
		switch (request.url ?? '') {
			case wirePaths.grant: {
				this.grant(response, {...order, holdDurationMs}, arrival.holdStartsAt);
				return;
			}

			case wirePaths.release: {
				await this.release(response, order);
				return;
			}

			case healthPath: {
				sendJson(response, 200, {}, {[WireHeader.Target]: this.options.id});
				return;
			}

			default: {
				await this.run(request, response);
			}
		}
	}

	/** @param arrivedAt time from which the hold counts */
	protected grant(response: ServerResponse, grant: KeyGrant, arrivedAt = performance.now()): void {
		try {
			this.holder.grant(grant, arrivedAt);
			sendJson(response, 200, {});
		} catch (error) {
			sendJson(response, error instanceof FenceRejectedError ? 409 : 400, {});
		}
	}

	protected async release(response: ServerResponse, order: KeyOrder): Promise<void> {
		sendJson(response, 200, {}, {[WireHeader.Handover]: this.holder.release(order)});
	}

	protected async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {id, isKeyed, workMs, onRun} = this.options;
		const key = Number(request.headers[WireHeader.Key] ?? 0);
		const requestId = String(request.headers[WireHeader.RequestId] ?? '');
		const isExpected = request.headers[WireHeader.ExpectedTarget] === id;
		if (!isExpected || (isKeyed && !this.holder.isHolding(key))) {
			this.refuseMisdirected(request, response);
			return;
		}

		onRun(id, requestId, key);
		const {failure} = this;
		await delay(failure?.delayMs ?? (typeof workMs === 'number' ? workMs : workMs()));
		if (failure) {
			this.fail(response, requestId, failure);
			return;
		}

		sendJson(response, 200, {target: id}, {[WireHeader.RequestId]: requestId, [WireHeader.Seal]: `${id}.${requestId}`, ...this.statementHeaders});
	}

	/** Runs and fails a request whose body has not been read; returns false if this target does not answer early. */
	private failEarly(request: IncomingMessage, response: ServerResponse): boolean {
		const isOrder = [wirePaths.grant, wirePaths.release, healthPath].includes(request.url ?? '');
		if (this.failure?.isEarly !== true || isOrder) {
			return false;
		}

		request.once('data', () => {
			void this.run(request, response);
		});
		return true;
	}

	private fail(response: ServerResponse, requestId: string, {status, isSealed = true, bodyBytes = 70, isChunked = false, headers}: RunFailure): void {
		response.writeHead(status, {
			[WireHeader.RequestId]: requestId,
			...(isSealed && {[WireHeader.Seal]: `${this.options.id}.${requestId}`}),
			...(!isChunked && {'content-length': String(bodyBytes)}),
			...this.statementHeaders,
			...headers,
		});
		response.end('x'.repeat(bodyBytes));
	}

	/** Applies the faults of orders and probes; resolves when the request is to be carried out, with undefined if it is lost. */
	private async receive(request: IncomingMessage, response: ServerResponse): Promise<{holdStartsAt: number} | undefined> {
		const {isUnreachable, lateOrders} = this.holder;
		const holdStartsAt = performance.now();
		const isProbe = request.url === healthPath;
		if (!isProbe && request.url !== wirePaths.grant && request.url !== wirePaths.release) {
			return {holdStartsAt};
		}

		if (isUnreachable) {
			return undefined;
		}

		const lateMs = lateOrders?.draw(isProbe);
		if (!lateOrders || lateMs === undefined) {
			return {holdStartsAt};
		}

		await delay(lateMs);
		// The caller gets no answer.
		response.destroy();
		return {holdStartsAt: lateOrders.holdStart === HoldStart.Arrival ? holdStartsAt : performance.now()};
	}

	private refuseMisdirected(request: IncomingMessage, response: ServerResponse): void {
		sendJson(response, 421, {}, {
			[WireHeader.RequestId]: String(request.headers[WireHeader.RequestId] ?? ''),
			[WireHeader.NotRun]: '1',
			[WireHeader.Target]: this.options.id,
			...this.statementHeaders,
		});
	}
}
