/**
 * Pure edits of an assignment. Each returns the next version and leaves its input unchanged.
 */
import {
	MoveKind, MovePhase, noOwner, ownerOf, type Assignment, type Move,
} from '../model/assignment.js';

/** A requested change of owner. */
export type WantedMove = {
	shard: number;
	to: string;
};

/** Returns a copy with the next version, to be edited in place. */
function nextVersion(assignment: Assignment): Assignment {
	return {...assignment, version: assignment.version + 1, moves: assignment.moves.map(move => ({...move}))};
}

/** Makes a daemon the leader under the next term. A change of leader moves no shard. */
export function takeLeadership(assignment: Assignment, daemon: string): Assignment {
	return {...nextVersion(assignment), term: assignment.term + 1, leader: daemon};
}

/** Gives up leadership, so that a standby can take over without waiting. */
export function resignLeadership(assignment: Assignment): Assignment {
	return {...nextVersion(assignment), leader: ''};
}

/** Replaces the voters. */
export function changeVoters(assignment: Assignment, voters: string[]): Assignment {
	const next = nextVersion(assignment);
	return {...next, voters, votersVersion: next.version};
}

/** Records that the placement is complete for a version of the configuration and a set of servers. */
export function recordPlacement(assignment: Assignment, configurationVersion: number, placedFor: string): Assignment {
	return {...nextVersion(assignment), configurationVersion, placedFor};
}

/** Records planned moves, during which the old owners still serve. A shard without an owner gets its new owner at once. */
export function recordMoves(assignment: Assignment, wanted: WantedMove[]): Assignment {
	const next = nextVersion(assignment);
	const added: Move[] = [];
	for (const {shard, to} of wanted) {
		const from = ownerOf(assignment, shard);
		added.push({
			shard,
			kind: MoveKind.Planned,
			phase: from === undefined ? MovePhase.OwnerWritten : MovePhase.Recorded,
			from,
			to,
			sinceVersion: next.version,
		});
	}

	next.moves.push(...added);
	const unowned = added.filter(move => move.phase === MovePhase.OwnerWritten);
	return unowned.length > 0 ? setOwners(next, unowned) : next;
}

/** Declares servers lost and records the takeovers of their shards, which are paused from this version on. */
export function recordLoss(assignment: Assignment, lost: string[], takeovers: WantedMove[]): Assignment {
	const next = nextVersion(assignment);
	next.lost = [...new Set([...assignment.lost, ...lost])];
	const targets = new Map(takeovers.map(({shard, to}) => [shard, to]));
	next.moves = next.moves.filter(move => !isObsolete(move, next.lost));
	for (const move of next.moves) {
		targets.delete(move.shard);
		redirect(move, next.lost, {targets: new Map(takeovers.map(({shard, to}) => [shard, to])), version: next.version});
	}

	for (const [shard, to] of targets) {
		next.moves.push({
			shard, kind: MoveKind.Takeover, phase: MovePhase.Paused, from: ownerOf(assignment, shard), to, sinceVersion: next.version,
		});
	}

	return next;
}

/** A move is obsolete if its new server is lost while the old one still serves, or after the new owner was written. */
function isObsolete(move: Move, lost: string[]): boolean {
	return lost.includes(move.to) && move.phase !== MovePhase.Paused;
}

/** Turns a move into a takeover if its old server is lost, and replaces its new server if that one is lost. */
function redirect(move: Move, lost: string[], options: {targets: Map<number, string>; version: number}): void {
	const {targets, version} = options;
	if (move.from !== undefined && lost.includes(move.from) && move.phase !== MovePhase.OwnerWritten) {
		move.kind = MoveKind.Takeover;
		if (move.phase === MovePhase.Recorded) {
			move.phase = MovePhase.Paused;
			move.sinceVersion = version;
		}
	}

	if (lost.includes(move.to)) {
		move.to = targets.get(move.shard) ?? move.to;
	}
}

/** Removes servers from the list of lost servers. */
export function recordRecovery(assignment: Assignment, recovered: string[]): Assignment {
	const next = nextVersion(assignment);
	next.lost = assignment.lost.filter(server => !recovered.includes(server));
	return next;
}

/** Pauses recorded moves. */
export function pauseMoves(assignment: Assignment, shards: Set<number>): Assignment {
	const next = nextVersion(assignment);
	for (const move of next.moves) {
		if (shards.has(move.shard) && move.phase === MovePhase.Recorded) {
			move.phase = MovePhase.Paused;
			move.sinceVersion = next.version;
		}
	}

	return next;
}

/** Writes new owners with higher epochs. */
export function writeOwners(assignment: Assignment, shards: Set<number>): Assignment {
	const next = nextVersion(assignment);
	const written = next.moves.filter(move => shards.has(move.shard) && move.phase === MovePhase.Paused);
	for (const move of written) {
		move.phase = MovePhase.OwnerWritten;
		move.sinceVersion = next.version;
	}

	return setOwners(next, written);
}

/** Ends moves whose new server has its grant. */
export function releaseMoves(assignment: Assignment, shards: Set<number>): Assignment {
	const next = nextVersion(assignment);
	next.moves = next.moves.filter(move => !(shards.has(move.shard) && move.phase === MovePhase.OwnerWritten));
	return next;
}

/**
 * Gives a key its own shard, which at first keeps the key's present owner. The shard is paused until the owner has the
 * grant for it.
 */
export function isolateKey(assignment: Assignment, key: string, baseShard: number): Assignment {
	const owner = ownerOf(assignment, baseShard);
	if (owner === undefined) {
		return assignment;
	}

	const next = nextVersion(assignment);
	const shard = next.owners.length;
	next.moves.push({
		shard, kind: MoveKind.Planned, phase: MovePhase.OwnerWritten, from: owner, to: owner, sinceVersion: next.version,
	});
	next.owners = [...next.owners, next.owners[baseShard] ?? noOwner];
	next.epochs = [...next.epochs, next.epochs[baseShard] ?? 0];
	next.exceptions = [...next.exceptions, {key, shard}];
	return next;
}

function setOwners(assignment: Assignment, moves: Move[]): Assignment {
	const servers = [...assignment.servers];
	const owners = [...assignment.owners];
	const epochs = [...assignment.epochs];
	for (const move of moves) {
		let index = servers.indexOf(move.to);
		if (index === -1) {
			index = servers.push(move.to) - 1;
		}

		owners[move.shard] = index;
		epochs[move.shard] = (epochs[move.shard] ?? 0) + 1;
	}

	return {
		...assignment, servers, owners, epochs, ownershipVersion: assignment.version,
	};
}
