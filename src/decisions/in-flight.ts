/**
 * Requests of this daemon that may be running on a server.
 */
import {MoveKind, MovePhase, type Assignment} from '../model/assignment.js';
import type {Acknowledgement} from '../model/peer.js';

/** A request in flight for a shard. */
export type FlightEntry = {
	service: string;
	shard: number;
	server: string;
	idempotent: boolean;
	startedAt: number;
	/** Monotonic time in milliseconds after which the server does not start the request. */
	startByAt: number;
	/**
	 * Monotonic time in milliseconds until which the server may run the request although the router has given it up.
	 * Servers that check epochs tell the leader themselves what they still run.
	 */
	mayRunUntil: number;
	/** Cancels the request at the server. */
	cancel: () => void;
};

/**
 * Follows requests in flight, for the acknowledgement of moves.
 */
export class InFlight {
	private readonly entries = new Set<FlightEntry>();
	/** Ends of work that was given up and whose server does not tell whether it still runs. */
	private readonly abandonedUntil = new Map<string, number>();
	/** Start-by deadlines of cancelled work, which may still lie in a frozen server's socket buffer. */
	private readonly cancelledStartBy = new Map<string, number>();

	get size(): number {
		return this.entries.size;
	}

	add(entry: FlightEntry): void {
		this.entries.add(entry);
	}

	/** @param answered true if the server's answer shows that the request is over there */
	remove(entry: FlightEntry, answered: boolean): void {
		this.entries.delete(entry);
		if (answered) {
			return;
		}

		const name = shardName(entry.service, entry.shard);
		this.cancelledStartBy.set(name, Math.max(entry.startByAt, this.cancelledStartBy.get(name) ?? 0));
		this.abandonedUntil.set(name, Math.max(entry.mayRunUntil, this.abandonedUntil.get(name) ?? 0));
	}

	/** Cancels what must not go on under the moves of an assignment; called when one is accepted and once a tick. */
	enforce(assignment: Assignment, drainGraceMs: number, now = performance.now()): void {
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
			// A lost server answers nothing; an instruction on a living one is never cancelled.
			if (move.kind === MoveKind.Takeover || isStraggler) {
				entry.cancel();
			}
		}
	}

	/** Describes the work of moving shards for the leader. */
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
			inFlight += (this.abandonedUntil.get(shardName(assignment.service, shard)) ?? 0) > now ? 1 : 0;
			startByAt = Math.max(startByAt, this.cancelledStartBy.get(shardName(assignment.service, shard)) ?? 0);
		}

		return {
			daemon, version: assignment.version, inFlight, startByRemainingMs: startByAt - now,
		};
	}

	/** Forgets what has passed. */
	expire(now = performance.now()): void {
		for (const [name, startByAt] of this.cancelledStartBy) {
			if (startByAt < now && (this.abandonedUntil.get(name) ?? 0) < now) {
				this.cancelledStartBy.delete(name);
				this.abandonedUntil.delete(name);
			}
		}
	}
}

function shardName(service: string, shard: number): string {
	return `${service}/${shard}`;
}
