/**
 * One try of a caller's request at a target.
 */
import {Buffer} from 'node:buffer';
import {PassThrough, Readable, type Writable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {
	AttemptEnd, type AnswerHead, type Attempt, type AttemptResult, type CallerRequest, type HeaderList,
} from '../model/forwarding.js';
import type {ConnectionPool} from './connection-pool.js';
import type {HttpConnection} from './http-connection.js';

/** Answers up to this size are held until they are whole, so that a failed try can be repeated; in bytes. */
const heldAnswerBytes = 262_144;

/** Body of a refusal that is read so that its connection can be kept, in bytes; the headers alone say what it means. */
const refusalBodyBytes = 16_384;

/** Time for opening a connection, in milliseconds; it takes a few, and a lost opening packet is sent again only after a second. */
const connectMs = 300;

/** What the first line and headers of an answer mean. */
export enum AnswerMeaning {
	/** The target's answer to this request. */
	Answer = 'answer',
	NotRun = 'not_run',
	Misdirected = 'misdirected',
	/** The answer belongs to another request, or is none. */
	Foreign = 'foreign',
}

/** The headers that daemons and targets agree on; an adapter supplies them. */
export type TargetProtocol = {
	requestHeaders(request: CallerRequest, attempt: Attempt): HeaderList;
	meaningOf(request: CallerRequest, status: number, headers: AnswerHead['headers']): AnswerMeaning;
	/** Headers of an answer that pass on to the caller. */
	answerHeaders(headers: AnswerHead['headers']): AnswerHead['headers'];
};

/** Runs one exchange and settles once. */
export class TargetExchange implements Dispatcher.DispatchHandler {
	private readonly connection: HttpConnection;
	private wasSent = false;
	private isSettled = false;
	private meaning = AnswerMeaning.Foreign;
	private head: AnswerHead | undefined;
	private readonly chunks: Uint8Array[] = [];
	private heldBytes = 0;
	private sink: Writable | undefined;
	private requestBody: PassThrough | undefined;
	private timer: NodeJS.Timeout | undefined;
	private connectTimer: NodeJS.Timeout | undefined;
	private resolve: ((result: AttemptResult) => void) | undefined;

	private readonly onCancel: () => void;
	private readonly onBodyError: () => void;

	constructor(
		private readonly pool: ConnectionPool,
		private readonly protocol: TargetProtocol,
		private readonly request: CallerRequest,
		private readonly attempt: Attempt,
	) {
		this.connection = pool.take(attempt.target.address);
		this.onCancel = () => {
			this.fail('cancelled');
		};

		this.onBodyError = () => {
			this.fail('the body of the request broke off');
		};
	}

	async run(): Promise<AttemptResult> {
		const {request, attempt} = this;
		return new Promise<AttemptResult>(resolve => {
			this.resolve = resolve;
			this.timer = setTimeout(() => {
				this.fail('no answer in time', true);
			}, attempt.timeoutMs);
			this.connectTimer = setTimeout(() => {
				if (!this.wasSent) {
					this.fail('no connection in time');
				}
			}, connectMs);
			attempt.cancellation.subscribe(this.onCancel);
			if (attempt.cancellation.isCancelled) {
				this.onCancel();
				return;
			}

			this.connection.dispatch({
				method: request.method,
				path: request.path,
				headers: this.protocol.requestHeaders(request, attempt),
				body: this.openBody(),
				idempotent: false,
			}, this);
		});
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.isSettled || this.wasSent) {
			// The library may neither send a settled request nor send one twice.
			controller.abort(new Error('The exchange has ended.'));
			return;
		}

		if (this.request.cancellation.isCancelled) {
			// The caller left while the connection was opened.
			this.fail('cancelled');
			return;
		}

		this.wasSent = true;
		if (this.requestBody && this.request.body instanceof Readable) {
			this.passBody(this.request.body, this.requestBody);
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: AnswerHead['headers']): void {
		if (this.isSettled || status < 200) {
			return;
		}

		this.meaning = this.protocol.meaningOf(this.request, status, headers);
		this.head = {status, headers: this.protocol.answerHeaders(headers)};
		if (this.meaning === AnswerMeaning.Foreign) {
			this.fail('the answer does not belong to the request');
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.isSettled) {
			return;
		}

		if (this.sink) {
			this.pass(controller, chunk);
			return;
		}

		this.heldBytes += chunk.length;
		if (this.isRefusal) {
			this.limitRefusal();
			return;
		}

		this.chunks.push(chunk);
		if (this.heldBytes > heldAnswerBytes && this.meaning === AnswerMeaning.Answer && this.head) {
			this.sink = this.request.beginStream(this.head);
			this.sink.on('drain', () => {
				controller.resume();
			});
			this.pass(controller, Buffer.concat(this.chunks.splice(0)));
		}
	}

	onResponseEnd(): void {
		if (this.isSettled) {
			return;
		}

		if (this.connection.isBroken) {
			this.fail('the connection was reset before the end of the answer');
			return;
		}

		// The library frees the connection after this callback.
		setImmediate(() => {
			this.pool.giveBack(this.connection, this.attempt.connectionLimit);
		});
		this.settle(this.wholeAnswer());
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this.fail((error as NodeJS.ErrnoException).code ?? error.message);
	}

	private pass(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.sink?.write(chunk) === false) {
			controller.pause();
		}
	}

	private wholeAnswer(): AttemptResult {
		if (this.sink) {
			this.sink.end();
			return {end: AttemptEnd.Streamed, answer: this.head};
		}

		return this.isRefusal ? this.refusal() : {end: AttemptEnd.Answered, answer: this.head, body: Buffer.concat(this.chunks)};
	}

	private get isRefusal(): boolean {
		return this.meaning === AnswerMeaning.NotRun || this.meaning === AnswerMeaning.Misdirected;
	}

	private refusal(): AttemptResult {
		return this.meaning === AnswerMeaning.Misdirected
			? {end: AttemptEnd.Misdirected, answer: this.head}
			: {end: AttemptEnd.Refused, answer: this.head, detail: `status ${this.head?.status}`};
	}

	/** A refusal whose body has no end costs the connection. */
	private limitRefusal(): void {
		if (this.heldBytes > refusalBodyBytes) {
			this.fail('the body of the refusal is too large');
		}
	}

	private passBody(body: Readable, copy: PassThrough): void {
		if (body.errored) {
			this.onBodyError();
			return;
		}

		body.once('error', this.onBodyError);
		body.pipe(copy);
	}

	private fail(detail: string, isTimeout = false): void {
		if (this.isSettled) {
			return;
		}

		this.pool.discard(this.connection);
		if (this.sink) {
			this.request.abortStream();
			this.settle({end: AttemptEnd.Streamed, detail, isTimeout});
			return;
		}

		if (this.isRefusal && this.head) {
			this.settle(this.refusal());
			return;
		}

		this.settle({end: this.wasSent ? AttemptEnd.Ambiguous : AttemptEnd.NotSent, detail, isTimeout});
	}

	private settle(result: AttemptResult): void {
		this.isSettled = true;
		clearTimeout(this.timer);
		clearTimeout(this.connectTimer);
		this.attempt.cancellation.unsubscribe(this.onCancel);
		if (this.request.body instanceof Readable) {
			this.request.body.off('error', this.onBodyError);
		}

		this.resolve?.(result);
	}

	/** The library destroys the body of a failed exchange; a stream of its own keeps the caller's for another try. */
	private openBody(): Uint8Array | Readable | undefined {
		if (!(this.request.body instanceof Readable)) {
			return this.request.body;
		}

		this.requestBody = new PassThrough();
		return this.requestBody;
	}
}
