/**
 * A daemon: connects adapters, core and kernel, and handles start and graceful shutdown.
 */
import type {ServiceBroker} from 'moleculer';
import {RouterCore} from '../decisions/router-core.js';
import {LogEvent, type EventLog} from '../model/events.js';
import {TrpcPeers} from '../peers/trpc-peers.js';
import {EtcdStore} from '../published/etcd-store.js';
import {HttpVmList} from '../published/http-vm-list.js';
import {createKernel} from '../services/kernel.js';
import {OpenRequests} from '../services/open-requests.js';
import {HttpTargetControl} from '../targets/http-target-control.js';
import {HttpTransport} from '../targets/http-transport.js';
import {RoarrLog} from './roarr-log.js';
import type {Settings} from './settings.js';
import {StatsdMetrics} from './statsd-metrics.js';

/** Time for the load balancer to detect that the daemon is not ready, in milliseconds. */
const readinessPropagationMs = 1000;

/** Interval at which a shutdown checks for requests in flight, in milliseconds. */
const drainPollMs = 20;

/** Time for callers to read their answers once no request is in flight, in milliseconds; as long as they have to send their headers. */
const slowReaderLimitMs = 10_000;

/** Runs one daemon in this process. */
export class Daemon {
	readonly log: EventLog;
	private readonly store: EtcdStore;
	private readonly vmList: HttpVmList;
	private readonly targets = new HttpTargetControl();
	private readonly transport = new HttpTransport();
	private readonly openRequests = new OpenRequests();
	private readonly kernel: ServiceBroker;
	private readonly core: RouterCore;
	private peers: TrpcPeers | undefined;
	private stopped: Promise<void> | undefined;

	constructor(private readonly settings: Settings) {
		const {id, zone, timing} = settings;
		this.log = new RoarrLog(id, zone);
		this.store = new EtcdStore(settings.store);
		this.vmList = new HttpVmList(settings.vmList);
		this.core = new RouterCore({
			daemon: id,
			zone,
			store: this.store,
			vmList: this.vmList,
			peers: directory => {
				this.peers = new TrpcPeers(() => directory.peers(), settings.peerSecret, id);
				return this.peers;
			},
			targets: this.targets,
			transport: this.transport,
			credentials: {operatorToken: settings.operatorToken, vetoTokens: settings.vetoTokens},
			timing,
			log: this.log,
			seed: settings.seed,
			peerSecret: settings.peerSecret,
		});
		this.kernel = createKernel({
			daemon: id,
			core: this.core,
			metrics: new StatsdMetrics(settings.statsdHost, settings.statsdPort, id),
			gateway: {
				host: settings.host, port: settings.port, peerSecret: settings.peerSecret, openRequests: this.openRequests,
			},
			control: {host: settings.host, port: settings.controlPort, peerSecret: settings.peerSecret},
		});
	}

	async start(): Promise<void> {
		await this.kernel.start();
		this.log.record(LogEvent.DaemonStarted, {port: this.settings.port, controlPort: this.settings.controlPort});
	}

	/**
	 * Shuts down in order: readiness, leadership, listener, requests in flight. No request is aborted. Whoever asks again waits
	 * for the same end.
	 */
	async shutdown(): Promise<void> {
		this.stopped ??= this.shutDownOnce();
		return this.stopped;
	}

	/** Logs the requests that the end of the process leaves without a complete answer, and returns their number. */
	recordCutRequests(): number {
		return this.openRequests.recordCut(this.log);
	}

	private async shutDownOnce(): Promise<void> {
		this.log.record(LogEvent.ShutdownStep, {step: 'readiness'});
		await this.kernel.call('gateway.drain');
		this.log.record(LogEvent.ShutdownStep, {step: 'leadership'});
		await this.kernel.call('leader.resign');
		await delay(readinessPropagationMs);
		this.log.record(LogEvent.ShutdownStep, {step: 'listener'});
		await this.kernel.call('gateway.closeListener');
		this.log.record(LogEvent.ShutdownStep, {step: 'in flight'});
		await this.waitForRequests();
		await this.kernel.call('gateway.closeConnections');
		await this.kernel.stop();
		await this.closeAdapters();
		this.log.record(LogEvent.DaemonStopped, {});
	}

	/** Refuses new requests on connections that are still open and waits until the accepted ones have been answered. */
	private async waitForRequests(): Promise<void> {
		await this.kernel.call('dispatcher.beginShutdown');
		let lastInFlightAt = performance.now();
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- polling; it ends because every request has a deadline.
			const load = await this.kernel.call<number>('dispatcher.load');
			const now = performance.now();
			lastInFlightAt = load > 0 ? now : lastInFlightAt;
			if (load === 0 && (this.openRequests.count === 0 || now > lastInFlightAt + slowReaderLimitMs)) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- polling.
			await delay(drainPollMs);
		}
	}

	private async closeAdapters(): Promise<void> {
		await this.transport.close();
		await Promise.all([this.peers?.close(), this.targets.close(), this.vmList.close(), this.store.close()]);
	}
}

async function delay(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
