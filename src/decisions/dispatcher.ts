/**
 * Dispatch of requests to servers: routing, waiting, claims, retries and outcomes.
 */
import {
	MovePhase, ownerOf, type Assignment,
} from '../model/assignment.js';
import {
	AtMostOnceProof, Fencing, type Server, type Service,
} from '../model/configuration.js';
import {
	DuplicateInstructionError, NotRunError, NotRunReason, OutcomeUnknownError, RouterError,
} from '../model/errors.js';
import {ContractHeader} from '../model/headers.js';
import {Cancellation} from '../model/cancellation.js';
import type {LoadReport} from '../model/peer.js';
import {
	AttemptEnd, type AttemptResult, type RequestTransport, type RoutedRequest,
} from '../model/request.js';
import type {Timing} from '../model/timing.js';
import {CircuitBreaker} from './circuit-breaker.js';
import {KeySketch} from './hot-spots.js';
import {InFlight, type FlightEntry} from './in-flight.js';
import type {Claim, InstructionClaims} from './instruction-claims.js';
import {OutcomeKind, type Outcome} from './outcome.js';
import type {Replica} from './replica.js';
import {RetryBudget} from './retry-budget.js';
import {ServerGate, type GateLimits, type Waiter} from './server-gate.js';
import type {ServerChoice} from './server-choice.js';
import {Contact, type ServerDetector} from './server-detector.js';
import {shardOfKey} from './shard-hash.js';
import type {SlowStart} from './slow-start.js';
import type {VmDirectory} from './vm-directory.js';
import {PriorityOrder} from './wait-order.js';

/** What a dispatcher needs. */
export type DispatcherParts = {
	daemon: string;
	replica: Replica;
	directory: VmDirectory;
	detector: ServerDetector;
	claims: InstructionClaims;
	choice: ServerChoice;
	slowStart: SlowStart;
	transport: RequestTransport;
	/** Secret that daemons share, sent with forwarded work. */
	peerSecret: string;
	timing: Timing;
};

/** Where a request goes. */
type Route = {
	server: Server;
	shard: number | undefined;
	epoch: number | undefined;
};

/** A place at a server, held from admission to the end of the attempt. */
type Place = {
	route: Route;
	gate: ServerGate;
	takenAt: number;
};

/** What earlier attempts of a request left behind. */
type Progress = {
	claim: Claim | undefined;
	/** True if an attempt ended without telling whether the server ran the request. */
	mayHaveRun: boolean;
};

/** A request that waits for its shard to be served again. */
type PausedWaiter = Waiter & {
	isRoutable: () => boolean;
};

/** Connections of one daemon to another for forwarded work. */
const forwardConnections = 32;

/** Requests that one daemon lets wait for one server. */
const maxWaiting = 256;

/** Requests for paused shards that one daemon lets wait. */
const maxPaused = 4096;

/** Delay before a server that refused an epoch is asked again, in milliseconds. */
const fencedRetryMs = 10;

/** Keys that the hot-key sketch follows per service. */
const sketchCapacity = 512;

/** Keys that a load report names. */
const reportedKeys = 16;

/** Longest delay of a request for a paused or unowned shard before it is refused, in milliseconds. */
const maxPauseWaitMs = 2000;

/**
 * Dispatches requests under the route lease and the newest assignment.
 */
export class Dispatcher {
	readonly inFlight = new InFlight();
	private readonly gates = new Map<string, ServerGate>();
	private readonly breakers = new Map<string, CircuitBreaker>();
	private readonly paused = new Set<PausedWaiter>();
	private readonly retryBudgets = new Map<string, RetryBudget>();
	private readonly sketches = new Map<string, KeySketch>();
	private readonly shardCounts = new Map<string, Map<number, number>>();
	private readonly reportedAt = new Map<string, number>();
	private servers = new Map<string, Server>();
	private serversOfService = new Map<string, Server[]>();
	private configurationVersion = -1;
	private isShuttingDown = false;

