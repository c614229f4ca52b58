/**
 * Connections whose bytes the HTTP client parses in small pieces.
 */
import type {Readable} from 'node:stream';
import {buildConnector} from 'undici';

/** Most bytes that are parsed at once. */
const pieceBytes = 4096;

/**
 * Hands out what a socket has received in small pieces, and nothing once it is destroyed. Undici parses a piece to its end although
 * the head in it is too large, and creates an error for each line that is left, which blocks all other requests meanwhile.
 */
export function limitReads(socket: Readable): void {
	const read = socket.read.bind(socket) as (size?: number) => unknown;
	socket.read = (size?: number): unknown => {
		if (socket.destroyed) {
			return null;
		}

		return read(size ?? (socket.readableLength > pieceBytes ? pieceBytes : undefined));
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
