/**
 * Interface for control calls to servers.
 */
import type {Deadline} from './deadline.js';
import type {Server} from './configuration.js';

/** A shard with its epoch, granted to or revoked from a server. */
export type ShardEpoch = {
	shard: number;
	epoch: number;
};

/** Orders of the leader to a server; servers refuse orders of a lower term. */
export type GrantOrder = {
	service: string;
	term: number;
	grants: ShardEpoch[];
	/** Shards that the server no longer serves at or below the given epoch. */
	revocations: ShardEpoch[];
};

/** Answer of a server to an order. */
export type GrantReceipt = {
	/** Requests for the revoked shards that are still running. */
	executing: number;
};

/** Answer of a server to a health probe. */
export type ServerHealth = {
	/** True once the server announced that it is leaving. */
	leaving: boolean;
	/** Running and waiting requests, as reported by the server. */
	load: number;
	/** Identifies the run of the server process; a restarted process has lost its grants. */
	incarnation: string;
};

/**
 * Control calls to servers. Every method rejects with `TargetUnavailableError`.
 */
export type TargetControl = {
	probe(server: Server, deadline: Deadline): Promise<ServerHealth>;
	grant(server: Server, order: GrantOrder, deadline: Deadline): Promise<GrantReceipt>;
	/** Requests that a server loads the state of shards that it will own. */
	warm(server: Server, service: string, shards: number[], deadline: Deadline): Promise<void>;
};
