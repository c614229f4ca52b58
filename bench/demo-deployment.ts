/**
 * A small deployment on loopback: one divided and one undivided service, three daemons.
 */
import {Agent} from 'undici';
import {
	AtMostOnceProof, Fencing, KeySource, Priority, type ConfigurationBody, type Server, type Service, configurationBodySchema,
} from '../src/model/configuration.js';
import type {Vm} from '../src/model/vm-list.js';
import {createControlClient} from '../src/peers/trpc-peers.js';
import {IntentKind} from '../src/model/plan.js';
import {
	basePort, credentials, entryVms, eventually, type Processes,
} from './processes.js';

const registry = {
	name: 'registry',
	customer: 'foundation',
	pathPrefix: '/registry',
	divided: true,
	key: {source: KeySource.Path, name: '1'},
	shardCount: 64,
	fencing: Fencing.Epoch,
	atMostOnce: AtMostOnceProof.StoreClaim,
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

const letters = {
	name: 'letters',
	customer: 'foundation',
	pathPrefix: '/letters',
	divided: false,
	classes: [{
		name: 'letter', methods: ['GET'], priority: Priority.Read, deadlineMs: 2000, idempotent: true,
	}],
};

/** Deployment of the demo and of experiments with processes. */
export class DemoDeployment {
	readonly entries: Vm[];
	readonly storePort = basePort;
	readonly vmListPort = basePort + 1;
	readonly agent = new Agent();
	private readonly registryServers: Server[];

	constructor(readonly processes: Processes, options: {daemons: number; servers: number}) {
		this.entries = entryVms(options.daemons, basePort + 100, basePort + 200);
		this.registryServers = Array.from({length: options.servers}, (_, index) => this.server('registry', index));
	}

	gatewayPort(daemon: number): number {
		return basePort + 200 + daemon;
	}

	gatewayUrl(daemon: number): string {
		return `http://127.0.0.1:${this.gatewayPort(daemon)}`;
	}

	vms(): Vm[] {
		return this.entries;
	}

	/** The first configuration: all servers but the last one, which joins later. */
	configuration(joined: number): ConfigurationBody {
		const servers = [...this.registryServers.slice(0, joined), this.server('letters', 0), this.server('letters', 1)];
		return configurationBodySchema.parse({services: [registry, letters], servers, policy: {maxLostServers: 2}}) satisfies {services: Service[]};
	}

	start(workMs: number): void {
		const {processes} = this;
		processes.startStore(this.storePort);
		processes.startVmList(this.vmListPort, this.vms());
		for (const server of [...this.registryServers, this.server('letters', 0), this.server('letters', 1)]) {
			processes.startTarget(server.id, Number(server.address.split(':')[1]), workMs);
		}

		for (const index of this.entries.keys()) {
			this.startDaemon(index);
		}
	}

	startDaemon(index: number): void {
		const ports = {gateway: this.gatewayPort(index), store: this.storePort, vmList: this.vmListPort};
		this.processes.startDaemon(this.entries[index], ports, ['foundation']);
	}

	control(daemon: number, credential: string = credentials.operator) {
		return createControlClient(this.entries[daemon].address, credential, this.agent);
	}

	async ready(): Promise<void> {
		for (const index of this.entries.keys()) {
			// eslint-disable-next-line no-await-in-loop -- each daemon is waited for.
			await eventually(async () => this.isReady(index), 15_000, `daemon ${index} ready`);
			this.processes.requireRunning(this.entries[index].id);
		}
	}

	/** Submits and confirms a configuration through two different daemons. */
	async configure(id: string, joined: number): Promise<string[]> {
		const plan = await this.control(0).submitIntent.mutate({id, kind: IntentKind.Configure, configuration: this.configuration(joined)});
		await this.control(Math.min(1, this.entries.length - 1), credentials.veto).confirmPlan.mutate({planId: id});
		return plan.summary;
	}

	/** Waits until every daemon has a version in force and no move is under way. */
	async settled(configurationVersion: number): Promise<void> {
		await eventually(async () => {
			const states = await Promise.all([...this.entries.keys()].map(async index => this.control(index).status.query()));
			return states.every(state => state.configurationVersion >= configurationVersion
				&& state.assignments.length > 0
				&& state.assignments.every(({moves, leaseRemainingMs}) => moves === 0 && leaseRemainingMs > 0));
		}, 15_000, `version ${configurationVersion} in force`);
	}

	/** Number of calls that the store has had. */
	async storeCalls(): Promise<{reads: number; writes: number}> {
		const answer = await fetch(`http://127.0.0.1:${this.storePort}/standin/faults`, {method: 'POST', body: '{}'});
		return await answer.json() as {reads: number; writes: number};
	}

	/** Waits until a configuration is in force on every daemon and returns the time at which it was. */
	async inForceEverywhere(version: number): Promise<number> {
		await eventually(async () => {
			const states = await Promise.all([...this.entries.keys()].map(async index => this.control(index).status.query()));
			return states.every(state => state.configurationVersion >= version);
		}, 15_000, `configuration ${version} in force`);
		return performance.now();
	}

	/** Waits until just the given servers are lost and no move is under way. */
	async lostAndSettled(lost: string[]): Promise<void> {
		await eventually(async () => {
			const state = await this.control(0).status.query();
			return state.assignments.every(assignment => assignment.moves === 0 && assignment.lost.join(',') === lost.join(','));
		}, 20_000, `lost servers: ${lost.join(',') || 'none'}`);
	}

	/** Starts a server anew after it was ended. */
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

	private server(service: string, index: number): Server {
		const first = service === 'registry' ? basePort + 300 : basePort + 400;
		return {
			id: `${service}-${index + 1}`, service, address: `127.0.0.1:${first + index}`, zone: `zone-${(index % 4) + 1}`, weight: 1, slots: 3, connections: 110, leaving: false,
		};
	}
}

