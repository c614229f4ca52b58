/**
 * Parses answers on a caller's connection.
 */
import {Buffer} from 'node:buffer';

/** A whole answer. */
export type ParsedAnswer = {
	status: number;
	/** Names in lower case. */
	headers: Map<string, string>;
	body: Uint8Array;
};

const headEnd = '\r\n\r\n';
const lineEnd = '\r\n';

/** Collects bytes of a connection and returns whole answers in order. */
export class ResponseParser {
	private bytes = Buffer.alloc(0);
	private readonly chunks: Uint8Array[] = [];
	private receivedCount = 0;
	/** Bytes without which the first answer cannot be whole. */
	private neededCount = 0;

	push(chunk: Uint8Array): ParsedAnswer[] {
		this.chunks.push(chunk);
		this.receivedCount += chunk.length;
		const answers: ParsedAnswer[] = [];
		for (let answer = this.next(); answer; answer = this.next()) {
			answers.push(answer);
		}

		return answers;
	}

	private next(): ParsedAnswer | undefined {
		// Joining for each chunk would take quadratic time on large answers.
		if (this.receivedCount < this.neededCount) {
			return undefined;
		}

		this.collect();
		const end = this.bytes.indexOf(headEnd);
		if (end === -1) {
			return undefined;
		}

		const [statusLine = '', ...lines] = this.bytes.toString('latin1', 0, end).split(lineEnd);
		const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()] as const));
		const start = end + headEnd.length;
		const body = headers.get('transfer-encoding') === 'chunked' ? this.chunkedBody(start) : this.sizedBody(start, Number(headers.get('content-length') ?? 0));
		if (!body) {
			return undefined;
		}

		this.bytes = this.bytes.subarray(body.end);
		this.receivedCount = this.bytes.length;
		this.neededCount = 0;
		return {status: Number(statusLine.split(' ')[1]), headers, body: body.bytes};
	}

	private sizedBody(start: number, size: number): {bytes: Uint8Array; end: number} | undefined {
		this.neededCount = start + size;
		return this.bytes.length < start + size ? undefined : {bytes: this.bytes.subarray(start, start + size), end: start + size};
	}

	private chunkedBody(start: number): {bytes: Uint8Array; end: number} | undefined {
		const parts: Uint8Array[] = [];
		for (let position = start; ;) {
			const sizeEnd = this.bytes.indexOf(lineEnd, position);
			if (sizeEnd === -1) {
				return undefined;
			}

			const size = Number.parseInt(this.bytes.toString('latin1', position, sizeEnd), 16);
			const dataStart = sizeEnd + lineEnd.length;
			const next = dataStart + size + lineEnd.length;
			this.neededCount = next;
			if (this.bytes.length < next) {
				return undefined;
			}

			if (size === 0) {
				return {bytes: Buffer.concat(parts), end: next};
			}

			parts.push(this.bytes.subarray(dataStart, dataStart + size));
			position = next;
		}
	}

	private collect(): void {
		if (this.chunks.length > 0) {
			this.bytes = Buffer.concat([this.bytes, ...this.chunks]);
			this.chunks.length = 0;
		}
	}
}
