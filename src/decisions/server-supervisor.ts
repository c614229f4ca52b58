/**
 * Effects of a leader on the servers of its service: probes, warming, grants and revocations.
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
import {Contact, type ServerDetector} from './server-detector.js';
import type {VmDirectory} from './vm-directory.js';

/** What the supervisor needs. */
export type SupervisorParts = {
	targets: TargetControl;
	detector: ServerDetector;
	directory: VmDirectory;
	timing: Timing;
	/** Called after an effect that may allow the next step. */
	wake: () => void;
};

/**
 * Runs the effects that a leader's assignment asks for. Every order carries the leader's term, and each shard's order
 * its epoch, so that a late or repeated order changes nothing.
 */
export class ServerSupervisor {
	readonly warmed = new Set<number>();
	readonly revoked = new Set<number>();
	readonly granted = new Set<number>();
	private readonly incarnations = new Map<string, string>();
	private readonly warmStartedAt = new Map<number, number>();
	private readonly outstanding = new Set<string>();
	private readonly toRegrant = new Set<string>();

	constructor(private readonly parts: SupervisorParts) {}

	/** Forgets all evidence; called when leadership begins. Every server is granted its shards anew under the new term. */
	begin(servers: Server[]): void {
		this.warmed.clear();
		this.revoked.clear();
		this.granted.clear();
		this.warmStartedAt.clear();
		for (const server of servers) {
			this.toRegrant.add(server.id);
		}
	}

	/** Probes every server once. */
	async probe(servers: Server[]): Promise<void> {
		await Promise.all(servers.map(async server => this.probeServer(server)));
	}

	/** Starts the effects that the moves of an assignment need now. */
	pursue(assignment: Assignment, service: Service, servers: Map<string, Server>): void {
		this.forgetEnded(assignment);
		for (const [server, moves] of Object.entries(groupBy(assignment.moves.filter(move => move.phase === MovePhase.Recorded), move => move.to))) {
			this.warm(assignment, servers.get(server), moves);
		}

		if (service.fencing === Fencing.None) {
			for (const move of assignment.moves) {
				this.granted.add(move.shard);
			}

			return;
		}

		this.pursueOrders(assignment, servers);
	}

	private pursueOrders(assignment: Assignment, servers: Map<string, Server>): void {
		const isRevocable = (move: Move) => move.phase === MovePhase.Paused && move.kind === MoveKind.Planned && !this.revoked.has(move.shard);
		for (const [server, moves] of Object.entries(groupBy(assignment.moves.filter(move => isRevocable(move)), move => move.from ?? ''))) {
			this.revoke(assignment, servers.get(server), moves);
		}

		const isGrantable = (move: Move) => move.phase === MovePhase.OwnerWritten && !this.granted.has(move.shard);
		for (const [server, moves] of Object.entries(groupBy(assignment.moves.filter(move => isGrantable(move)), move => move.to))) {
			this.grant(assignment, servers.get(server), moves.map(move => move.shard));
		}

		for (const id of this.toRegrant) {
			const server = servers.get(id);
			if (!server) {
				this.toRegrant.delete(id);
				continue;
			}

			this.regrant(assignment, server);
		}
	}

	private forgetEnded(assignment: Assignment): void {
		const phases = new Map(assignment.moves.map(move => [move.shard, move.phase]));
		const evidence: Array<[Set<number>, MovePhase]> = [
			[this.warmed, MovePhase.Recorded],
			[this.revoked, MovePhase.Paused],
			[this.granted, MovePhase.OwnerWritten],
		];
		for (const [shards, phase] of evidence) {
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
			detector.observe(server.id, Contact.Answered);
			directory.noteOwnWord(server.id, health.leaving);
			const known = this.incarnations.get(server.id);
			this.incarnations.set(server.id, health.incarnation);
			if (known !== undefined && known !== health.incarnation) {
				// A restarted server has lost its grants.
				this.toRegrant.add(server.id);
			}
		} catch (error) {
			const isRefused = error instanceof TargetUnavailableError && error.refused;
			detector.observe(server.id, isRefused ? Contact.Refused : Contact.Silent);
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

		this.once(`warm ${server.id}`, async () => {
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

		this.once(`revoke ${server.id}`, async () => {
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

		this.once(`grant ${server.id}`, async () => {
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

		this.once(`regrant ${server.id}`, async () => {
			await this.order(server, assignment, {grants, revocations: []});
			this.toRegrant.delete(server.id);
		});
	}

	private async order(server: Server, assignment: Assignment, order: {grants: ShardEpoch[]; revocations: ShardEpoch[]}) {
		const {targets, timing} = this.parts;
		const deadline = Deadline.after(timing.peerCallMs, `order to ${server.id}`);
		return targets.grant(server, {service: assignment.service, term: assignment.term, ...order}, deadline);
	}

	/** Runs an effect unless the same one is under way; failures are repeated by the next round. */
	private once(name: string, effect: () => Promise<void>): void {
		if (this.outstanding.has(name)) {
			return;
		}

		this.outstanding.add(name);
		const run = async () => {
			try {
				await effect();
				this.parts.wake();
			} catch {
				// The move stays in its phase, so the next round repeats the effect.
			} finally {
				this.outstanding.delete(name);
			}
		};

		void run();
	}
}
