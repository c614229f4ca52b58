/**
 * Bodies of callers' requests: small ones are read whole, large ones are streamed.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Transform, type Readable, type TransformCallback} from 'node:stream';
import {BadRequestError, ErrorCode} from '../model/errors.js';

/** Largest body that is read whole, so that it can be sent again, in bytes. */
const bufferedBytes = 65_536;

/**
 * Opens the body of a request.
 *
 * @throws {BadRequestError} if the declared or read length is above the limit, or the caller breaks off
 */
export async function openBody(request: IncomingMessage, maxBodyBytes: number): Promise<Uint8Array | Readable | undefined> {
	const declared = request.headers['content-length'];
	if (declared === undefined && request.headers['transfer-encoding'] === undefined) {
		return undefined;
	}

	const length = declared === undefined ? Infinity : Number(declared);
	if (length > maxBodyBytes && declared !== undefined) {
		throw tooLarge(maxBodyBytes);
	}

	if (length <= bufferedBytes) {
		return readWhole(request);
	}

	const limited = new BodyLimit(maxBodyBytes);
	request.on('aborted', () => {
		limited.destroy(new BadRequestError('The caller broke off the body.'));
	});
	return request.pipe(limited);
}

/** Passes bytes on up to a limit; beyond it the exchange fails. */
class BodyLimit extends Transform {
	private passed = 0;

	constructor(private readonly maxBytes: number) {
		super();
	}

	override _transform(chunk: Uint8Array, _encoding: string, callback: TransformCallback): void {
		this.passed += chunk.length;
		if (this.passed > this.maxBytes) {
			callback(tooLarge(this.maxBytes));
			return;
		}

		this.push(chunk);
		callback();
	}
}

async function readWhole(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of request) {
			chunks.push(chunk as Uint8Array);
		}
	} catch {
		throw new BadRequestError('The caller broke off the body.');
	}

	return Buffer.concat(chunks);
}

function tooLarge(maxBytes: number): BadRequestError {
	return new BadRequestError(`The body is larger than ${maxBytes} bytes.`, 413, ErrorCode.BodyTooLarge);
}
