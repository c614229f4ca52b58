/**
 * One daemon of the users' platform in a process, with stand-ins for the store and the targets, and callers on kept connections.
 */
import {wireKeys} from '../src/platform/wire.js';
import {DaemonProcess} from './daemon-process.js';
import {KeptConnection, type CallerExchange} from './kept-connection.js';
import {MemoryCoordinationStore} from './memory-coordination-store.js';
import {createPlatformSettings, platformPorts as ports} from './platform-settings.js';
import {PlatformStoreServer} from './platform-store-server.js';
import {PlatformTargetServer} from './platform-target-server.js';

export type ProcessDeploymentOptions = {
	/** First two parts of the addresses, one for each deployment that runs at the same time. */
	network: string;
	workMs: number | (() => number);
	shutdownGraceS?: number;
	routeTimeoutMs?: number;
	kind?: 'safe' | 'unsafe';
};

const targetCount = 3;
const host = 'demo.example';

/** Pause of a caller between two requests, in milliseconds. */
const pauseMs = 30;

export class ProcessDeployment {
	readonly store = new MemoryCoordinationStore();
	readonly storeServer = new PlatformStoreServer(this.store);
	/** Requests that a target ran. */
	readonly runIds = new Set<string>();
	readonly targets: PlatformTargetServer[];
	readonly daemon: DaemonProcess;
	private readonly callers: KeptConnection[] = [];

	/** Starts the daemon's process; call `listen` at once. */
	constructor(private readonly options: ProcessDeploymentOptions) {
		const {network, workMs, shutdownGraceS = 6} = options;
		this.targets = Array.from({length: targetCount}, (_, index) => new PlatformTargetServer({
			id: `target-${index}`,
			service: 'registry',
			ip: `${network}.1.${index + 1}`,
			port: ports.target,
			workMs,
			isKeyed: false,
			onRun: (_target, requestId) => {
				this.runIds.add(requestId);
			},
		}, this.store));
		this.daemon = new DaemonProcess(createPlatformSettings({
			daemon: 'daemon-0', ip: `${network}.2.1`, storeIp: `${network}.0.1`,
		}, {shutdownGraceS}));
	}

	/** Starts the store and the targets. */
	async listen(): Promise<void> {
		const {network, routeTimeoutMs = 5000, kind = 'safe'} = this.options;
		const route = {
			host, prefix: '/records/', kind, timeoutMs: routeTimeoutMs, targetLatencyMs: 1500, priority: 1, service: 'registry', maxAttempts: 2,
		};
		this.store.put(wireKeys.configuration, JSON.stringify({
			version: 1,
			resources: [
				{resourceType: 'routes', metadata: {name: 'records'}, spec: route},
				{resourceType: 'services', metadata: {name: 'registry'}, spec: {healthPath: '/health', maxConnections: 300}},
			],
		}));
		await Promise.all([this.storeServer.listen(ports.store, `${network}.0.1`), ...this.targets.map(async target => target.listen())]);
	}

	/** Waits until the daemon serves; false if its process ends before. */
	async waitUntilServed(): Promise<boolean> {
		return this.daemon.waitUntilReady();
	}

	addCallers(count: number): void {
		const {kind = 'safe', routeTimeoutMs = 5000} = this.options;
		for (let index = 0; index < count; index += 1) {
			this.callers.push(new KeptConnection({
				name: `caller-${this.callers.length}`,
				address: this.daemon.settings.callerAddress,
				method: kind === 'safe' ? 'GET' : 'POST',
				path: '/records/a',
				host,
				budgetMs: routeTimeoutMs,
				pauseMs,
			}));
		}
	}

	async stopCallers(): Promise<void> {
		await Promise.all(this.callers.map(async caller => caller.stop()));
	}

	/** All exchanges of the callers so far. */
	get exchanges(): CallerExchange[] {
		return this.callers.flatMap(({exchanges}) => exchanges);
	}

	/** Requests that a target ran and that ended without an answer. */
	get lostIds(): string[] {
		return this.exchanges.filter(({requestId, status}) => status === undefined && this.runIds.has(requestId)).map(({requestId}) => requestId);
	}

	/** Ends everything. */
	async stop(): Promise<void> {
		await this.stopCallers();
		await this.daemon.kill();
		for (const target of this.targets) {
			target.close();
		}

		this.storeServer.close();
	}
}
