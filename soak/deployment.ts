/**
 * Deployment of a soak on loopback: daemons are processes; the store, the targets and the links are in this process.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {TargetState} from '../src/model/fleet.js';
import type {PlatformSettings} from '../src/platform/settings.js';
import {wireKeys} from '../src/platform/wire.js';
import {MemoryCoordinationStore, StoreFault} from '../standins/memory-coordination-store.js';
import {createPlatformSettings, platformPorts as ports} from '../standins/platform-settings.js';
import {PlatformStoreServer} from '../standins/platform-store-server.js';
import {
	daemonIp, storeIp, storeLinkIp, targetEndIp, targetLinkIp,
} from './addresses.js';
import {DaemonSlot} from './daemon-slot.js';
import {HoldLedger} from './hold-ledger.js';
import {Link} from './link.js';
import {SoakTarget} from './soak-target.js';
import type {Trace, Violation} from './trace.js';
import {configurationText} from './traffic.js';

const leaderKey = 'eelgrasswheel/leader';

/** Interval of the targets' heartbeats in milliseconds; `heartbeatMs` of the users' protocol, as in the settings. */
const heartbeatMs = 1000;

/** Interval at which the balancer asks daemons whether they are ready, in milliseconds; PROTOCOL.md: "Once per second". */
const readinessIntervalMs = 1000;

/** Questions without a 200 after which a daemon gets no new connections; PROTOCOL.md: "After two misses". */
const missLimit = 2;

/** Heartbeats of silence after which an entry is removed; PROTOCOL.md: "after three heartbeat intervals of silence". */
const silentHeartbeats = 3;

export type DeploymentOptions = {
	network: string;
	daemonCount: number;
	targetCount: number;
	/** True if the lateness of orders excuses no two holders. */
	isStrict: boolean;
	/** True if the store names its era. */
	hasEra: boolean;
};

/** A place for lives of a target. */
export type TargetSlot = {
	index: number;
	isKeyed: boolean;
	lifeCount: number;
	life: SoakTarget;
	/** True if the current life runs and is not about to end. */
	isUp: boolean;
	/** Time since which the target says nothing to the store; undefined while it says something. */
	silentSince: number | undefined;
};

/** Everything that a soak starts. */
export class SoakDeployment {
	readonly store = new MemoryCoordinationStore();
	readonly daemons: DaemonSlot[];
	readonly targets: TargetSlot[];
	readonly ledger: HoldLedger;
	configurationVersion = 1;
	private readonly storeServer = new PlatformStoreServer(this.store);
	private readonly links: Link[][];
	private readonly storeLinks: Link[];
	private readonly misses: number[];
	private readonly timers: NodeJS.Timeout[] = [];

	constructor(private readonly options: DeploymentOptions, private readonly trace: Trace, onViolation: (violation: Violation) => void) {
		const {network, daemonCount, targetCount} = options;
		this.ledger = new HoldLedger(trace, onViolation, options.isStrict);
		this.daemons = Array.from({length: daemonCount}, (_, index) => new DaemonSlot(index, this.settingsOf(index), trace, onViolation));
		// Two thirds of the targets hold keys.
		this.targets = Array.from({length: targetCount}, (_, index) => this.createSlot(index, index % 3 !== 2));
		this.misses = this.daemons.map(() => missLimit);
		this.links = this.daemons.map(({index: daemon}) => this.targets.map(({index: target}) => (
			new Link(`${targetEndIp(network, daemon, target)}:${ports.target}`, targetLinkIp(network, daemon, target), ports.target)
		)));
		this.storeLinks = this.daemons.map(({index}) => new Link(`${storeIp(network)}:${ports.store}`, storeLinkIp(network, index), ports.store));
	}

	async start(): Promise<void> {
		// Daemons inherit it.
		process.env.NODE_OPTIONS = `--import=${fileURLToPath(new URL('link-route.js', import.meta.url))}`;
		this.store.era = this.options.hasEra ? 1 : undefined;
		await this.storeServer.listen(ports.store, storeIp(this.options.network));
		this.store.put(wireKeys.configuration, configurationText(this.configurationVersion));
		await Promise.all([...this.links.flat(), ...this.storeLinks].map(async link => link.listen()));
		await Promise.all(this.targets.map(async ({life}) => life.listen()));
		for (const daemon of this.daemons) {
			daemon.start();
		}

		await Promise.all(this.daemons.map(async daemon => daemon.process?.waitUntilReady()));
		this.timers.push(
			setInterval(() => {
				void this.askReadiness();
			}, readinessIntervalMs),
			setInterval(() => {
				this.removeSilentEntries();
			}, heartbeatMs / 4),
		);
		await this.askReadiness();
	}

