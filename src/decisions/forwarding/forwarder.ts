/**
 * Forwards a caller's request to a target that may run it, and decides the outcome if there is none.
 */
import {Readable} from 'node:stream';
import {Cancellation} from '../../model/cancellation.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import {isSameIncarnation, type Target} from '../../model/fleet.js';
import {
	AttemptEnd, isRefusalStatus, OutcomeKind, OutcomeReason, type AttemptResult, type CallerRequest, type Outcome, type RequestTransport,
} from '../../model/forwarding.js';
import {findRange} from '../../model/key-ownership.js';
import type {Route, ServiceRule} from '../../model/route-configuration.js';
import {SlotEnd} from '../../model/slots.js';
import type {TargetStatement} from '../../model/target-statement.js';
import {attemptTimeoutMs} from '../admission/attempt-timeout.js';
import type {CoordinationPolicy} from '../admission/coordination-policy.js';
import {
	SlotOutcomeKind, type SlotOutcome, type SlotRequests, type SlotResult,
} from '../admission/slot-requests.js';
import type {FleetView} from '../fleet/fleet-view.js';
import type {Permits} from '../limits/permits.js';
import type {TargetStatements} from '../limits/target-statements.js';
import {RetryBudget} from '../retry-budget.js';
import {
	cannotServe, requestLogFields, isBodyConsumed, isServerFailure, remainingMs, RequestWay, type ForwardingContext,
} from './forwarding-context.js';
import type {RequestRelay} from './request-relay.js';
import {RouteDurations} from './route-durations.js';
import {StopAdmission} from './stop-admission.js';
import {chooseTarget} from './target-choice.js';
import type {LoadEstimate, TargetLoads} from './target-loads.js';

/** Requests with less time left than this are not sent, in milliseconds; a target could not answer them in time. */
const minUsefulBudgetMs = 10;

/** Longest wait for the new owner of a moving key, in milliseconds; a planned move takes less time. */
const maxMoveWaitMs = 1200;

/** Age up to which a reported load is passed on, in milliseconds; the shortest work of the deployments takes 76.5 ms. */
const loadReportValidityMs = 50;

/** Delay after a target answered that it does not own the key, unless the assignment changes sooner, in milliseconds. */
const misdirectedWaitMs = 80;

/** Attempts of one request that may reach targets which do not own the key. */
const misdirectedLimit = 4;

/** Attempts of one request at the owner of a key if the owner refuses although its queue is short. */
const refusalLimit = 3;

/** Attempts of one request that may fail before any byte leaves this daemon. */
const unsentLimit = 4;

/** Peers that one request may be relayed to in turn; only peers that did not run it are followed by another one. */
const relayLimit = 3;

/** Delays that callers are asked to wait before they retry, in milliseconds. */
const retryDelaysMs = {
	moving: 100,
	ownerLost: 400,
	/** Other daemons know the owners. */
	ownersUnconfirmed: 100,
	overloaded: 200,
	noTarget: 300,
	/** An operator ends the evacuation, so that a sooner retry rarely succeeds. */
	zoneEvacuated: 1000,
	starting: 300,
	/** Other daemons serve the request. */
	stopping: 50,
	/** Other daemons reach targets. */
	unreachable: 100,
};

/** Number of daemons that is assumed while the members are unknown. */
const assumedDaemonCount = 12;

/** Share of the retry budget that is used; the rest is a margin for daemons that have just joined. */
const usedBudgetShare = 0.8;

/** Connections that each daemon may always open to a target. */
const minConnections = 4;

/** Coordinated admission of requests. */
export type Coordination = {
	policy: CoordinationPolicy;
	requests: SlotRequests;
};

/** A request without a final answer. */
type OpenForwarding = {
	request: CallerRequest;
	/** Cancelled at the end of a stop. */
	ending: Cancellation;
	/** Undefined until the route is known. */
	context: ForwardingContext | undefined;
};

/** Dependencies and settings of the forwarder. */
export type ForwarderOptions = {
	availabilityZone: string;
	view: FleetView;
	loads: TargetLoads;
	statements: TargetStatements;
	permits: Permits;
	transport: RequestTransport;
	log: EventLog;
	retryRatio: number;
	/** Additional delivered attempts, in total for all daemons. */
	retryReserve: number;
	/** Missing if the daemon has no peers that forward requests for it. */
	relay?: RequestRelay;
	/** Missing if no service is coordinated. */
	coordination?: Coordination;
	random(): number;
	/** Records the key of a request for the load balancing of keyed services. */
	recordKey(service: string, key: number): void;
};

/** Forwards requests; one instance for each daemon. */
export class Forwarder {
	private readonly budgets = new Map<string, RetryBudget>();
	private readonly openForwardings = new Set<OpenForwarding>();
	/** True once requests have been answered because the daemon stops. */
	private hasEnded = false;
	private limitedAttempts = 0;
	private silentAttempts = 0;
	private unprovedRefusals = 0;
	private readonly durations = new RouteDurations();
	private readonly admission = new StopAdmission();

	constructor(private readonly options: ForwarderOptions) {}

	/** Number of requests without a final answer. */
	get inFlightCount(): number {
		return this.openForwardings.size;
	}

	/** Number of attempts since the start at targets that name a limit. */
	get limitedAttemptCount(): number {
		return this.limitedAttempts;
	}

	/** Number of attempts since the start that were given up because their targets stayed silent. */
	get silentAttemptCount(): number {
		return this.silentAttempts;
	}

