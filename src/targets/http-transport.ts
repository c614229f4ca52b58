/**
 * Forwards requests to servers over HTTP.
 */
import {Pool} from 'undici';
import type {
	Attempt, AttemptResult, RequestTransport, RoutedRequest,
} from '../model/request.js';
import {limitedConnector} from '../transport/small-reads.js';
import {HttpExchange} from './http-exchange.js';

/** Time after which an idle connection to a server is closed, in milliseconds. */
const idleTimeoutMs = 30_000;

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 1000;

type ServerPool = {
	pool: Pool;
	connections: number;
};

/**
 * Keeps a connection pool for each server, limited to this daemon's share of the server's connections.
 */
export class HttpTransport implements RequestTransport {
	private readonly pools = new Map<string, ServerPool>();

	async send(request: RoutedRequest, attempt: Attempt): Promise<AttemptResult> {
		const pool = this.poolOf(attempt.server.address, attempt.connectionLimit);
		return new HttpExchange(request, attempt).run(pool);
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

		// If the share has changed, a new pool replaces the old one, which closes after its last request.
		void known?.pool.close();
		const pool = new Pool(`http://${address}`, {
			connections,
			pipelining: 1,
			keepAliveTimeout: idleTimeoutMs,
			connect: limitedConnector({timeout: connectTimeoutMs}),
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		this.pools.set(address, {pool, connections});
		return pool;
	}
}
