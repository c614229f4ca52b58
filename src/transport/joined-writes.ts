/**
 * Writes of a streamed answer.
 */
import type {Writable} from 'node:stream';
import {ByteBlocks, largePieceBytes} from '../model/byte-blocks.js';

/**
 * Joins the pieces of an answer to blocks before they are written, because each write costs some hundred bytes of heap until its
 * reader has taken it. A smaller block is written at the end of the turn of the event loop, unless an earlier write is on its way.
 */
export class JoinedWrites {
	private readonly waiting = new ByteBlocks();
	private isScheduled = false;
	private isEnded = false;

	private readonly onWritten: () => void;

	constructor(private readonly sink: Writable) {
		this.onWritten = () => {
			this.schedule();
		};

		sink.on('drain', this.onWritten);
	}

	/** Returns false if the sink takes no more until its next `drain` event. */
	write(piece: Uint8Array): boolean {
		if (piece.length >= largePieceBytes && this.waiting.byteLength === 0 && !this.sink.writableNeedDrain) {
			return this.sink.write(piece, this.onWritten);
		}

		this.waiting.add(piece);
		this.writeBlocks();
		this.schedule();
		return !this.sink.writableNeedDrain;
	}

	/** Ends the sink behind all pieces. */
	end(): void {
		this.isEnded = true;
		while (this.waiting.byteLength > 0 && !this.sink.destroyed) {
			this.sink.write(this.waiting.take());
		}

		this.sink.end();
	}

	private writeBlocks(): void {
		while (this.waiting.hasWholeBlock && this.isOpen && !this.sink.writableNeedDrain) {
			this.writeBlock();
		}
	}

	private writeBlock(): void {
		this.sink.write(this.waiting.take(), this.onWritten);
	}

	private schedule(): void {
		if (this.isScheduled || this.waiting.byteLength === 0 || !this.isOpen) {
			return;
		}

		this.isScheduled = true;
		setImmediate(() => {
			this.isScheduled = false;
			this.writeBlocks();
			if (this.waiting.byteLength > 0 && this.sink.writableLength === 0 && this.isOpen) {
				this.writeBlock();
			}
		});
	}

	private get isOpen(): boolean {
		return !this.isEnded && !this.sink.destroyed && !this.sink.writableEnded;
	}
}
