/**
 * Forwards callers' requests to targets.
 */
import {
	AttemptEnd, type Attempt, type AttemptResult, type CallerRequest, type ConnectionProbe, type RequestTransport,
} from '../model/forwarding.js';
import {ConnectionPool} from './connection-pool.js';
import {canConnect} from './connection-probe.js';
import {TargetExchange, type TargetProtocol} from './target-exchange.js';

/** Sends requests over pooled connections. */
export class TargetTransport implements RequestTransport, ConnectionProbe {
	readonly pool = new ConnectionPool();

	constructor(private readonly protocol: TargetProtocol) {}

	async send(request: CallerRequest, attempt: Attempt): Promise<AttemptResult> {
		if (attempt.usesOpenConnection && this.pool.idleCount(attempt.target.address) === 0) {
			return {end: AttemptEnd.NotSent, detail: 'no open connection'};
		}

		const result = await new TargetExchange(this.pool, this.protocol, request, attempt).run();
		if (result.isTimeout) {
			// The target may be unreachable, in which case its idle connections would time out as well.
			this.pool.discardIdle(attempt.target.address);
		}

		return result;
	}

	async connects(address: string): Promise<boolean> {
		return canConnect(address);
	}

	/** Closes all idle connections. */
	discardIdle(): void {
		this.pool.close();
	}

	close(): void {
		this.pool.close();
	}
}
