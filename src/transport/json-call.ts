/**
 * HTTP calls with a JSON body.
 */
import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {ByteBuffer} from '../model/byte-buffer.js';
import {isValidStatus} from './answer-status.js';
import type {ConnectionPool} from './connection-pool.js';
import {ProvisionalAnswers} from './provisional-answers.js';

/** Maximum size of the body of an answer, in bytes, for calls that name none. Answers to orders and health checks have a few hundred. */
const defaultMaxAnswerBytes = 65_536;

/** A call to a server. */
export type JsonCall = {
	method: 'GET' | 'POST' | 'DELETE';
	path: string;
	body?: unknown;
	headers?: Record<string, string>;
	timeoutMs: number;
	/** Maximum size of the body of the answer, in bytes; a larger one fails the call. */
	maxAnswerBytes?: number;
	/** True for a call whose answer must not be mistaken for a late extra answer to an earlier one. */
	usesNewConnection?: boolean;
	/** Checked right before the first byte is sent, for a call that is no longer allowed once its connection has opened late. */
	mayBeSent?(): boolean;
};

/** Answer to a call. */
export type JsonAnswer = {
	status: number;
	headers: Record<string, string | string[] | undefined>;
	text: string;
};

/** A call that received no complete answer. */
export class CallFailure extends Error {
	override name = 'CallFailure';

	/** @param wasSent true if part of the call may have reached the server */
	constructor(message: string, readonly wasSent: boolean) {
		super(message);
	}
}

/**
 * Makes one call on a pooled connection.
 *
 * @param onStart receives the function that aborts the call
 * @throws {CallFailure} if the complete answer did not arrive in time
 */
export async function callJson(pool: ConnectionPool, address: string, call: JsonCall, onStart?: (abort: (reason: string) => void) => void): Promise<JsonAnswer> {
	return new Promise<JsonAnswer>((resolve, reject) => {
		const connection = call.usesNewConnection ? pool.acquireNew(address) : pool.acquire(address);
		const {maxAnswerBytes = defaultMaxAnswerBytes} = call;
		const body = new ByteBuffer(maxAnswerBytes);
		const provisionalAnswers = new ProvisionalAnswers();
		let status = 0;
		let headers: JsonAnswer['headers'] = {};
		let wasSent = false;
		let isSettled = false;

		const fail = (detail: string): void => {
			if (isSettled) {
				return;
			}

			isSettled = true;
			clearTimeout(timer);
			pool.reset(connection);
			reject(new CallFailure(`${call.method} ${call.path} at ${address}: ${detail}`, wasSent));
		};

		const timer = setTimeout(() => {
			fail('no answer in time');
		}, call.timeoutMs);
		onStart?.(fail);

		const handler: Dispatcher.DispatchHandler = {
			onRequestStart(controller) {
				if (call.mayBeSent?.() === false) {
					controller.abort(new Error('the call is no longer allowed'));
					return;
				}

				wasSent = true;
			},
			onResponseStart(_controller, statusCode, answerHeaders) {
				if (!isValidStatus(statusCode)) {
					fail(`status ${statusCode} is not valid`);
					return;
				}

				if (provisionalAnswers.isExceededBy(statusCode)) {
					fail('too many provisional answers');
					return;
				}

				status = statusCode;
				headers = answerHeaders;
			},
			onResponseData(_controller, chunk) {
				if (isSettled) {
					return;
				}

				if (body.byteLength + chunk.length > maxAnswerBytes) {
					fail('the answer is too large');
					return;
				}

				body.add(chunk);
			},
			onResponseEnd() {
				if (isSettled) {
					return;
				}

				if (connection.isBroken) {
					fail('the answer was cut off');
					return;
				}

				isSettled = true;
				clearTimeout(timer);
				// Undici marks the connection as free only after this callback.
				setImmediate(() => {
					pool.release(connection);
				});
				resolve({status, headers, text: Buffer.from(body.take()).toString('utf8')});
			},
			onResponseError(_controller, error) {
				fail(error.message);
			},
		};
		const callBody = call.body === undefined ? undefined : JSON.stringify(call.body);
		connection.dispatch({
			path: call.path,
			method: call.method,
			headers: {...call.headers, ...(callBody !== undefined && {'content-type': 'application/json'})},
			body: callBody,
			idempotent: false,
		}, handler);
	});
}
