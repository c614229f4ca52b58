/**
 * Sends grants and releases of key ranges to the targets of keyed services.
 */
import type {KeyOrders, KeyOrder, KeyGrant} from '../model/key-orders.js';
import {
	FenceRejectedError, OrderUnsentError, TargetReplacedError, TargetUnavailableError,
} from '../model/errors.js';
import type {TargetIncarnation} from '../model/fleet.js';
import type {KeyRange} from '../model/key-ownership.js';
import {ConnectionPool} from '../transport/connection-pool.js';
import {
	callJson, CallFailure, type JsonAnswer, type JsonCall,
} from '../transport/json-call.js';
import {WireHeader, wirePaths} from './wire.js';

type SentOrder = Pick<KeyOrder, 'timeoutMs' | 'mayBeSent'> & Pick<JsonCall, 'usesNewConnection'>;

/** Sends orders over HTTP, on connections that are separate from those of callers' requests. */
export class PlatformKeyOrders implements KeyOrders {
	private readonly pool = new ConnectionPool();

	async grant(target: TargetIncarnation, grant: KeyGrant): Promise<void> {
		const {range, fence, holdDurationMs, handover} = grant;
		// In the platform's protocol, the last key of the range is named "target".
		const body = {
			from: range.first, target: range.last, fence, holdMs: holdDurationMs, ...(handover !== undefined && {handover}),
		};
		const answer = await this.send(target, wirePaths.grant, body, grant);
		if (answer.status === 409) {
			throw new FenceRejectedError(target.id, fence);
		}

		expectSuccess(target, answer);
	}

	/**
	 * A faulty target may send an answer twice, and nothing in it tells which order it answers. The second one, taken for the answer to
	 * a release, would prove that the target has no work left on the keys, so that each release has a connection of its own.
	 */
	async release(target: TargetIncarnation, order: KeyOrder): Promise<string | undefined> {
		const answer = await this.send(target, wirePaths.release, encodeRange(order.range, order.fence), {...order, usesNewConnection: true});
		expectSuccess(target, answer);
		const handover = answer.headers[WireHeader.Handover];
		return typeof handover === 'string' && handover !== '' ? handover : undefined;
	}

	async identify(target: TargetIncarnation, healthPath: string, timeoutMs: number): Promise<string | undefined> {
		const answer = await this.call(target, async () => callJson(this.pool, target.address, {method: 'GET', path: healthPath, timeoutMs}));
		return answeringId(answer);
	}

	close(): void {
		this.pool.close();
	}

	/** @throws {TargetReplacedError} if another target answers: it responds with 421 to an order that names its receiver */
	private async send(target: TargetIncarnation, path: string, body: unknown, {timeoutMs, mayBeSent, usesNewConnection}: SentOrder): Promise<JsonAnswer> {
		const answer = await this.call(target, async () => callJson(this.pool, target.address, {
			method: 'POST', path, body, headers: {[WireHeader.ExpectedTarget]: target.id}, timeoutMs, usesNewConnection: usesNewConnection === true, ...(mayBeSent && {mayBeSent}),
		}));
		const id = answeringId(answer);
		if (id === undefined ? answer.status === 421 : id !== target.id) {
			throw new TargetReplacedError(target.id, id);
		}

		return answer;
	}

	private async call(target: TargetIncarnation, makeCall: () => Promise<JsonAnswer>): Promise<JsonAnswer> {
		try {
			return await makeCall();
		} catch (error) {
			if (!(error instanceof CallFailure)) {
				throw error;
			}

			this.pool.discardIdle(target.address);
			throw error.wasSent ? new TargetUnavailableError(target.id, error.message) : new OrderUnsentError(target.id, error.message);
		}
	}
}

/** Returns the id that an answer names; undefined if it names none. */
function answeringId({headers}: JsonAnswer): string | undefined {
	const id = headers[WireHeader.Target];
	return typeof id === 'string' ? id : undefined;
}

function encodeRange(range: KeyRange, fence: number): {from: number; target: number; fence: number} {
	return {from: range.first, target: range.last, fence};
}

function expectSuccess(target: TargetIncarnation, answer: JsonAnswer): void {
	if (answer.status !== 200) {
		throw new TargetUnavailableError(target.id, `status ${answer.status}`);
	}
}
