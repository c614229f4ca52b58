/**
 * Answers that are ready before an earlier one on their connection.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {PassThrough, type Writable} from 'node:stream';
import type {HeldBytes} from './held-bytes.js';
import {HeldStream} from './held-stream.js';

/**
 * Holds back the answers of one connection until all earlier ones are written. Node's server queues them as well, but it reads
 * nothing more from a connection on which many bytes wait, and so does not notice when the caller leaves.
 */
export class WaitingAnswers {
	private readonly sizes = new Map<ServerResponse, () => number>();

	constructor(private readonly socket: Socket, private readonly held: HeldBytes) {}

	/** Size of the bodies that are held back, in bytes. */
	get bytes(): number {
		let sum = 0;
		for (const size of this.sizes.values()) {
			sum += size();
		}

		return sum;
	}

	/** Calls `write` once the answer is the next one, which may be at once. */
	add(response: ServerResponse, write: () => void, size: () => number): void {
		if (response.socket) {
			write();
			return;
		}

		this.sizes.set(response, size);
		response.once('socket', () => {
			this.sizes.delete(response);
			if (!response.destroyed) {
				write();
			}
		});
	}

	/** Writes a whole answer once it is the next one. */
	addWhole(response: ServerResponse, write: () => void, bytes: number): void {
		if (bytes > 0) {
			this.held.addAnswer(this.socket, bytes);
			// Also emitted once the kernel has taken the answer.
			response.once('close', () => {
				this.held.addAnswer(this.socket, -bytes);
			});
		}

		this.add(response, write, () => bytes);
	}

	/** Returns a stream for the body of an answer that `begin` begins; the stream fills up until the answer is the next one. */
	addStream(response: ServerResponse, begin: () => Writable): Writable {
		if (this.held.isBounded) {
			const stream = new HeldStream(this.held, this.socket);
			this.add(response, () => {
				stream.open(begin());
			}, () => stream.unreadLength);
			return stream;
		}

		if (response.socket) {
			return begin();
		}

		const body = new PassThrough();
		this.add(response, () => {
			body.pipe(begin());
		}, () => body.readableLength + body.writableLength);
		return body;
	}
}
