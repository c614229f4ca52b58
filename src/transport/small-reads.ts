/**
 * Connections whose bytes the HTTP client parses in small pieces, and only so many of them in one turn of the event loop.
 */
import type {Readable} from 'node:stream';
import {buildConnector} from 'undici';

/** Most bytes that are parsed at once. */
const pieceBytes = 4096;

/** Time of a turn of the event loop in which the bytes of one socket are parsed, in milliseconds. */
const socketTurnMs = 2;

/** Time of a turn in which the bytes of all sockets are parsed, in milliseconds; after it, each socket gets one piece. */
const totalTurnMs = 5;

/**
 * Shares the turns of the event loop among sockets. Without it, a socket that is always readable would be read on in the same turn. The
 * shares are times, because a byte in a chunk of its own takes many times as long as one in a chunk of some kilobytes.
 */
class ReadTurns {
	/** Number of the current turn. */
	current = 0;
	private usedMs = 0;
	/** The last piece that was handed out in this turn. */
	private last: {share: SocketShare; at: number} | undefined;
	/** Sockets with bytes that are left for a later turn, in the order in which they continue. */
	private readonly waiting = new Set<Readable>();
	private isScheduled = false;

	/** Returns true if a socket may be handed out another piece in this turn. The first one is not delayed by other sockets. */
	mayRead(share: SocketShare): boolean {
		if (share.turn !== this.current) {
			share.turn = this.current;
			share.usedMs = 0;
			return true;
		}

		if (this.last?.share === share) {
			const parsedMs = performance.now() - this.last.at;
			this.last = undefined;
			share.usedMs += parsedMs;
			this.usedMs += parsedMs;
		}

		return share.usedMs < socketTurnMs && this.usedMs < totalTurnMs;
	}

	recordRead(share: SocketShare): void {
		this.last = {share, at: performance.now()};
		this.schedule();
	}

	/** Continues the socket in a later turn. */
	defer(socket: Readable): void {
		this.waiting.add(socket);
		this.schedule();
	}

	private schedule(): void {
		if (this.isScheduled) {
			return;
		}

		this.isScheduled = true;
		setImmediate(() => {
			this.isScheduled = false;
			this.begin();
		});
	}

	private begin(): void {
		this.current += 1;
		this.usedMs = 0;
		this.last = undefined;
		// A socket may be deferred again while it continues, so a copy is iterated.
		const sockets = [...this.waiting];
		this.waiting.clear();
		for (const socket of sockets) {
			socket.emit('readable');
		}
	}
}

/** What a socket has used of the current turn. */
type SocketShare = {
	turn: number;
	usedMs: number;
};

const readTurns = new ReadTurns();

/**
 * Hands out what a socket has received in small pieces, and nothing once it is destroyed or has had its share of the turn. Undici parses
 * a piece to its end although the head in it is too large, and creates an error for each line that is left, which blocks all other
 * requests meanwhile.
 */
export function limitReads(socket: Readable): void {
	const read = socket.read.bind(socket) as (size?: number) => unknown;
	const share = {turn: readTurns.current - 1, usedMs: 0};
	socket.read = (size?: number): unknown => {
		if (socket.destroyed) {
			return null;
		}

		// Node calls it with 0 to read on from the kernel.
		if (size === 0 || socket.readableLength === 0) {
			return read(size);
		}

		if (!readTurns.mayRead(share)) {
			readTurns.defer(socket);
			return null;
		}

		const piece = read(size ?? (socket.readableLength > pieceBytes ? pieceBytes : undefined));
		readTurns.recordRead(share);
		return piece;
	};
}

/** Connector of undici's agents and pools with limited reads. */
export function limitedConnector(options: buildConnector.BuildOptions): buildConnector.connector {
	const connect = buildConnector(options);
	return (target, callback) => {
		connect(target, (...result) => {
			if (result[1]) {
				limitReads(result[1]);
			}

			callback(...result);
		});
	};
}
