/**
 * Leadership of one service in one daemon, as its leader or as a standby.
 */
import {randomUUID} from 'node:crypto';
import {emptyAssignment, type Assignment, type Stored} from '../model/assignment.js';
import type {Server, Service} from '../model/configuration.js';
import {Deadline} from '../model/deadline.js';
import {LogEvent, type EventLog} from '../model/events.js';
import {storeKeys, type KeyValueStore} from '../model/key-value-store.js';
import type {Acknowledgement, PeerNetwork} from '../model/peer.js';
import type {TargetControl} from '../model/target.js';
import type {Timing} from '../model/timing.js';
import {Acknowledgements} from './acknowledgements.js';
import {changeVoters, resignLeadership, takeLeadership} from './assignment-edit.js';
import type {Confirmation} from './confirmation.js';
import {DocumentWriter} from './document-writer.js';
import {LeaderWatch} from './leader-watch.js';
import {LossDetector} from './loss-detector.js';
import type {HotSpots} from './hot-spots.js';
import {nextStep, type AssignmentStep, type ObservedState} from './assignment-step.js';
import type {Placement} from './placement.js';
import type {Replica} from './replica.js';
import type {ServerDetector} from './server-detector.js';
import {ServerSupervisor} from './server-supervisor.js';
import type {VmDirectory} from './vm-directory.js';

/** Dependencies of a service leader. */
export type LeaderParts = {
	daemon: string;
	store: KeyValueStore;
	peers: PeerNetwork;
	targets: TargetControl;
	replica: Replica;
	confirmation: Confirmation;
	directory: VmDirectory;
	detector: ServerDetector;
	hotSpots: HotSpots;
	placement: Placement;
	timing: Timing;
	log: EventLog;
	/** Accepts an assignment in this daemon and returns the daemon's acknowledgement. */
	publishLocally: (stored: Stored<Assignment>) => Acknowledgement;
};

/** Number of versions of an assignment that the history in the store keeps. */
const historyLength = 500;

/** Interval at which a draining daemon is polled, in milliseconds. */
const drainPollMs = 10;

/**
 * Advances the assignment of one service while this daemon leads it, and monitors the leader otherwise.
 */
export class ServiceLeader {
	private readonly acknowledgements: Acknowledgements;
	private readonly supervisor: ServerSupervisor;
	private readonly writer: DocumentWriter;
	private readonly publishing = new Set<string>();
	private readonly publishedAt = new Map<string, number>();
	private readonly watch: LeaderWatch;
	private readonly lossDetector: LossDetector;
	private isRunning = false;
	private isRoundRequested = false;
	private isStopping = false;
	private ledTerm = 0;
	private serversProbedAt = -Infinity;

	constructor(readonly service: string, private readonly parts: LeaderParts) {
		this.acknowledgements = new Acknowledgements(parts.timing);
		this.watch = new LeaderWatch(service, parts);
		this.lossDetector = new LossDetector(parts);
		this.writer = new DocumentWriter(parts.store, parts.timing.storeCallMs);
		this.supervisor = new ServerSupervisor({
			targets: parts.targets,
			detector: parts.detector,
			directory: parts.directory,
			timing: parts.timing,
			wake: () => {
				this.wake();
			},
		});
	}

	/** True if the newest known assignment names this daemon as leader. */
	isLeader(): boolean {
		return this.parts.replica.assignment(this.service)?.value.leader === this.parts.daemon;
	}

	/** Runs a round, or requests another one if a round is in progress. */
	wake(): void {
		if (this.isRunning) {
			this.isRoundRequested = true;
			return;
		}

		this.isRunning = true;
		const run = async () => {
			try {
				do {
					this.isRoundRequested = false;
					// eslint-disable-next-line no-await-in-loop -- rounds run one after another.
					await this.round();
				} while (this.isRoundRequested);
			} catch (error) {
				this.parts.log.record(LogEvent.LeaderStepFailed, {service: this.service, error: String(error)});
			} finally {
				this.isRunning = false;
			}
		};

		void run();
	}

	/** Gives up leadership for a graceful shutdown. */
	async resign(): Promise<void> {
		this.isStopping = true;
		const stored = this.parts.replica.assignment(this.service);
		if (!stored || !this.isLeader()) {
			return;
		}

		try {
			await this.write(stored, {event: LogEvent.LeadershipLost, next: resignLeadership(stored.value), reason: 'shutdown of the leader'});
		} catch {
			// This daemon stays the leader until it exits; a standby takes over once its probes of this daemon fail.
			this.isStopping = false;
		}
	}

	private async round(): Promise<void> {
		const service = this.configuredService();
		if (!service || this.isStopping) {
			return;
		}

		const stored = this.parts.replica.assignment(this.service);
		if (!stored) {
			await this.createFirstAssignment(service);
			return;
		}

		if (stored.value.leader !== this.parts.daemon) {
			this.ledTerm = 0;
			this.probeServersAsFirstCandidate(stored.value.leader);
			await this.watchLeader(stored);
			return;
		}

		await this.lead(stored, service);
	}

	private configuredService(): Service | undefined {
		const service = this.parts.replica.configuration.value.body.services.find(candidate => candidate.name === this.service);
		return service?.divided ? service : undefined;
	}

	private configuredServers(): Server[] {
		const {replica, directory} = this.parts;
		const servers = replica.configuration.value.body.servers.filter(server => server.service === this.service);
		return servers.map(server => directory.resolve(server));
	}

