/**
 * Choice of the next write to an assignment. All state is in the assignment, so that any leader resumes from it.
 */
import {
	MovePhase, ownerOf, type Assignment, type Move,
} from '../model/assignment.js';
import type {Server, Service, StandingPolicy} from '../model/configuration.js';
import {LogEvent} from '../model/events.js';
import type {Acknowledgements, MoveContext} from './acknowledgements.js';
import {
	changeVoters, followConfiguration, isolateKey, pauseMoves, recordLoss, recordMoves, recordRecovery, releaseMoves, writeOwners, type WantedMove,
} from './assignment-edit.js';
import {
	eligibleServers, ownerIds, placementKey, type Placement,
} from './placement.js';
import {nextVoters} from './voters.js';

/** What the leader knows when it chooses the next write. */
export type Situation = {
	service: Service;
	/** Servers of the service with everything known about their leaving. */
	servers: Server[];
	policy: StandingPolicy;
	configurationVersion: number;
	/** Servers that may be declared lost now. */
	ejectable: string[];
	/** Lost servers that have answered long enough. */
	recovered: string[];
	/** Shards whose new server is warm, or whose warming took too long. */
	warmed: Set<number>;
	/** Shards whose old server confirmed the revocation and executes nothing. */
	revoked: Set<number>;
	/** Shards whose new server holds the grant. */
	granted: Set<number>;
	acknowledgements: Acknowledgements;
	members: string[];
	stableMembers: string[];
	longestDeadlineMs: number;
	/** A hot key that deserves a shard of its own. */
	hotKey?: {key: string; shard: number};
	/** A hot shard that should move to a less loaded server. */
	hotMove?: WantedMove;
};

/** A write to the assignment, with the reason for it. */
export type AssignmentStep = {
	event: LogEvent;
	next: Assignment;
	reason: string;
};

type Chooser = (assignment: Assignment, situation: Situation, placement: Placement) => AssignmentStep | undefined;

/** Returns the next write, or undefined if there is nothing to write now. */
export function nextStep(assignment: Assignment, situation: Situation, placement: Placement): AssignmentStep | undefined {
	for (const choose of choosers) {
		const step = choose(assignment, situation, placement);
		if (step) {
			return step;
		}
	}

	return undefined;
}

/** Choosers in order of urgency: what ends an outage goes first. */
const choosers: Chooser[] = [
	chooseLoss,
	chooseRelease,
	chooseOwners,
	choosePause,
	chooseVoters,
	chooseRecovery,
	chooseMoves,
	chooseHotKey,
];

function chooseLoss(assignment: Assignment, situation: Situation, placement: Placement): AssignmentStep | undefined {
	const fresh = situation.ejectable.filter(server => !assignment.lost.includes(server));
	const lost = [...new Set([...assignment.lost, ...fresh])];
	const unserved = shardsWithoutLiveOwner(assignment, lost);
	if (fresh.length === 0 && unserved.length === 0) {
		return undefined;
	}

	const eligible = eligibleServers(situation.servers, assignment.service, lost);
	const fallback = eligible.length > 0 ? eligible : eligibleServers(situation.servers.map(server => ({...server, leaving: false})), assignment.service, lost);
	const owners = ownerIds(assignment);
	const placed = placement.place({owners, servers: fallback});
	const takeovers: WantedMove[] = [];
	for (const shard of unserved) {
		const to = placed[shard];
		if (to !== undefined) {
			takeovers.push({shard, to});
		}
	}

	if (fresh.length === 0 && takeovers.length === 0) {
		return undefined;
	}

	const limited = situation.policy.failover ? takeovers : [];
	return {
		event: LogEvent.ServerLost,
		next: recordLoss(assignment, fresh, limited),
		reason: `servers lost: ${fresh.join(', ')}; ${limited.length} shards are taken over`,
	};
}

/** Shards that no live server owns and no move takes over. */
function shardsWithoutLiveOwner(assignment: Assignment, lost: string[]): number[] {
	const moves = new Map(assignment.moves.map(move => [move.shard, move]));
	const shards: number[] = [];
	for (let shard = 0; shard < assignment.owners.length; shard++) {
		const owner = ownerOf(assignment, shard);
		const move = moves.get(shard);
		const isTakenOver = move?.phase === MovePhase.Paused && !lost.includes(move.to);
		const isPausedToLost = move?.phase === MovePhase.Paused && lost.includes(move.to);
		const isOwnerLost = owner !== undefined && lost.includes(owner);
		if (isPausedToLost || (isOwnerLost && !isTakenOver)) {
			shards.push(shard);
		}
	}

	return shards;
}

function chooseRelease(assignment: Assignment, situation: Situation): AssignmentStep | undefined {
	const shards = shardsOf(assignment, move => move.phase === MovePhase.OwnerWritten && situation.granted.has(move.shard));
	if (shards.size === 0) {
		return undefined;
	}

	return {event: LogEvent.MovesReleased, next: releaseMoves(assignment, shards), reason: `${shards.size} shards released`};
}

function chooseOwners(assignment: Assignment, situation: Situation): AssignmentStep | undefined {
	const {acknowledgements, members, longestDeadlineMs, service, revoked} = situation;
	const shards = shardsOf(assignment, move => {
		if (move.phase !== MovePhase.Paused || assignment.lost.includes(move.to)) {
			return false;
		}

		const context: MoveContext = {
			fencing: service.fencing, members, longestDeadlineMs, revoked: revoked.has(move.shard),
		};
		return acknowledgements.isOldOwnerOut(move, assignment, context);
	});
	if (shards.size === 0) {
		return undefined;
	}

	return {event: LogEvent.OwnersWritten, next: writeOwners(assignment, shards), reason: `${shards.size} shards have a new owner`};
}

