/**
 * Bodies of callers' requests: small ones are read whole, large ones are streamed.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Transform, type Readable, type TransformCallback} from 'node:stream';
import {BadRequestError, LimitExceededError, LimitName} from '../model/errors.js';

/** Largest body that is read whole, so that it can be sent again, in bytes. */
const bufferedBytes = 65_536;

/**
 * Opens the body of a request. A stream that is returned fails with a `BadRequestError`, which `errored` keeps.
 *
 * @throws {BadRequestError} if the declared or read length is above the limit, or the caller breaks off
 */
export async function openBody(request: IncomingMessage, maxBodyBytes: number): Promise<Uint8Array | Readable | undefined> {
	const declared = request.headers['content-length'];
	if (declared === undefined && request.headers['transfer-encoding'] === undefined) {
		return undefined;
	}

	if (Number(declared ?? 0) > maxBodyBytes) {
		throw tooLarge(maxBodyBytes);
	}

	if (Number(declared ?? 0) > bufferedBytes) {
		return stream(request, maxBodyBytes, []);
	}

	const {chunks, isWhole} = await readStart(request);
	return isWhole ? Buffer.concat(chunks) : stream(request, maxBodyBytes, chunks);
}

/** Passes bytes on up to a limit; beyond it the exchange fails. */
class BodyLimit extends Transform {
	private passed = 0;

	constructor(private readonly maxBytes: number) {
		super();
		// Readers look at `errored`; an event without a listener would end the process.
		this.on('error', () => {
			this.unpipe();
		});
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

function stream(request: IncomingMessage, maxBodyBytes: number, start: readonly Uint8Array[]): Readable {
	const limited = new BodyLimit(maxBodyBytes);
	for (const chunk of start) {
		limited.write(chunk);
	}

	request.once('close', () => {
		if (!request.complete) {
			limited.destroy(brokenOff());
		}
	});
	return request.pipe(limited);
}

/** Reads a body to its end, or until it is too large to be kept. */
async function readStart(request: IncomingMessage): Promise<{chunks: Uint8Array[]; isWhole: boolean}> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		const settle = (isWhole: boolean): void => {
			request.pause();
			request.off('data', onData);
			request.off('end', onEnd);
			request.off('close', onClose);
			resolve({chunks, isWhole});
		};

		const onData = (chunk: Uint8Array): void => {
			chunks.push(chunk);
			bytes += chunk.length;
			if (bytes > bufferedBytes) {
				settle(false);
			}
		};

		const onEnd = (): void => {
			settle(true);
		};

		const onClose = (): void => {
			reject(brokenOff());
		};

		request.on('data', onData);
		request.once('end', onEnd);
		request.once('close', onClose);
	});
}

function brokenOff(): BadRequestError {
	return new BadRequestError('The caller broke off the body.');
}

function tooLarge(maxBytes: number): LimitExceededError {
	return new LimitExceededError(LimitName.BodyBytes, maxBytes);
}
