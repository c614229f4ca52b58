/**
 * Detection of hot keys and hot shards, and the moves that spread them.
 */
import {ownerOf, type Assignment} from '../model/assignment.js';
import type {Server, StandingPolicy} from '../model/configuration.js';
import type {KeyLoad, LoadReport} from '../model/peer.js';
import type {WantedMove} from './assignment-edit.js';
import {eligibleServers} from './placement.js';

/** Imbalance (load of the most loaded server over the mean) up to which nothing is moved. */
const toleratedImbalance = 1.1;

/** Share of its shard's load above which a key gets its own shard. */
const dominantKeyShare = 0.5;

/** Share of the mean server load that a key must exceed to get its own shard. */
const minKeyShare = 0.05;

/** Requests per second of the most loaded server below which nothing is moved. */
const minRequestsPerSecond = 100;

/** Largest number of hot-key exceptions of one service. */
export const maxExceptions = 256;

const minuteMs = 60_000;

/** Proposed change: a key to isolate in its own shard, or a shard to move. */
export type HotSpotProposal = {
	hotKey?: {key: string; shard: number};
	hotMove?: WantedMove;
};

/**
 * Space-saving sketch of the most frequent keys: a bounded table in which a new key replaces the key with the lowest count.
 */
export class KeySketch {
	private readonly counts = new Map<string, KeyLoad>();

	/** @param capacity largest number of keys that are counted */
	constructor(private readonly capacity: number) {}

	observe(key: string, shard: number): void {
		const known = this.counts.get(key);
		if (known) {
			known.requests += 1;
			return;
		}

		if (this.counts.size < this.capacity) {
			this.counts.set(key, {key, shard, requests: 1});
			return;
		}

		const smallest = this.smallest();
		this.counts.delete(smallest.key);
		this.counts.set(key, {key, shard, requests: smallest.requests + 1});
	}

	/** Returns the most frequent keys, most frequent first. */
	top(count: number): KeyLoad[] {
		return [...this.counts.values()].toSorted((a, b) => b.requests - a.requests).slice(0, count);
	}

	clear(): void {
		this.counts.clear();
	}

	private smallest(): KeyLoad {
		let smallest: KeyLoad | undefined;
		for (const candidate of this.counts.values()) {
			if (!smallest || candidate.requests < smallest.requests) {
				smallest = candidate;
			}
		}

		return smallest!;
	}
}

/**
 * Collects load reports of one service and proposes one change at a time, within the standing policy.
 */
export class HotSpots {
	private shardLoads = new Map<number, number>();
	private keyLoads = new Map<string, KeyLoad>();
	private hasNewReports = false;
	private intervalMs = 0;
	private readonly proposedAt: number[] = [];

	/** Replaces the collected load with a new round of reports. */
	accept(reports: LoadReport[]): void {
		this.shardLoads = new Map();
		this.keyLoads = new Map();
		for (const report of reports) {
			for (const {shard, requests} of report.shards) {
				this.shardLoads.set(shard, (this.shardLoads.get(shard) ?? 0) + requests);
			}

			for (const load of report.keys) {
				const known = this.keyLoads.get(load.key);
				this.keyLoads.set(load.key, {...load, requests: load.requests + (known?.requests ?? 0)});
			}
		}

		this.intervalMs = Math.max(0, ...reports.map(report => report.intervalMs));
		this.hasNewReports = this.shardLoads.size > 0 && this.intervalMs > 0;
	}

	/** Returns the change that reduces the imbalance, or an empty proposal. */
	proposal(assignment: Assignment, servers: Server[], policy: StandingPolicy, now = performance.now()): HotSpotProposal {
		const eligible = eligibleServers(servers, assignment.service, assignment.lost);
		if (!this.hasNewReports || !policy.hotKeyMoves || assignment.moves.length > 0 || eligible.length < 2 || !this.hasBudget(policy, now)) {
			return {};
		}

		const proposal = this.propose(assignment, eligible);
		if (!proposal.hotKey && !proposal.hotMove) {
			return {};
		}

		// One change per round of reports: the next decision needs the load as measured after this change.
		this.hasNewReports = false;
		this.proposedAt.push(now);
		return proposal;
	}

	private hasBudget(policy: StandingPolicy, now: number): boolean {
		while (this.proposedAt.length > 0 && now - (this.proposedAt[0] ?? 0) > minuteMs) {
			this.proposedAt.shift();
		}

		return this.proposedAt.length < policy.maxHotKeyMovesPerMinute;
	}

	private propose(assignment: Assignment, eligible: Server[]): HotSpotProposal {
		const loads = this.serverLoads(assignment, eligible);
		const ranked = [...eligible].toSorted((a, b) => (loads.get(b.id) ?? 0) - (loads.get(a.id) ?? 0));
		const mostLoaded = ranked[0];
		const leastLoaded = ranked.at(-1)!;
		const mean = [...loads.values()].reduce((sum, load) => sum + load, 0) / eligible.length;
		const highest = loads.get(mostLoaded.id) ?? 0;
		const rate = highest / this.intervalMs * 1000;
		if (highest <= mean * toleratedImbalance || rate < minRequestsPerSecond) {
			return {};
		}

		const hotKey = this.dominantKey(assignment, mostLoaded.id, mean);
		if (hotKey) {
			return {hotKey};
		}

		const gap = (highest - (loads.get(leastLoaded.id) ?? 0)) * mostLoaded.weight;
		const shard = this.bestShard(assignment, mostLoaded.id, gap);
		return shard === undefined ? {} : {hotMove: {shard, to: leastLoaded.id}};
	}

	/** Returns the load of each server per unit of weight. */
	private serverLoads(assignment: Assignment, eligible: Server[]): Map<string, number> {
		const weights = new Map(eligible.map(server => [server.id, server.weight]));
		const loads = new Map(eligible.map(server => [server.id, 0]));
		for (const [shard, requests] of this.shardLoads) {
			const owner = ownerOf(assignment, shard);
			const weight = owner === undefined ? undefined : weights.get(owner);
			if (owner !== undefined && weight !== undefined) {
				loads.set(owner, (loads.get(owner) ?? 0) + (requests / weight));
			}
		}

		return loads;
	}

	/** Returns a key that makes up most of its shard's load, so that moving the whole shard would only move the hot spot. */
	private dominantKey(assignment: Assignment, server: string, mean: number): {key: string; shard: number} | undefined {
		if (assignment.exceptions.length >= maxExceptions) {
			return undefined;
		}

		const baseCount = assignment.owners.length - assignment.exceptions.length;
		const candidates = [...this.keyLoads.values()].toSorted((a, b) => b.requests - a.requests);
		for (const {key, shard, requests} of candidates) {
			const isOnServer = shard < baseCount && ownerOf(assignment, shard) === server;
			const isIsolated = assignment.exceptions.some(exception => exception.key === key);
			const shardLoad = this.shardLoads.get(shard) ?? 0;
			const isDominant = requests > mean * minKeyShare && requests > shardLoad * dominantKeyShare && requests < shardLoad;
			if (isOnServer && !isIsolated && isDominant) {
				return {key, shard};
			}
		}

		return undefined;
	}

	/** Returns the shard whose move brings the loads of the two servers closest together without reversing their order. */
	private bestShard(assignment: Assignment, server: string, gap: number): number | undefined {
		let best: number | undefined;
		let bestLoad = 0;
		for (const [shard, requests] of this.shardLoads) {
			const fits = requests <= gap * 0.6 && requests > bestLoad;
			if (fits && ownerOf(assignment, shard) === server) {
				best = shard;
				bestLoad = requests;
			}
		}

		return best;
	}
}
