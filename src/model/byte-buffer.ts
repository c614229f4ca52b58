/**
 * Bytes that arrive in chunks of any size.
 */
import {Buffer} from 'node:buffer';

/**
 * Collects chunks in one block of memory. A list of chunks would take many times their size if each of them has a few bytes only.
 */
export class ByteBuffer {
	private block: Uint8Array = new Uint8Array(0);
	private length = 0;

	/** @param usualLimit number of bytes beyond which no memory is allocated in advance */
	constructor(private readonly usualLimit = Infinity) {}

	get byteLength(): number {
		return this.length;
	}

	add(chunk: Uint8Array): void {
		if (this.length === 0) {
			// Most answers consist of one chunk, which need not be copied.
			this.block = chunk;
			this.length = chunk.length;
			return;
		}

		const length = this.length + chunk.length;
		if (length > this.block.length) {
			const block = Buffer.allocUnsafeSlow(Math.max(length, Math.min(2 * this.length, this.usualLimit)));
			block.set(this.block.subarray(0, this.length));
			this.block = block;
		}

		this.block.set(chunk, this.length);
		this.length = length;
	}

	/** Returns the collected bytes and removes them. */
	take(): Uint8Array {
		const {buffer, byteOffset} = this.block;
		const bytes = Buffer.from(buffer, byteOffset, this.length);
		this.block = new Uint8Array(0);
		this.length = 0;
		return bytes;
	}
}
