/**
 * Permits for requests to targets that name a limit: this daemon asks an issuer for each attempt, and issues for some targets itself.
 */
import type {Cancellation} from '../../model/cancellation.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import type {Member, TargetIncarnation} from '../../model/fleet.js';
import type {PermitIssuers} from './permit-issuers.js';
import {
	PermitDecision, PermitQueue, type PermitAnswer, type PermitRequest,
} from './permit-queue.js';
import type {ReportedLimit, TargetStatements} from './target-statements.js';

/** Time for an issuer to answer anything before the next one is asked, in milliseconds. */
const answerTimeoutMs = 80;

/** Time for which an issuer that did not answer is passed over, in milliseconds. */
const passedOverMs = 500;

/** Shortest time for which a denial is remembered and a caller is asked to wait, in milliseconds. */
const minRetryMs = 50;

/** Delay until a retry if no issuer answers, in milliseconds. */
const unansweredRetryMs = 300;

/** Time after which the permits for a target that nobody asks for are forgotten, in milliseconds. */
const queueLifetimeMs = 30_000;

/** A request for a permit, as sent to an issuer. */
export type PermitRequestMessage = {
	number: number;
	target: string;
	bornAt: number;
	priority: number;
	waitMs: number;
	/** The limit as the asking daemon knows it. */
	limit: ReportedLimit;
};

/** Answer of an issuer. */
export type PermitAnswerMessage = {
	number: number;
	decision: PermitDecision;
	turnMs: number;
};

/** Sends messages about permits to one peer. */
export type PermitSender = {
	request(message: PermitRequestMessage, issuer: Member): void;
	answer(message: PermitAnswerMessage, daemon: string): void;
};

/** Whether an attempt may be sent now. */
export type Admission = {
	isAdmitted: boolean;
	/** Delay after which a retry is likely to be admitted, in milliseconds; 0 if admitted. */
	retryAfterMs: number;
};

const admitted: Admission = {isAdmitted: true, retryAfterMs: 0};

type PendingRequest = {
	issuer: string;
	waitMs: number;
	settle(admission: Admission): void;
	/** Called if another answer follows. */
	onQueued(): void;
};

type IssuedQueue = {
	target: TargetIncarnation;
	queue: PermitQueue;
	usedAt: number;
};

export type PermitOptions = {
	daemon: string;
	statements: TargetStatements;
	issuers: PermitIssuers;
	sender: PermitSender;
	log: EventLog;
};

export class Permits {
	private readonly pending = new Map<number, PendingRequest>();
	private readonly queues = new Map<string, IssuedQueue>();
	/** Until when requests of a priority or a lower one have no turn, by target. */
	private readonly deniedUntil = new Map<string, {priority: number; until: number}>();
	private readonly passedOverUntil = new Map<string, number>();
	/** Starts at the time of day, so that answers to an earlier process of this daemon have lower numbers. */
	private nextNumber = Date.now();
	private denials = 0;
	private issued = 0;

	constructor(private readonly options: PermitOptions) {}

	/** Number of attempts since the start that got no permit. */
	get denialCount(): number {
		return this.denials;
	}

	/** Number of permits that this daemon has issued since the start. */
	get issuedCount(): number {
		return this.issued;
	}

	/** Time until requests of this priority may have a turn again, in milliseconds; 0 unless one was denied lately and the limit stands. */
	deniedMs(target: TargetIncarnation, priority: number, now = performance.now()): number {
		const denied = this.deniedUntil.get(target.id);
		return denied && this.options.statements.limitOf(target) !== undefined && priority >= denied.priority ? Math.max(0, denied.until - now) : 0;
	}

	/** Waits for a permit for one attempt. Settles at once if the target names no limit, or if no turn comes in time. */
	async acquire(target: TargetIncarnation, priority: number, waitMs: number, cancellation: Cancellation): Promise<Admission> {
		if (this.options.statements.limitOf(target) === undefined) {
			return admitted;
		}

		const deniedMs = this.deniedMs(target, priority);
		if (deniedMs > 0) {
			return this.deny(target, deniedMs);
		}

		const admission = await this.askIssuers(target, priority, waitMs, cancellation);
		if (admission.isAdmitted || cancellation.isCancelled) {
			return admission;
		}

		this.deniedUntil.set(target.id, {priority, until: performance.now() + admission.retryAfterMs});
		return this.deny(target, admission.retryAfterMs);
	}

	/** Called periodically. */
	tick(now = performance.now()): void {
		this.options.issuers.tick(now);
		for (const [id, issued] of this.queues) {
			if (now - issued.usedAt > queueLifetimeMs) {
				this.queues.delete(id);
				continue;
			}

			if (this.options.statements.limitOf(issued.target) === undefined) {
				this.deliver(issued.queue.grantAll());
			} else if (this.updateRate(issued, now)) {
				this.deliver(issued.queue.advance(now));
			}
		}

		for (const [id, {until}] of this.deniedUntil) {
			if (now >= until) {
				this.deniedUntil.delete(id);
			}
		}
	}

	/** Answers a request of a peer, unless this daemon is no issuer for the target: the peer then asks another one. */
	receiveRequest(daemon: string, {number, target: id, bornAt, priority, waitMs, limit}: PermitRequestMessage, now = performance.now()): void {
		const {statements} = this.options;
		const target = {id, bornAt, address: ''};
		statements.receiveLimit(target, limit, now);
		if (statements.limitOf(target) === undefined) {
			this.deliver([{
				request: {
					daemon, number, priority, waitMs,
				}, decision: PermitDecision.Granted, turnMs: 0,
			}]);
			return;
		}

		this.issue(target, {
			daemon, number, priority, waitMs,
		}, now);
	}

