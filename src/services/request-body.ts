/**
 * Bodies of callers' requests: small bodies are buffered, large ones are streamed.
 */
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {blockBytes} from '../model/byte-blocks.js';
import {ByteBuffer} from '../model/byte-buffer.js';
import {Cancellation} from '../model/cancellation.js';
import {BadRequestError, LimitExceededError, LimitName} from '../model/errors.js';
import type {HeldBytes} from './held-bytes.js';

/** Largest body that is buffered, in bytes. A request with a buffered body can be retried. */
const maxBufferedBytes = 65_536;

/** Memory for a body that its caller sends faster than the server reads it, in bytes. */
const readAheadBytes = 1_048_576;

/** Memory for all such bodies, in bytes; a tenth of the memory of a small VM. Further ones are read ahead less far. */
const maxReservedBytes = 33_554_432;

/** Ends a body whose rest will not be read. */
export class BodyFailure extends Cancellation {
	/** Why; set once the body has failed. */
	error: BadRequestError | undefined;

	fail(error: BadRequestError): void {
		this.error ??= error;
		this.cancel();
	}
}

/** What bounds a body. */
export type BodyOptions = {
	maxBytes: number;
	held: HeldBytes;
	failure: BodyFailure;
};

/**
 * Returns the body of a request: the bytes of a small one, a stream of a large one, undefined if there is none.
 * A stream that fails has its `BadRequestError` in `errored`.
 *
 * @throws {BadRequestError} if the declared or read length is above the limit, the caller aborts the body or does not send it in time
 */
export async function openBody(request: IncomingMessage, {maxBytes, held, failure}: BodyOptions): Promise<Uint8Array | Readable | undefined> {
	const declared = request.headers['content-length'];
	if (declared === undefined && request.headers['transfer-encoding'] === undefined) {
		return undefined;
	}

	if (Number(declared ?? 0) > maxBytes) {
		throw bodyTooLarge(maxBytes);
	}

	if (Number(declared ?? 0) > maxBufferedBytes) {
		return new CallerBody(request, {maxBytes, held, failure}, new Uint8Array(0));
	}

	const {bytes, isWhole} = await readStart(request, {held, failure});
	return isWhole ? bytes : new CallerBody(request, {maxBytes, held, failure}, bytes);
}

/** Ends the use of a body. What is left of it is discarded, so that its connection is read on. */
export function discardBody(body: Uint8Array | Readable | undefined, held: HeldBytes): void {
	if (body instanceof Readable) {
		body.destroy();
		return;
	}

	held.addBody(-(body?.length ?? 0));
}

/** Memory for bodies that callers send faster than servers read them, shared by all requests of the process. */
class ReadAheadMemory {
	private reservedBytes = 0;

	/** Reserves memory for one body; returns its size in bytes. */
	reserve(): number {
		if (this.reservedBytes + readAheadBytes > maxReservedBytes) {
			return maxBufferedBytes;
		}

		this.reservedBytes += readAheadBytes;
		return readAheadBytes;
	}

	release(bytes: number): void {
		this.reservedBytes -= bytes === readAheadBytes ? bytes : 0;
	}
}

const readAheadMemory = new ReadAheadMemory();

/**
 * A body that is too large to be buffered. It fails once it exceeds a limit. It is read ahead of its reader, because the end of
 * the caller's connection is noticed only once all bytes before it have been read.
 */
class CallerBody extends Readable {
	private readonly capacity = readAheadMemory.reserve();
	private readonly waiting = new ByteBuffer(this.capacity);
	private receivedBytes = 0;
	/** Bytes that are counted as held: those that no reader has taken. */
	private heldBytes = 0;
	/** True while the reader takes more. */
	private isWanted = false;
	private hasEnded = false;
	private isPassScheduled = false;
	/** Set once the limit is exceeded; the reader gets it after the bytes before it. */
	private failure: BadRequestError | undefined;

	private readonly onData: (chunk: Uint8Array) => void;
	private readonly onEnd: () => void;
	private readonly onFailure: () => void;

