/**
 * A streamed answer that is read from its target faster than its caller reads it.
 */
import type {Socket} from 'node:net';
import {Writable} from 'node:stream';
import {ByteBlocks, largePieceBytes} from '../model/byte-blocks.js';
import type {HeldBytes, PausedReader} from './held-bytes.js';

/** Bytes of one answer that are held in any case; the usual buffer of a connection. */
const ownBytes = 65_536;

/** Bytes of one answer that are passed on to its connection at a time; twice what the connection buffers. */
const passedBytesLimit = 131_072;

/** Takes an answer as long as there is memory for it, so that its target does not have to wait. */
export class HeldStream extends Writable implements PausedReader {
	private response: Writable | undefined;
	/** Bytes that arrived before the answer was the next one on its connection, or while earlier ones were on their way. */
	private readonly waiting = new ByteBlocks();
	/** Bytes that were passed on and that the kernel has not taken. */
	private passedBytes = 0;
	private takeMore: (() => void) | undefined;
	private isComplete = false;

	constructor(private readonly held: HeldBytes, readonly socket: Socket) {
		// It is destroyed with the response: until then, it holds bytes that the caller has not read.
		super({highWaterMark: ownBytes, autoDestroy: false});
	}

	/** Bytes that the kernel has not taken. */
	get unreadLength(): number {
		return this.waiting.byteLength + this.passedBytes;
	}

	/** Called once the answer is the next one on its connection. */
	open(response: Writable): void {
		this.response = response;
		response.once('close', () => {
			this.destroy();
		});
		this.passOn();
	}

	continueReading(): void {
		if (!this.takeMore) {
			return;
		}

		if (this.unreadLength >= ownBytes && !this.held.hasReadAheadRoom) {
			this.held.pause(this);
			return;
		}

		const {takeMore} = this;
		this.takeMore = undefined;
		this.held.removeReader(this);
		takeMore();
	}

	override _write(chunk: Uint8Array, _encoding: unknown, callback: () => void): void {
		this.held.addAnswer(this.socket, chunk.length);
		this.takeMore = callback;
		if (this.response && this.waiting.byteLength === 0 && chunk.length >= largePieceBytes && this.passedBytes < passedBytesLimit) {
			this.pass(this.response, chunk);
		} else {
			this.waiting.add(chunk);
			this.passOn();
		}

		this.continueReading();
	}

	override _final(callback: () => void): void {
		this.isComplete = true;
		this.passOn();
		callback();
	}

	override _destroy(...[error, callback]: Parameters<Writable['_destroy']>): void {
		this.held.removeReader(this);
		this.held.addAnswer(this.socket, -this.unreadLength);
		this.passedBytes = 0;
		this.waiting.clear();
		callback(error);
	}

	/** Passes on whole blocks as the connection takes them, and a smaller one only if nothing else is on its way. */
	private passOn(): void {
		const {response, waiting} = this;
		if (!response || this.destroyed) {
			return;
		}

		while (waiting.byteLength > 0 && this.passedBytes < passedBytesLimit && (waiting.hasWholeBlock || this.passedBytes === 0)) {
			this.pass(response, waiting.take());
		}

		if (this.isComplete && waiting.byteLength === 0 && !response.writableEnded) {
			response.end();
		}
	}

	private pass(response: Writable, block: Uint8Array): void {
		this.passedBytes += block.length;
		response.write(block, () => {
			const bytes = Math.min(block.length, this.passedBytes);
			this.passedBytes -= bytes;
			this.held.addAnswer(this.socket, -bytes);
			this.passOn();
			this.continueReading();
		});
	}
}
