/**
 * Bodies of callers' requests: small bodies are buffered, large ones are streamed.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Transform, type Readable, type TransformCallback} from 'node:stream';
import {BadRequestError, LimitExceededError, LimitName} from '../model/errors.js';

/** Largest body that is buffered, in bytes. A request with a buffered body can be retried. */
const maxBufferedBytes = 65_536;

/**
 * Returns the body of a request: the bytes of a small one, a stream of a large one, undefined if there is none.
 * A stream that fails has its `BadRequestError` in `errored`.
 *
 * @throws {BadRequestError} if the declared or read length is above the limit, or the caller aborts the body
 */
export async function openBody(request: IncomingMessage, maxBodyBytes: number): Promise<Uint8Array | Readable | undefined> {
	const declared = request.headers['content-length'];
	if (declared === undefined && request.headers['transfer-encoding'] === undefined) {
		return undefined;
	}

	if (Number(declared ?? 0) > maxBodyBytes) {
		throw bodyTooLarge(maxBodyBytes);
	}

	if (Number(declared ?? 0) > maxBufferedBytes) {
		return limitStream(request, maxBodyBytes, []);
	}

	const {chunks, isWhole} = await readStart(request);
	return isWhole ? Buffer.concat(chunks) : limitStream(request, maxBodyBytes, chunks);
}

/** Passes a body through and fails once it exceeds a limit. */
class BodyLimiter extends Transform {
	private passedBytes = 0;

	constructor(private readonly maxBytes: number) {
		super();
		// Consumers check `errored`. Without a listener, an error event would end the process.
		this.on('error', () => {
			this.unpipe();
		});
	}

	override _transform(chunk: Uint8Array, _encoding: string, callback: TransformCallback): void {
		this.passedBytes += chunk.length;
		if (this.passedBytes > this.maxBytes) {
			callback(bodyTooLarge(this.maxBytes));
			return;
		}

		this.push(chunk);
		callback();
	}
}

function limitStream(request: IncomingMessage, maxBodyBytes: number, start: readonly Uint8Array[]): Readable {
	const limited = new BodyLimiter(maxBodyBytes);
	for (const chunk of start) {
		limited.write(chunk);
	}

	request.once('close', () => {
		if (!request.complete) {
			limited.destroy(bodyAborted());
		}
	});
	return request.pipe(limited);
}

/** Reads a body to its end, or until it is too large to be buffered. */
async function readStart(request: IncomingMessage): Promise<{chunks: Uint8Array[]; isWhole: boolean}> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		const finish = (isWhole: boolean): void => {
			request.pause();
			request.off('data', onData);
			request.off('end', onEnd);
			request.off('close', onClose);
			resolve({chunks, isWhole});
		};

		const onData = (chunk: Uint8Array): void => {
			chunks.push(chunk);
			bytes += chunk.length;
			if (bytes > maxBufferedBytes) {
				finish(false);
			}
		};

		const onEnd = (): void => {
			finish(true);
		};

		const onClose = (): void => {
			reject(bodyAborted());
		};

		request.on('data', onData);
		request.once('end', onEnd);
		request.once('close', onClose);
	});
}

function bodyAborted(): BadRequestError {
	return new BadRequestError('The caller closed the connection before the whole body arrived.');
}

function bodyTooLarge(maxBytes: number): LimitExceededError {
	return new LimitExceededError(LimitName.BodyBytes, maxBytes);
}