	/** Number of answers since the start whose status says that the request did not run although it may have. */
	get unprovedRefusalCount(): number {
		return this.unprovedRefusals;
	}

	/** From now on, refuses requests that are not expected to end by this time. */
	endAt(time: number): void {
		this.admission.begin(time);
	}

	/**
	 * Ends all requests: those that may have run have an unknown outcome, the others are refused. A streamed answer that has begun
	 * continues. Nothing is sent from then on.
	 */
	endRequests(): void {
		this.hasEnded = true;
		for (const {ending} of this.openForwardings) {
			ending.cancel();
		}
	}

	/** Called periodically. */
	tick(): void {
		this.options.relay?.tick();
		this.options.coordination?.requests.tick();
	}

	/** Never rejects because of a failing target. */
	async forward(request: CallerRequest): Promise<Outcome> {
		if (this.hasEnded) {
			return this.refuseUnrouted(request, OutcomeReason.DaemonStopping, retryDelaysMs.stopping);
		}

		const open: OpenForwarding = {request, ending: new Cancellation(), context: undefined};
		this.openForwardings.add(open);
		try {
			const outcome = await this.routeUntilEnding(open);
			this.recordDuration(request, outcome);
			return outcome;
		} finally {
			this.openForwardings.delete(open);
		}
	}

	/** At the end of a stop, an attempt under way ends by itself; all other waits are given up here. */
	private async routeUntilEnding(open: OpenForwarding): Promise<Outcome> {
		return new Promise((resolve, reject) => {
			open.ending.subscribe(() => {
				if (!open.context?.isAttempting) {
					resolve(this.endOutcome(open));
				}
			});
			this.route(open).then(resolve, reject);
		});
	}

	private endOutcome({request, context}: OpenForwarding): Outcome {
		if (!context) {
			return this.refuseUnrouted(request, OutcomeReason.DaemonStopping, retryDelaysMs.stopping);
		}

		const {route, deliveredAttempts, relay} = context;
		return {
			...this.giveUp(context, OutcomeReason.DaemonStopping, retryDelaysMs.stopping), route, deliveredAttempts, relay,
		};
	}

	private recordDuration({receivedAt}: CallerRequest, {kind, route}: Outcome): void {
		if (route && [OutcomeKind.Answered, OutcomeKind.Streamed, OutcomeKind.TimedOut].includes(kind)) {
			this.durations.record(route.name, performance.now() - receivedAt);
		}
	}

	private async route(open: OpenForwarding): Promise<Outcome> {
		const {request} = open;
		const {view} = this.options;
		if (!view.routeIndex) {
			return this.refuseUnrouted(request, OutcomeReason.NoConfiguration);
		}

		if (view.freshness.isOutdated) {
			return this.refuseUnrouted(request, OutcomeReason.ConfigurationOutdated);
		}

		const path = request.path.split('?', 1)[0] ?? '';
		const isConfirmed = view.routeIndex.routeOf(request.host, path) !== undefined || await this.confirmConfiguration(request);
		// The confirmation may have brought a newer configuration.
		const index = view.routeIndex;
		const route = index.routeOf(request.host, path);
		if (!route) {
			return this.outcomeWithoutRoute(request, path, isConfirmed);
		}

		const service = index.nextService(request.host, path);
		if (!service) {
			return this.refuseUnrouted(request, OutcomeReason.RouteUnreadable);
		}

		const context = this.createContext(open, route, service);
		open.context = context;
		const {receivedAt} = request;
		const {isIdempotent, name} = route;
		if (!this.admission.isAccepted({
			receivedAt, deadlineAt: context.deadlineAt, isIdempotent, duration: this.durations.estimate(name),
		})) {
			return {...this.giveUp(context, OutcomeReason.DaemonStopping, retryDelaysMs.stopping), route};
		}

		const outcome = await this.attemptUntilFinal(context);
		this.releaseNextSlot(context);
		return {
			...outcome, route, deliveredAttempts: context.deliveredAttempts, relay: context.relay,
		};
	}

	/**
	 * Confirms that the configuration is the newest. Callers treat the absence of a route as final, so it must not be reported
	 * if a newer configuration may have one.
	 */
	private async confirmConfiguration({cancellation, budgetMs, receivedAt}: CallerRequest): Promise<boolean> {
		const leftMs = (budgetMs ?? Infinity) - (performance.now() - receivedAt) - minUsefulBudgetMs;
		return this.options.view.freshness.waitForEvidence(cancellation, leftMs);
	}

	private outcomeWithoutRoute(request: CallerRequest, path: string, isConfirmed: boolean): Outcome {
		const {view, log} = this.options;
		if (request.cancellation.isCancelled) {
			return {kind: OutcomeKind.Abandoned, reason: OutcomeReason.CallerLeft};
		}

		if (!isConfirmed) {
			return this.refuseUnrouted(request, OutcomeReason.ConfigurationUnconfirmed);
		}

		if (view.configuration?.hasUnknownRoutes) {
			return this.refuseUnrouted(request, OutcomeReason.RouteUnreadable);
		}

		log.record(LogEvent.RequestUnrouted, {
			request: request.requestId, host: request.host, path, version: view.configuration?.version, confirmedMsAgo: view.freshness.roundedAgeMs,
		});
		return {kind: OutcomeKind.NoRoute, reason: OutcomeReason.NoRoute};
	}

