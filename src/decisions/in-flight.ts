/**
 * Requests of this daemon that may be running on a server.
 */
import {MoveKind, MovePhase, type Assignment} from '../model/assignment.js';
import type {Acknowledgement} from '../model/peer.js';

/** A request in flight for a shard. */
export type InFlightRequest = {
	service: string;
	shard: number;
	server: string;
	idempotent: boolean;
	startedAt: number;
	/** Monotonic time in milliseconds after which the server does not start the request. */
	startByAt: number;
	/**
	 * Monotonic time in milliseconds until which the server may run the request although the router stopped waiting for it.
	 * -Infinity for servers with fencing, which themselves report to the leader what they still run.
	 */
	mayRunUntil: number;
	/** Cancels the request at the server. */
	cancel: () => void;
};

/**
 * Tracks requests in flight, for the acknowledgement of moves.
 */
export class InFlight {
	private readonly entries = new Set<InFlightRequest>();
	/** Latest time, by shard, until which unanswered requests may still run on a server that does not report them. */
	private readonly unansweredMayRunUntil = new Map<string, number>();
	/** Latest start-by deadline, by shard, of unanswered requests, which may still lie in a suspended server's socket buffer. */
	private readonly unansweredStartBy = new Map<string, number>();

	get size(): number {
		return this.entries.size;
	}

	add(entry: InFlightRequest): void {
		this.entries.add(entry);
	}

	/** @param hasEnded true if the server's answer shows that the request has ended there */
	remove(entry: InFlightRequest, hasEnded: boolean): void {
		this.entries.delete(entry);
		if (hasEnded) {
			return;
		}

		const name = shardName(entry.service, entry.shard);
		this.unansweredStartBy.set(name, Math.max(entry.startByAt, this.unansweredStartBy.get(name) ?? 0));
		this.unansweredMayRunUntil.set(name, Math.max(entry.mayRunUntil, this.unansweredMayRunUntil.get(name) ?? 0));
	}

	/** Cancels requests that may not continue under an assignment's moves; called when it is accepted and once per tick. */
	cancelForMoves(assignment: Assignment, drainGraceMs: number, now = performance.now()): void {
		const paused = new Map(assignment.moves.filter(move => move.phase === MovePhase.Paused).map(move => [move.shard, move]));
		if (paused.size === 0) {
			return;
		}

		for (const entry of this.entries) {
			const move = entry.service === assignment.service ? paused.get(entry.shard) : undefined;
			if (!move) {
				continue;
			}

			const isStraggler = entry.idempotent && entry.mayRunUntil <= now && now - entry.startedAt > drainGraceMs;
			// A lost server will not answer. A non-idempotent instruction on a running server is never cancelled.
			if (move.kind === MoveKind.Takeover || isStraggler) {
				entry.cancel();
			}
		}
	}

	/** Returns the acknowledgement for the leader, with the requests in flight for paused shards. */
	acknowledge(daemon: string, assignment: Assignment, now = performance.now()): Acknowledgement {
		const paused = new Set(assignment.moves.filter(move => move.phase === MovePhase.Paused).map(move => move.shard));
		let inFlight = 0;
		let startByAt = now;
		for (const entry of this.entries) {
			if (entry.service === assignment.service && paused.has(entry.shard)) {
				inFlight += 1;
				startByAt = Math.max(startByAt, entry.startByAt);
			}
		}

		for (const shard of paused) {
			inFlight += (this.unansweredMayRunUntil.get(shardName(assignment.service, shard)) ?? 0) > now ? 1 : 0;
			startByAt = Math.max(startByAt, this.unansweredStartBy.get(shardName(assignment.service, shard)) ?? 0);
		}

		return {
			daemon, version: assignment.version, inFlight, startByRemainingMs: startByAt - now,
		};
	}

	/** Removes expired entries. */
	expire(now = performance.now()): void {
		for (const [name, startByAt] of this.unansweredStartBy) {
			if (startByAt < now && (this.unansweredMayRunUntil.get(name) ?? 0) < now) {
				this.unansweredStartBy.delete(name);
				this.unansweredMayRunUntil.delete(name);
			}
		}
	}
}

function shardName(service: string, shard: number): string {
	return `${service}/${shard}`;
}
