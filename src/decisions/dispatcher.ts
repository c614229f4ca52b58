/**
 * Dispatch of requests to servers: routing, queueing, claims, retries and outcomes.
 */
import {
	AtMostOnceMechanism, Fencing,
} from '../model/configuration.js';
import {
	DuplicateInstructionError, NotRunError, NotRunReason, OutcomeUnknownError, RouterError,
} from '../model/errors.js';
import {ContractHeader} from '../model/headers.js';
import {Cancellation} from '../model/cancellation.js';
import {
	AttemptEnd, type AttemptResult, type RequestTransport, type RoutedRequest,
} from '../model/request.js';
import type {Timing} from '../model/timing.js';
import {InFlight, type InFlightRequest} from './in-flight.js';
import type {Claim, InstructionClaims} from './instruction-claims.js';
import {OutcomeKind, type Outcome} from './outcome.js';
import type {Replica} from './replica.js';
import {RetryBudget} from './retry-budget.js';
import {LoadMeter} from './load-meter.js';
import {RouteTable, type Route} from './route-table.js';
import type {ServerLimiter} from './server-limiter.js';
import {PausedRequests} from './paused-requests.js';
import type {ServerChoice} from './server-choice.js';
import {ContactResult, type ServerDetector} from './server-detector.js';
import type {SlowStart} from './slow-start.js';
import type {VmDirectory} from './vm-directory.js';

/** Dependencies of a dispatcher. */
export type DispatcherParts = {
	daemon: string;
	replica: Replica;
	directory: VmDirectory;
	detector: ServerDetector;
	claims: InstructionClaims;
	choice: ServerChoice;
	slowStart: SlowStart;
	transport: RequestTransport;
	/** Secret that daemons share, sent with forwarded requests. */
	peerSecret: string;
	timing: Timing;
};

/** A slot in a server's concurrency limit, taken from admission to the end of the attempt. */
type Admission = {
	route: Route;
	limiter: ServerLimiter;
	admittedAt: number;
};

/** State of a request that its attempts share. */
type RequestProgress = {
	claim: Claim | undefined;
	/** True if it is unknown whether a server ran the request in an earlier attempt. */
	mayHaveRun: boolean;
};

/** Largest number of connections from one daemon to another for forwarded requests. */
const forwardConnections = 32;

/** Delay before a request is sent again after its server refused the epoch, in milliseconds. */
const fencedRetryMs = 10;

/**
 * Dispatches requests under the route lease and the newest assignment.
 */
export class Dispatcher {
	readonly inFlight = new InFlight();
	readonly loadMeter: LoadMeter;
	private readonly routes: RouteTable;
	private readonly pausedRequests = new PausedRequests();
	private readonly retryBudgets = new Map<string, RetryBudget>();
	private isShuttingDown = false;

	constructor(private readonly parts: DispatcherParts) {
		this.loadMeter = new LoadMeter(parts.daemon);
		this.routes = new RouteTable(parts);
		parts.replica.subscribe(() => {
			this.onReplicaChange();
		});
	}

	/** Number of requests in flight or waiting. */
	get load(): number {
		return this.pausedRequests.size + this.routes.load;
	}

	/** Refuses new requests; requests that were accepted earlier still run to their end. */
	beginShutdown(): void {
		this.isShuttingDown = true;
	}

	/** Runs a request to its outcome; never rejects. */
	async dispatch(request: RoutedRequest): Promise<Outcome> {
		if (this.isShuttingDown) {
			return refusal(new NotRunError(NotRunReason.ShuttingDown, 100));
		}

		this.budgetOf(request.service.name).deposit();
		const progress: RequestProgress = {claim: undefined, mayHaveRun: false};
		try {
			return await this.attemptUntilEnd(request, progress);
		} catch (error) {
			return this.outcomeOfError(error, progress);
		}
	}

	/** Refuses requests that waited too long and cancels stragglers; called once per tick. */
	tick(now = performance.now()): void {
		this.routes.refresh();
		this.routes.expire(now);

		this.pausedRequests.expire(now);
		for (const {value} of this.parts.replica.allAssignments()) {
			this.inFlight.cancelForMoves(value, this.parts.timing.drainGraceMs, now);
		}

		this.inFlight.expire(now);
		this.pausedRequests.release();
	}

	/** Applies connection shares after a change of members. */
	updateLimits(): void {
		this.routes.updateLimits();
	}

	private async attemptUntilEnd(request: RoutedRequest, progress: RequestProgress): Promise<Outcome> {
		for (let attempt = 0; ; attempt++) {
			// eslint-disable-next-line no-await-in-loop -- attempts follow one another.
			const forwarded = attempt === 0 ? await this.forwardLongWork(request, progress) : undefined;
			if (forwarded) {
				return forwarded;
			}

			// eslint-disable-next-line no-await-in-loop -- attempts follow one another.
			const admission = await this.admit(request);
			// eslint-disable-next-line no-await-in-loop -- the claim belongs to this attempt.
			const result = await this.runAttempt(request, admission, progress);
			progress.mayHaveRun ||= result.end === AttemptEnd.Ambiguous;
			const outcome = this.outcomeOf(request, admission.route.server.id, result);
			if (outcome) {
				return this.settle(outcome, progress);
			}

			if (result.reason === NotRunReason.Fenced) {
				// eslint-disable-next-line no-await-in-loop -- the leader is sending the server its grant.
				await delay(fencedRetryMs);
			}
		}
	}