	/** Refuses a request for which no route has been determined. */
	private refuseUnrouted({requestId, host, path}: CallerRequest, reason: OutcomeReason, retryAfterMs = retryDelaysMs.starting): Outcome {
		const {view, log} = this.options;
		log.record(LogEvent.RequestRefused, {
			request: requestId, host, path, reason, version: view.configuration?.version, confirmedMsAgo: view.freshness.roundedAgeMs, retryAfterMs,
		});
		return {kind: OutcomeKind.NotRun, reason, retryAfterMs};
	}

	private createContext({request, ending}: OpenForwarding, route: Route, service: ServiceRule): ForwardingContext {
		if (!request.relay) {
			// A relayed request was counted by the daemon that received it.
			this.recordRequest(request, service);
		}

		const policy = this.options.coordination?.policy;
		policy?.recordRequest(service.name, route);
		return {
			request,
			route,
			service,
			isCoordinated: policy?.isCoordinated(service) === true,
			ending,
			isAttempting: false,
			deadlineAt: request.receivedAt + Math.min(request.budgetMs ?? route.timeoutMs, route.timeoutMs),
			triedTargets: new Set(),
			deniedTargets: new Map(),
			ownersRevision: undefined,
			deliveredAttempts: request.relay?.deliveredAttempts ?? 0,
			unsentAttempts: 0,
			misdirectedAttempts: 0,
			way: RequestWay.Direct,
			grant: undefined,
			nextGrant: undefined,
			relay: undefined,
			triedPeers: new Set(),
			mayHaveRun: false,
			lastDetail: '',
			lastFailure: undefined,
		};
	}

	private recordRequest({key}: CallerRequest, service: ServiceRule): void {
		this.budgetOf(service.name).deposit();
		if (service.isKeyed && key !== undefined) {
			this.options.recordKey(service.name, key);
		}
	}

	private async attemptUntilFinal(context: ForwardingContext): Promise<Outcome> {
		for (;;) {
			if (context.request.cancellation.isCancelled) {
				return this.abandon(context);
			}

			if (this.hasEnded) {
				return this.giveUp(context, OutcomeReason.DaemonStopping, retryDelaysMs.stopping);
			}

			if (remainingMs(context) < minUsefulBudgetMs) {
				return this.giveUp(context, OutcomeReason.Timeout, 0);
			}

			const {relay, view} = this.options;
			if (view.isEvacuated(context.service.name)) {
				return this.giveUp(context, OutcomeReason.ZoneEvacuated, retryDelaysMs.zoneEvacuated);
			}

			context.way = relay?.chooseWay(context) ?? RequestWay.Direct;
			if (context.way === RequestWay.Refusal) {
				return this.giveUp(context, OutcomeReason.TargetsUnreachable, retryDelaysMs.unreachable);
			}

			if (relay && context.way === RequestWay.Peer) {
				// eslint-disable-next-line no-await-in-loop -- attempts follow one another.
				const outcome = await this.relayOnce(context, relay);
				if (outcome) {
					return outcome;
				}

				continue;
			}

			if (context.deliveredAttempts > 0 && !context.nextGrant && !this.budgetOf(context.service.name).withdraw()) {
				return this.giveUp(context, OutcomeReason.RetryBudgetSpent, retryDelaysMs.overloaded);
			}

			// eslint-disable-next-line no-await-in-loop -- attempts follow one another.
			const outcome = await this.attemptOnce(context);
			if (outcome) {
				return outcome;
			}
		}
	}

	/**
	 * Relays the request to one peer; returns the final outcome, or undefined if another peer may follow. The peer applies the
	 * limits on attempts, so a request that may have reached a target through it is not sent again.
	 */
	private async relayOnce(context: ForwardingContext, relay: RequestRelay): Promise<Outcome | undefined> {
		const peer = context.triedPeers.size < relayLimit ? relay.choosePeer(context) : undefined;
		if (!peer) {
			return this.giveUp(context, OutcomeReason.TargetsUnreachable, retryDelaysMs.unreachable);
		}

		context.relay = peer.daemon;
		const result = await this.untilCallerLeaves(context, async cancellation => relay.send(context, peer, cancellation));
		context.lastDetail = result.detail ?? result.end;
		context.deliveredAttempts = result.deliveredAttempts;
		switch (result.end) {
			case AttemptEnd.Answered: {
				return {kind: OutcomeKind.Answered, answer: result.answer, body: result.body};
			}

			case AttemptEnd.Streamed: {
				return {kind: OutcomeKind.Streamed, answer: result.answer};
			}

			case AttemptEnd.Refused: {
				return this.giveUp(context, OutcomeReason.RelayRefused, result.retryAfterMs ?? retryDelaysMs.overloaded);
			}

			case AttemptEnd.UnprovedRefusal: {
				this.recordUnprovedRefusal(context, undefined, result);
				return this.withholdRefusal(context);
			}

			case AttemptEnd.Ambiguous: {
				context.mayHaveRun = true;
				return this.giveUp(context, result.isTimeout ? OutcomeReason.Timeout : OutcomeReason.AnswerLost, 0);
			}

			case AttemptEnd.NotSent:
			case AttemptEnd.Misdirected: {
				context.triedPeers.add(peer.daemon);
				return isBodyConsumed(context) ? this.giveUp(context, OutcomeReason.TargetsUnreachable, retryDelaysMs.unreachable) : undefined;
			}
		}
	}

