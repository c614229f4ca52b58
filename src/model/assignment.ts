/**
 * Assignment of shards to servers: one compare-and-swap value per service.
 */

/** Why a shard moves. */
export enum MoveKind {
	Planned = 'planned',
	Takeover = 'takeover',
}

/** Steps of a move, in order; every step is one write to the store. */
export enum MovePhase {
	/** Recorded: the old server still serves, the new server is warmed. */
	Recorded = 'recorded',
	/** Paused: daemons hold requests for the shard and drain what is in flight. */
	Paused = 'paused',
	/** OwnerWritten: the new owner and epoch are durable, the grant is being sent. */
	OwnerWritten = 'owner_written',
}

/** A move of one shard that is under way. */
export type Move = {
	shard: number;
	kind: MoveKind;
	phase: MovePhase;
	from: string | undefined;
	to: string;
	/** Version in which the move entered its phase. */
	sinceVersion: number;
};

/** A key with a shard of its own, taken out of the shard its hash names. */
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
	/** Version in which an owner last changed; plans are bound to it. */
	ownershipVersion: number;
	/** Term of the leader that wrote it; a change of leader raises it. */
	term: number;
	leader: string;
	/** Server ids that `owners` points into. */
	servers: string[];
	/** Owner of each shard as an index into `servers`, or -1. */
	owners: number[];
	/** Epoch of each shard; rises with every change of owner. */
	epochs: number[];
	exceptions: HotKeyException[];
	moves: Move[];
	/** Daemons whose majority may hold without the store and must acknowledge a move. */
	voters: string[];
	/** Version in which `voters` was last changed. */
	votersVersion: number;
	/** Version of the configuration that the placement follows. */
	configurationVersion: number;
	/** Servers and weights that the placement was last completed for. */
	placedFor: string;
	/** Servers that the leader found lost; they own nothing new until they are back. */
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