	/** Links between a daemon, or all, and a target, or the store if it is undefined. */
	linksOf(daemon: number | undefined, target: number | undefined): Link[] {
		const daemons = daemon === undefined ? this.daemons.map(({index}) => index) : [daemon];
		return daemons.map(index => (target === undefined ? this.storeLinks[index] : this.links[index][target]));
	}

	/** Index of the daemon that leads; the first if none does. */
	leaderIndex(): number {
		const item = this.store.get(leaderKey);
		const name = item ? (JSON.parse(item.value) as {daemon: string}).daemon : '';
		return Math.max(0, this.daemons.findIndex(({settings}) => settings.daemon === name));
	}

	isInRotation(daemon: number): boolean {
		return this.misses[daemon] < missLimit;
	}

	/** Ends the life of a target; its links refuse connections. */
	endTarget(slot: TargetSlot): void {
		slot.isUp = false;
		slot.silentSince ??= performance.now();
		slot.life.close();
		for (const link of this.linksOf(undefined, slot.index)) {
			link.proxy.refuse();
		}
	}

	/** Starts the next life of a target under its id. */
	async startTarget(slot: TargetSlot): Promise<void> {
		slot.lifeCount += 1;
		slot.life = this.createLife(slot.index, slot.isKeyed, slot.lifeCount);
		await Promise.all(this.linksOf(undefined, slot.index).map(async link => link.listen()));
		await slot.life.listen();
		slot.isUp = true;
		slot.silentSince = undefined;
	}

	/** Writes what the operator and the targets write after a restore of the store. */
	writeAgain(): void {
		this.store.put(wireKeys.configuration, configurationText(this.configurationVersion));
		for (const slot of this.targets.filter(({isUp, silentSince}) => isUp && silentSince === undefined)) {
			putReady(slot);
		}
	}

	/** Writes the next version of the configuration. */
	putConfiguration(oddResources: unknown[] = []): void {
		this.configurationVersion += 1;
		this.store.put(wireKeys.configuration, configurationText(this.configurationVersion, oddResources));
	}

	async stop(): Promise<void> {
		for (const timer of this.timers) {
			clearInterval(timer);
		}

		await Promise.all(this.daemons.map(async daemon => daemon.close()));
		for (const link of [...this.links.flat(), ...this.storeLinks]) {
			link.proxy.close();
		}

		for (const {life} of this.targets) {
			life.close();
		}

		this.storeServer.close();
	}

	private createSlot(index: number, isKeyed: boolean): TargetSlot {
		return {
			index, isKeyed, lifeCount: 1, life: this.createLife(index, isKeyed, 1), isUp: true, silentSince: undefined,
		};
	}

	private createLife(index: number, isKeyed: boolean, life: number): SoakTarget {
		const {network, daemonCount} = this.options;
		return new SoakTarget({
			network, index, id: `target-${index}`, isKeyed, daemonCount, life,
		}, this.store, this.trace, this.ledger);
	}

	private async askReadiness(): Promise<void> {
		await Promise.all(this.daemons.map(async ({index, process: daemonProcess}) => {
			const isReady = await Promise.race([daemonProcess?.isReady() ?? false, delay(readinessIntervalMs, false)]);
			this.misses[index] = isReady ? 0 : this.misses[index] + 1;
		}));
	}

	/** A store that is down removes entries when it is back. */
	private removeSilentEntries(): void {
		for (const {life, silentSince} of this.targets) {
			if (silentSince !== undefined && performance.now() - silentSince > silentHeartbeats * heartbeatMs && this.store.fault !== StoreFault.Down) {
				life.removeEntry();
			}
		}
	}

	private settingsOf(index: number): PlatformSettings {
		const {network} = this.options;
		return createPlatformSettings(
			{daemon: `daemon-${index}`, ip: daemonIp(network, index), storeIp: storeLinkIp(network, index)},
			{availabilityZone: `zone-${index % 2 === 0 ? 'a' : 'b'}`},
		);
	}
}

/** Writes the entry of a target again. */
export function putReady({life}: TargetSlot): void {
	life.putEntry(TargetState.Ready);
}

/** Announces that a target leaves. */
export function putDraining({life}: TargetSlot): void {
	life.putEntry(TargetState.Draining);
}