	constructor(private readonly request: IncomingMessage, private readonly options: BodyOptions, start: Uint8Array) {
		super();
		this.onData = chunk => {
			this.receive(chunk);
		};

		this.onEnd = () => {
			this.hasEnded = true;
			this.pass();
		};

		this.onFailure = () => {
			this.destroy(options.failure.error);
		};

		// Consumers check `errored`. Without a listener, an error event would end the process.
		this.on('error', () => undefined);
		request.once('close', () => {
			if (!request.complete) {
				this.destroy(bodyAborted());
			}
		});
		request.on('data', this.onData);
		request.once('end', this.onEnd);
		options.failure.subscribe(this.onFailure);
		this.receive(start);
	}

	override _read(): void {
		this.isWanted = true;
		this.pass();
	}

	override _destroy(...[error, callback]: Parameters<Readable['_destroy']>): void {
		readAheadMemory.release(this.capacity);
		this.options.failure.unsubscribe(this.onFailure);
		this.waiting.take();
		this.countHeld(0);
		this.discardRest();
		callback(error);
	}

	private receive(chunk: Uint8Array): void {
		this.receivedBytes += chunk.length;
		const {maxBytes} = this.options;
		if (this.receivedBytes > maxBytes) {
			this.failure = bodyTooLarge(maxBytes);
			this.discardRest();
		} else {
			this.waiting.add(chunk);
		}

		if (this.failure !== undefined || this.waiting.byteLength >= blockBytes) {
			this.pass();
			return;
		}

		this.schedulePass();
	}

	/** Joins the chunks of a turn of the event loop: each of those that are passed on takes some hundred bytes until it is sent. */
	private schedulePass(): void {
		if (this.isPassScheduled) {
			return;
		}

		this.isPassScheduled = true;
		setImmediate(() => {
			this.isPassScheduled = false;
			if (!this.destroyed) {
				this.pass();
			}
		});
	}

	/** Passes on what was received if the reader takes it, and reads on as far as there is memory. */
	private pass(): void {
		if (this.isWanted && this.waiting.byteLength > 0) {
			this.isWanted = this.push(this.waiting.take());
		}

		this.countHeld(this.waiting.byteLength + this.readableLength);

		if (this.failure && this.isWanted) {
			this.destroy(this.failure);
			return;
		}

		if (this.hasEnded && this.waiting.byteLength === 0) {
			this.push(null);
			return;
		}

		if (this.waiting.byteLength >= this.capacity) {
			this.request.pause();
		} else if (this.request.isPaused()) {
			this.request.resume();
		}
	}

	private countHeld(bytes: number): void {
		this.options.held.addBody(bytes - this.heldBytes);
		this.heldBytes = bytes;
	}

	private discardRest(): void {
		this.request.off('data', this.onData);
		this.request.off('end', this.onEnd);
		this.request.resume();
	}
}

/** Reads a body to its end, or until it is too large to be buffered. */
async function readStart(request: IncomingMessage, {held, failure}: Pick<BodyOptions, 'held' | 'failure'>): Promise<{bytes: Uint8Array; isWhole: boolean}> {
	return new Promise((resolve, reject) => {
		const received = new ByteBuffer();
		const stopReading = (): void => {
			request.pause();
			request.off('data', onData);
			request.off('end', onEnd);
			request.off('close', onClose);
			failure.unsubscribe(onFailure);
		};

		const finish = (isWhole: boolean): void => {
			stopReading();
			if (!isWhole) {
				held.addBody(-received.byteLength);
			}

			resolve({bytes: received.take(), isWhole});
		};

		const onData = (chunk: Uint8Array): void => {
			received.add(chunk);
			held.addBody(chunk.length);
			if (received.byteLength > maxBufferedBytes) {
				finish(false);
			}
		};

		const onEnd = (): void => {
			finish(true);
		};

		const abort = (error: BadRequestError): void => {
			stopReading();
			held.addBody(-received.byteLength);
			reject(error);
		};

		const onClose = (): void => {
			abort(bodyAborted());
		};

		const onFailure = (): void => {
			abort(failure.error ?? bodyAborted());
		};

		request.on('data', onData);
		request.once('end', onEnd);
		request.once('close', onClose);
		failure.subscribe(onFailure);
	});
}

function bodyAborted(): BadRequestError {
	return new BadRequestError('The caller closed the connection before the whole body arrived.');
}

function bodyTooLarge(maxBytes: number): LimitExceededError {
	return new LimitExceededError(LimitName.BodyBytes, maxBytes);
}