	/**
	 * Forwards a long request to the home daemon of its server, which sees all long requests for the server and can keep
	 * them from taking every slot. Returns undefined if this daemon serves the request itself.
	 */
	private async forwardLongWork(request: RoutedRequest, progress: RequestProgress): Promise<Outcome | undefined> {
		if (!request.requestClass.long || request.isForwarded || !request.service.divided) {
			return undefined;
		}

		const route = this.routes.route(request);
		const home = route ? this.parts.directory.homeOf(route.server.id) : undefined;
		if (home?.gateway === undefined || home.id === this.parts.daemon) {
			return undefined;
		}

		const now = performance.now();
		const result = await this.parts.transport.send(request, {
			server: {id: home.id, address: home.gateway},
			headers: [ContractHeader.Forwarded, this.parts.peerSecret],
			shard: undefined,
			epoch: undefined,
			startByMs: Date.now() + request.deadlineAt - now,
			connectionLimit: forwardConnections,
			timeoutMs: Math.max(1, request.deadlineAt - now),
			guard: () => request.cancellation.isCancelled ? NotRunReason.Cancelled : undefined,
			cancellation: request.cancellation,
		});
		const couldNotConnect = result.end === AttemptEnd.NotRun && result.reason === NotRunReason.Connect;
		if (couldNotConnect && !result.bodyUsed) {
			return undefined;
		}

		progress.mayHaveRun ||= result.end === AttemptEnd.Ambiguous;
		return this.outcomeOf(request, home.id, result);
	}

	private async runAttempt(request: RoutedRequest, admission: Admission, progress: RequestProgress): Promise<AttemptResult> {
		const {service, requestClass, instructionId} = request;
		const needsClaim = !requestClass.idempotent && service.atMostOnce === AtMostOnceMechanism.StoreClaim;
		try {
			if (needsClaim && !progress.claim) {
				progress.claim = await this.parts.claims.claim(service.name, instructionId ?? '');
			}

			return await this.send(request, admission);
		} finally {
			admission.limiter.release(requestClass.long, performance.now() - admission.admittedAt);
		}
	}

	/** Waits for admission to the server that owns the request's key, or to the least loaded server. */
	private async admit(request: RoutedRequest): Promise<Admission> {
		for (;;) {
			if (request.cancellation.isCancelled) {
				throw new NotRunError(NotRunReason.Cancelled);
			}

			const route = this.routes.route(request);
			if (!route) {
				// eslint-disable-next-line no-await-in-loop -- the route is chosen again after each wait.
				await this.pausedRequests.waitForRoute(request, () => this.routes.route(request) !== undefined);
				continue;
			}

			const limiter = this.routes.limiterOf(route.server);
			if (limiter.tryEnter(request.requestClass.long)) {
				return {route, limiter, admittedAt: performance.now()};
			}

			// eslint-disable-next-line no-await-in-loop -- the route is checked again after each wait.
			const admission = await this.waitAtLimiter(request, route);
			if (admission) {
				return admission;
			}
		}
	}

	private async waitAtLimiter(request: RoutedRequest, route: Route): Promise<Admission | undefined> {
		const limiter = this.routes.limiterOf(route.server);
		await this.pausedRequests.wait(request, waiter => {
			limiter.enter(waiter);
			return () => {
				limiter.removeWaiter(waiter);
			};
		});
		if (this.isStillValid(request, route)) {
			return {route, limiter, admittedAt: performance.now()};
		}

		// The shard moved or was paused during the wait.
		limiter.release(request.requestClass.long, 0);
		return undefined;
	}

	private isStillValid(request: RoutedRequest, route: Route): boolean {
		return !request.service.divided || this.routes.guard(request, route) === undefined;
	}

