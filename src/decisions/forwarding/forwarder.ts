/**
 * Takes a caller's request to a target that may run it, and decides what the caller is told if there is none.
 */
import {Cancellation} from '../../model/cancellation.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import {isSameLife, type Target} from '../../model/fleet.js';
import {
	AttemptEnd, OutcomeKind, OutcomeReason, type AttemptResult, type CallerRequest, type Outcome, type RequestTransport,
} from '../../model/forwarding.js';
import {findRange} from '../../model/key-ownership.js';
import type {Route, ServiceRule} from '../../model/route-configuration.js';
import type {FleetView} from '../fleet/fleet-view.js';
import {RetryBudget} from '../retry-budget.js';
import {
	cannotServe, describe, isBodySpent, isServerFailure, remainingMs, type Passage,
} from './passage.js';
import {chooseTarget} from './target-choice.js';
import type {Expectation, TargetLoads} from './target-loads.js';

/** Requests with less time left are not sent, in milliseconds; a target could not answer them. */
const leastUsefulMs = 10;

/** Longest wait for the new owner of a moving key, in milliseconds; a planned move takes less. */
const moveWaitMs = 1200;

/** Wait after a target said that it does not own the key, unless the assignment changes sooner, in milliseconds. */
const misdirectedWaitMs = 80;

/** Tries at targets that do not own the key, for one request. */
const misdirectedLimit = 4;

/** Tries at the owner of a key that refuses although its queue is short, for one request. */
const refusalLimit = 3;

/** Tries that never left this daemon, for one request. */
const unsentLimit = 4;

/** Delays that callers are told, in milliseconds. */
const retryAfter = {
	moving: 100,
	ownerLost: 400,
	overloaded: 200,
	noTarget: 300,
	starting: 300,
};

/** Daemons that are assumed while the members are not known. */
const assumedDaemons = 12;

/** Share of the retry budget that is used; the rest covers daemons that have just joined. */
const budgetShare = 0.8;

/** Connections to a target that each daemon may always have. */
const leastConnections = 4;

/** What the forwarder needs. */
export type ForwarderOptions = {
	availabilityZone: string;
	view: FleetView;
	loads: TargetLoads;
	transport: RequestTransport;
	log: EventLog;
	retryRatio: number;
	/** Additional arrivals for all daemons together. */
	retryReserve: number;
	random(): number;
	/** Notes the key of a request, for the balance of keyed services. */
	noteKey(service: string, key: number): void;
};

/** Forwards requests; one instance for each daemon. */
export class Forwarder {
	private readonly budgets = new Map<string, RetryBudget>();
	private inFlight = 0;

	constructor(private readonly options: ForwarderOptions) {}

	/** Requests that have no final answer yet. */
	get load(): number {
		return this.inFlight;
	}

	/** Never rejects on account of a target. */
	async forward(request: CallerRequest): Promise<Outcome> {
		this.inFlight += 1;
		try {
			return await this.route(request);
		} finally {
			this.inFlight -= 1;
		}
	}

	private async route(request: CallerRequest): Promise<Outcome> {
		const {view} = this.options;
		if (!view.routeIndex) {
			return this.refuse(request, OutcomeReason.NoConfiguration);
		}

		if (view.currency.isOutdated) {
			return this.refuse(request, OutcomeReason.ConfigurationOutdated);
		}

		const path = request.path.split('?', 1)[0] ?? '';
		const isProved = view.routeIndex.routeOf(request.host, path) !== undefined || await this.proveConfiguration(request);
		// The proof may have brought another configuration.
		const index = view.routeIndex;
		const route = index.routeOf(request.host, path);
		if (!route) {
			return this.withoutRoute(request, path, isProved);
		}

		const service = index.nextService(request.host, path);
		if (!service) {
			return this.refuse(request, OutcomeReason.RouteUnreadable);
		}

		return {...await this.carry(this.begin(request, route, service)), route};
	}

	/** A caller does not repeat a request that no route takes, so that a newer configuration must not have one. */
	private async proveConfiguration({cancellation, budgetMs, receivedAt}: CallerRequest): Promise<boolean> {
		const leftMs = (budgetMs ?? Infinity) - (performance.now() - receivedAt) - leastUsefulMs;
		return this.options.view.currency.evidence(cancellation, leftMs);
	}

