/**
 * Daemons of the users' platform in this process, with stand-ins for the store and the targets, on loopback.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {PlatformDaemon} from '../src/daemon/platform-daemon.js';
import type {EventLog} from '../src/model/events.js';
import {WireHeader, wireKeys, wirePaths} from '../src/platform/wire.js';
import type {TargetTransport} from '../src/transport/target-transport.js';
import {DelayingProxy} from './delaying-proxy.js';
import {MemoryCoordinationStore} from './memory-coordination-store.js';
import {createPlatformSettings, platformPorts as ports} from './platform-settings.js';
import {PlatformStoreServer} from './platform-store-server.js';
import {PlatformTargetServer} from './platform-target-server.js';
import {TargetLinks} from './target-links.js';

export type DeploymentOptions = {
	/** First two parts of the addresses, one for each test file, so that files can run at the same time. */
	network: string;
	daemonCount: number;
	targetCount: number;
	isKeyed: boolean;
	workMs: number;
	/** Whether requests may be repeated: `safe` or `unsafe`, the default. */
	kind?: string;
	shutdownGraceS?: number;
	/** True if daemons reach the targets through proxies. */
	hasProxies?: boolean;
	log?: EventLog;
	onRun(target: string, requestId: string): void;
};

/** What a caller gets. */
export type DeploymentAnswer = {
	status: number;
	retryAfter: string | undefined;
	/** True if the answer bears a target's signature. */
	isSealed: boolean;
	text: string;
};

export class PlatformDeployment {
	readonly daemons: PlatformDaemon[] = [];
	readonly targets: PlatformTargetServer[];
	/** Proxies of the targets, in the same order. */
	readonly proxies: DelayingProxy[];
	readonly store = new MemoryCoordinationStore();
	private readonly storeServer: PlatformStoreServer;
	private readonly agent = new Agent({connections: 60});
	private requestCount = 0;

	constructor(private readonly options: DeploymentOptions) {
		const {
			network, targetCount, isKeyed, workMs, hasProxies = false, onRun,
		} = options;
		this.storeServer = new PlatformStoreServer(this.store);
		const indexes = Array.from({length: targetCount}, (_, index) => index);
		this.targets = indexes.map(index => new PlatformTargetServer({
			id: `target-${index}`, service: 'registry', ip: `${network}.1.${index + 1}`, port: ports.target, workMs, isKeyed, onRun,
			...(hasProxies && {entryAddress: `${this.proxyIp(index)}:${ports.target}`}),
		}, this.store));
		this.proxies = hasProxies ? indexes.map(index => new DelayingProxy(`${network}.1.${index + 1}:${ports.target}`)) : [];
	}

	async start(): Promise<void> {
		const {network, daemonCount, shutdownGraceS = 6, log = {record: () => undefined}} = this.options;
		await this.storeServer.listen(ports.store, `${network}.0.1`);
		this.putConfiguration();
		await Promise.all(this.proxies.map(async (proxy, index) => proxy.listen(this.proxyIp(index), ports.target)));
		for (const target of this.targets) {
			// eslint-disable-next-line no-await-in-loop -- one after another.
			await target.listen();
		}

		for (let index = 0; index < daemonCount; index += 1) {
			const daemon = new PlatformDaemon(createPlatformSettings({
				daemon: `daemon-${index}`, ip: this.ipOf(index), storeIp: `${network}.0.1`,
			}, {shutdownGraceS}), log);
			this.daemons.push(daemon);
			// eslint-disable-next-line no-await-in-loop -- one after another.
			await daemon.start();
		}

		await this.waitUntilServed();
	}

	/** Sends a request to a daemon and returns its answer; undefined if the connection ended without one. */
	async send(daemon: number, budgetMs: number, requestId = this.nextRequestId(), requestBody = '{}'): Promise<DeploymentAnswer | undefined> {
		const key = String((this.requestCount * 7919) % 65_536);
		try {
			const {statusCode, headers, body} = await request(`http://${this.ipOf(daemon)}:${ports.caller}/records/${key}`, {
				method: 'POST',
				headers: {
					host: 'demo.example', [WireHeader.RequestId]: requestId, [WireHeader.Budget]: String(budgetMs), [WireHeader.Key]: key,
				},
				body: requestBody,
				dispatcher: this.agent,
			});
			const text = await body.text();
			return {
				status: statusCode, retryAfter: headers['retry-after'] as string | undefined, isSealed: headers[WireHeader.Seal] !== undefined, text,
			};
		} catch {
			// The daemon closed the connection.
			return undefined;
		}
	}

	nextRequestId(): string {
		this.requestCount += 1;
		return `request-${this.requestCount}`;
	}

	async isReady(daemon: number): Promise<boolean> {
		const {statusCode, body} = await request(`http://${this.ipOf(daemon)}:${ports.readiness}${wirePaths.ready}`, {dispatcher: this.agent});
		await body.dump();
		return statusCode === 200;
	}

	/** Sends a daemon's requests to targets through proxies that can be cut. */
	async createLinks(daemon: number): Promise<TargetLinks> {
		const {network, targetCount} = this.options;
		const ips = (part: number): string[] => Array.from({length: targetCount}, (_, index) => `${network}.${part}.${index + 1}`);
		const links = new TargetLinks(ips(1).map(ip => `${ip}:${ports.target}`), ips(3));
		await links.open();
		links.attach((this.daemons[daemon] as unknown as {transport: TargetTransport}).transport);
		return links;
	}

	/** Closes callers' connections, as the end of the daemons' processes does. */
	async disconnect(): Promise<void> {
		await this.agent.destroy();
	}

	async stop(): Promise<void> {
		await this.disconnect();
		await Promise.all(this.daemons.map(async daemon => daemon.shutdown()));
		for (const target of this.targets) {
			target.close();
		}

		for (const proxy of this.proxies) {
			proxy.close();
		}

		this.storeServer.close();
	}

	ipOf(daemon: number): string {
		return `${this.options.network}.2.${daemon + 1}`;
	}

	private proxyIp(index: number): string {
		return `${this.options.network}.3.${index + 1}`;
	}

	private async waitUntilServed(): Promise<void> {
		for (let daemon = 0; daemon < this.daemons.length;) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			const answer = await this.send(daemon, this.options.workMs + 1000);
			daemon += answer?.status === 200 ? 1 : 0;
			// eslint-disable-next-line no-await-in-loop -- polling.
			await delay(20);
		}
	}

	private putConfiguration(): void {
		const route = {
			host: 'demo.example', prefix: '/records/', kind: this.options.kind ?? 'unsafe', timeoutMs: 20_000, targetLatencyMs: 300, priority: 1, service: 'registry', maxAttempts: 2,
		};
		this.store.put(wireKeys.configuration, JSON.stringify({
			version: 1,
			resources: [
				{resourceType: 'routes', metadata: {name: 'records'}, spec: route},
				{resourceType: 'services', metadata: {name: 'registry'}, spec: {healthPath: '/health', maxConnections: 300, ...(this.options.isKeyed && {sharded: true, warmS: 1})}},
			],
		}));
	}
}