	private async createFirstAssignment(service: Service): Promise<void> {
		const empty = emptyAssignment(service.name, service.shardCount);
		if (!await this.watch.shouldTakeOver('', 0)) {
			return;
		}

		const withLeader = takeLeadership(empty, this.parts.daemon);
		const first = {...changeVoters(withLeader, [this.parts.daemon]), version: 1, votersVersion: 1};
		await this.write({value: empty, modRevision: 0}, {event: LogEvent.LeadershipTaken, next: first, reason: 'first leader'});
	}

	private async watchLeader({value, modRevision}: Stored<Assignment>): Promise<void> {
		if (!await this.watch.shouldTakeOver(value.leader, value.term)) {
			return;
		}

		const next = takeLeadership(value, this.parts.daemon);
		await this.write({value, modRevision}, {event: LogEvent.LeadershipTaken, next, reason: `leader ${value.leader || 'none'} is missing`});
	}

	private async lead(stored: Stored<Assignment>, service: Service): Promise<void> {
		const servers = this.configuredServers();
		if (this.ledTerm !== stored.value.term) {
			this.ledTerm = stored.value.term;
			this.acknowledgements.clear();
			this.supervisor.reset(servers);
		}

		this.probeServers(servers);
		this.publish(stored);
		this.supervisor.startOperations(stored.value, service, new Map(servers.map(server => [server.id, server])));
		const step = nextStep(stored.value, this.observedState(stored.value, service, servers), this.parts.placement);
		if (step && this.parts.confirmation.storeReachable) {
			await this.write(stored, step);
			this.isRoundRequested = true;
		}
	}

	/** The first candidate for the leadership probes the servers too, so that it can act at once if the leader and a server fail together. */
	private probeServersAsFirstCandidate(leader: string): void {
		if (this.watch.isFirstCandidate(leader)) {
			this.probeServers(this.configuredServers());
		}
	}

	private probeServers(servers: Server[]): void {
		const now = performance.now();
		if (now - this.serversProbedAt < this.parts.timing.probePeriodMs) {
			return;
		}

		this.serversProbedAt = now;
		const probe = async () => {
			await this.supervisor.probe(servers);
			await this.lossDetector.probeThroughPeers(servers);
			this.wake();
		};

		void probe();
	}

	/** Publishes the newest version to every daemon that has not acknowledged it or is still draining. */
	private publish(stored: Stored<Assignment>): void {
		const {daemon, publishLocally} = this.parts;
		this.acknowledgements.observe(publishLocally(stored));
		for (const member of this.members(stored.value)) {
			if (member !== daemon && !this.publishing.has(member) && this.needsPublishing(member, stored.value)) {
				void this.publishTo(member, stored);
			}
		}
	}

	private needsPublishing(member: string, assignment: Assignment): boolean {
		if (!this.acknowledgements.hasAcknowledged(member, assignment.version)) {
			return true;
		}

		const isDraining = this.acknowledgements.inFlightOf(member) > 0;
		return isDraining && performance.now() - (this.publishedAt.get(member) ?? -Infinity) >= drainPollMs;
	}

	private async publishTo(member: string, stored: Stored<Assignment>): Promise<void> {
		const {peers, timing} = this.parts;
		this.publishing.add(member);
		this.publishedAt.set(member, performance.now());
		try {
			const acknowledgement = await peers.publish(member, stored, Deadline.after(timing.peerCallMs, `publishing to ${member}`));
			this.acknowledgements.observe(acknowledgement);
			this.wake();
		} catch {
			// The next round publishes again.
		} finally {
			this.publishing.delete(member);
		}
	}

	private members(assignment: Assignment): string[] {
		const {directory} = this.parts;
		const presentVoters = assignment.voters.filter(voter => !directory.isDaemonRemoved(voter));
		return [...new Set([...directory.members(), ...presentVoters])];
	}

	private observedState(assignment: Assignment, service: Service, servers: Server[]): ObservedState {
		const {replica, directory, detector, hotSpots, timing} = this.parts;
		const {policy} = replica.configuration.value.body;
		return {
			service,
			servers,
			policy,
			configurationVersion: replica.configuration.value.version,
			ejectable: this.lossDetector.ejectable(assignment, service, servers, policy),
			recovered: assignment.lost.filter(server => detector.healthyForMs(server) >= timing.recoveryMs),
			warmed: this.supervisor.warmed,
			revoked: this.supervisor.revoked,
			granted: this.supervisor.granted,
			acknowledgements: this.acknowledgements,
			members: this.members(assignment),
			stableMembers: directory.stableMembers(),
			longestDeadlineMs: Math.max(...service.classes.map(requestClass => requestClass.deadlineMs)),
			...hotSpots.proposal(assignment, servers, policy),
		};
	}

	/** Writes the next version. The condition on the revision rejects the write of a leader whose term has ended. */
	private async write(stored: Stored<Assignment>, step: AssignmentStep): Promise<void> {
		const {daemon, replica, log} = this.parts;
		const token = randomUUID();
		const next = {...step.next, token};
		const key = storeKeys.assignment(this.service);
		const record = {
			version: next.version, term: next.term, leader: next.leader, event: step.event, reason: step.reason, at: new Date().toISOString(), moves: next.moves.slice(0, 50),
		};
		const modRevision = await this.writer.write({
			key,
			token,
			transaction: {
				compare: [{key, modRevision: stored.modRevision}],
				puts: [
					{key, value: JSON.stringify(next)},
					{key: storeKeys.history(this.service, next.version), value: JSON.stringify(record)},
				],
				deletes: next.version > historyLength ? [storeKeys.history(this.service, next.version - historyLength)] : [],
			},
		});
		const written = {value: next, modRevision};
		replica.acceptAssignment(written);
		log.record(step.event, {
			service: this.service, version: next.version, term: next.term, reason: step.reason,
		});
		if (next.leader === daemon) {
			this.publish(written);
		}
	}
}