	/** Makes one attempt; returns the final outcome, or undefined if another attempt may follow. */
	private async attemptOnce(context: ForwardingContext): Promise<Outcome | undefined> {
		for (;;) {
			if (this.options.view.isEvacuated(context.service.name)) {
				// A wait for an owner or a permit may have ended because of it.
				return undefined;
			}

			// eslint-disable-next-line no-await-in-loop -- see below.
			const refusal = context.service.isKeyed && await this.confirmOwners(context);
			if (refusal) {
				return refusal;
			}

			const found = this.findTarget(context);
			// eslint-disable-next-line no-await-in-loop -- one target is considered after another.
			const chosen = found instanceof Promise ? await found : found;
			if (!chosen) {
				return undefined;
			}

			if ('kind' in chosen) {
				return chosen;
			}

			// A target without a limit is sent to in the same turn, so that its load counts for the next choice.
			// eslint-disable-next-line no-await-in-loop -- see above.
			const admission = this.options.statements.limitOf(chosen) === undefined || await this.admit(context, chosen);
			if (admission !== true) {
				this.releaseSlot(context, {end: SlotEnd.Unused});
			}

			if (typeof admission === 'object') {
				return admission;
			}

			if (admission) {
				// eslint-disable-next-line no-await-in-loop -- see above.
				return this.handleResult(context, chosen, await this.send(context, chosen));
			}

			if (context.request.cancellation.isCancelled || remainingMs(context) < minUsefulBudgetMs) {
				return undefined;
			}
		}
	}

	/** Chooses in the same turn for services that are neither keyed nor coordinated, so that the load counts for the next choice. */
	private findTarget(context: ForwardingContext): Target | Outcome | Promise<Target | Outcome | undefined> {
		const {service, isCoordinated} = context;
		if (isCoordinated) {
			return this.findCoordinatedTarget(context);
		}

		return service.isKeyed ? this.findOwner(context) : this.chooseUnkeyedTarget(context);
	}

	private async findCoordinatedTarget(context: ForwardingContext): Promise<Target | Outcome | undefined> {
		if (!context.service.isKeyed) {
			return this.acquireTarget(context);
		}

		const owner = await this.findOwner(context);
		return owner && !('kind' in owner) ? this.acquireTarget(context, owner) : owner;
	}

	/** Waits for a slot, at the owner of the key or at any target. Without an answer of a coordinator, the target is chosen as without coordination. */
	private async acquireTarget(context: ForwardingContext, owner?: Target): Promise<Target | Outcome | undefined> {
		const {nextGrant} = context;
		if (nextGrant) {
			context.nextGrant = undefined;
			context.grant = nextGrant;
			return this.takeGrantedTarget(context, nextGrant.target);
		}

		const outcome = await this.acquireSlot(context, owner, context.request.cancellation);
		if (outcome?.kind === SlotOutcomeKind.Denied && outcome.isUnknownTarget && owner) {
			// The coordinator knows a newer owner, or will soon know this one.
			return this.waitForOwner(context, OutcomeReason.KeyMoving, retryDelaysMs.moving);
		}

		if (outcome?.kind === SlotOutcomeKind.Denied) {
			return this.giveUp(context, OutcomeReason.Overloaded, outcome.retryAfterMs);
		}

		if (outcome?.kind === SlotOutcomeKind.Granted) {
			context.grant = outcome.grant;
			return this.takeGrantedTarget(context, outcome.grant.target);
		}

		return owner ? this.refuseColdOwner(context, owner) ?? this.refuseLateAnswer(context, owner) ?? owner : this.chooseUnkeyedTarget(context);
	}

	/** @param excluded targets beside those that earlier attempts used */
	private async acquireSlot(context: ForwardingContext, owner: Target | undefined, cancellation: Cancellation, excluded: readonly string[] = []): Promise<SlotOutcome | undefined> {
		const {service, route: {priority, targetLatencyMs}, request: {receivedAt}, deadlineAt} = context;
		return this.options.coordination?.requests.acquire({
			service: service.name,
			target: owner?.id,
			// A key has only one owner, which is asked again.
			excluded: owner ? [] : [...context.triedTargets, ...context.deniedTargets.keys(), ...excluded],
			priority,
			targetLatencyMs,
			dueAt: receivedAt + targetLatencyMs,
			deadlineAt,
		}, cancellation);
	}

	/**
	 * Acquires the slot and the retry of another attempt while the present one goes on. Without them, a request at which its target is at
	 * work would be broken off for an attempt that is then denied.
	 *
	 * @param ended cancelled when the present attempt ends
	 */
	private async acquireNextSlot(context: ForwardingContext, target: Target, ended: Cancellation): Promise<boolean> {
		if (!this.mayRepeat(context)) {
			return false;
		}

		const outcome = await this.acquireSlot(context, context.service.isKeyed ? target : undefined, ended, [target.id]);
		if (outcome?.kind !== SlotOutcomeKind.Granted) {
			return false;
		}

		context.nextGrant = outcome.grant;
		const isUseful = !ended.isCancelled && remainingMs(context) > outcome.grant.responseMs;
		if (isUseful && this.mayRepeat(context) && this.budgetOf(context.service.name).withdraw()) {
			return true;
		}

		this.releaseNextSlot(context);
		return false;
	}

	private releaseNextSlot(context: ForwardingContext): void {
		if (context.nextGrant) {
			this.options.coordination?.requests.release(context.nextGrant.number, {end: SlotEnd.Unused});
			context.nextGrant = undefined;
		}
	}