	receiveAnswer(daemon: string, {number, decision, turnMs}: PermitAnswerMessage): void {
		const pending = this.pending.get(number);
		if (pending?.issuer !== daemon) {
			return;
		}

		switch (decision) {
			case PermitDecision.Granted: {
				pending.settle(admitted);
				break;
			}

			case PermitDecision.Denied: {
				// From then on, a request that waits as long has its turn in time.
				pending.settle({isAdmitted: false, retryAfterMs: Math.max(minRetryMs, turnMs - pending.waitMs)});
				break;
			}

			case PermitDecision.Queued: {
				pending.onQueued();
				break;
			}
		}
	}

	private deny(target: TargetIncarnation, retryAfterMs: number): Admission {
		this.denials += 1;
		const {statements, log} = this.options;
		log.record(LogEvent.PermitDenied, {
			target: target.id, limitPerS: statements.limitOf(target), ageMs: Math.round(statements.limitAgeMs(target)), retryAfterMs: Math.round(retryAfterMs),
		});
		return {isAdmitted: false, retryAfterMs};
	}

	private async askIssuers(target: TargetIncarnation, priority: number, waitMs: number, cancellation: Cancellation): Promise<Admission> {
		const endAt = performance.now() + waitMs;
		for (const issuer of this.options.issuers.issuersOf(target.id)) {
			const now = performance.now();
			if (now < (this.passedOverUntil.get(issuer.daemon) ?? 0)) {
				continue;
			}

			// eslint-disable-next-line no-await-in-loop -- the second issuer is asked only if the first does not answer.
			const admission = await this.askIssuer(issuer, target, {priority, waitMs: Math.max(0, endAt - now)}, cancellation);
			if (admission) {
				return admission;
			}

			this.passedOverUntil.set(issuer.daemon, performance.now() + passedOverMs);
			this.options.log.record(LogEvent.PermitUnanswered, {target: target.id, issuer: issuer.daemon, waitedMs: 2 * answerTimeoutMs});
		}

		return {isAdmitted: false, retryAfterMs: unansweredRetryMs};
	}

	/** Returns undefined if the issuer does not answer. */
	private async askIssuer(issuer: Member, target: TargetIncarnation, {priority, waitMs}: {priority: number; waitMs: number}, cancellation: Cancellation): Promise<Admission | undefined> {
		const number = this.nextNumber;
		this.nextNumber += 1;
		return new Promise(resolve => {
			const finish = (admission: Admission | undefined): void => {
				clearTimeout(timer);
				this.pending.delete(number);
				cancellation.unsubscribe(onCancel);
				resolve(admission);
			};

			const onCancel = (): void => {
				finish({isAdmitted: false, retryAfterMs: 0});
			};

			const send = (remainingWaitMs: number): void => {
				this.sendRequest(issuer, target, {
					daemon: this.options.daemon, number, priority, waitMs: remainingWaitMs,
				});
			};

			// An answer may be lost, so the request is repeated once; the issuer recognizes its number.
			const repeatAfter = (delayMs: number, last: Admission | undefined, remainingWaitMs: number): NodeJS.Timeout => setTimeout(() => {
				timer = setTimeout(() => {
					finish(last);
				}, answerTimeoutMs);
				send(remainingWaitMs);
			}, delayMs);
			let timer = repeatAfter(answerTimeoutMs, undefined, Math.max(0, waitMs - answerTimeoutMs));
			this.pending.set(number, {
				issuer: issuer.daemon,
				waitMs,
				settle: finish,
				onQueued() {
					clearTimeout(timer);
					timer = repeatAfter(waitMs + answerTimeoutMs, {isAdmitted: false, retryAfterMs: unansweredRetryMs}, 0);
				},
			});
			cancellation.subscribe(onCancel);
			send(waitMs);
		});
	}

	private sendRequest(issuer: Member, target: TargetIncarnation, request: PermitRequest): void {
		if (issuer.daemon === this.options.daemon) {
			this.issue(target, request, performance.now());
			return;
		}

		const {number, priority, waitMs} = request;
		const limit = this.options.statements.reportedLimit(target);
		this.options.sender.request({
			number, target: target.id, bornAt: target.bornAt, priority, waitMs: Math.floor(waitMs), limit,
		}, issuer);
	}

	private issue(target: TargetIncarnation, request: PermitRequest, now: number): void {
		const known = this.queues.get(target.id);
		const issued = known?.target.bornAt === target.bornAt ? known : {target, queue: new PermitQueue(0, now), usedAt: now};
		issued.usedAt = now;
		this.queues.set(target.id, issued);
		if (this.updateRate(issued, now)) {
			this.deliver(issued.queue.add(request, now));
		}
	}

	/** Follows the limit and this daemon's role; false if it does not issue at present. */
	private updateRate({target, queue}: IssuedQueue, now: number): boolean {
		const {statements, issuers} = this.options;
		const ratePerS = (statements.limitOf(target) ?? 0) * issuers.issuedShare(target.id);
		queue.setRate(ratePerS, now);
		return ratePerS > 0;
	}

	private deliver(answers: readonly PermitAnswer[]): void {
		for (const {request: {daemon, number}, decision, turnMs} of answers) {
			this.issued += decision === PermitDecision.Granted ? 1 : 0;
			const message = {number, decision, turnMs: Math.ceil(turnMs)};
			if (daemon === this.options.daemon) {
				this.receiveAnswer(daemon, message);
			} else {
				this.options.sender.answer(message, daemon);
			}
		}
	}
}