	constructor(private readonly parts: DispatcherParts) {
		parts.replica.subscribe(() => {
			this.onReplicaChange();
		});
	}

	/** Number of requests in flight or waiting. */
	get load(): number {
		let load = this.paused.size;
		for (const gate of this.gates.values()) {
			load += gate.load;
		}

		return load;
	}

	/** Refuses new requests; those accepted before go on to their end. */
	beginShutdown(): void {
		this.isShuttingDown = true;
	}

	/** Runs a request to its outcome; never rejects. */
	async dispatch(request: RoutedRequest): Promise<Outcome> {
		if (this.isShuttingDown) {
			return refusal(new NotRunError(NotRunReason.ShuttingDown, 100));
		}

		this.budgetOf(request.service.name).deposit();
		const progress: Progress = {claim: undefined, mayHaveRun: false};
		try {
			return await this.attemptUntilEnd(request, progress);
		} catch (error) {
			return this.failure(error, progress);
		}
	}

	/** Gives up waiting that took too long and cancels stragglers; called once a tick. */
	tick(now = performance.now()): void {
		this.refreshServers();
		for (const gate of this.gates.values()) {
			gate.expire(now);
		}

		for (const waiter of this.paused) {
			if (now >= waiter.expiresAt) {
				this.paused.delete(waiter);
				waiter.refuse(new NotRunError(NotRunReason.Paused, 500));
			}
		}

		for (const {value} of this.parts.replica.allAssignments()) {
			this.inFlight.enforce(value, this.parts.timing.drainGraceMs, now);
		}

		this.inFlight.expire(now);
		this.releasePaused();
	}

	/** Returns the load of a service since the last report. */
	report(service: string, now = performance.now()): LoadReport {
		const counts = this.shardCounts.get(service) ?? new Map<number, number>();
		const report: LoadReport = {
			daemon: this.parts.daemon,
			intervalMs: now - (this.reportedAt.get(service) ?? now),
			shards: [...counts].map(([shard, requests]) => ({shard, requests})),
			keys: this.sketches.get(service)?.top(reportedKeys) ?? [],
		};
		counts.clear();
		this.sketches.get(service)?.clear();
		this.reportedAt.set(service, now);
		return report;
	}

	/** Applies connection shares after a change of members or servers. */
	updateLimits(): void {
		for (const [id, gate] of this.gates) {
			const server = this.servers.get(id);
			if (server) {
				gate.setLimits(this.limitsOf(server));
			}
		}
	}

	private async attemptUntilEnd(request: RoutedRequest, progress: Progress): Promise<Outcome> {
		for (let attempt = 0; ; attempt++) {
			// eslint-disable-next-line no-await-in-loop -- attempts follow one another.
			const forwarded = attempt === 0 ? await this.forwardLongWork(request, progress) : undefined;
			if (forwarded) {
				return forwarded;
			}

			// eslint-disable-next-line no-await-in-loop -- attempts follow one another.
			const place = await this.enter(request);
			// eslint-disable-next-line no-await-in-loop -- the claim belongs to this attempt.
			const result = await this.runAttempt(request, place, progress);
			progress.mayHaveRun ||= result.end === AttemptEnd.Ambiguous;
			const outcome = this.outcomeOf(request, place.route.server.id, result);
			if (outcome) {
				return this.settle(outcome, progress);
			}

			if (result.reason === NotRunReason.Fenced) {
				// eslint-disable-next-line no-await-in-loop -- the server's grant is on its way.
				await delay(fencedRetryMs);
			}
		}
	}

