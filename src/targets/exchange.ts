/**
 * One exchange of a request and its answer with a server.
 */
import {PassThrough, Readable, type Writable} from 'node:stream';
import type {Dispatcher, Pool} from 'undici';
import {NotRunError, NotRunReason} from '../model/errors.js';
import {
	ContractHeader, forwardedHeaders, notRunOutcome, unknownOutcome,
} from '../model/headers.js';
import {
	AttemptEnd, type Attempt, type AttemptResult, type RoutedRequest,
} from '../model/request.js';

/** Codes of failures in which the server's VM refused or reset the connection. */
const refusedCodes = new Set(['ECONNREFUSED', 'ECONNRESET', 'UND_ERR_SOCKET']);

/** Milliseconds in a second. */
const secondMs = 1000;

/** What the exchange has come to. */
enum ExchangeState {
	/** Nothing was written. */
	Waiting = 'waiting',
	/** Bytes of the request may have reached the server. */
	Written = 'written',
	/** The server said that it did not run the request. */
	Refused = 'refused',
	/** A part of the answer was passed to the caller. */
	Answering = 'answering',
	Ended = 'ended',
}

/**
 * Sends a request once. The guard is asked in the same turn of the event loop in which the first byte is written.
 */
export class Exchange implements Dispatcher.DispatchHandler {
	private state = ExchangeState.Waiting;
	private controller: Dispatcher.DispatchController | undefined;
	private status = 0;
	private refusal: {reason: NotRunReason; retryAfterMs: number} | undefined;
	private sink: Writable | undefined;
	private requestBody: PassThrough | undefined;
	private timer: NodeJS.Timeout | undefined;
	private resolve: ((result: AttemptResult) => void) | undefined;

	private readonly onAbort: () => void;

	constructor(private readonly request: RoutedRequest, private readonly attempt: Attempt) {
		this.onAbort = () => {
			this.cancel('the request was cancelled');
		};
	}

	/** Runs the exchange; never rejects. */
	async run(pool: Pool): Promise<AttemptResult> {
		const {request, attempt} = this;
		return new Promise<AttemptResult>(resolve => {
			this.resolve = resolve;
			this.timer = setTimeout(() => {
				this.cancel('the server did not answer within the deadline');
			}, attempt.timeoutMs);
			attempt.cancellation.subscribe(this.onAbort);
			if (attempt.cancellation.isCancelled) {
				this.onAbort();
				return;
			}

			pool.dispatch({
				path: request.path,
				method: request.method,
				headers: this.requestHeaders(),
				body: this.openBody(),
				idempotent: false,
			}, this);
		});
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.state !== ExchangeState.Waiting) {
			// The library may not send the request a second time.
			controller.abort(new NotRunError(NotRunReason.Cancelled));
			return;
		}

		const reason = this.attempt.guard();
		if (reason) {
			this.refusal = {reason, retryAfterMs: 100};
			controller.abort(new NotRunError(reason));
			return;
		}

		this.controller = controller;
		this.state = ExchangeState.Written;
		if (this.requestBody && this.request.body instanceof Readable) {
			this.request.body.pipe(this.requestBody);
		}
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		if (this.state !== ExchangeState.Written || status < 200) {
			return;
		}

		this.status = status;
		if (headers[ContractHeader.Outcome] === notRunOutcome) {
			this.state = ExchangeState.Refused;
			this.refusal = {reason: refusalReason(headers), retryAfterMs: Number(headers['retry-after'] ?? 1) * secondMs};
			return;
		}

		if (headers[ContractHeader.Outcome] === unknownOutcome) {
			// Another daemon could not tell; the state stays such that the end of its answer is ambiguous.
			return;
		}

		this.state = ExchangeState.Answering;
		this.sink = this.request.responder.start(status, forwardedHeaders(headers));
		this.sink.on('drain', () => {
			controller.resume();
		});
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.state === ExchangeState.Answering && this.sink?.write(chunk) === false) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (this.state === ExchangeState.Refused) {
			this.finish({end: AttemptEnd.NotRun, ...this.refusal});
			return;
		}

		if (this.state === ExchangeState.Written) {
			this.finish({end: AttemptEnd.Ambiguous, detail: 'the outcome is unknown to the daemon that was asked'});
			return;
		}

		this.sink?.end();
		this.finish({end: AttemptEnd.Completed, status: this.status});
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		const {code = error.message} = error as Error & {code?: string};
		const refused = refusedCodes.has(code);
		this.fail(code, refused);
	}

	private cancel(detail: string): void {
		const error = new NotRunError(NotRunReason.Cancelled);
		// The result is settled first: the library reports the abort in a later turn, or never while it connects.
		const {controller} = this;
		this.fail(detail, false);
		controller?.abort(error);
	}

	private fail(detail: string, refused: boolean): void {
		if (this.state === ExchangeState.Ended) {
			// A late answer meets a closed exchange and is dropped.
			return;
		}

		if (this.state === ExchangeState.Answering) {
			this.request.responder.abort();
		}

		this.finish({...this.failure(), refused, detail});
	}

	private failure(): Pick<AttemptResult, 'end' | 'reason' | 'retryAfterMs' | 'status'> {
		if (this.state === ExchangeState.Answering) {
			return {end: AttemptEnd.Truncated, status: this.status};
		}

		if (this.state === ExchangeState.Written) {
			return {end: AttemptEnd.Ambiguous};
		}

		const reason = this.attempt.cancellation.isCancelled ? NotRunReason.Cancelled : NotRunReason.Connect;
		return {end: AttemptEnd.NotRun, reason, ...this.refusal};
	}

	private finish(result: Omit<AttemptResult, 'bodyUsed'>): void {
		if (this.state === ExchangeState.Ended) {
			return;
		}

		const bodyUsed = this.request.body instanceof Readable && this.state !== ExchangeState.Waiting;
		this.state = ExchangeState.Ended;
		clearTimeout(this.timer);
		this.attempt.cancellation.unsubscribe(this.onAbort);
		this.resolve?.({...result, bodyUsed});
	}

	private requestHeaders(): string[] {
		const {request, attempt} = this;
		const headers = [...request.headers, ...attempt.headers, ContractHeader.Service, request.service.name, ContractHeader.StartBy, String(Math.floor(attempt.startByMs))];
		if (attempt.shard !== undefined) {
			headers.push(ContractHeader.Shard, String(attempt.shard), ContractHeader.Epoch, String(attempt.epoch));
		}

		return headers;
	}

	/** The library destroys the body of an aborted request; a stream of its own keeps the caller's for another attempt. */
	private openBody(): Uint8Array | Readable | undefined {
		if (!(this.request.body instanceof Readable)) {
			return this.request.body;
		}

		this.requestBody = new PassThrough();
		return this.requestBody;
	}
}

function refusalReason(headers: Record<string, string | string[] | undefined>): NotRunReason {
	return headers[ContractHeader.Reason] === 'fenced' ? NotRunReason.Fenced : NotRunReason.Shed;
}
