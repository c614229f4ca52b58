/**
 * Placement of shards on servers.
 */
import {noOwner, type Assignment} from '../model/assignment.js';
import type {Server} from '../model/configuration.js';

/** What a placement is computed from. */
export type PlacementInput = {
	/** Current owner of each shard, as a server id. */
	owners: Array<string | undefined>;
	/** Servers that may own shards. */
	servers: Server[];
};

/** Computes the wanted owner of each shard. */
export type Placement = {
	/** @returns the wanted owner of each shard; undefined if there is no server */
	place(input: PlacementInput): Array<string | undefined>;
};

/** Returns the servers that may own shards of a service. */
export function eligibleServers(servers: Server[], service: string, lost: string[]): Server[] {
	return servers.filter(server => server.service === service && !server.leaving && !lost.includes(server.id));
}

/** Returns a text that identifies a set of servers with their weights, so that a change is detected. */
export function placementKey(servers: Server[]): string {
	return servers.map(server => `${server.id}:${server.weight}`).toSorted().join(',');
}

/** Returns the owners of all shards as server ids. */
export function ownerIds(assignment: Assignment): Array<string | undefined> {
	return assignment.owners.map(index => index === noOwner ? undefined : assignment.servers[index]);
}

/**
 * Moves as few shards as possible: those without an eligible owner, and those above a server's weighted quota.
 */
export class MinimalPlacement implements Placement {
	place({owners, servers}: PlacementInput): Array<string | undefined> {
		if (servers.length === 0) {
			return owners.map(() => undefined);
		}

		const quotas = quotasOf(owners, servers);
		const counts = new Map(servers.map(server => [server.id, 0]));
		const unplaced: number[] = [];
		const placed = owners.map((owner, shard) => {
			const count = owner === undefined ? undefined : counts.get(owner);
			if (owner === undefined || count === undefined || count >= (quotas.get(owner) ?? 0)) {
				unplaced.push(shard);
				return undefined;
			}

			counts.set(owner, count + 1);
			return owner;
		});
		const belowQuota = servers.filter(server => (counts.get(server.id) ?? 0) < (quotas.get(server.id) ?? 0)).map(server => server.id);
		for (const shard of unplaced) {
			const server = belowQuota[0];
			if (server === undefined) {
				break;
			}

			placed[shard] = server;
			const count = (counts.get(server) ?? 0) + 1;
			counts.set(server, count);
			belowQuota.shift();
			if (count < (quotas.get(server) ?? 0)) {
				// Rotation spreads neighbouring shards over the servers.
				belowQuota.push(server);
			}
		}

		return placed;
	}
}

/**
 * Splits the number of shards into quotas by weight. The remainder goes to servers that own the most above their exact
 * share, so that fewer shards move.
 */
function quotasOf(owners: Array<string | undefined>, servers: Server[]): Map<string, number> {
	const totalWeight = servers.reduce((sum, server) => sum + server.weight, 0);
	const owned = new Map<string, number>();
	for (const owner of owners) {
		if (owner !== undefined) {
			owned.set(owner, (owned.get(owner) ?? 0) + 1);
		}
	}

	const shares = servers.map(server => {
		const exact = owners.length * server.weight / totalWeight;
		return {id: server.id, whole: Math.floor(exact), excess: (owned.get(server.id) ?? 0) - Math.floor(exact)};
	});
	let remainder = owners.length - shares.reduce((sum, share) => sum + share.whole, 0);
	shares.sort((a, b) => b.excess - a.excess || (a.id < b.id ? -1 : 1));
	for (const share of shares) {
		if (remainder > 0) {
			share.whole += 1;
			remainder -= 1;
		}
	}

	return new Map(shares.map(share => [share.id, share.whole]));
}

/** Baseline: owner by shard number modulo the number of servers. */
export class ModuloPlacement implements Placement {
	place({owners, servers}: PlacementInput): Array<string | undefined> {
		const ids = servers.map(server => server.id).toSorted();
		return owners.map((_, shard) => ids[shard % ids.length]);
	}
}
