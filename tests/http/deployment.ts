/**
 * Runs a daemon in this process with stand-ins on free loopback ports.
 */
import {createServer, type AddressInfo} from 'node:net';
import {Agent} from 'undici';
import {Daemon} from '../../src/daemon/daemon.js';
import {readSettings} from '../../src/daemon/settings.js';
import {configurationBodySchema} from '../../src/model/configuration.js';
import {IntentKind} from '../../src/model/plan.js';
import {VmRole, VmState} from '../../src/model/vm-list.js';
import {createControlClient} from '../../src/peers/trpc-peers.js';
import {EtcdGateway} from '../../standins/etcd-gateway.js';
import {TargetServer} from '../../standins/target-server.js';
import {VmListServer} from '../../standins/vm-list-server.js';

export async function freePort(): Promise<number> {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

const classes = [
	{
		name: 'transfer', methods: ['POST'], priority: 'instruction', deadlineMs: 5000, idempotent: false,
	},
	{
		name: 'read', methods: ['GET', 'PUT'], priority: 'read', deadlineMs: 5000, idempotent: true,
	},
];

/** Owns the daemon and its stand-ins. */
export class TestDeployment {
	readonly store = new EtcdGateway();
	readonly target = new TargetServer('target-1', {
		hasFencing: true, slots: 3, queue: 50, workMs: 0, warmMs: 0,
	});

	readonly agent = new Agent();
	url = '';
	controlAddress = '';
	private daemon: Daemon | undefined;
	private vmList: VmListServer | undefined;

	/** @param targetPort port of a server that replaces the stand-in target */
	async start(targetPort?: number): Promise<void> {
		const [storePort, vmListPort, standinTargetPort, port, controlPort] = await Promise.all(Array.from({length: 5}, async () => freePort()));
		this.url = `http://127.0.0.1:${port}`;
		this.controlAddress = `127.0.0.1:${controlPort}`;
		this.vmList = new VmListServer([{
			id: 'entry-1', role: VmRole.Entry, address: this.controlAddress, zone: 'zone-1', state: VmState.Live,
		}]);
		await Promise.all([this.store.listen(storePort), this.vmList.listen(vmListPort), this.target.listen(standinTargetPort)]);
		await this.startDaemon({
			id: 'entry-1',
			zone: 'zone-1',
			port: String(port),
			controlPort: String(controlPort),
			store: `http://127.0.0.1:${storePort}`,
			vmList: `http://127.0.0.1:${vmListPort}/vms`,
			peerSecret: 'secret-of-daemons',
			operatorToken: 'operator-token',
			vetoTokens: 'customer=veto-token',
		});
		await this.configure(targetPort ?? standinTargetPort);
	}

	control(credential: string) {
		return createControlClient(this.controlAddress, credential, this.agent);
	}

	async shutDownDaemon(): Promise<void> {
		await this.daemon?.shutdown();
	}

	async stop(): Promise<void> {
		await this.shutDownDaemon();
		await Promise.all([this.store.close(), this.vmList?.close(), this.target.close(), this.agent.destroy()]);
	}

	/** @param flags settings by their flags */
	protected async startDaemon(flags: Record<string, string>): Promise<void> {
		this.daemon = new Daemon(readSettings(flags, {}));
		await this.daemon.start();
	}

	private async configure(targetPort: number): Promise<void> {
		const server = {
			address: `127.0.0.1:${targetPort}`, zone: 'zone-1', id: 'target-1', service: 'registry',
		};
		const configuration = configurationBodySchema.parse({
			services: [
				{
					name: 'registry', customer: 'customer', pathPrefix: '/registry', divided: true, shardCount: 4, key: {source: 'path', name: '1'}, classes, maxBodyBytes: 200_000,
				},
				{
					name: 'letters', customer: 'customer', pathPrefix: '/letters', divided: false, classes, maxBodyBytes: 200_000,
				},
			],
			servers: [server, {...server, id: 'target-2', service: 'letters'}],
		});
		await this.eventually(async () => {
			await this.control('operator-token').submitIntent.mutate({id: 'first', kind: IntentKind.Configure, configuration});
			return true;
		});
		await this.control('veto-token').confirmPlan.mutate({planId: 'first'});
		await this.eventually(async () => {
			const answer = await fetch(`${this.url}/registry/key-1`);
			await answer.arrayBuffer();
			return answer.status !== 503 && answer.status !== 404;
		});
	}

	private async eventually(condition: () => Promise<boolean>): Promise<void> {
		for (let attempt = 0; attempt < 400; attempt++) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			if (await condition().catch(() => false)) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- polling.
			await new Promise(resolve => {
				setTimeout(resolve, 25);
			});
		}

		throw new Error('The deployment did not become ready in time.');
	}
}
