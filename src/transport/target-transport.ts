/**
 * Transport of callers' requests to targets.
 */
import type {
	Attempt, AttemptResult, CallerRequest, RequestTransport,
} from '../model/forwarding.js';
import {ConnectionPool} from './connection-pool.js';
import {TargetExchange, type TargetProtocol} from './target-exchange.js';

/** Sends requests over kept connections. */
export class TargetTransport implements RequestTransport {
	readonly pool = new ConnectionPool();

	constructor(private readonly protocol: TargetProtocol) {}

	async send(request: CallerRequest, attempt: Attempt): Promise<AttemptResult> {
		const result = await new TargetExchange(this.pool, this.protocol, request, attempt).run();
		if (result.isTimeout) {
			// A silent target may be cut off; its idle connections would be silent as well.
			this.pool.discardIdle(attempt.target.address);
		}

		return result;
	}

	close(): void {
		this.pool.close();
	}
}
