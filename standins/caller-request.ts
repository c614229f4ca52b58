/**
 * Requests as the gateway passes them to the forwarder.
 */
import {Cancellation} from '../src/model/cancellation.js';
import type {CallerRequest} from '../src/model/forwarding.js';

/** Creates a request without a body; it fails if its answer is streamed. */
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
			throw new Error('expected a small answer, but the answer is streamed');
		},
		abortStream: () => undefined,
		...changes,
	};
}