	/**
	 * Sends long work through the home daemon of its server, which alone can keep it from taking every slot. Returns
	 * undefined if this daemon shall serve the request itself.
	 */
	private async forwardLongWork(request: RoutedRequest, progress: Progress): Promise<Outcome | undefined> {
		if (!request.requestClass.long || request.isForwarded || !request.service.divided) {
			return undefined;
		}

		const route = this.route(request);
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
		const isUnserved = result.end === AttemptEnd.NotRun && result.reason === NotRunReason.Connect;
		if (isUnserved && !result.bodyUsed) {
			return undefined;
		}

		progress.mayHaveRun ||= result.end === AttemptEnd.Ambiguous;
		return this.outcomeOf(request, home.id, result);
	}

	private async runAttempt(request: RoutedRequest, place: Place, progress: Progress): Promise<AttemptResult> {
		const {service, requestClass, instructionId} = request;
		const needsClaim = !requestClass.idempotent && service.atMostOnce === AtMostOnceProof.StoreClaim;
		try {
			if (needsClaim && !progress.claim) {
				progress.claim = await this.parts.claims.claim(service.name, instructionId ?? '');
			}

			return await this.send(request, place);
		} finally {
			place.gate.release(requestClass.long, performance.now() - place.takenAt);
		}
	}

	/** Waits for a place at the server that owns the request's key, or at the least loaded server. */
	private async enter(request: RoutedRequest): Promise<Place> {
		for (;;) {
			if (request.cancellation.isCancelled) {
				throw new NotRunError(NotRunReason.Cancelled);
			}

			const route = this.route(request);
			if (!route) {
				// eslint-disable-next-line no-await-in-loop -- the route is chosen anew after each wait.
				await this.waitForRoute(request);
				continue;
			}

			// eslint-disable-next-line no-await-in-loop -- the route is checked anew after each wait.
			const place = await this.waitAtGate(request, route);
			if (place) {
				return place;
			}
		}
	}

	/** Returns the route of a request; undefined while its shard is paused or has no owner. */
	private route(request: RoutedRequest): Route | undefined {
		this.refreshServers();
		const {service, key} = request;
		if (!service.divided) {
			return this.routeToAny(service);
		}

		const stored = this.parts.replica.assignment(service.name);
		if (!stored || this.parts.replica.leaseRemainingMs(service.name) <= 0) {
			return undefined;
		}

		const shard = shardOfKey(key ?? '', stored.value);
		const owner = ownerOf(stored.value, shard);
		const server = owner === undefined ? undefined : this.servers.get(owner);
		if (!server || isPaused(stored.value, shard)) {
			return undefined;
		}

		return {server, shard, epoch: stored.value.epochs[shard]};
	}

	private routeToAny(service: Service): Route | undefined {
		const servers = this.serversOfService.get(service.name) ?? [];
		const willing = servers.filter(server => !this.parts.directory.resolve(server).leaving);
		const sound = willing.filter(server => this.breakerOf(server.id).allows());
		const candidates = (sound.length > 0 ? sound : willing).map(server => ({
			server,
			load: (this.gateOf(server).load + 1) / (server.weight * this.parts.slowStart.share(server.id)),
		}));
		const server = this.parts.choice.choose(candidates);
		if (!server) {
			throw new NotRunError(NotRunReason.NoOwner);
		}

		this.breakerOf(server.id).onStart();
		return {server, shard: undefined, epoch: undefined};
	}

	private async waitForRoute(request: RoutedRequest): Promise<void> {
		if (this.paused.size >= maxPaused) {
			throw new NotRunError(NotRunReason.Paused, 500);
		}

		await this.wait(request, waiter => {
			const expiresAt = Math.min(waiter.expiresAt, waiter.arrivedAt + maxPauseWaitMs);
			const entry: PausedWaiter = {...waiter, expiresAt, isRoutable: () => this.route(request) !== undefined};
			this.paused.add(entry);
			return () => {
				this.paused.delete(entry);
			};
		});
	}

