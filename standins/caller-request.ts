/**
 * Requests as the gateway hands them to the forwarder.
 */
import {Cancellation} from '../src/model/cancellation.js';
import type {CallerRequest} from '../src/model/forwarding.js';

/** A request without a body; its answer is small. */
export function callerRequest(path: string, changes: Partial<CallerRequest> = {}): CallerRequest {
	return {
		method: 'GET',
		path,
		host: 'host',
		headers: [],
		requestId: 'request-1',
		key: 7,
		budgetMs: 800,
		receivedAt: performance.now(),
		body: undefined,
		cancellation: new Cancellation(),
		beginStream() {
			throw new Error('Answers are small.');
		},
		abortStream: () => undefined,
		...changes,
	};
}
