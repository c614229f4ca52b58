/**
 * One attempt to run a caller's request on a target.
 */
import {PassThrough, Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {ByteBuffer} from '../model/byte-buffer.js';
import {
	AttemptEnd, type AnswerHead, type Attempt, type AttemptResult, type CallerRequest, type HeaderList,
} from '../model/forwarding.js';
import type {TargetStatement} from '../model/target-statement.js';
import {isValidStatus} from './answer-status.js';
import type {ConnectionPool} from './connection-pool.js';
import type {HttpConnection} from './http-connection.js';
import {JoinedWrites} from './joined-writes.js';
import {ProvisionalAnswers} from './provisional-answers.js';

/** Answers up to this size are buffered until complete, so that the request can be retried if they fail; in bytes. */
const maxBufferedAnswerBytes = 262_144;

/** Maximum size of a body that is not forwarded, in bytes. It is read only so that the connection can be reused. */
const maxDiscardedBodyBytes = 16_384;

/** Timeout for a body that is not forwarded, in milliseconds; its request waits for it, and a new connection costs less than a longer wait. */
const discardedBodyTimeoutMs = 100;

/** Timeout for opening a connection, in milliseconds. It usually takes a few; a lost SYN is retransmitted only after a second. */
const connectTimeoutMs = 300;

/** Classification of an answer by its status and headers. */
export enum AnswerKind {
	/** The target's answer to this request. */
	Answer = 'answer',
	NotRun = 'not_run',
	Misdirected = 'misdirected',
	/** The target's answer, whose status would tell the caller that the request did not run although it may have. */
	UnprovedRefusal = 'unproved_refusal',
	/** The answer says both that the target ran the request and that it did not. */
	Contradictory = 'contradictory',
	/** A peer that the request was relayed to does not know whether it ran. */
	Unknown = 'unknown',
	/** The answer does not belong to the request, or did not come from the target. */
	Unrelated = 'foreign',
}

/** Results of exchanges that the head of the answer decides. */
const refusalEnds = new Map([
	[AnswerKind.NotRun, AttemptEnd.Refused],
	[AnswerKind.Misdirected, AttemptEnd.Misdirected],
	[AnswerKind.UnprovedRefusal, AttemptEnd.UnprovedRefusal],
]);

/** Why answers of these kinds tell nothing about the request. */
const answerFailures = new Map([
	[AnswerKind.Unrelated, 'the answer does not belong to the request'],
	[AnswerKind.Contradictory, 'the answer says both that the request ran and that it did not'],
	[AnswerKind.Unknown, 'the peer does not know whether the request ran'],
]);

/** Headers between daemons and targets, implemented by an adapter. */
export type TargetProtocol = {
	requestHeaders(request: CallerRequest, attempt: Attempt): HeaderList;
	classify(request: CallerRequest, attempt: Pick<Attempt, 'isIdempotent'>, status: number, headers: AnswerHead['headers']): AnswerKind;
	/** What the answer says about the target; undefined if it may come from another target. */
	statement(kind: AnswerKind, attempt: Attempt, status: number, headers: AnswerHead['headers']): TargetStatement | undefined;
	/** What is forwarded of the head of an answer. */
	answerHead(status: number, headers: AnswerHead['headers']): AnswerHead;
};

/** Runs one exchange; its result is set once. */
export class TargetExchange implements Dispatcher.DispatchHandler {
	private readonly connection: HttpConnection;
	private readonly isNewConnection: boolean;
	private wasSent = false;
	private isSettled = false;
	private kind = AnswerKind.Unrelated;
	private head: AnswerHead | undefined;
	private readonly body = new ByteBuffer(maxBufferedAnswerBytes);
	private discardedBytes = 0;
	private readonly provisionalAnswers = new ProvisionalAnswers();
	private answerWrites: JoinedWrites | undefined;
	private requestBody: PassThrough | undefined;
	private timer: NodeJS.Timeout | undefined;
	private connectTimer: NodeJS.Timeout | undefined;
	private discardTimer: NodeJS.Timeout | undefined;
	private resolve: ((result: AttemptResult) => void) | undefined;

	private readonly onCancel: () => void;
	private readonly onEnding: () => void;
	private readonly onBodyError: () => void;

	constructor(
		private readonly pool: ConnectionPool,
		private readonly protocol: TargetProtocol,
		private readonly request: CallerRequest,
		private readonly attempt: Attempt,
	) {
		this.connection = pool.acquire(attempt.target.address, request.requestId);
		this.isNewConnection = this.connection.isNew;
		this.onCancel = () => {
			this.fail('cancelled');
		};

		this.onEnding = () => {
			if (!this.answerWrites) {
				this.fail('the daemon stops');
			}
		};

		this.onBodyError = () => {
			this.fail('the request body was incomplete');
		};
	}

	async run(): Promise<AttemptResult> {
		const {request, attempt} = this;
		return new Promise<AttemptResult>(resolve => {
			this.resolve = resolve;
			this.timer = setTimeout(() => {
				this.onTimeout();
			}, attempt.timeoutMs);
			this.connectTimer = setTimeout(() => {
				if (!this.wasSent) {
					this.fail('no connection in time');
				}
			}, connectTimeoutMs);
			attempt.cancellation.subscribe(this.onCancel);
			attempt.ending?.subscribe(this.onEnding);
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
			// Prevents undici from sending a request that has already ended, or from sending it again.
			controller.abort(new Error('The exchange has ended.'));
			return;
		}

		if (this.request.cancellation.isCancelled) {
			// The caller disconnected while the connection was being opened.
			this.fail('cancelled');
			return;
		}

		if (this.attempt.mayBeSent?.() === false) {
			this.fail('no longer to be sent when the connection was open');
			return;
		}

		this.wasSent = true;
		if (this.requestBody && this.request.body instanceof Readable) {
			this.pipeBody(this.request.body, this.requestBody);
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: AnswerHead['headers']): void {
		if (this.isSettled) {
			return;
		}

		if (!isValidStatus(status)) {
			this.fail(`status ${status} is not valid`);
			return;
		}

		if (this.provisionalAnswers.isExceededBy(status)) {
			this.fail('too many provisional answers');
			return;
		}

		if (status < 200) {
			return;
		}

		this.kind = this.protocol.classify(this.request, this.attempt, status, headers);
		this.head = this.protocol.answerHead(status, headers);
		const statement = this.protocol.statement(this.kind, this.attempt, status, headers);
		if (statement) {
			this.attempt.onStatement(statement);
		}

		const failure = answerFailures.get(this.kind);
		if (failure !== undefined) {
			this.fail(failure);
			return;
		}

		if (this.isRefusal) {
			this.discardTimer = setTimeout(() => {
				this.fail('the body that is not forwarded is late');
			}, discardedBodyTimeoutMs);
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.isSettled) {
			return;
		}

		if (this.answerWrites) {
			this.writeToCaller(controller, chunk);
			return;
		}

		if (this.isRefusal) {
			this.discardedBytes += chunk.length;
			this.enforceDiscardLimit();
			return;
		}

		this.body.add(chunk);
		if (this.body.byteLength > maxBufferedAnswerBytes && this.kind === AnswerKind.Answer && this.head) {
			const sink = this.request.beginStream(this.head);
			this.answerWrites = new JoinedWrites(sink);
			sink.on('drain', () => {
				controller.resume();
			});
			this.writeToCaller(controller, this.body.take());
		}
	}

	onResponseEnd(): void {
		if (this.isSettled) {
			return;
		}

		if (!this.head) {
			this.fail('the connection ended before the final answer');
			return;
		}

		if (this.connection.isBroken) {
			this.fail('the connection was reset before the end of the answer');
			return;
		}

		if (this.isRefusal) {
			this.connection.recordRefusal(this.request.requestId);
		}

		// Undici marks the connection as free only after this callback.
		setImmediate(() => {
			this.pool.release(this.connection, this.attempt.connectionLimit);
		});
		this.settle(this.finishAnswer());
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this.fail((error as NodeJS.ErrnoException).code ?? error.message);
	}

	/** An answer that has begun is not broken off before the deadline. */
	private onTimeout(): void {
		const {budgetMs, timeoutMs, mayGiveUp} = this.attempt;
		const leftMs = budgetMs - timeoutMs;
		if (leftMs <= 0 || !mayGiveUp) {
			this.fail('no answer in time', {isTimeout: true});
			return;
		}

		this.timer = setTimeout(() => {
			this.fail('no answer in time', {isTimeout: true});
		}, leftMs);
		if (!this.head) {
			void this.giveUpIfAllowed(mayGiveUp);
		}
	}

	private async giveUpIfAllowed(mayGiveUp: () => Promise<boolean>): Promise<void> {
		if (await mayGiveUp() && !this.head) {
			this.fail('no answer in time', {isTimeout: true, isGivenUp: true});
		}
	}

	private writeToCaller(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.answerWrites?.write(chunk) === false) {
			controller.pause();
		}
	}

	private finishAnswer(): AttemptResult {
		if (this.answerWrites) {
			this.answerWrites.end();
			return {end: AttemptEnd.Streamed, answer: this.head};
		}

		return this.isRefusal ? this.refusal() : {end: AttemptEnd.Answered, answer: this.head, body: this.body.take()};
	}

	/** True if the head alone decides the result; the body is not forwarded. */
	private get isRefusal(): boolean {
		return refusalEnds.has(this.kind);
	}

	private refusal(): AttemptResult {
		const end = refusalEnds.get(this.kind) ?? AttemptEnd.Ambiguous;
		return {end, answer: this.head, ...(end !== AttemptEnd.Misdirected && {detail: `status ${this.head?.status}`})};
	}

	/** Closes the connection if a body that is not forwarded is too large. The head still counts. */
	private enforceDiscardLimit(): void {
		if (this.discardedBytes > maxDiscardedBodyBytes) {
			this.fail('the body that is not forwarded is too large');
		}
	}

	private pipeBody(body: Readable, outgoing: PassThrough): void {
		if (body.errored) {
			this.onBodyError();
			return;
		}

		body.once('error', this.onBodyError);
		body.pipe(outgoing);
	}

	private fail(detail: string, reason: Pick<AttemptResult, 'isTimeout' | 'isGivenUp'> = {}): void {
		if (this.isSettled) {
			return;
		}

		this.pool.discard(this.connection);
		if (this.answerWrites) {
			this.request.abortStream();
			this.settle({end: AttemptEnd.Streamed, detail, ...reason});
			return;
		}

		if (this.isRefusal && this.head) {
			this.settle(this.refusal());
			return;
		}

		this.settle({end: this.wasSent ? AttemptEnd.Ambiguous : AttemptEnd.NotSent, detail, ...reason});
	}

	private settle(result: AttemptResult): void {
		this.isSettled = true;
		clearTimeout(this.timer);
		clearTimeout(this.connectTimer);
		clearTimeout(this.discardTimer);
		this.attempt.cancellation.unsubscribe(this.onCancel);
		this.attempt.ending?.unsubscribe(this.onEnding);
		if (this.request.body instanceof Readable) {
			this.request.body.off('error', this.onBodyError);
		}

		this.resolve?.({...result, hasConnected: this.isNewConnection && this.wasSent});
	}

	/** Undici destroys the body of a failed exchange. A separate stream keeps the caller's body usable for another attempt. */
	private openBody(): Uint8Array | Readable | undefined {
		if (!(this.request.body instanceof Readable)) {
			return this.request.body;
		}

		this.requestBody = new PassThrough();
		return this.requestBody;
	}
}