	/** The target may have left, or the key may have moved, while the request waited for its slot. */
	private takeGrantedTarget(context: ForwardingContext, id: string): Target | undefined {
		const {view, statements} = this.options;
		const {service, request: {cancellation}} = context;
		const target = view.findTarget(id);
		const isUsable = target?.service === service.name && view.isReady(target) && statements.pauseLeftMs(target) === 0
			&& (!service.isKeyed || (view.mayUseOwners && this.isOwner(context, target)));
		if (isUsable && !cancellation.isCancelled && remainingMs(context) >= minUsefulBudgetMs) {
			return target;
		}

		this.releaseSlot(context, {end: SlotEnd.Unused});
		if (!service.isKeyed && !isUsable) {
			// The coordinator knows less of the target than this daemon and would grant the same slot again.
			context.triedTargets.add(id);
		}

		return undefined;
	}

	private releaseSlot(context: ForwardingContext, result: SlotResult): void {
		if (context.grant) {
			this.options.coordination?.requests.release(context.grant.number, result);
			context.grant = undefined;
		}
	}

	/** A cold target gets no request without a slot, because no daemon knows what the others send to it. */
	private refuseColdOwner(context: ForwardingContext, {id}: Target): Outcome | undefined {
		const isBound = context.service.warmUpPerS !== undefined && this.options.view.warmUpLeft(id) > 0;
		return isBound ? this.giveUp(context, OutcomeReason.Overloaded, retryDelaysMs.noTarget) : undefined;
	}

	private chooseUnkeyedTarget(context: ForwardingContext): Target | Outcome {
		const {view, loads, permits, statements, availabilityZone, random} = this.options;
		const now = performance.now();
		const ready = view.readyTargets(context.service.name, now);
		const targets = context.service.warmUpPerS === undefined ? ready : ready.filter(({id}) => view.warmUpLeft(id, now) === 0);
		for (const target of targets) {
			const deniedMs = Math.max(permits.deniedMs(target, context.route.priority, now), statements.pauseLeftMs(target, now));
			if (deniedMs > 0) {
				context.deniedTargets.set(target.id, deniedMs);
			}
		}

		const candidate = chooseTarget(loads, {
			targets,
			excludedTargets: new Set([...context.triedTargets, ...context.deniedTargets.keys()]),
			route: context.route,
			availabilityZone,
			connectionLimit: this.connectionLimit(context.service),
			random,
			now,
			warmUpLeft: id => view.warmUpLeft(id, now),
		});
		if (!candidate) {
			return this.giveUpWithoutTarget(context, targets.length);
		}

		if (!context.mayHaveRun && cannotServe(candidate.estimate, context)) {
			return this.giveUp(context, OutcomeReason.Overloaded, backlogRetryDelayMs(candidate.estimate));
		}

		return candidate.target;
	}

	private giveUpWithoutTarget(context: ForwardingContext, targetCount: number): Outcome {
		if (context.deniedTargets.size > 0) {
			return this.giveUp(context, OutcomeReason.TargetLimit, Math.min(...context.deniedTargets.values()));
		}

		return this.giveUp(context, targetCount === 0 ? OutcomeReason.NoTarget : OutcomeReason.AttemptsUsed, retryDelaysMs.noTarget);
	}

	/** Waits for a permit if the target names a limit. Returns true if the attempt may be sent, or the outcome if there is no other target. */
	private async admit(context: ForwardingContext, target: Target): Promise<boolean | Outcome> {
		const {permits, statements, view, loads} = this.options;
		const {service, route, request: {cancellation}} = context;
		const hasAlternative = !service.isKeyed && view.readyTargets(service.name)
			.some(({id, bornAt, address}) => !context.triedTargets.has(id) && !context.deniedTargets.has(id) && statements.limitOf({id, bornAt, address}) === undefined);
		const waitMs = hasAlternative ? 0 : permitWaitMs(loads.estimate(target), context);
		const {isAdmitted, retryAfterMs} = await permits.acquire(target, route.priority, waitMs, cancellation);
		if (isAdmitted) {
			// The target may have left, or the key may have moved, while the request waited for its turn.
			return statements.pauseLeftMs(target) === 0 && view.isReady(target) && (!service.isKeyed || (view.mayUseOwners && this.isOwner(context, target)));
		}

		context.deniedTargets.set(target.id, retryAfterMs);
		return service.isKeyed ? this.giveUp(context, OutcomeReason.TargetLimit, retryAfterMs) : false;
	}

	/** True if the target owns the request's key and serves it now. */
	private isOwner({request, service}: ForwardingContext, target: Target): boolean {
		const ranges = this.options.view.assignments.get(service.name)?.assignment.ranges ?? [];
		const range = findRange(ranges, request.key ?? 0);
		return range?.previous.length === 0 && !range.isBlocked && isSameIncarnation(range.owner, target);
	}

	/** Waits shortly for evidence that the known owners are the newest ones; returns the refusal if none came. */
	private async confirmOwners(context: ForwardingContext): Promise<Outcome | undefined> {
		const {view} = this.options;
		if (view.mayUseOwners || await view.ownerFreshness.waitForEvidence(context.request.cancellation, remainingMs(context) - minUsefulBudgetMs)) {
			return undefined;
		}

		return this.giveUp(context, OutcomeReason.OwnersUnconfirmed, retryDelaysMs.ownersUnconfirmed);
	}

