/**
 * Transport of requests to servers over HTTP.
 */
import {Pool} from 'undici';
import type {
	Attempt, AttemptResult, RequestTransport, RoutedRequest,
} from '../model/request.js';
import {Exchange} from './exchange.js';

/** Time for which an idle connection to a server is kept, in milliseconds. */
const keepAliveMs = 30_000;

/** Time limit of a new connection in milliseconds. */
const connectLimitMs = 1000;

type ServerPool = {
	pool: Pool;
	connections: number;
};

/**
 * Keeps a pool of connections for each server, bounded by the daemon's share.
 */
export class HttpTransport implements RequestTransport {
	private readonly pools = new Map<string, ServerPool>();

	async send(request: RoutedRequest, attempt: Attempt): Promise<AttemptResult> {
		const pool = this.poolOf(attempt.server.address, attempt.connectionLimit);
		return new Exchange(request, attempt).run(pool);
	}

	/** Closes idle connections and waits for requests in flight. */
	async close(): Promise<void> {
		await Promise.all([...this.pools.values()].map(async ({pool}) => pool.close()));
	}

	private poolOf(address: string, connections: number): Pool {
		const known = this.pools.get(address);
		if (known?.connections === connections) {
			return known.pool;
		}

		// A changed share gets a new pool; the old one ends with its last request.
		void known?.pool.close();
		const pool = new Pool(`http://${address}`, {
			connections,
			pipelining: 1,
			keepAliveTimeout: keepAliveMs,
			connectTimeout: connectLimitMs,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		this.pools.set(address, {pool, connections});
		return pool;
	}
}
