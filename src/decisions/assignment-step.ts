/**
 * Selection of the next write to an assignment. All state is in the assignment, so that any leader can resume from it.
 */
import {
	MovePhase, ownerOf, type Assignment, type Move,
} from '../model/assignment.js';
import type {Server, Service, StandingPolicy} from '../model/configuration.js';
import {LogEvent} from '../model/events.js';
import type {Acknowledgements, MoveContext} from './acknowledgements.js';
import {
	changeVoters, recordPlacement, isolateKey, pauseMoves, recordLoss, recordMoves, recordRecovery, releaseMoves, writeOwners, type WantedMove,
} from './assignment-edit.js';
import {
	eligibleServers, ownerIds, placementKey, type Placement,
} from './placement.js';
import {nextVoters} from './voters.js';

/** What the leader observes when it selects the next write. */
export type ObservedState = {
	service: Service;
	/** Servers of the service, with `leaving` resolved from all sources. */
	servers: Server[];
	policy: StandingPolicy;
	configurationVersion: number;
	/** Servers that may be declared lost now. */
	ejectable: string[];
	/** Lost servers that have answered without a failure for the recovery time. */
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
	/** A hot key that should get a shard of its own. */
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

type StepRule = (assignment: Assignment, state: ObservedState, placement: Placement) => AssignmentStep | undefined;

/** Returns the next write, or undefined if there is nothing to write now. */
export function nextStep(assignment: Assignment, state: ObservedState, placement: Placement): AssignmentStep | undefined {
	for (const rule of stepRules) {
		const step = rule(assignment, state, placement);
		if (step) {
			return step;
		}
	}

	return undefined;
}

/** Rules in order of urgency: steps that end an outage come first. */
const stepRules: StepRule[] = [
	lossStep,
	releaseStep,
	ownersStep,
	pauseStep,
	votersStep,
	recoveryStep,
	movesStep,
	hotKeyStep,
];

function lossStep(assignment: Assignment, state: ObservedState, placement: Placement): AssignmentStep | undefined {
	const newlyLost = state.ejectable.filter(server => !assignment.lost.includes(server));
	const lost = [...new Set([...assignment.lost, ...newlyLost])];
	const unserved = shardsWithoutLiveOwner(assignment, lost);
	if (newlyLost.length === 0 && unserved.length === 0) {
		return undefined;
	}

	const eligible = eligibleServers(state.servers, assignment.service, lost);
	const candidates = eligible.length > 0 ? eligible : eligibleServers(state.servers.map(server => ({...server, leaving: false})), assignment.service, lost);
	const owners = ownerIds(assignment);
	const placed = placement.place({owners, servers: candidates});
	const takeovers: WantedMove[] = [];
	for (const shard of unserved) {
		const to = placed[shard];
		if (to !== undefined) {
			takeovers.push({shard, to});
		}
	}

	if (newlyLost.length === 0 && takeovers.length === 0) {
		return undefined;
	}

	const allowed = state.policy.failover ? takeovers : [];
	return {
		event: LogEvent.ServerLost,
		next: recordLoss(assignment, newlyLost, allowed),
		reason: `servers lost: ${newlyLost.join(', ')}; ${allowed.length} shards are taken over`,
	};
}

/** Shards that no live server serves and that no move assigns to one. */
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

function releaseStep(assignment: Assignment, state: ObservedState): AssignmentStep | undefined {
	const shards = shardsOf(assignment, move => move.phase === MovePhase.OwnerWritten && state.granted.has(move.shard));
	if (shards.size === 0) {
		return undefined;
	}

	return {event: LogEvent.MovesReleased, next: releaseMoves(assignment, shards), reason: `${shards.size} shards released`};
}

function ownersStep(assignment: Assignment, state: ObservedState): AssignmentStep | undefined {
	const {acknowledgements, members, longestDeadlineMs, service, revoked} = state;
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

function pauseStep(assignment: Assignment, state: ObservedState): AssignmentStep | undefined {
	const shards = shardsOf(assignment, move => move.phase === MovePhase.Recorded && state.warmed.has(move.shard));
	if (shards.size === 0) {
		return undefined;
	}

	return {event: LogEvent.MovesPaused, next: pauseMoves(assignment, shards), reason: `${shards.size} shards paused`};
}

function votersStep(assignment: Assignment, state: ObservedState): AssignmentStep | undefined {
	const voters = nextVoters(assignment, state.members, state.stableMembers, state.acknowledgements);
	if (!voters) {
		return undefined;
	}

	return {event: LogEvent.VotersChanged, next: changeVoters(assignment, voters), reason: `voters: ${voters.join(', ')}`};
}

function recoveryStep(assignment: Assignment, state: ObservedState): AssignmentStep | undefined {
	const recovered = state.recovered.filter(server => assignment.lost.includes(server));
	const hasMoveFromRecovered = assignment.moves.some(move => move.from !== undefined && recovered.includes(move.from));
	if (recovered.length === 0 || hasMoveFromRecovered) {
		return undefined;
	}

	return {event: LogEvent.ServerRecovered, next: recordRecovery(assignment, recovered), reason: `servers recovered: ${recovered.join(', ')}`};
}

function movesStep(assignment: Assignment, state: ObservedState, placement: Placement): AssignmentStep | undefined {
	const eligible = eligibleServers(state.servers, assignment.service, assignment.lost);
	const placedFor = placementKey(eligible);
	const isPlaced = assignment.placedFor === placedFor && assignment.configurationVersion === state.configurationVersion;
	if (isPlaced || eligible.length === 0) {
		return undefined;
	}

	// A placement that was completed for these servers is not computed again: that would undo later moves of hot shards.
	const all = assignment.placedFor === placedFor ? [] : wantedMoves(assignment, eligible, placement);
	const wanted = assignment.moves.length === 0 ? all : urgentMoves(assignment, eligible, all);
	if (assignment.moves.length > 0 && wanted.length === 0) {
		return undefined;
	}

	const hasUnowned = wanted.some(move => ownerOf(assignment, move.shard) === undefined);
	const selected = hasUnowned ? wanted.filter(move => ownerOf(assignment, move.shard) === undefined) : wanted.slice(0, state.policy.maxConcurrentMoves);
	if (selected.length > 0) {
		return {event: LogEvent.MovesRecorded, next: recordMoves(assignment, selected), reason: `${selected.length} of ${wanted.length} moves recorded`};
	}

	return {
		event: LogEvent.ConfigurationInForce,
		next: recordPlacement(assignment, state.configurationVersion, placedFor),
		reason: `placement follows configuration ${state.configurationVersion}`,
	};
}

/** While other moves are in progress, only shards on servers that are no longer eligible start to move. */
function urgentMoves(assignment: Assignment, eligible: Server[], wanted: WantedMove[]): WantedMove[] {
	const moving = new Set(assignment.moves.map(move => move.shard));
	const eligibleIds = new Set(eligible.map(server => server.id));
	return wanted.filter(({shard}) => {
		const owner = ownerOf(assignment, shard);
		return !moving.has(shard) && owner !== undefined && !eligibleIds.has(owner);
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

	return [...wanted, ...exceptionMoves(assignment, eligible)];
}

/** Shards of hot keys stay on the server that was chosen by load, unless that server is no longer eligible. */
function exceptionMoves(assignment: Assignment, eligible: Server[]): WantedMove[] {
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

function hotKeyStep(assignment: Assignment, state: ObservedState): AssignmentStep | undefined {
	if (assignment.moves.length > 0) {
		return undefined;
	}

	if (state.hotKey) {
		const {key, shard} = state.hotKey;
		const next = isolateKey(assignment, key, shard);
		return next === assignment ? undefined : {event: LogEvent.HotKeyIsolated, next, reason: `hot key ${key} gets a shard of its own`};
	}

	if (!state.hotMove) {
		return undefined;
	}

	return {
		event: LogEvent.MovesRecorded,
		next: recordMoves(assignment, [state.hotMove]),
		reason: `hot shard ${state.hotMove.shard} moves to ${state.hotMove.to}`,
	};
}

function shardsOf(assignment: Assignment, matches: (move: Move) => boolean): Set<number> {
	return new Set(assignment.moves.filter(move => matches(move)).map(move => move.shard));
}