	private async send(request: RoutedRequest, {route, limiter}: Admission): Promise<AttemptResult> {
		const {service, requestClass} = request;
		const now = performance.now();
		const leaseMs = service.divided ? this.parts.replica.leaseRemainingMs(service.name, now) : Infinity;
		const startInMs = Math.min(this.parts.timing.startByMs, leaseMs);
		const cancellation = new Cancellation();
		const onCallerDisconnected = () => {
			cancellation.cancel();
		};

		// A non-idempotent instruction that was sent keeps running when its caller disconnects.
		if (requestClass.idempotent) {
			request.cancellation.subscribe(onCallerDisconnected);
		}

		const entry: InFlightRequest = {
			service: service.name,
			shard: route.shard ?? -1,
			server: route.server.id,
			idempotent: requestClass.idempotent,
			startedAt: now,
			startByAt: now + startInMs,
			mayRunUntil: service.fencing === Fencing.None ? request.deadlineAt : -Infinity,
			cancel() {
				cancellation.cancel();
			},
		};
		if (route.shard !== undefined && request.key !== undefined) {
			this.loadMeter.count(service.name, request.key, route.shard);
		}

		this.inFlight.add(entry);
		let result: AttemptResult | undefined;
		try {
			result = await this.parts.transport.send(request, {
				...route,
				headers: [],
				startByMs: Date.now() + startInMs,
				connectionLimit: limiter.concurrency,
				timeoutMs: Math.max(1, request.deadlineAt - now),
				guard: () => this.routes.guard(request, route),
				cancellation,
			});
			return result;
		} finally {
			const hasEndedAtServer = result !== undefined && (result.end === AttemptEnd.Completed || result.end === AttemptEnd.NotRun);
			request.cancellation.unsubscribe(onCallerDisconnected);
			this.inFlight.remove(entry, hasEndedAtServer);
			this.observe(limiter.server, result);
		}
	}

	private observe(server: string, result: AttemptResult | undefined): void {
		const breaker = this.routes.breakerOf(server);
		const isAnswered = result?.end === AttemptEnd.Completed || result?.reason === NotRunReason.Shed || result?.reason === NotRunReason.Fenced;
		if (isAnswered) {
			breaker.onSuccess();
			this.parts.detector.observe(server, ContactResult.Answered);
			return;
		}

		if (result?.refused) {
			this.parts.detector.observe(server, ContactResult.Refused);
		}

		if (result?.end === AttemptEnd.Ambiguous || result?.refused) {
			breaker.onFailure();
		}
	}

	/** Returns the outcome of an attempt, or undefined if the request may be sent again. */
	private outcomeOf(request: RoutedRequest, server: string, result: AttemptResult): Outcome | undefined {
		switch (result.end) {
			case AttemptEnd.Completed: {
				return {kind: OutcomeKind.Answered, status: result.status, server};
			}

			case AttemptEnd.Truncated: {
				const error = new OutcomeUnknownError(result.detail ?? 'The answer was cut off.');
				return {
					kind: OutcomeKind.Unknown, truncated: true, error, server,
				};
			}

			case AttemptEnd.NotRun: {
				if (this.mayResend(request, result)) {
					return undefined;
				}

				return refusal(new NotRunError(result.reason ?? NotRunReason.Connect, result.retryAfterMs), server);
			}

			case AttemptEnd.Ambiguous: {
				if (request.requestClass.idempotent && this.mayResend(request, result)) {
					return undefined;
				}

				const error = new OutcomeUnknownError(result.detail ?? 'The server did not answer.');
				return {kind: OutcomeKind.Unknown, error, server};
			}
		}
	}

	private mayResend(request: RoutedRequest, result: AttemptResult): boolean {
		if (result.bodyUsed || request.cancellation.isCancelled || performance.now() >= request.deadlineAt) {
			return false;
		}

		const isRefusedLocally = result.reason === NotRunReason.NoRouteLease || result.reason === NotRunReason.Paused;
		return isRefusedLocally || this.budgetOf(request.service.name).withdraw();
	}

	/** Settles the claim, and reports "unknown" instead of "not run" if an earlier attempt may have run the request. */
	private settle(outcome: Outcome, {claim, mayHaveRun}: RequestProgress): Outcome {
		if (outcome.kind === OutcomeKind.NotRun && mayHaveRun) {
			return {...outcome, kind: OutcomeKind.Unknown, error: new OutcomeUnknownError('An earlier attempt was not answered.')};
		}

		if (claim && outcome.kind === OutcomeKind.NotRun) {
			void this.parts.claims.release(claim);
		}

		if (claim && outcome.kind === OutcomeKind.Answered) {
			void this.parts.claims.complete(claim, outcome.status ?? 0);
		}

		return outcome;
	}

	private outcomeOfError(error: unknown, progress: RequestProgress): Outcome {
		if (error instanceof NotRunError) {
			return this.settle(refusal(error), progress);
		}

		if (error instanceof DuplicateInstructionError) {
			return {kind: OutcomeKind.Unknown, error};
		}

		const known = error instanceof RouterError ? error : new OutcomeUnknownError(`The router failed: ${String(error)}`);
		return {kind: OutcomeKind.Unknown, error: known};
	}

	private onReplicaChange(): void {
		for (const {value} of this.parts.replica.allAssignments()) {
			this.inFlight.cancelForMoves(value, this.parts.timing.drainGraceMs);
		}

		this.pausedRequests.release();
	}

	private budgetOf(service: string): RetryBudget {
		let budget = this.retryBudgets.get(service);
		if (!budget) {
			budget = new RetryBudget();
			this.retryBudgets.set(service, budget);
		}

		return budget;
	}
}

function refusal(error: NotRunError, server?: string): Outcome {
	return {kind: OutcomeKind.NotRun, error, server};
}

async function delay(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