	private async waitAtGate(request: RoutedRequest, route: Route): Promise<Place | undefined> {
		const gate = this.gateOf(route.server);
		await this.wait(request, waiter => {
			gate.enter(waiter);
			return () => {
				gate.leave(waiter);
			};
		});
		if (this.isStillValid(request, route)) {
			return {route, gate, takenAt: performance.now()};
		}

		// The shard moved or was paused during the wait.
		gate.release(request.requestClass.long, 0);
		return undefined;
	}

	private async wait(request: RoutedRequest, enter: (waiter: Waiter) => () => void): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			let leave: () => void = () => undefined;
			const onAbort = () => {
				leave();
				reject(new NotRunError(NotRunReason.Cancelled));
			};

			const settle = (action: () => void) => () => {
				request.cancellation.unsubscribe(onAbort);
				action();
			};

			const waiter: Waiter = {
				priority: request.requestClass.priority,
				long: request.requestClass.long,
				arrivedAt: request.receivedAt,
				expiresAt: request.deadlineAt,
				admit: settle(resolve),
				refuse(error) {
					settle(() => {
						reject(error);
					})();
				},
			};
			// A waiter may be admitted at once, which takes the listener off again.
			request.cancellation.subscribe(onAbort);
			leave = enter(waiter);
		});
	}

	private isStillValid(request: RoutedRequest, route: Route): boolean {
		return !request.service.divided || this.guard(request, route) === undefined;
	}

	/** Checks ownership and the route lease; called immediately before the write to the socket. */
	private guard(request: RoutedRequest, route: Route): NotRunReason | undefined {
		if (request.cancellation.isCancelled) {
			return NotRunReason.Cancelled;
		}

		if (route.shard === undefined) {
			return undefined;
		}

		const {replica} = this.parts;
		const assignment = replica.assignment(request.service.name)?.value;
		if (!assignment || replica.leaseRemainingMs(request.service.name) <= 0) {
			return NotRunReason.NoRouteLease;
		}

		const isOwner = ownerOf(assignment, route.shard) === route.server.id && assignment.epochs[route.shard] === route.epoch;
		const isSameShard = shardOfKey(request.key ?? '', assignment) === route.shard;
		return isOwner && isSameShard && !isPaused(assignment, route.shard) ? undefined : NotRunReason.Paused;
	}

	private async send(request: RoutedRequest, {route, gate}: Place): Promise<AttemptResult> {
		const {service, requestClass} = request;
		const now = performance.now();
		const leaseMs = service.divided ? this.parts.replica.leaseRemainingMs(service.name, now) : Infinity;
		const startInMs = Math.min(this.parts.timing.startByMs, leaseMs);
		const cancellation = new Cancellation();
		const onCallerGone = () => {
			cancellation.cancel();
		};

		// An instruction that was begun is not cancelled with its caller.
		if (requestClass.idempotent) {
			request.cancellation.subscribe(onCallerGone);
		}

		const entry: FlightEntry = {
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
		this.countLoad(request, route);
		this.inFlight.add(entry);
		let result: AttemptResult | undefined;
		try {
			result = await this.parts.transport.send(request, {
				...route,
				headers: [],
				startByMs: Date.now() + startInMs,
				connectionLimit: gate.concurrency,
				timeoutMs: Math.max(1, request.deadlineAt - now),
				guard: () => this.guard(request, route),
				cancellation,
			});
			return result;
		} finally {
			const isOver = result !== undefined && (result.end === AttemptEnd.Completed || result.end === AttemptEnd.NotRun);
			request.cancellation.unsubscribe(onCallerGone);
			this.inFlight.remove(entry, isOver);
			this.observe(gate.server, result);
		}
	}

	private observe(server: string, result: AttemptResult | undefined): void {
		const breaker = this.breakerOf(server);
		const isAnswered = result?.end === AttemptEnd.Completed || result?.reason === NotRunReason.Shed || result?.reason === NotRunReason.Fenced;
		if (isAnswered) {
			breaker.onSuccess();
			this.parts.detector.observe(server, Contact.Answered);
			return;
		}

		if (result?.refused) {
			this.parts.detector.observe(server, Contact.Refused);
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
				const error = new OutcomeUnknownError(result.detail ?? 'The answer broke off.');
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

		const isOwnDoing = result.reason === NotRunReason.NoRouteLease || result.reason === NotRunReason.Paused;
		return isOwnDoing || this.budgetOf(request.service.name).withdraw();
	}

	/** Settles the claim; a request that may have run in an earlier attempt is not reported as "not run". */
	private settle(outcome: Outcome, {claim, mayHaveRun}: Progress): Outcome {
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

	private failure(error: unknown, progress: Progress): Outcome {
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
			this.inFlight.enforce(value, this.parts.timing.drainGraceMs);
		}

		this.releasePaused();
	}

	/** Lets requests whose shard is served again go on. */
	private releasePaused(): void {
		for (const waiter of this.paused) {
			if (waiter.isRoutable()) {
				this.paused.delete(waiter);
				waiter.admit();
			}
		}
	}

	private refreshServers(): void {
		const {value} = this.parts.replica.configuration;
		if (value.version === this.configurationVersion) {
			return;
		}

		this.configurationVersion = value.version;
		this.servers = new Map(value.body.servers.map(server => [server.id, server]));
		this.serversOfService = new Map(value.body.services.map(service => [
			service.name,
			value.body.servers.filter(server => server.service === service.name),
		]));
		for (const server of value.body.servers) {
			if (!this.gates.has(server.id)) {
				this.parts.slowStart.begin(server.id);
			}
		}

		this.updateLimits();
	}

	private limitsOf(server: Server): GateLimits {
		const daemons = Math.max(1, this.parts.directory.members().length);
		const concurrency = Math.max(1, Math.floor(server.connections / daemons));
		return {concurrency, longConcurrency: this.longShare(server), waiting: maxWaiting};
	}

	/** Long work may use all slots but one, which is kept for short work; daemons other than the home stand in for it with one. */
	private longShare(server: Server): number {
		const home = this.parts.directory.homeOf(server.id);
		return home === undefined || home.id === this.parts.daemon ? Math.max(1, server.slots - 1) : 1;
	}

	private gateOf(server: Server): ServerGate {
		let gate = this.gates.get(server.id);
		if (!gate) {
			gate = new ServerGate(server.id, this.limitsOf(server), new PriorityOrder<Waiter>());
			this.gates.set(server.id, gate);
		}

		return gate;
	}

	private breakerOf(server: string): CircuitBreaker {
		let breaker = this.breakers.get(server);
		if (!breaker) {
			breaker = new CircuitBreaker();
			this.breakers.set(server, breaker);
		}

		return breaker;
	}

	private budgetOf(service: string): RetryBudget {
		let budget = this.retryBudgets.get(service);
		if (!budget) {
			budget = new RetryBudget();
			this.retryBudgets.set(service, budget);
		}

		return budget;
	}

	private countLoad(request: RoutedRequest, route: Route): void {
		if (route.shard === undefined || request.key === undefined) {
			return;
		}

		const {name} = request.service;
		let counts = this.shardCounts.get(name);
		let sketch = this.sketches.get(name);
		if (!counts || !sketch) {
			counts = new Map();
			sketch = new KeySketch(sketchCapacity);
			this.shardCounts.set(name, counts);
			this.sketches.set(name, sketch);
		}

		counts.set(route.shard, (counts.get(route.shard) ?? 0) + 1);
		sketch.observe(request.key, route.shard);
	}
}

/** True if requests for a shard must wait. */
function isPaused(assignment: Assignment, shard: number): boolean {
	return assignment.moves.some(move => move.shard === shard && move.phase !== MovePhase.Recorded);
}

function refusal(error: NotRunError, server?: string): Outcome {
	return {kind: OutcomeKind.NotRun, error, server};
}

async function delay(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