	private withoutRoute(request: CallerRequest, path: string, isProved: boolean): Outcome {
		const {view, log} = this.options;
		if (request.cancellation.isCancelled) {
			return {kind: OutcomeKind.Abandoned, reason: OutcomeReason.CallerLeft};
		}

		if (!isProved) {
			return this.refuse(request, OutcomeReason.ConfigurationUnproven);
		}

		if (view.configuration?.hasUnknownRoutes) {
			return this.refuse(request, OutcomeReason.RouteUnreadable);
		}

		log.record(LogEvent.RequestUnrouted, {
			request: request.requestId, host: request.host, path, version: view.configuration?.version, confirmedMsAgo: view.currency.wholeAgeMs,
		});
		return {kind: OutcomeKind.NoRoute, reason: OutcomeReason.NoRoute};
	}

	/** Refuses a request before it has a route. */
	private refuse({requestId, host, path}: CallerRequest, reason: OutcomeReason): Outcome {
		const {view, log} = this.options;
		log.record(LogEvent.RequestRefused, {
			request: requestId, host, path, reason, version: view.configuration?.version, confirmedMsAgo: view.currency.wholeAgeMs, retryAfterMs: retryAfter.starting,
		});
		return {kind: OutcomeKind.NotRun, reason, retryAfterMs: retryAfter.starting};
	}

	private begin(request: CallerRequest, route: Route, service: ServiceRule): Passage {
		this.budgetOf(service.name).deposit();
		if (service.isKeyed && request.key !== undefined) {
			this.options.noteKey(service.name, request.key);
		}

		return {
			request,
			route,
			service,
			deadlineAt: request.receivedAt + Math.min(request.budgetMs ?? route.timeoutMs, route.timeoutMs),
			tried: new Set(),
			arrivals: 0,
			unsent: 0,
			misdirected: 0,
			mayHaveRun: false,
			lastDetail: '',
			failure: undefined,
		};
	}

	private async carry(passage: Passage): Promise<Outcome> {
		for (;;) {
			if (passage.request.cancellation.isCancelled) {
				return this.abandon(passage);
			}

			if (remainingMs(passage) < leastUsefulMs) {
				return this.giveUp(passage, OutcomeReason.Timeout, 0);
			}

			if (passage.arrivals > 0 && !this.budgetOf(passage.service.name).withdraw()) {
				return this.giveUp(passage, OutcomeReason.RetryBudgetSpent, retryAfter.overloaded);
			}

			// eslint-disable-next-line no-await-in-loop -- tries follow one another.
			const outcome = await this.tryOnce(passage);
			if (outcome) {
				return outcome;
			}
		}
	}

	/** Makes one try; returns the final outcome, or nothing if another try may follow. */
	private async tryOnce(passage: Passage): Promise<Outcome | undefined> {
		const chosen = passage.service.isKeyed ? await this.owner(passage) : this.choose(passage);
		if (!chosen) {
			return undefined;
		}

		if ('kind' in chosen) {
			return chosen;
		}

		const result = await this.send(passage, chosen);
		return this.judge(passage, chosen, result);
	}

	private choose(passage: Passage): Target | Outcome {
		const {view, loads, availabilityZone, random} = this.options;
		const now = performance.now();
		const targets = view.readyTargets(passage.service.name, now);
		const candidate = chooseTarget(loads, {
			targets, tried: passage.tried, route: passage.route, availabilityZone, connectionLimit: this.connectionLimit(passage.service), random, now,
			warmUpLeft: id => view.warmUpLeft(id, now),
		});
		if (!candidate) {
			return this.giveUp(passage, targets.length === 0 ? OutcomeReason.NoTarget : OutcomeReason.AttemptsUsed, retryAfter.noTarget);
		}

		if (!passage.mayHaveRun && cannotServe(candidate.expectation, passage)) {
			return this.giveUp(passage, OutcomeReason.Overloaded, returnDelay(candidate.expectation));
		}

		return candidate.target;
	}

