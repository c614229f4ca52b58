/**
 * Daemons in one process under a paused clock, with fakes of the store, the VM list, the peers and the servers.
 */
import {RouterCore, tickMs} from '../src/decisions/router-core.js';
import type {VmDirectory} from '../src/decisions/vm-directory.js';
import {PeerUnavailableError} from '../src/model/errors.js';
import type {EventLog, LogEvent, LogFields} from '../src/model/events.js';
import type {PeerNetwork} from '../src/model/peer.js';
import {defaultTiming, type Timing} from '../src/model/timing.js';
import {
	VmRole, VmState, type Vm, type VmList,
} from '../src/model/vm-list.js';
import type {Deadline} from '../src/model/deadline.js';
import {FakeNetwork, ProcessState} from './fake-network.js';
import {FakeStore, type FakeStoreFaults} from './fake-store.js';
import {FakeTargets, type TargetObserver} from './fake-targets.js';
import {MemoryStore} from './memory-store.js';
import {TargetModel} from './target-model.js';

/** Credentials of the fake deployment. */
export const fakeCredentials = {operator: 'operator', veto: 'veto-holder'} as const;

/** Callbacks through which a scenario observes the deployment. */
export type DeploymentObserver = TargetObserver & {
	onLog: (daemon: string, event: LogEvent, fields: LogFields) => void;
	onPublish: (daemon: string) => void;
};

/** Options of a deployment. */
export type DeploymentOptions = {
	daemons: number;
	servers: number;
	/** False for servers that check neither epochs nor start-by deadlines. */
	hasFencing: boolean;
	seed: number;
	observer: DeploymentObserver;
	timing?: Timing;
};

/** Creates the fakes and the daemons' cores, and ticks the cores of running daemons. */
export class FakeDeployment {
	readonly network: FakeNetwork;
	readonly memoryStore = new MemoryStore();
	readonly storeFaults: FakeStoreFaults = {isDown: false, delayMs: 0, repliesToLose: 0};
	readonly models = new Map<string, TargetModel>();
	readonly cores = new Map<string, RouterCore>();
	/** The VM list as the daemons read it; scenarios may update it with a delay. */
	vms: Vm[];
	private readonly timers = new Map<string, NodeJS.Timeout>();

	constructor(private readonly options: DeploymentOptions) {
		this.network = new FakeNetwork(options.seed);
		for (let index = 1; index <= options.servers; index++) {
			const id = `server-${index}`;
			this.models.set(id, new TargetModel(id, {hasFencing: options.hasFencing, slots: 3, queue: 100}));
		}

		const daemons = Array.from({length: options.daemons}, (_, index) => `daemon-${index + 1}`);
		this.vms = daemons.map((id, index) => ({
			id, role: VmRole.Entry, address: id, zone: `zone-${(index % 2) + 1}`, state: VmState.Live,
		}));
		for (const id of daemons) {
			this.startDaemon(id);
		}
	}

	get daemons(): string[] {
		return [...this.cores.keys()];
	}

	/** Starts or restarts a daemon with empty state. */
	startDaemon(id: string): void {
		const {options, network} = this;
		const targets = new FakeTargets(id, network, this.models, options.observer);
		network.setState(id, ProcessState.Running);
		const core = new RouterCore({
			daemon: id,
			zone: 'zone-1',
			store: new FakeStore(id, network, this.memoryStore, this.storeFaults),
			vmList: new FakeVmList(() => this.vms),
			peers: directory => new FakePeers(id, this, directory, options.observer),
			targets,
			transport: targets,
			credentials: {operatorToken: fakeCredentials.operator, vetoTokens: new Map([['customer', fakeCredentials.veto]])},
			timing: options.timing ?? defaultTiming,
			log: new ObservedLog(id, options.observer),
			seed: options.seed,
			peerSecret: 'secret',
		});
		this.cores.set(id, core);
		clearInterval(this.timers.get(id));
		this.timers.set(id, setInterval(() => {
			if (network.state(id) === ProcessState.Running) {
				core.tick();
			}
		}, tickMs));
	}

	/** Stops a daemon until `startDaemon` starts it again. */
	stopDaemon(id: string, state: ProcessState): void {
		this.network.setState(id, state);
		clearInterval(this.timers.get(id));
	}

	isRunning(process: string): boolean {
		return this.network.state(process) === ProcessState.Running;
	}

	close(): void {
		for (const timer of this.timers.values()) {
			clearInterval(timer);
		}
	}
}

class FakeVmList implements VmList {
	constructor(private readonly vms: () => Vm[]) {}

	async read(): Promise<Vm[]> {
		return this.vms();
	}

	async close(): Promise<void> {
		// No connection is open.
	}
}

class ObservedLog implements EventLog {
	constructor(private readonly daemon: string, private readonly observer: DeploymentObserver) {}

	record(event: LogEvent, fields: LogFields): void {
		this.observer.onLog(this.daemon, event, fields);
	}
}

/** One daemon's access to its peers; messages are copied, as on a real network. */
class FakePeers implements PeerNetwork {
	constructor(
		private readonly daemon: string,
		private readonly deployment: FakeDeployment,
		private readonly directory: VmDirectory,
		private readonly observer: DeploymentObserver,
	) {}

	members(): string[] {
		return this.directory.peers().map(vm => vm.id);
	}

	async confirm(daemon: string, deadline: Deadline) {
		return this.call(daemon, deadline, core => core.onConfirm());
	}

	async fetchDocuments(daemon: string, known: Parameters<PeerNetwork['fetchDocuments']>[1], deadline: Deadline) {
		return this.call(daemon, deadline, core => structuredClone(core.onFetchDocuments(known)));
	}

	async publish(daemon: string, assignment: Parameters<PeerNetwork['publish']>[1], deadline: Deadline) {
		const copy = structuredClone(assignment);
		return this.call(daemon, deadline, core => {
			this.observer.onPublish(daemon);
			return core.onPublish(copy);
		});
	}

	async probeServer(daemon: string, server: string, deadline: Deadline) {
		return this.call(daemon, deadline, async core => core.onProbeServer(server));
	}

	async announceLeaving(daemon: string, deadline: Deadline) {
		return this.call(daemon, deadline, core => {
			core.onAnnounceLeaving(this.daemon);
		});
	}

	async loadReport(daemon: string, service: string, deadline: Deadline) {
		return this.call(daemon, deadline, core => core.onLoadReport(service));
	}

	private async call<Result>(daemon: string, deadline: Deadline, operation: (core: RouterCore) => Result | Promise<Result>): Promise<Result> {
		return this.deployment.network.call({
			from: this.daemon,
			to: daemon,
			deadline,
			operation: async () => operation(this.deployment.cores.get(daemon)!),
			canBeDuplicated: true,
			refused: () => new PeerUnavailableError(daemon, 'refused'),
		});
	}
}
