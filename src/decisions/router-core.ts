/**
 * Assembly of the routing components of one daemon. It opens no sockets and sets no periodic timer: its owner calls `tick`.
 */
import type {Assignment, Stored} from '../model/assignment.js';
import {Deadline} from '../model/deadline.js';
import type {EventLog} from '../model/events.js';
import type {KeyValueStore} from '../model/key-value-store.js';
import type {
	Acknowledgement, DaemonStatus, DocumentUpdate, KnownVersions, LoadReport, PeerConfirmation, PeerNetwork, ServerProbeResult,
} from '../model/peer.js';
import type {RequestTransport} from '../model/request.js';
import type {TargetControl} from '../model/target.js';
import type {Timing} from '../model/timing.js';
import type {VmList} from '../model/vm-list.js';
import {Confirmation} from './confirmation.js';
import {Denials} from './denials.js';
import {Dispatcher} from './dispatcher.js';
import {HotSpots} from './hot-spots.js';
import {InstructionClaims} from './instruction-claims.js';
import {PlanManager, type Credentials} from './plan-manager.js';
import {MinimalPlacement, type Placement} from './placement.js';
import {Replica} from './replica.js';
import {TwoChoices} from './server-choice.js';
import {ContactResult, ServerDetector} from './server-detector.js';
import {ServiceLeader} from './service-leader.js';
import {SlowStart} from './slow-start.js';
import {VmDirectory} from './vm-directory.js';

/** Interval of `tick` in milliseconds. */
export const tickMs = 20;

/** Interval at which leaders collect load reports, in milliseconds. */
const loadPeriodMs = 2000;

/** Interval between two probes of a server of a service that is not divided by key, in milliseconds. */
const undividedProbeMs = 1000;

/** Dependencies of a router core. */
export type CoreParts = {
	daemon: string;
	zone: string;
	store: KeyValueStore;
	vmList: VmList;
	/** Builds the network once the directory of VMs exists. */
	peers: (directory: VmDirectory) => PeerNetwork;
	targets: TargetControl;
	transport: RequestTransport;
	credentials: Credentials;
	timing: Timing;
	log: EventLog;
	/** Secret that daemons share. */
	peerSecret: string;
	/** Seed of random choices. */
	seed: number;
	placement?: Placement;
};

/**
 * Owns the replica, the dispatcher and a service leader for each service that is divided by key.
 */
export class RouterCore {
	readonly replica: Replica;
	readonly confirmation: Confirmation;
	readonly denials: Denials;
	readonly directory: VmDirectory;
	readonly dispatcher: Dispatcher;
	readonly planManager: PlanManager;
	private readonly peers: PeerNetwork;
	private readonly detector: ServerDetector;
	private readonly claims: InstructionClaims;
	private readonly placement: Placement;
	private readonly leaders = new Map<string, ServiceLeader>();
	private readonly hotSpots = new Map<string, HotSpots>();
	private readonly dueAt = new Map<string, number>();
	private readonly runningJobs = new Set<string>();

	constructor(private readonly parts: CoreParts) {
		const {daemon, store, timing, log} = parts;
		this.replica = new Replica(timing.routeLeaseMs);
		this.directory = new VmDirectory(daemon, parts.vmList);
		this.peers = parts.peers(this.directory);
		this.detector = new ServerDetector(timing);
		this.placement = parts.placement ?? new MinimalPlacement();
		this.claims = new InstructionClaims(daemon, store, timing.storeCallMs);
		this.confirmation = new Confirmation({
			daemon, store, peers: this.peers, replica: this.replica, timing, log,
		});
		this.denials = new Denials({confirmation: this.confirmation, replica: this.replica, log});
		this.dispatcher = new Dispatcher({
			daemon,
			replica: this.replica,
			directory: this.directory,
			detector: this.detector,
			claims: this.claims,
			choice: new TwoChoices(parts.seed),
			slowStart: new SlowStart(),
			transport: parts.transport,
			peerSecret: parts.peerSecret,
			timing,
		});
		this.planManager = new PlanManager({
			store, credentials: parts.credentials, placement: this.placement, timing, log,
		});
		this.replica.subscribe(() => {
			this.ensureLeaders();
		});
	}

	/** Runs everything that is due; called every `tickMs`. */
	tick(): void {
		const {timing} = this.parts;
		this.runWhenDue('vm list', timing.vmListPeriodMs, async () => {
			await this.directory.refresh();
			this.dispatcher.updateLimits();
		});
		this.runWhenDue('confirmation', timing.confirmPeriodMs, async () => this.confirmation.refresh());
		this.runWhenDue('load', loadPeriodMs, async () => this.collectLoad());
		this.runWhenDue('undivided probes', undividedProbeMs, async () => this.probeUndivided());
		this.runWhenDue('claims', timing.vmListPeriodMs, async () => this.claims.retryReleases());
		this.dispatcher.tick();
		for (const leader of this.leaders.values()) {
			leader.wake();
		}
	}

	/** True once the daemon may serve: it has read the store, or a peer has relayed a confirmation by the store. */
	isReady(): boolean {
		return this.confirmation.answer().canAttest;
	}