	/** Returns the owner of the request's key; undefined if the assignment changed during a wait, so that the lookup starts again. */
	private async findOwner(context: ForwardingContext): Promise<Target | Outcome | undefined> {
		const {view} = this.options;
		const {request, service} = context;
		const known = view.assignments.get(service.name);
		context.ownersRevision = known?.revision;
		const range = known && findRange(known.assignment.ranges, request.key ?? 0);
		if (!range) {
			return this.waitForOwner(context, OutcomeReason.NoOwner, retryDelaysMs.starting);
		}

		if (range.isBlocked) {
			return this.giveUp(context, OutcomeReason.OwnerLost, retryDelaysMs.ownerLost);
		}

		const target = view.findTarget(range.owner.id);
		if (range.previous.length > 0 || !target || !isSameIncarnation(target, range.owner) || !view.isReady(range.owner)) {
			return this.waitForOwner(context, OutcomeReason.KeyMoving, retryDelaysMs.moving);
		}

		const pauseMs = this.options.statements.pauseLeftMs(target);
		if (pauseMs > 0) {
			return this.giveUp(context, OutcomeReason.TargetPaused, pauseMs);
		}

		return context.isCoordinated ? target : this.refuseLateAnswer(context, target) ?? target;
	}

	/** Refuses a request that the owner of its key would answer too late or refuse; undefined if it may be sent. */
	private refuseLateAnswer(context: ForwardingContext, owner: Target): Outcome | undefined {
		const {view, loads} = this.options;
		const estimate = loads.estimate(owner, {warmUpLeftMs: view.warmUpLeft(owner.id), connectionLimit: this.connectionLimit(context.service)});
		return !context.mayHaveRun && cannotServe(estimate, context) ? this.giveUp(context, OutcomeReason.Overloaded, backlogRetryDelayMs(estimate)) : undefined;
	}

	private async waitForOwner(context: ForwardingContext, reason: OutcomeReason, retryAfterMs: number): Promise<Outcome | undefined> {
		const waitMs = Math.min(maxMoveWaitMs, remainingMs(context) - minUsefulBudgetMs);
		const isChanged = await this.options.view.waitForAssignmentChange(context.request.cancellation, waitMs);
		return isChanged ? undefined : this.giveUp(context, reason, retryAfterMs);
	}

	private async send(context: ForwardingContext, target: Target): Promise<AttemptResult> {
		const {loads, transport, statements} = this.options;
		const sentAt = performance.now();
		const key = loads.startAttempt(target);
		this.limitedAttempts += statements.limitOf(target) === undefined ? 0 : 1;
		const budgetMs = remainingMs(context);
		const timeoutMs = this.attemptTimeoutMs(context, target, budgetMs) ?? budgetMs;
		const ended = new Cancellation();
		let answerStartedAt: number | undefined;
		let reported: TargetStatement | undefined;
		const recordEnd = this.options.relay?.startAttempt(target);
		const result = await this.untilCallerLeaves(context, async cancellation => transport.send(context.request, {
			target,
			budgetMs,
			timeoutMs,
			cancellation,
			connectionLimit: this.connectionLimit(context.service),
			isIdempotent: context.route.isIdempotent,
			usesOpenConnection: context.way === RequestWay.OpenConnection,
			ending: context.ending,
			mayBeSent: () => this.mayBeSent(context, target),
			mayGiveUp: async () => this.acquireNextSlot(context, target, ended),
			onStatement: statement => {
				statements.record(target, statement, sentAt);
				answerStartedAt = performance.now();
				reported = statement;
				this.recordWarmUp(context, target, statement);
			},
		}));
		ended.cancel();
		if (result.isGivenUp !== true) {
			this.releaseNextSlot(context);
		}

		const isUnknown = this.isWithoutEvidence(context, target, result);
		const endedAt = performance.now();
		// A slow caller delays the end of a streamed answer, whose head has reported load and warm-up time.
		const ageMs = endedAt - (answerStartedAt ?? endedAt);
		this.releaseSlot(context, {
			end: isUnknown ? SlotEnd.Unused : slotEndOf(result),
			durationMs: Math.round((result.end === AttemptEnd.Streamed ? endedAt - ageMs : endedAt) - sentAt),
			load: ageMs > loadReportValidityMs ? undefined : reported?.load,
			warmUpLeftMs: context.service.warmUpPerS === undefined || reported?.warmUpLeftMs === undefined ? undefined : Math.max(0, reported.warmUpLeftMs - ageMs),
		});
		if (isUnknown) {
			recordEnd?.(undefined);
			loads.recordAbandoned(target, key);
			return result;
		}

		if (result.isGivenUp === true) {
			this.silentAttempts += 1;
			this.options.log.record(LogEvent.AttemptSilent, {...requestLogFields(context), target: target.id, timeoutMs: Math.round(timeoutMs)});
			// The silence may show that this daemon is cut off, which is checked while the attempt still counts.
			this.options.relay?.tick();
		}

		recordEnd?.(result);
		this.recordLoad(context, target, key, result);
		return result;
	}

	/** True if the result says nothing about the target: the daemon held the attempt back or ended it, or the caller left. */
	private isWithoutEvidence(context: ForwardingContext, target: Target, {end}: AttemptResult): boolean {
		const wasHeldBack = end === AttemptEnd.NotSent && (context.way === RequestWay.OpenConnection || !this.mayBeSent(context, target));
		const wasEnded = end === AttemptEnd.Ambiguous && this.hasEnded;
		return wasHeldBack || wasEnded || context.request.cancellation.isCancelled;
	}

	/** Time after which a silent attempt is given up, in milliseconds; undefined if it may use all the time that is left. */
	private attemptTimeoutMs(context: ForwardingContext, target: Target, leftMs: number): number | undefined {
		const {grant} = context;
		if (!context.isCoordinated) {
			return undefined;
		}

		return attemptTimeoutMs({
			responseMs: grant?.responseMs ?? this.options.loads.estimate(target).responseMs,
			leftMs,
			mayRepeat: this.mayRepeat(context),
		});
	}

