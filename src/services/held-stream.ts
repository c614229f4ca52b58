/**
 * A streamed answer that is read from its target faster than its caller reads it.
 */
import type {Socket} from 'node:net';
import {Writable} from 'node:stream';
import type {HeldBytes, PausedReader} from './held-bytes.js';

/** Bytes of one answer that are held in any case; the usual buffer of a connection. */
const ownBytes = 65_536;

/** Takes an answer as long as there is memory for it, so that its target does not have to wait. */
export class HeldStream extends Writable implements PausedReader {
	private response: Writable | undefined;
	/** Chunks that arrived before the answer was the next one on its connection. */
	private readonly chunks: Uint8Array[] = [];
	private unreadBytes = 0;
	private takeMore: (() => void) | undefined;
	private isComplete = false;

	constructor(private readonly held: HeldBytes, readonly socket: Socket) {
		// It is destroyed with the response: until then, it holds bytes that the caller has not read.
		super({highWaterMark: ownBytes, autoDestroy: false});
	}

	/** Bytes that the kernel has not taken. */
	get unreadLength(): number {
		return this.unreadBytes;
	}

	/** Called once the answer is the next one on its connection. */
	open(response: Writable): void {
		this.response = response;
		response.once('close', () => {
			this.destroy();
		});
		for (const chunk of this.chunks.splice(0)) {
			this.pass(response, chunk);
		}

		if (this.isComplete) {
			response.end();
		}
	}

	continueReading(): void {
		if (!this.takeMore) {
			return;
		}

		if (this.unreadBytes >= ownBytes && !this.held.hasReadAheadRoom) {
			this.held.pause(this);
			return;
		}

		const {takeMore} = this;
		this.takeMore = undefined;
		this.held.removeReader(this);
		takeMore();
	}

	override _write(chunk: Uint8Array, _encoding: unknown, callback: () => void): void {
		this.unreadBytes += chunk.length;
		this.held.addAnswer(this.socket, chunk.length);
		if (this.response) {
			this.pass(this.response, chunk);
		} else {
			this.chunks.push(chunk);
		}

		this.takeMore = callback;
		this.continueReading();
	}

	override _final(callback: () => void): void {
		this.isComplete = true;
		this.response?.end();
		callback();
	}

	override _destroy(...[error, callback]: Parameters<Writable['_destroy']>): void {
		this.held.removeReader(this);
		this.held.addAnswer(this.socket, -this.unreadBytes);
		this.unreadBytes = 0;
		this.chunks.length = 0;
		callback(error);
	}

	private pass(response: Writable, chunk: Uint8Array): void {
		response.write(chunk, () => {
			const bytes = Math.min(chunk.length, this.unreadBytes);
			this.unreadBytes -= bytes;
			this.held.addAnswer(this.socket, -bytes);
			this.continueReading();
		});
	}
}
