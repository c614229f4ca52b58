/**
 * Selection of routes: the owner of a key, or a server chosen by load, with each server's limiter and circuit breaker.
 */
import {
	MovePhase, ownerOf, type Assignment,
} from '../model/assignment.js';
import type {Server, Service} from '../model/configuration.js';
import {NotRunError, NotRunReason} from '../model/errors.js';
import type {RoutedRequest} from '../model/request.js';
import {CircuitBreaker} from './circuit-breaker.js';
import type {Replica} from './replica.js';
import {ServerLimiter, type ConcurrencyLimits, type Waiter} from './server-limiter.js';
import type {ServerChoice} from './server-choice.js';
import {shardOfKey} from './shard-hash.js';
import type {SlowStart} from './slow-start.js';
import type {VmDirectory} from './vm-directory.js';
import {PriorityQueue} from './wait-queue.js';

/** Server that a request is sent to, with the shard of its key. */
export type Route = {
	server: Server;
	shard: number | undefined;
	epoch: number | undefined;
};

/** Dependencies of a route table. */
export type RouteTableParts = {
	daemon: string;
	replica: Replica;
	directory: VmDirectory;
	choice: ServerChoice;
	slowStart: SlowStart;
};

/** Largest number of requests that wait for one server in one daemon. */
const maxWaiting = 256;

/**
 * Chooses routes and checks that they are still valid.
 */
export class RouteTable {
	private readonly limiters = new Map<string, ServerLimiter>();
	private readonly breakers = new Map<string, CircuitBreaker>();
	private servers = new Map<string, Server>();
	private serversOfService = new Map<string, Server[]>();
	private configurationVersion = -1;

	constructor(private readonly parts: RouteTableParts) {}

	/** Number of requests in flight or waiting at limiters. */
	get load(): number {
		let load = 0;
		for (const limiter of this.limiters.values()) {
			load += limiter.load;
		}

		return load;
	}

	/** Refuses requests that waited too long at a limiter. */
	expire(now: number): void {
		for (const limiter of this.limiters.values()) {
			limiter.expire(now);
		}
	}

	/** Returns the route of a request; undefined while its shard is paused or has no owner. */
	route(request: RoutedRequest): Route | undefined {
		this.refresh();
		const {service, key} = request;
		if (!service.divided) {
			return this.routeUndivided(service);
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

	/** Checks ownership and the route lease; called immediately before the write to the socket. */
	guard(request: RoutedRequest, route: Route): NotRunReason | undefined {
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

	/** Recomputes the limits of all servers after a change of daemons or servers. */
	updateLimits(): void {
		for (const [id, limiter] of this.limiters) {
			const server = this.servers.get(id);
			if (server) {
				limiter.setLimits(this.limitsOf(server));
			}
		}
	}

	/** Applies a newer configuration. */
	refresh(): void {
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
			if (!this.limiters.has(server.id)) {
				this.parts.slowStart.begin(server.id);
			}
		}

		this.updateLimits();
	}

	limiterOf(server: Server): ServerLimiter {
		let limiter = this.limiters.get(server.id);
		if (!limiter) {
			limiter = new ServerLimiter(server.id, this.limitsOf(server), new PriorityQueue<Waiter>());
			this.limiters.set(server.id, limiter);
		}

		return limiter;
	}

	breakerOf(server: string): CircuitBreaker {
		let breaker = this.breakers.get(server);
		if (!breaker) {
			breaker = new CircuitBreaker();
			this.breakers.set(server, breaker);
		}

		return breaker;
	}

	private routeUndivided(service: Service): Route | undefined {
		const servers = this.serversOfService.get(service.name) ?? [];
		const available = servers.filter(server => !this.parts.directory.resolve(server).leaving);
		const allowedByBreaker = available.filter(server => this.breakerOf(server.id).allows());
		const candidates = (allowedByBreaker.length > 0 ? allowedByBreaker : available).map(server => ({
			server,
			load: (this.limiterOf(server).load + 1) / (server.weight * this.parts.slowStart.share(server.id)),
		}));
		const server = this.parts.choice.choose(candidates);
		if (!server) {
			throw new NotRunError(NotRunReason.NoOwner);
		}

		this.breakerOf(server.id).onStart();
		return {server, shard: undefined, epoch: undefined};
	}

	private limitsOf(server: Server): ConcurrencyLimits {
		const daemons = Math.max(1, this.parts.directory.members().length);
		const concurrency = Math.max(1, Math.floor(server.connections / daemons));
		return {concurrency, longConcurrency: this.longConcurrencyOf(server), waiting: maxWaiting};
	}

	/** The home daemon keeps one slot free of long requests. Others get one slot, for when the home daemon cannot be reached. */
	private longConcurrencyOf(server: Server): number {
		const home = this.parts.directory.homeOf(server.id);
		return home === undefined || home.id === this.parts.daemon ? Math.max(1, server.slots - 1) : 1;
	}
}

/** True if requests for a shard must wait. */
function isPaused(assignment: Assignment, shard: number): boolean {
	return assignment.moves.some(move => move.shard === shard && move.phase !== MovePhase.Recorded);
}