	/** True if another attempt could follow the present one; during a stop, a request at which its target is at work is not broken off. */
	private mayRepeat({route, service, request, deliveredAttempts}: ForwardingContext): boolean {
		return route.isIdempotent && deliveredAttempts + 1 < route.maxAttempts && !(request.body instanceof Readable)
			&& !this.admission.hasBegun && this.budgetOf(service.name).allowsRetry;
	}

	/** Only services with a bound on cold targets are told apart by the warm-up time in answers. */
	private recordWarmUp({service}: ForwardingContext, {id}: Target, {warmUpLeftMs = 0}: TargetStatement): void {
		if (service.warmUpPerS !== undefined && this.options.view.extendWarmUp(id, warmUpLeftMs)) {
			this.options.log.record(LogEvent.TargetCold, {target: id, warmUpLeftMs});
		}
	}

	/** False at the end of a stop, if the known owners may be outdated, or if the target's zone was evacuated while the request waited for a connection. */
	private mayBeSent({service}: ForwardingContext, target: Target): boolean {
		const {view} = this.options;
		return !this.hasEnded && (!service.isKeyed || view.mayUseOwners) && (view.evacuatedZones.size === 0 || view.isReady(target));
	}

	/** Runs an attempt with a cancellation for when the caller leaves. */
	private async untilCallerLeaves<Result>(context: ForwardingContext, run: (cancellation: Cancellation) => Promise<Result>): Promise<Result> {
		const cancellation = new Cancellation();
		const onCallerLeft = (): void => {
			// A request that must not be repeated runs to its end even if the caller left.
			if (context.route.isIdempotent) {
				cancellation.cancel();
			}
		};

		context.request.cancellation.subscribe(onCallerLeft);
		context.isAttempting = true;
		const result = await run(cancellation);
		context.isAttempting = false;
		context.request.cancellation.unsubscribe(onCallerLeft);
		return result;
	}

	private recordLoad(context: ForwardingContext, target: Target, key: number, result: AttemptResult): void {
		const {loads} = this.options;
		switch (result.end) {
			case AttemptEnd.Answered:
			case AttemptEnd.UnprovedRefusal:
			case AttemptEnd.Streamed: {
				loads.recordAnswer(target, key, isServerFailure(result));
				break;
			}

			case AttemptEnd.Misdirected: {
				loads.recordAbandoned(target, key);
				break;
			}

			case AttemptEnd.Refused: {
				loads.recordRefusal(target, key);
				break;
			}

			case AttemptEnd.Ambiguous:
			case AttemptEnd.NotSent: {
				const ejectionMs = loads.recordFailure(target, key);
				this.options.log.record(LogEvent.TargetEjected, {
					...requestLogFields(context), target: target.id, ejectionMs, detail: result.detail,
				});
				break;
			}
		}
	}

	/**
	 * Records an answer whose status says that the request did not run although the target did not say so.
	 *
	 * @param target undefined if a peer passed the answer on
	 */
	private recordUnprovedRefusal(context: ForwardingContext, target: Target | undefined, {end, answer}: AttemptResult): void {
		const isWithheld = end === AttemptEnd.UnprovedRefusal;
		const isAnswer = isWithheld || end === AttemptEnd.Answered || end === AttemptEnd.Streamed;
		if (!isAnswer || !answer || !isRefusalStatus(answer.status)) {
			return;
		}

		this.unprovedRefusals += 1;
		this.options.log.record(LogEvent.RefusalUnproved, {
			...requestLogFields(context), target: target?.id, status: answer.status, isSealed: answer.isSealed, isWithheld,
		});
	}

	/** The caller would take the target's status for the promise that the request has not run, and repeat it. */
	private withholdRefusal(context: ForwardingContext): Outcome {
		context.mayHaveRun = true;
		return this.giveUp(context, OutcomeReason.RefusalUnproved, 0);
	}

	/** Decides what follows from the result of an attempt. */
	private async handleResult(context: ForwardingContext, target: Target, result: AttemptResult): Promise<Outcome | undefined> {
		context.lastDetail = result.detail ?? result.end;
		if (result.end === AttemptEnd.NotSent) {
			context.unsentAttempts += 1;
			context.triedTargets.add(target.id);
			if (!this.hasEnded) {
				await this.options.relay?.confirmCutOff();
			}

			return this.retryOrGiveUp(context, result, context.unsentAttempts < unsentLimit);
		}

		context.deliveredAttempts += 1;
		this.recordUnprovedRefusal(context, target, result);
		switch (result.end) {
			case AttemptEnd.Answered: {
				return this.handleAnswer(context, target, result);
			}

			case AttemptEnd.Streamed: {
				return {kind: OutcomeKind.Streamed, answer: result.answer};
			}

			case AttemptEnd.Misdirected: {
				return this.handleMisdirection(context, target, result);
			}

			case AttemptEnd.Refused: {
				return this.handleRefusal(context, target, result);
			}

			case AttemptEnd.UnprovedRefusal: {
				return this.withholdRefusal(context);
			}

			case AttemptEnd.Ambiguous: {
				context.triedTargets.add(target.id);
				context.mayHaveRun = true;
				return this.retryOrGiveUp(context, result, this.isRetryAllowed(context));
			}
		}
	}

