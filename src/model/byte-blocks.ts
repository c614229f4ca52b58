/**
 * Bytes that wait for a reader that may be slow.
 */
import {ByteBuffer} from './byte-buffer.js';

/** Bytes from which a block is whole. */
export const blockBytes = 16_384;

/** Bytes from which a piece can be passed on by itself; the objects around it take some hundred bytes. */
export const largePieceBytes = 1024;

/**
 * A queue of bytes in blocks. A piece of an answer may have a single byte, and each of them would take some hundred bytes of heap if
 * it waited by itself, and keep all bytes that were received with it, such as chunk extensions.
 */
export class ByteBlocks {
	private readonly wholeBlocks: Uint8Array[] = [];
	private readonly lastBlock = new ByteBuffer(blockBytes);
	private length = 0;

	get byteLength(): number {
		return this.length;
	}

	get hasWholeBlock(): boolean {
		return this.wholeBlocks.length > 0;
	}

	add(piece: Uint8Array): void {
		this.length += piece.length;
		this.lastBlock.add(piece);
		if (this.lastBlock.byteLength >= blockBytes) {
			this.wholeBlocks.push(this.lastBlock.take());
		}
	}

	/** Removes and returns the oldest block, which is smaller than others if it is the last one. */
	take(): Uint8Array {
		const block = this.wholeBlocks.shift() ?? this.lastBlock.take();
		this.length -= block.length;
		return block;
	}

	clear(): void {
		this.wholeBlocks.length = 0;
		this.lastBlock.take();
		this.length = 0;
	}
}
