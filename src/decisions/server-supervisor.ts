/**
 * Operations of a leader on the servers of its service: probes, warming, grants and revocations.
 */
import {groupBy} from 'es-toolkit';
import {
	MoveKind, MovePhase, ownerOf, type Assignment, type Move,
} from '../model/assignment.js';
import {Fencing, type Server, type Service} from '../model/configuration.js';
import {Deadline} from '../model/deadline.js';
import {TargetUnavailableError} from '../model/errors.js';
import type {ShardEpoch, TargetControl} from '../model/target.js';
import type {Timing} from '../model/timing.js';
import {ContactResult, type ServerDetector} from './server-detector.js';
import type {VmDirectory} from './vm-directory.js';

/** Dependencies of the supervisor. */
export type SupervisorParts = {
	targets: TargetControl;
	detector: ServerDetector;
	directory: VmDirectory;
	timing: Timing;
	/** Called after an operation that may allow the next step. */
	wake: () => void;
};

/**
 * Runs the operations that the moves of a leader's assignment need. Every order carries the leader's term and the epoch
 * of each shard, so that a late or repeated order changes nothing.
 */
export class ServerSupervisor {
	readonly warmed = new Set<number>();
	readonly revoked = new Set<number>();
	readonly granted = new Set<number>();
	private readonly incarnations = new Map<string, string>();
	private readonly warmStartedAt = new Map<number, number>();
	private readonly inProgress = new Set<string>();
	private readonly serversToRegrant = new Set<string>();

	constructor(private readonly parts: SupervisorParts) {}

	/** Discards all results; called when leadership begins. Every server is granted its shards again under the new term. */
	reset(servers: Server[]): void {
		this.warmed.clear();
		this.revoked.clear();
		this.granted.clear();
		this.warmStartedAt.clear();
		for (const server of servers) {
			this.serversToRegrant.add(server.id);
		}
	}

	/** Probes every server once. */
	async probe(servers: Server[]): Promise<void> {
		await Promise.all(servers.map(async server => this.probeServer(server)));
	}

	/** Starts the operations that the moves of an assignment need now. */
	startOperations(assignment: Assignment, service: Service, servers: Map<string, Server>): void {
		this.discardStaleResults(assignment);
		for (const [server, moves] of Object.entries(groupBy(assignment.moves.filter(move => move.phase === MovePhase.Recorded), move => move.to))) {
			this.warm(assignment, servers.get(server), moves);
		}

		if (service.fencing === Fencing.None) {
			for (const move of assignment.moves) {
				this.granted.add(move.shard);
			}

			return;
		}

		this.startOrders(assignment, servers);
	}

	private startOrders(assignment: Assignment, servers: Map<string, Server>): void {
		const isRevocable = (move: Move) => move.phase === MovePhase.Paused && move.kind === MoveKind.Planned && !this.revoked.has(move.shard);
		for (const [server, moves] of Object.entries(groupBy(assignment.moves.filter(move => isRevocable(move)), move => move.from ?? ''))) {
			this.revoke(assignment, servers.get(server), moves);
		}

		const isGrantable = (move: Move) => move.phase === MovePhase.OwnerWritten && !this.granted.has(move.shard);
		for (const [server, moves] of Object.entries(groupBy(assignment.moves.filter(move => isGrantable(move)), move => move.to))) {
			this.grant(assignment, servers.get(server), moves.map(move => move.shard));
		}

		for (const id of this.serversToRegrant) {
			const server = servers.get(id);
			if (!server) {
				this.serversToRegrant.delete(id);
				continue;
			}

			this.regrant(assignment, server);
		}
	}

	private discardStaleResults(assignment: Assignment): void {
		const phases = new Map(assignment.moves.map(move => [move.shard, move.phase]));
		const requiredPhases: Array<[Set<number>, MovePhase]> = [
			[this.warmed, MovePhase.Recorded],
			[this.revoked, MovePhase.Paused],
			[this.granted, MovePhase.OwnerWritten],
		];
		for (const [shards, phase] of requiredPhases) {
			for (const shard of shards) {
				if (phases.get(shard) !== phase) {
					shards.delete(shard);
				}
			}
		}
	}