function choosePause(assignment: Assignment, situation: Situation): AssignmentStep | undefined {
	const shards = shardsOf(assignment, move => move.phase === MovePhase.Recorded && situation.warmed.has(move.shard));
	if (shards.size === 0) {
		return undefined;
	}

	return {event: LogEvent.MovesPaused, next: pauseMoves(assignment, shards), reason: `${shards.size} shards paused`};
}

function chooseVoters(assignment: Assignment, situation: Situation): AssignmentStep | undefined {
	const voters = nextVoters(assignment, situation.members, situation.stableMembers, situation.acknowledgements);
	if (!voters) {
		return undefined;
	}

	return {event: LogEvent.VotersChanged, next: changeVoters(assignment, voters), reason: `voters: ${voters.join(', ')}`};
}

function chooseRecovery(assignment: Assignment, situation: Situation): AssignmentStep | undefined {
	const recovered = situation.recovered.filter(server => assignment.lost.includes(server));
	const isStillNamed = assignment.moves.some(move => move.from !== undefined && recovered.includes(move.from));
	if (recovered.length === 0 || isStillNamed) {
		return undefined;
	}

	return {event: LogEvent.ServerRecovered, next: recordRecovery(assignment, recovered), reason: `servers recovered: ${recovered.join(', ')}`};
}

function chooseMoves(assignment: Assignment, situation: Situation, placement: Placement): AssignmentStep | undefined {
	const eligible = eligibleServers(situation.servers, assignment.service, assignment.lost);
	const placedFor = placementKey(eligible);
	const isPlaced = assignment.placedFor === placedFor && assignment.configurationVersion === situation.configurationVersion;
	if (isPlaced || eligible.length === 0) {
		return undefined;
	}

	// A placement that was completed for these servers is kept as it is: later moves follow the load.
	const all = assignment.placedFor === placedFor ? [] : wantedMoves(assignment, eligible, placement);
	const wanted = assignment.moves.length === 0 ? all : urgentMoves(assignment, eligible, all);
	if (assignment.moves.length > 0 && wanted.length === 0) {
		return undefined;
	}

	const hasUnowned = wanted.some(move => ownerOf(assignment, move.shard) === undefined);
	const limited = hasUnowned ? wanted.filter(move => ownerOf(assignment, move.shard) === undefined) : wanted.slice(0, situation.policy.maxConcurrentMoves);
	if (limited.length > 0) {
		return {event: LogEvent.MovesRecorded, next: recordMoves(assignment, limited), reason: `${limited.length} of ${wanted.length} moves recorded`};
	}

	return {
		event: LogEvent.ConfigurationInForce,
		next: followConfiguration(assignment, situation.configurationVersion, placedFor),
		reason: `placement follows configuration ${situation.configurationVersion}`,
	};
}

/** While other moves are under way, only shards on servers that may not own them any more start to move. */
function urgentMoves(assignment: Assignment, eligible: Server[], wanted: WantedMove[]): WantedMove[] {
	const moving = new Set(assignment.moves.map(move => move.shard));
	const mayOwn = new Set(eligible.map(server => server.id));
	return wanted.filter(({shard}) => {
		const owner = ownerOf(assignment, shard);
		return !moving.has(shard) && owner !== undefined && !mayOwn.has(owner);
	});
}

/** Returns the moves that lead from an assignment to the placement on the given servers. */
export function wantedMoves(assignment: Assignment, eligible: Server[], placement: Placement): WantedMove[] {
	const baseCount = assignment.owners.length - assignment.exceptions.length;
	const owners = ownerIds(assignment);
	const placed = placement.place({owners: owners.slice(0, baseCount), servers: eligible});
	const wanted: WantedMove[] = [];
	for (const [shard, to] of placed.entries()) {
		if (to !== undefined && to !== owners[shard]) {
			wanted.push({shard, to});
		}
	}

	return [...wanted, ...strayExceptions(assignment, eligible)];
}

/** Exceptions stay where their load put them, unless their server may not own them any more. */
function strayExceptions(assignment: Assignment, eligible: Server[]): WantedMove[] {
	const wanted: WantedMove[] = [];
	for (const [index, {shard}] of assignment.exceptions.entries()) {
		const owner = ownerOf(assignment, shard);
		const to = eligible[index % Math.max(1, eligible.length)];
		if (to && !eligible.some(server => server.id === owner)) {
			wanted.push({shard, to: to.id});
		}
	}

	return wanted;
}

function chooseHotKey(assignment: Assignment, situation: Situation): AssignmentStep | undefined {
	if (assignment.moves.length > 0) {
		return undefined;
	}

	if (situation.hotKey) {
		const {key, shard} = situation.hotKey;
		const next = isolateKey(assignment, key, shard);
		return next === assignment ? undefined : {event: LogEvent.HotKeyIsolated, next, reason: `hot key ${key} gets a shard of its own`};
	}

	if (!situation.hotMove) {
		return undefined;
	}

	return {
		event: LogEvent.MovesRecorded,
		next: recordMoves(assignment, [situation.hotMove]),
		reason: `hot shard ${situation.hotMove.shard} moves to ${situation.hotMove.to}`,
	};
}

function shardsOf(assignment: Assignment, matches: (move: Move) => boolean): Set<number> {
	return new Set(assignment.moves.filter(move => matches(move)).map(move => move.shard));
}
