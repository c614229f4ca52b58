/**
 * Assignment of shards to servers: one compare-and-swap value per service.
 */

/** Why a shard moves. */
export enum MoveKind {
	Planned = 'planned',
	Takeover = 'takeover',
}

/** Phases of a move, in order; each begins with one write to the store. */
export enum MovePhase {
	/** The old server still serves while the new server warms up. */
	Recorded = 'recorded',
	/** Requests for the shard wait at the daemons while those in flight are drained. */
	Paused = 'paused',
	/** The new owner and epoch are durable and the grant is being sent. */
	OwnerWritten = 'owner_written',
}

/** A move of one shard in progress. */
export type Move = {
	shard: number;
	kind: MoveKind;
	phase: MovePhase;
	from: string | undefined;
	to: string;
	/** Version in which the move entered its phase. */
	sinceVersion: number;
};

/** A key that has its own shard instead of the shard that its hash selects. */
export type HotKeyException = {
	key: string;
	/** Index into `owners` and `epochs`, at or above the service's shard count. */
	shard: number;
};

/** The assignment of one service. */
export type Assignment = {
	service: string;
	/** Rises by one with every write. */
	version: number;
	/** Version in which an owner last changed; a plan is valid for one such version. */
	ownershipVersion: number;
	/** Term of the leader that wrote this version; rises by one when a daemon takes leadership. */
	term: number;
	leader: string;
	/** Server ids, which `owners` refers to by index. */
	servers: string[];
	/** Owner of each shard as an index into `servers`, or -1. */
	owners: number[];
	/** Epoch of each shard; rises with every change of owner. */
	epochs: number[];
	exceptions: HotKeyException[];
	moves: Move[];
	/** Daemons of which a majority is needed to serve without the store and to acknowledge a move. */
	voters: string[];
	/** Version in which `voters` was last changed. */
	votersVersion: number;
	/** Version of the configuration that the placement is based on. */
	configurationVersion: number;
	/** Servers and weights for which the placement was last completed. */
	placedFor: string;
	/** Servers that the leader declared unreachable; they get no shards until they have recovered. */
	lost: string[];
	/** Token of the write that created this version. */
	token: string;
};

/** A document with the store revision of its last change. */
export type Stored<Document> = {
	value: Document;
	modRevision: number;
};

/** Owner of no shard. */
export const noOwner = -1;

/** Returns the id of the server that owns a shard, if any. */
export function ownerOf(assignment: Assignment, shard: number): string | undefined {
	const index = assignment.owners[shard] ?? noOwner;
	return index === noOwner ? undefined : assignment.servers[index];
}

/** Returns the assignment of a service before its first leader. */
export function emptyAssignment(service: string, shardCount: number): Assignment {
	return {
		service,
		version: 0,
		ownershipVersion: 0,
		term: 0,
		leader: '',
		servers: [],
		owners: Array.from({length: shardCount}, () => noOwner),
		epochs: Array.from({length: shardCount}, () => 0),
		exceptions: [],
		moves: [],
		voters: [],
		votersVersion: 0,
		configurationVersion: 0,
		placedFor: '',
		lost: [],
		token: '',
	};
}