	/** Another target may have spare capacity; a key has only one owner, which is tried again unless its queue is full. */
	private handleRefusal(context: ForwardingContext, target: Target, result: AttemptResult): Outcome | undefined {
		if (context.service.isKeyed) {
			const {isFull} = this.options.loads.estimate(target);
			return this.retryOrGiveUp(context, result, !isFull && context.deliveredAttempts < refusalLimit);
		}

		context.triedTargets.add(target.id);
		return this.retryOrGiveUp(context, result, context.deliveredAttempts < context.route.maxAttempts);
	}

	private async handleMisdirection(context: ForwardingContext, target: Target, result: AttemptResult): Promise<Outcome | undefined> {
		context.misdirectedAttempts += 1;
		if (!context.service.isKeyed) {
			context.triedTargets.add(target.id);
		} else if (context.misdirectedAttempts < misdirectedLimit) {
			await this.options.view.waitForAssignmentChange(context.request.cancellation, Math.min(misdirectedWaitMs * context.misdirectedAttempts, remainingMs(context)));
		}

		return this.retryOrGiveUp(context, result, context.misdirectedAttempts < misdirectedLimit);
	}

	/** A request whose target answered with a server error may be retried at another target; the last such answer is passed on. */
	private handleAnswer(context: ForwardingContext, target: Target, result: AttemptResult): Outcome | undefined {
		context.triedTargets.add(target.id);
		if (!isServerFailure(result)) {
			return {kind: OutcomeKind.Answered, answer: result.answer, body: result.body};
		}

		context.lastFailure = result;
		context.mayHaveRun = true;
		return this.retryOrGiveUp(context, result, !context.service.isKeyed && this.isRetryAllowed(context));
	}

	private isRetryAllowed({route, deliveredAttempts}: ForwardingContext): boolean {
		return route.isIdempotent && deliveredAttempts < route.maxAttempts;
	}

	private retryOrGiveUp(context: ForwardingContext, result: AttemptResult, mayRetry: boolean): Outcome | undefined {
		if (this.hasEnded) {
			return this.giveUp(context, OutcomeReason.DaemonStopping, retryDelaysMs.stopping);
		}

		if (!mayRetry || isBodyConsumed(context)) {
			return this.giveUp(context, result.isTimeout ? OutcomeReason.Timeout : OutcomeReason.AttemptsUsed, retryDelaysMs.overloaded);
		}

		this.options.log.record(LogEvent.RequestRetried, {...requestLogFields(context), end: result.end, detail: result.detail});
		return undefined;
	}

	private giveUp(context: ForwardingContext, reason: OutcomeReason, retryAfterMs: number): Outcome {
		if (context.request.cancellation.isCancelled) {
			return this.abandon(context);
		}

		if (context.lastFailure) {
			const {answer, body} = context.lastFailure;
			return {
				kind: OutcomeKind.Answered, answer, body, reason,
			};
		}

		const isTimeout = reason === OutcomeReason.Timeout;
		if (context.mayHaveRun) {
			const kind = isTimeout ? OutcomeKind.TimedOut : OutcomeKind.Unknown;
			this.options.log.record(LogEvent.RequestUnknown, {...requestLogFields(context), reason, detail: context.lastDetail});
			return {kind, reason};
		}

		this.options.log.record(LogEvent.RequestRefused, {
			...requestLogFields(context), reason, detail: context.lastDetail, retryAfterMs,
		});
		return {kind: OutcomeKind.NotRun, reason, retryAfterMs};
	}

	private abandon(context: ForwardingContext): Outcome {
		this.options.log.record(LogEvent.RequestAbandoned, requestLogFields(context));
		return {kind: OutcomeKind.Abandoned, reason: OutcomeReason.CallerLeft};
	}

	private daemonCount(): number {
		return this.options.view.members.size || assumedDaemonCount;
	}

	private connectionLimit(service: ServiceRule): number {
		return Math.max(minConnections, Math.floor(service.maxConnections / (this.daemonCount() + 1)));
	}

	/** Each daemon uses an equal part of the budget that all share. */
	private budgetOf(service: string): RetryBudget {
		const reserve = Math.floor(this.options.retryReserve * usedBudgetShare / this.daemonCount());
		const budget = this.budgets.get(service) ?? new RetryBudget(this.options.retryRatio * usedBudgetShare, reserve);
		budget.setReserve(reserve);
		this.budgets.set(service, budget);
		return budget;
	}
}

/** Time for which a request can wait for a permit and still be answered within the target latency, in milliseconds. */
function permitWaitMs({responseMs}: LoadEstimate, context: ForwardingContext): number {
	const elapsedMs = performance.now() - context.request.receivedAt;
	return Math.max(0, Math.min(context.route.targetLatencyMs - elapsedMs, remainingMs(context)) - responseMs);
}

/** What the result of an attempt says about the use of its slot. */
function slotEndOf(result: AttemptResult): SlotEnd {
	switch (result.end) {
		case AttemptEnd.Answered:
		case AttemptEnd.UnprovedRefusal:
		case AttemptEnd.Streamed: {
			return isServerFailure(result) ? SlotEnd.Failed : SlotEnd.Answered;
		}

		case AttemptEnd.Refused: {
			return SlotEnd.Refused;
		}

		case AttemptEnd.Misdirected: {
			return SlotEnd.Unused;
		}

		case AttemptEnd.Ambiguous:
		case AttemptEnd.NotSent: {
			return SlotEnd.Silent;
		}
	}
}

/** By the time the caller retries, half of the backlog has been processed. */
function backlogRetryDelayMs({responseMs}: LoadEstimate): number {
	return Math.max(retryDelaysMs.moving, responseMs / 2);
}