	/** Announces to the other daemons that this one is leaving, and gives up every leadership. */
	async resign(): Promise<void> {
		const {daemon, timing} = this.parts;
		this.directory.addLeavingDaemon(daemon);
		await Promise.allSettled(this.peers.members().map(async member => this.peers.announceLeaving(member, Deadline.after(timing.peerCallMs, `leave notice to ${member}`))));
		await Promise.all([...this.leaders.values()].map(async leader => leader.resign()));
	}

	/** Number of services that this daemon leads. */
	get ledServiceCount(): number {
		return [...this.leaders.values()].filter(leader => leader.isLeader()).length;
	}

	onConfirm(): PeerConfirmation {
		return this.confirmation.answer();
	}

	onFetchDocuments(known: KnownVersions): DocumentUpdate {
		return this.replica.newerThan(known);
	}

	/** Accepts a published assignment and returns the acknowledgement, with the requests still in flight for paused shards. */
	onPublish(stored: Stored<Assignment>): Acknowledgement {
		this.replica.acceptAssignment(stored);
		const newest = this.replica.assignment(stored.value.service) ?? stored;
		return this.dispatcher.inFlight.acknowledge(this.parts.daemon, newest.value);
	}

	/** Probes a server on behalf of a peer. */
	async onProbeServer(serverId: string): Promise<ServerProbeResult> {
		const {daemon, targets, timing} = this.parts;
		const server = this.replica.configuration.value.body.servers.find(candidate => candidate.id === serverId);
		if (!server) {
			return {daemon, server: serverId, reachable: false};
		}

		try {
			await targets.probe(server, Deadline.after(timing.peerCallMs * 0.7, `probe of ${serverId}`));
			return {daemon, server: serverId, reachable: true};
		} catch {
			return {daemon, server: serverId, reachable: false};
		}
	}

	onAnnounceLeaving(daemon: string): void {
		this.directory.addLeavingDaemon(daemon);
	}

	onLoadReport(service: string): LoadReport {
		return this.dispatcher.loadMeter.report(service);
	}

	status(): DaemonStatus {
		return {
			daemon: this.parts.daemon,
			zone: this.parts.zone,
			ready: this.isReady(),
			configurationVersion: this.replica.configuration.value.version,
			assignments: this.replica.allAssignments().map(({value}) => ({
				service: value.service,
				version: value.version,
				term: value.term,
				leader: value.leader,
				moves: value.moves.length,
				leaseRemainingMs: Math.round(this.replica.leaseRemainingMs(value.service)),
				lost: value.lost,
			})),
			storeReachable: this.confirmation.storeReachable,
			holding: this.confirmation.isServingWithoutStore,
			controlBytes: 0,
		};
	}

	private ensureLeaders(): void {
		for (const service of this.replica.configuration.value.body.services) {
			if (!service.divided || this.leaders.has(service.name)) {
				continue;
			}

			const hotSpots = new HotSpots();
			this.hotSpots.set(service.name, hotSpots);
			this.leaders.set(service.name, new ServiceLeader(service.name, {
				daemon: this.parts.daemon,
				store: this.parts.store,
				peers: this.peers,
				targets: this.parts.targets,
				replica: this.replica,
				confirmation: this.confirmation,
				directory: this.directory,
				detector: this.detector,
				hotSpots,
				placement: this.placement,
				timing: this.parts.timing,
				log: this.parts.log,
				publishLocally: stored => this.onPublish(stored),
			}));
		}
	}

	private async collectLoad(): Promise<void> {
		for (const [service, leader] of this.leaders) {
			if (!leader.isLeader()) {
				continue;
			}

			const reportCalls = this.peers.members().map(async member => this.peers.loadReport(member, service, Deadline.after(this.parts.timing.peerCallMs, `load of ${member}`)));
			// eslint-disable-next-line no-await-in-loop -- there are few services, and their reports are not urgent.
			const settled = await Promise.allSettled(reportCalls);
			const reports = settled.filter(result => result.status === 'fulfilled').map(result => result.value);
			this.hotSpots.get(service)?.accept([this.dispatcher.loadMeter.report(service), ...reports]);
		}
	}

	/** Undivided services have no leader, so each daemon probes their servers itself. */
	private async probeUndivided(): Promise<void> {
		const {body} = this.replica.configuration.value;
		const undivided = new Set(body.services.filter(service => !service.divided).map(service => service.name));
		await Promise.all(body.servers.filter(server => undivided.has(server.service)).map(async server => {
			try {
				const health = await this.parts.targets.probe(server, Deadline.after(this.parts.timing.peerCallMs, `probe of ${server.id}`));
				this.directory.recordLeaving(server.id, health.leaving);
				this.detector.observe(server.id, ContactResult.Answered);
			} catch {
				this.detector.observe(server.id, ContactResult.Silent);
			}
		}));
	}

	/** Starts a job when its period has passed and its last run has ended. */
	private runWhenDue(name: string, periodMs: number, job: () => Promise<void>): void {
		const now = performance.now();
		if (this.runningJobs.has(name) || now < (this.dueAt.get(name) ?? -Infinity)) {
			return;
		}

		this.dueAt.set(name, now + periodMs);
		this.runningJobs.add(name);
		const run = async () => {
			try {
				await job();
			} finally {
				this.runningJobs.delete(name);
			}
		};

		void run();
	}
}