	/** Returns the owner of the request's key, waiting for a move to end; nothing if the search begins anew. */
	private async owner(passage: Passage): Promise<Target | Outcome | undefined> {
		const {view} = this.options;
		const {request, service} = passage;
		const known = view.assignments.get(service.name);
		const range = known && findRange(known.assignment.ranges, request.key ?? 0);
		if (!range) {
			return this.waitForOwner(passage, OutcomeReason.NoOwner, retryAfter.starting);
		}

		if (range.isBlocked) {
			return this.giveUp(passage, OutcomeReason.OwnerLost, retryAfter.ownerLost);
		}

		const target = view.rememberedTarget(range.owner.id);
		if (range.previous.length > 0 || !target || !isSameLife(target, range.owner) || !view.isReady(range.owner)) {
			return this.waitForOwner(passage, OutcomeReason.KeyMoving, retryAfter.moving);
		}

		const expectation = this.options.loads.expect(target, {warmUpLeftMs: view.warmUpLeft(target.id), connectionLimit: this.connectionLimit(service)});
		if (!passage.mayHaveRun && cannotServe(expectation, passage)) {
			return this.giveUp(passage, OutcomeReason.Overloaded, returnDelay(expectation));
		}

		return target;
	}

	private async waitForOwner(passage: Passage, reason: OutcomeReason, retryAfterMs: number): Promise<Outcome | undefined> {
		const waitMs = Math.min(moveWaitMs, remainingMs(passage) - leastUsefulMs);
		const isChanged = await this.options.view.assignmentChange(passage.request.cancellation, waitMs);
		return isChanged ? undefined : this.giveUp(passage, reason, retryAfterMs);
	}

	private async send(passage: Passage, target: Target): Promise<AttemptResult> {
		const {loads, transport} = this.options;
		const key = loads.begin(target);
		const timeoutMs = remainingMs(passage);
		const cancellation = new Cancellation();
		const onCallerLeft = (): void => {
			// Work that may not be repeated goes on to its end.
			if (passage.route.isIdempotent) {
				cancellation.cancel();
			}
		};

		passage.request.cancellation.subscribe(onCallerLeft);
		const result = await transport.send(passage.request, {
			target, budgetMs: timeoutMs, timeoutMs, cancellation, connectionLimit: this.connectionLimit(passage.service),
		});
		passage.request.cancellation.unsubscribe(onCallerLeft);
		this.account(passage, target, key, result);
		return result;
	}

	private account(passage: Passage, target: Target, key: number, result: AttemptResult): void {
		const {loads} = this.options;
		if (passage.request.cancellation.isCancelled || result.end === AttemptEnd.Misdirected) {
			loads.abandon(target, key);
			return;
		}

		switch (result.end) {
			case AttemptEnd.Answered:
			case AttemptEnd.Streamed: {
				loads.succeed(target, key, isServerFailure(result));
				break;
			}

			case AttemptEnd.Refused: {
				loads.refuse(target, key);
				break;
			}

			case AttemptEnd.Ambiguous:
			case AttemptEnd.NotSent: {
				const ejectionMs = loads.fail(target, key);
				this.options.log.record(LogEvent.TargetEjected, {
					...describe(passage), target: target.id, ejectionMs, detail: result.detail,
				});
				break;
			}
		}
	}

	/** Decides what follows from a try. */
	private async judge(passage: Passage, target: Target, result: AttemptResult): Promise<Outcome | undefined> {
		passage.lastDetail = result.detail ?? result.end;
		if (result.end === AttemptEnd.NotSent) {
			passage.unsent += 1;
			passage.tried.add(target.id);
			return this.goOn(passage, result, passage.unsent < unsentLimit);
		}

		passage.arrivals += 1;
		switch (result.end) {
			case AttemptEnd.Answered: {
				return this.judgeAnswer(passage, target, result);
			}

			case AttemptEnd.Streamed: {
				return {kind: OutcomeKind.Streamed, answer: result.answer};
			}

			case AttemptEnd.Misdirected: {
				return this.misdirected(passage, target, result);
			}

			case AttemptEnd.Refused: {
				return this.refused(passage, target, result);
			}

			case AttemptEnd.Ambiguous: {
				passage.tried.add(target.id);
				passage.mayHaveRun = true;
				return this.goOn(passage, result, this.mayRepeat(passage));
			}
		}
	}