	private async probeServer(server: Server): Promise<void> {
		const {targets, detector, directory, timing} = this.parts;
		try {
			const health = await targets.probe(server, Deadline.after(timing.peerCallMs, `probe of ${server.id}`));
			detector.observe(server.id, ContactResult.Answered);
			directory.recordLeaving(server.id, health.leaving);
			const previous = this.incarnations.get(server.id);
			this.incarnations.set(server.id, health.incarnation);
			if (previous !== undefined && previous !== health.incarnation) {
				// A restarted server has lost its grants.
				this.serversToRegrant.add(server.id);
			}
		} catch (error) {
			const isRefused = error instanceof TargetUnavailableError && error.refused;
			detector.observe(server.id, isRefused ? ContactResult.Refused : ContactResult.Silent);
		}
	}

	private warm(assignment: Assignment, server: Server | undefined, moves: Move[]): void {
		const now = performance.now();
		for (const move of moves) {
			const startedAt = this.warmStartedAt.get(move.shard) ?? now;
			this.warmStartedAt.set(move.shard, startedAt);
			if (now - startedAt > this.parts.timing.warmLimitMs) {
				this.warmed.add(move.shard);
			}
		}

		const cold = moves.map(move => move.shard).filter(shard => !this.warmed.has(shard));
		if (!server || cold.length === 0) {
			return;
		}

		this.runUnlessInProgress(`warm ${server.id}`, async () => {
			const {targets, timing} = this.parts;
			await targets.warm(server, assignment.service, cold, Deadline.after(timing.warmLimitMs, `warming ${server.id}`));
			for (const shard of cold) {
				this.warmed.add(shard);
				this.warmStartedAt.delete(shard);
			}
		});
	}

	private revoke(assignment: Assignment, server: Server | undefined, moves: Move[]): void {
		if (!server) {
			return;
		}

		this.runUnlessInProgress(`revoke ${server.id}`, async () => {
			const revocations = moves.map(({shard}) => ({shard, epoch: assignment.epochs[shard] ?? 0}));
			const receipt = await this.order(server, assignment, {grants: [], revocations});
			if (receipt.executing > 0) {
				return;
			}

			for (const {shard} of moves) {
				this.revoked.add(shard);
			}
		});
	}

	private grant(assignment: Assignment, server: Server | undefined, shards: number[]): void {
		if (!server) {
			return;
		}

		this.runUnlessInProgress(`grant ${server.id}`, async () => {
			const grants = shards.map(shard => ({shard, epoch: assignment.epochs[shard] ?? 0}));
			await this.order(server, assignment, {grants, revocations: []});
			for (const shard of shards) {
				this.granted.add(shard);
			}
		});
	}

	private regrant(assignment: Assignment, server: Server): void {
		const paused = new Set(assignment.moves.filter(move => move.phase === MovePhase.Paused).map(move => move.shard));
		const grants: ShardEpoch[] = [];
		for (const [shard, epoch] of assignment.epochs.entries()) {
			if (ownerOf(assignment, shard) === server.id && !paused.has(shard)) {
				grants.push({shard, epoch});
			}
		}

		this.runUnlessInProgress(`regrant ${server.id}`, async () => {
			await this.order(server, assignment, {grants, revocations: []});
			this.serversToRegrant.delete(server.id);
		});
	}

	private async order(server: Server, assignment: Assignment, order: {grants: ShardEpoch[]; revocations: ShardEpoch[]}) {
		const {targets, timing} = this.parts;
		const deadline = Deadline.after(timing.peerCallMs, `order to ${server.id}`);
		return targets.grant(server, {service: assignment.service, term: assignment.term, ...order}, deadline);
	}

	/** Runs an operation unless one of the same name is in progress. The next round repeats a failed operation. */
	private runUnlessInProgress(name: string, operation: () => Promise<void>): void {
		if (this.inProgress.has(name)) {
			return;
		}

		this.inProgress.add(name);
		const run = async () => {
			try {
				await operation();
				this.parts.wake();
			} catch {
				// The move stays in its phase, so the next round repeats the operation.
			} finally {
				this.inProgress.delete(name);
			}
		};

		void run();
	}
}
