/**
 * Connections to servers, kept between exchanges.
 */
import {HttpConnection} from './http-connection.js';

/** Connections to a server that are kept for callers that name no limit. */
const defaultLimit = 16;

/**
 * Lends connections, the most recently used one first, so that the rest can expire.
 */
export class ConnectionPool {
	private readonly idle = new Map<string, HttpConnection[]>();
	private readonly lent = new Map<string, number>();
	private opened = 0;

	/** Connections that were opened since the start. */
	get openedCount(): number {
		return this.opened;
	}

	/** Connections to a server that wait for an exchange. */
	idleCount(address: string): number {
		return this.idle.get(address)?.length ?? 0;
	}

	/** Connections to a server that are in use. */
	inUse(address: string): number {
		return this.lent.get(address) ?? 0;
	}

	take(address: string): HttpConnection {
		this.lent.set(address, this.inUse(address) + 1);
		const connections = this.idle.get(address) ?? [];
		for (let connection = connections.pop(); connection; connection = connections.pop()) {
			if (connection.isReusable) {
				return connection;
			}

			connection.destroy();
		}

		this.opened += 1;
		return new HttpConnection(address);
	}

	/** Takes a connection back after a whole exchange; it is kept while there are fewer than `limit`, lent ones included. */
	giveBack(connection: HttpConnection, limit = defaultLimit): void {
		this.noteReturn(connection.address);
		const connections = this.idle.get(connection.address) ?? [];
		this.idle.set(connection.address, connections);
		if (!connection.isReusable || connections.length + this.inUse(connection.address) >= limit) {
			connection.destroy();
			return;
		}

		connections.push(connection);
	}

	/** Ends a connection on which an exchange failed. */
	discard(connection: HttpConnection): void {
		this.noteReturn(connection.address);
		connection.destroy();
	}

	/** Ends the idle connections to a server, after a sign that it no longer answers on them. */
	discardIdle(address: string): void {
		for (const connection of this.idle.get(address) ?? []) {
			connection.destroy();
		}

		this.idle.delete(address);
	}

	close(): void {
		for (const address of this.idle.keys()) {
			this.discardIdle(address);
		}
	}

	private noteReturn(address: string): void {
		const left = this.inUse(address) - 1;
		if (left > 0) {
			this.lent.set(address, left);
			return;
		}

		this.lent.delete(address);
	}
}