	/** Another target may have room; the only owner of a key is asked again unless its queue is full. */
	private refused(passage: Passage, target: Target, result: AttemptResult): Outcome | undefined {
		if (passage.service.isKeyed) {
			const {isFull} = this.options.loads.expect(target);
			return this.goOn(passage, result, !isFull && passage.arrivals < refusalLimit);
		}

		passage.tried.add(target.id);
		return this.goOn(passage, result, passage.arrivals < passage.route.maxAttempts);
	}

	private async misdirected(passage: Passage, target: Target, result: AttemptResult): Promise<Outcome | undefined> {
		passage.misdirected += 1;
		if (!passage.service.isKeyed) {
			passage.tried.add(target.id);
		} else if (passage.misdirected < misdirectedLimit) {
			await this.options.view.assignmentChange(passage.request.cancellation, Math.min(misdirectedWaitMs * passage.misdirected, remainingMs(passage)));
		}

		return this.goOn(passage, result, passage.misdirected < misdirectedLimit);
	}

	/** A failure that the target reports may be repeated elsewhere; the last one is passed on. */
	private judgeAnswer(passage: Passage, target: Target, result: AttemptResult): Outcome | undefined {
		passage.tried.add(target.id);
		if (!isServerFailure(result)) {
			return {kind: OutcomeKind.Answered, answer: result.answer, body: result.body};
		}

		passage.failure = result;
		passage.mayHaveRun = true;
		return this.goOn(passage, result, !passage.service.isKeyed && this.mayRepeat(passage));
	}

	private mayRepeat({route, arrivals}: Passage): boolean {
		return route.isIdempotent && arrivals < route.maxAttempts;
	}

	private goOn(passage: Passage, result: AttemptResult, mayGoOn: boolean): Outcome | undefined {
		if (!mayGoOn || isBodySpent(passage)) {
			return this.giveUp(passage, result.isTimeout ? OutcomeReason.Timeout : OutcomeReason.AttemptsUsed, retryAfter.overloaded);
		}

		this.options.log.record(LogEvent.RequestRetried, {...describe(passage), end: result.end, detail: result.detail});
		return undefined;
	}

	private giveUp(passage: Passage, reason: OutcomeReason, retryAfterMs: number): Outcome {
		if (passage.request.cancellation.isCancelled) {
			return this.abandon(passage);
		}

		if (passage.failure) {
			const {answer, body} = passage.failure;
			return {
				kind: OutcomeKind.Answered, answer, body, reason,
			};
		}

		const isTimeout = reason === OutcomeReason.Timeout;
		if (passage.mayHaveRun) {
			const kind = isTimeout ? OutcomeKind.TimedOut : OutcomeKind.Unknown;
			this.options.log.record(LogEvent.RequestUnknown, {...describe(passage), reason, detail: passage.lastDetail});
			return {kind, reason};
		}

		this.options.log.record(LogEvent.RequestRefused, {
			...describe(passage), reason, detail: passage.lastDetail, retryAfterMs,
		});
		return {kind: OutcomeKind.NotRun, reason, retryAfterMs};
	}

	private abandon(passage: Passage): Outcome {
		this.options.log.record(LogEvent.RequestAbandoned, describe(passage));
		return {kind: OutcomeKind.Abandoned, reason: OutcomeReason.CallerLeft};
	}

	private daemonCount(): number {
		return this.options.view.members.size || assumedDaemons;
	}

	private connectionLimit(service: ServiceRule): number {
		return Math.max(leastConnections, Math.floor(service.maxConnections / (this.daemonCount() + 1)));
	}

	/** Each daemon takes its part of the budget that all share. */
	private budgetOf(service: string): RetryBudget {
		const reserve = Math.floor(this.options.retryReserve * budgetShare / this.daemonCount());
		const budget = this.budgets.get(service) ?? new RetryBudget(this.options.retryRatio * budgetShare, reserve);
		budget.limit(reserve);
		this.budgets.set(service, budget);
		return budget;
	}
}

/** Half of the backlog has gone when the caller comes back. */
function returnDelay({finishMs}: Expectation): number {
	return Math.max(retryAfter.moving, finishMs / 2);
}
