/**
 * One HTTP exchange of a request and its answer with a server.
 */
import {PassThrough, Readable} from 'node:stream';
import type {Dispatcher, Pool} from 'undici';
import {NotRunError, NotRunReason} from '../model/errors.js';
import {
	ContractHeader, forwardedHeaders, notRunOutcome, unknownOutcome,
} from '../model/headers.js';
import {
	AttemptEnd, type Attempt, type AttemptResult, type RoutedRequest,
} from '../model/request.js';
import {isValidStatus} from '../transport/answer-status.js';
import {JoinedWrites} from '../transport/joined-writes.js';
import {ProvisionalAnswers} from '../transport/provisional-answers.js';

/** Error codes of connections that the server's VM refused or reset. */
const refusedErrorCodes = new Set(['ECONNREFUSED', 'ECONNRESET', 'UND_ERR_SOCKET']);

const secondMs = 1000;

/** Maximum size of the body of a refusal, in bytes. It is read only so that the connection can be reused. */
const maxRefusalBodyBytes = 16_384;

/** Delay until a retry after a refusal that names none, in milliseconds. */
const defaultRetryAfterMs = 1000;

/** State of an exchange. */
enum ExchangeState {
	/** No byte of the request was written. */
	Waiting = 'waiting',
	/** Bytes of the request may have reached the server. */
	Written = 'written',
	/** The server answered that it did not run the request. */
	Refused = 'refused',
	/** The answer is being forwarded to the caller. */
	Answering = 'answering',
	Ended = 'ended',
}

/**
 * Sends a request at most once. The guard runs in the same turn of the event loop in which the first byte is written.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
	private state = ExchangeState.Waiting;
	private controller: Dispatcher.DispatchController | undefined;
	private status = 0;
	private refusal: {reason: NotRunReason; retryAfterMs: number} | undefined;
	private refusalBytes = 0;
	private readonly provisionalAnswers = new ProvisionalAnswers();
	private answerWrites: JoinedWrites | undefined;
	private requestBody: PassThrough | undefined;
	private timer: NodeJS.Timeout | undefined;
	private resolve: ((result: AttemptResult) => void) | undefined;

	private readonly onCancelled: () => void;

	constructor(private readonly request: RoutedRequest, private readonly attempt: Attempt) {
		this.onCancelled = () => {
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
			attempt.cancellation.subscribe(this.onCancelled);
			if (attempt.cancellation.isCancelled) {
				this.onCancelled();
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
			// Prevents undici from sending the request a second time.
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
		if (this.state !== ExchangeState.Written) {
			return;
		}

		if (!isValidStatus(status)) {
			this.cancel(`status ${status} is not valid`);
			return;
		}

		if (this.provisionalAnswers.isExceededBy(status)) {
			this.cancel('too many provisional answers');
			return;
		}

		if (status < 200) {
			return;
		}

		this.status = status;
		if (headers[ContractHeader.Outcome] === notRunOutcome) {
			this.state = ExchangeState.Refused;
			this.refusal = {reason: refusalReason(headers), retryAfterMs: retryAfterMsOf(headers)};
			return;
		}

		if (headers[ContractHeader.Outcome] === unknownOutcome) {
			// The request went through another daemon, which does not know the outcome. The state Written makes the result ambiguous.
			return;
		}

		this.state = ExchangeState.Answering;
		const sink = this.request.responder.start(status, forwardedHeaders(headers));
		this.answerWrites = new JoinedWrites(sink);
		sink.on('drain', () => {
			controller.resume();
		});
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.state === ExchangeState.Answering) {
			if (this.answerWrites?.write(chunk) === false) {
				controller.pause();
			}

			return;
		}

		this.refusalBytes += chunk.length;
		if (this.state !== ExchangeState.Ended && this.refusalBytes > maxRefusalBodyBytes) {
			this.cancel('the body of the refusal is too large');
		}
	}

	onResponseEnd(): void {
		if (this.state === ExchangeState.Refused) {
			this.finish({end: AttemptEnd.NotRun, ...this.refusal});
			return;
		}

		if (this.state === ExchangeState.Written) {
			this.finish({end: AttemptEnd.Ambiguous, detail: 'the outcome is unknown to the daemon that received the forwarded request'});
			return;
		}

		this.answerWrites?.end();
		this.finish({end: AttemptEnd.Completed, status: this.status});
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		const {code = error.message} = error as Error & {code?: string};
		const refused = refusedErrorCodes.has(code);
		this.fail(code, refused);
	}

	private cancel(detail: string): void {
		const error = new NotRunError(NotRunReason.Cancelled);
		// The result is set first: undici reports the abort in a later turn, or not at all while it is connecting.
		const {controller} = this;
		this.fail(detail, false);
		controller?.abort(error);
	}

	private fail(detail: string, refused: boolean): void {
		if (this.state === ExchangeState.Ended) {
			// The exchange has already ended, so a late failure is ignored.
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
		this.attempt.cancellation.unsubscribe(this.onCancelled);
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

	/** Undici destroys the body of an aborted request. A separate stream keeps the caller's body usable for another attempt. */
	private openBody(): Uint8Array | Readable | undefined {
		if (!(this.request.body instanceof Readable)) {
			return this.request.body;
		}

		this.requestBody = new PassThrough();
		return this.requestBody;
	}
}

/** The delay that the server names, in milliseconds; a default if it names none, or a date, which callers of this interface never get. */
function retryAfterMsOf(headers: Record<string, string | string[] | undefined>): number {
	const seconds = Number(headers['retry-after'] ?? Number.NaN);
	return Number.isFinite(seconds) && seconds >= 0 ? seconds * secondMs : defaultRetryAfterMs;
}

function refusalReason(headers: Record<string, string | string[] | undefined>): NotRunReason {
	return headers[ContractHeader.Reason] === 'fenced' ? NotRunReason.Fenced : NotRunReason.Shed;
}
