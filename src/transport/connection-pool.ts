/**
 * Pool of HTTP connections to servers.
 */
import {HttpConnection} from './http-connection.js';

/** Limit on the connections to a server if no other limit is passed. */
const defaultConnectionLimit = 16;

/**
 * Hands out the most recently used connection first, so that surplus connections reach their idle timeout.
 */
export class ConnectionPool {
	private readonly idleConnections = new Map<string, HttpConnection[]>();
	private readonly inUseCounts = new Map<string, number>();
	private opened = 0;

	/** Number of connections opened since the start. */
	get openedCount(): number {
		return this.opened;
	}

	/** Number of idle connections to a server. */
	idleCount(address: string): number {
		return this.idleConnections.get(address)?.length ?? 0;
	}

	/** Number of connections to a server that are in use. */
	inUseCount(address: string): number {
		return this.inUseCounts.get(address) ?? 0;
	}

	/** @param requestId if set, no connection is returned on which this request was refused before */
	acquire(address: string, requestId?: string): HttpConnection {
		this.inUseCounts.set(address, this.inUseCount(address) + 1);
		const connections = this.idleConnections.get(address) ?? [];
		for (let index = connections.length - 1; index >= 0; index -= 1) {
			const connection = connections[index];
			if ((connection?.isReusable) && requestId !== undefined && connection.hasRefused(requestId)) {
				continue;
			}

			connections.splice(index, 1);
			if (connection?.isReusable) {
				return connection;
			}

			connection?.destroy();
		}

		return this.open(address);
	}

	/** Returns a new connection, on which no answer to an earlier exchange can arrive late. */
	acquireNew(address: string): HttpConnection {
		this.inUseCounts.set(address, this.inUseCount(address) + 1);
		return this.open(address);
	}

	/** Returns a connection after a complete exchange. It is closed if the server already has `limit` others, idle or in use. */
	release(connection: HttpConnection, limit = defaultConnectionLimit): void {
		this.decrementInUse(connection.address);
		const connections = this.idleConnections.get(connection.address) ?? [];
		this.idleConnections.set(connection.address, connections);
		if (!connection.isReusable || connections.length + this.inUseCount(connection.address) >= limit) {
			connection.destroy();
			return;
		}

		connections.push(connection);
	}

	/** Closes a connection on which an exchange failed. */
	discard(connection: HttpConnection): void {
		this.decrementInUse(connection.address);
		connection.destroy();
	}

	/** Resets a connection on which a call was given up. Bytes that the peer's system has received may still be read there. */
	reset(connection: HttpConnection): void {
		this.decrementInUse(connection.address);
		connection.reset();
	}

	/** Closes the idle connections to a server, which may be as unresponsive as the one on which a call failed. */
	discardIdle(address: string): void {
		for (const connection of this.idleConnections.get(address) ?? []) {
			connection.destroy();
		}

		this.idleConnections.delete(address);
	}

	close(): void {
		for (const address of this.idleConnections.keys()) {
			this.discardIdle(address);
		}
	}

	private open(address: string): HttpConnection {
		this.opened += 1;
		return new HttpConnection(address);
	}

	private decrementInUse(address: string): void {
		const remaining = this.inUseCount(address) - 1;
		if (remaining > 0) {
			this.inUseCounts.set(address, remaining);
			return;
		}

		this.inUseCounts.delete(address);
	}
}
