/**
 * A small deployment on loopback, with one service divided by key and one undivided service.
 */
import {Agent} from 'undici';
import {
	AtMostOnceMechanism, Fencing, KeySource, Priority, type ConfigurationBody, type Server, type Service, configurationBodySchema,
} from '../src/model/configuration.js';
import type {Vm} from '../src/model/vm-list.js';
import {createControlClient} from '../src/peers/trpc-peers.js';
import {IntentKind} from '../src/model/plan.js';
import {
	basePort, credentials, entryVms, waitUntil, type Processes,
} from './processes.js';

const registryService = {
	name: 'registry',
	customer: 'foundation',
	pathPrefix: '/registry',
	divided: true,
	key: {source: KeySource.Path, name: '1'},
	shardCount: 64,
	fencing: Fencing.Epoch,
	atMostOnce: AtMostOnceMechanism.StoreClaim,
	classes: [
		{
			name: 'transfer', methods: ['POST'], priority: Priority.Instruction, deadlineMs: 2000, idempotent: false,
		},
		{
			name: 'extract', methods: ['GET'], pathPrefix: '/ledger', priority: Priority.Extract, deadlineMs: 10_000, idempotent: true, long: true,
		},
		{
			name: 'status', methods: ['GET'], priority: Priority.Read, deadlineMs: 2000, idempotent: true,
		},
	],
};

const lettersService = {
	name: 'letters',
	customer: 'foundation',
	pathPrefix: '/letters',
	divided: false,
	classes: [{
		name: 'letter', methods: ['GET'], priority: Priority.Read, deadlineMs: 2000, idempotent: true,
	}],
};

/** Deployment of the demo and of the experiments that run real processes. */
export class DemoDeployment {
	readonly entryVms: Vm[];
	readonly storePort = basePort;
	readonly vmListPort = basePort + 1;
	readonly agent = new Agent();
	private readonly registryServers: Server[];

	constructor(readonly processes: Processes, options: {daemons: number; servers: number}) {
		this.entryVms = entryVms(options.daemons, basePort + 100, basePort + 200);
		this.registryServers = Array.from({length: options.servers}, (_, index) => this.createServer('registry', index));
	}

	gatewayPort(daemon: number): number {
		return basePort + 200 + daemon;
	}

	gatewayUrl(daemon: number): string {
		return `http://127.0.0.1:${this.gatewayPort(daemon)}`;
	}

	vms(): Vm[] {
		return this.entryVms;
	}

	/** Returns a configuration with the first servers of the service divided by key, so that the others can join later. */
	configuration(registryServerCount: number): ConfigurationBody {
		const servers = [...this.registryServers.slice(0, registryServerCount), this.createServer('letters', 0), this.createServer('letters', 1)];
		return configurationBodySchema.parse({services: [registryService, lettersService], servers, policy: {maxLostServers: 2}}) satisfies {services: Service[]};
	}

	start(workMs: number): void {
		const {processes} = this;
		processes.startStore(this.storePort);
		processes.startVmList(this.vmListPort, this.vms());
		for (const server of [...this.registryServers, this.createServer('letters', 0), this.createServer('letters', 1)]) {
			processes.startTarget(server.id, Number(server.address.split(':')[1]), workMs);
		}

		for (const index of this.entryVms.keys()) {
			this.startDaemon(index);
		}
	}

	startDaemon(index: number): void {
		const ports = {gateway: this.gatewayPort(index), store: this.storePort, vmList: this.vmListPort};
		this.processes.startDaemon(this.entryVms[index], ports, ['foundation']);
	}

	controlClient(daemon: number, credential: string = credentials.operator) {
		return createControlClient(this.entryVms[daemon].address, credential, this.agent);
	}

	async waitUntilReady(): Promise<void> {
		for (const index of this.entryVms.keys()) {
			// eslint-disable-next-line no-await-in-loop -- daemons are awaited one after the other.
			await waitUntil(async () => this.isReady(index), 15_000, `daemon ${index} ready`);
			this.processes.requireRunning(this.entryVms[index].id);
		}
	}

	/** Submits a configuration through one daemon and confirms it through another, if there is one. */
	async configure(id: string, registryServerCount: number): Promise<string[]> {
		const plan = await this.controlClient(0).submitIntent.mutate({id, kind: IntentKind.Configure, configuration: this.configuration(registryServerCount)});
		await this.controlClient(Math.min(1, this.entryVms.length - 1), credentials.veto).confirmPlan.mutate({planId: id});
		return plan.summary;
	}

	/** Waits until a configuration version is active on every daemon, every daemon has its leases and no move is in progress. */
	async waitUntilSettled(configurationVersion: number): Promise<void> {
		await waitUntil(async () => {
			const statuses = await Promise.all([...this.entryVms.keys()].map(async index => this.controlClient(index).status.query()));
			return statuses.every(state => state.configurationVersion >= configurationVersion
				&& state.assignments.length > 0
				&& state.assignments.every(({moves, leaseRemainingMs}) => moves === 0 && leaseRemainingMs > 0));
		}, 15_000, `version ${configurationVersion} active`);
	}

	/** Returns the number of calls that the store has served. */
	async storeCalls(): Promise<{reads: number; writes: number}> {
		const answer = await fetch(`http://127.0.0.1:${this.storePort}/standin/faults`, {method: 'POST', body: '{}'});
		return await answer.json() as {reads: number; writes: number};
	}

	/** Waits until a configuration version is active on every daemon and returns that time. */
	async waitUntilActive(version: number): Promise<number> {
		await waitUntil(async () => {
			const statuses = await Promise.all([...this.entryVms.keys()].map(async index => this.controlClient(index).status.query()));
			return statuses.every(state => state.configurationVersion >= version);
		}, 15_000, `configuration ${version} active`);
		return performance.now();
	}

	/** Waits until exactly the given servers are marked as lost and no move is in progress. */
	async waitForLostServers(lost: string[]): Promise<void> {
		await waitUntil(async () => {
			const status = await this.controlClient(0).status.query();
			return status.assignments.every(assignment => assignment.moves === 0 && assignment.lost.join(',') === lost.join(','));
		}, 20_000, `lost servers: ${lost.join(',') || 'none'}`);
	}

	/** Restarts a server that was killed. */
	restartServer(index: number, workMs: number): void {
		const server = this.registryServers[index];
		this.processes.startTarget(server.id, Number(server.address.split(':')[1]), workMs);
	}

	async close(): Promise<void> {
		await this.agent.destroy();
		await this.processes.stopAll();
	}

	private async isReady(index: number): Promise<boolean> {
		const answer = await fetch(`${this.gatewayUrl(index)}/-/ready`);
		return answer.ok;
	}

	private createServer(service: string, index: number): Server {
		const firstPort = service === 'registry' ? basePort + 300 : basePort + 400;
		return {
			id: `${service}-${index + 1}`, service, address: `127.0.0.1:${firstPort + index}`, zone: `zone-${(index % 4) + 1}`, weight: 1, slots: 3, connections: 110, leaving: false,
		};
	}
}

