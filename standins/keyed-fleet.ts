/**
 * Daemons that compete for the leadership of a keyed service, over stand-ins of the store and the targets. Tests pause the clock.
 */
import {storeKeys} from '../src/decisions/fleet/daemon-documents.js';
import {FleetSync} from '../src/decisions/fleet/fleet-sync.js';
import {FleetView} from '../src/decisions/fleet/fleet-view.js';
import {TargetLoads} from '../src/decisions/forwarding/target-loads.js';
import type {TargetStatements} from '../src/decisions/limits/target-statements.js';
import {KeyLeader} from '../src/decisions/ownership/key-leader.js';
import type {EventLog, LogEvent, LogFields} from '../src/model/events.js';
import {TargetState, type Member, type Target} from '../src/model/fleet.js';
import {findRange} from '../src/model/key-ownership.js';
import type {RouteConfiguration} from '../src/model/route-configuration.js';
import {decodeEvacuation} from '../src/platform/documents.js';
import {HoldMeter, unheldKeys} from './hold-meter.js';
import {KeyHolder, KeyHolderOrders} from './key-holder.js';
import {createLonePermits} from './lone-permits.js';
import {MemoryCoordinationStore, type MemoryStoreClient} from './memory-coordination-store.js';

/** Name of the service. */
export const keyedService = 'registry';

/** Interval between ticks of the daemons and between checks of ownership, in milliseconds. */
const stepMs = 10;

const usualConfiguration: RouteConfiguration = {
	version: 1,
	routes: [],
	services: new Map([[keyedService, {
		name: keyedService, healthPath: '/health', maxConnections: 100, isKeyed: true, keyWarmUpMs: 1000,
	}]]),
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
	hasUnknownRoutes: false,
	hasUnknownLimits: false,
	faults: [],
};

/** A daemon that follows the store and can become leader. */
export class FleetDaemon {
	readonly view = new FleetView();
	readonly client: MemoryStoreClient;
	readonly orders: KeyHolderOrders;
	readonly leader: KeyLeader;
	readonly statements: TargetStatements;
	readonly loads = new TargetLoads();
	/** True once the daemon has found out that it reaches no target. */
	isCutOff = false;
	private readonly sync: FleetSync;

	constructor(readonly name: string, fleet: KeyedFleet) {
		this.client = fleet.store.createClient();
		this.orders = new KeyHolderOrders(fleet.holders);
		const log: EventLog = {
			record(event: LogEvent, fields: LogFields) {
				fleet.events.push({
					event, daemon: name, at: performance.now(), ...fields,
				});
			},
		};
		this.sync = new FleetSync(this.client, this.view, {
			configurationKey: 'configuration',
			targetsPrefix: 'targets/',
			evacuationsPrefix: 'op/evacuate/',
			decodeEvacuation,
			decodeConfiguration: () => fleet.configuration,
			decodeTarget: (_key, text) => JSON.parse(text) as Target,
		}, {log});
		this.statements = createLonePermits(log).statements;
		this.leader = new KeyLeader({
			daemon: name,
			store: this.client,
			orders: this.orders,
			view: this.view,
			loads: this.loads,
			statements: this.statements,
			log,
			leaseMinimumMs: 1000,
			limits: {holdLimitMs: 10_000, thawSlackMs: 300},
			random: () => 0.5,
			isCutOff: () => this.isCutOff,
			onOwnersWritten: () => {
				fleet.announce(this);
			},
		});
		void this.sync.run();
	}

	/** True while the process is suspended, or once it has stopped. */
	get isPaused(): boolean {
		return this.orders.isSuspended;
	}

	set isPaused(isPaused: boolean) {
		this.orders.isSuspended = isPaused;
	}

	tick(): void {
		if (!this.isPaused) {
			this.leader.tick();
		}
	}

	stop(): void {
		this.isPaused = true;
		this.sync.stop();
	}
}

/** Daemons and targets of one keyed service; ownership is checked at each step of `run`. */
export class KeyedFleet {
	readonly store = new MemoryCoordinationStore();
	readonly holders = new Map<string, KeyHolder>();
	readonly daemons: FleetDaemon[] = [];
	/** Read by daemons that start, and whenever its entry is written. */
	configuration = usualConfiguration;
	/** True if the owners that a daemon wrote reach the other running daemons at once, and not only by their watches. */
	announcesOwners = false;
	readonly events: Array<{event: LogEvent; daemon: string; at: number} & LogFields> = [];
	private readonly meter = new HoldMeter();
	private incarnationCount = 0;

	constructor(daemonCount: number, targetCount: number) {
		this.store.put('configuration', '{}');
		for (let index = 0; index < targetCount; index += 1) {
			this.addTarget(`target-${index}`);
		}

		for (let index = 0; index < daemonCount; index += 1) {
			this.addDaemon(`daemon-${index}`);
		}
	}

	/** Moments at which more than one target held a key, as text. */
	get overlappingHolds(): readonly string[] {
		return this.meter.overlaps;
	}

	/** Longest time for which more than one target held a key, in milliseconds. */
	get longestOverlapMs(): number {
		return this.meter.longestOverlapMs;
	}

	/** Delivers the owners that a daemon wrote to the others that run. */
	announce(from: FleetDaemon): void {
		const known = from.view.assignments.get(keyedService);
		if (!this.announcesOwners || !known) {
			return;
		}

		setTimeout(() => {
			for (const {view, isPaused} of this.daemons) {
				if (!isPaused) {
					view.applyAssignment(known);
				}
			}
		}, 1);
	}

	/** Starts a daemon. */
	addDaemon(name: string): void {
		this.daemons.push(new FleetDaemon(name, this));
	}

	/** Ends the process of a daemon and starts another under its name. */
	restartDaemon(daemon: FleetDaemon): void {
		daemon.stop();
		this.daemons.splice(this.daemons.indexOf(daemon), 1);
		this.addDaemon(daemon.name);
	}

	/** Writes the member entry of a daemon, which stays in the store after its process has stopped. */
	putMemberEntry(name: string): void {
		const member: Member = {
			daemon: name, availabilityZone: 'zone', ip: '127.0.0.1', port: 1, room: 1,
		};
		this.store.put(`eelgrasswheel/members/${name}`, JSON.stringify(member));
	}

	/** Starts a target, or a new incarnation of it at the same address. */
	addTarget(id: string, hasEntry = true): KeyHolder {
		this.incarnationCount += 1;
		const address = `${id}:1`;
		const holder = new KeyHolder({id, bornAt: this.incarnationCount, address});
		this.holders.set(address, holder);
		if (hasEntry) {
			this.putEntry(holder, TargetState.Ready);
		}

		return holder;
	}

	putEntry({incarnation}: Pick<KeyHolder, 'incarnation'>, state: TargetState, changes: Partial<Target> = {}): void {
		const target: Target = {
			...incarnation, service: keyedService, availabilityZone: 'zone', softwareVersion: 'v1', slots: 3, state, warmUpLeftMs: 0, ...changes,
		};
		this.store.put(`targets/${incarnation.id}`, JSON.stringify(target));
	}

	removeEntry({incarnation}: KeyHolder): void {
		this.store.delete(`targets/${incarnation.id}`);
	}

	holder(index: number): KeyHolder {
		return [...this.holders.values()][index];
	}

	/** The daemon that the store names as leader. */
	leaderDaemon(): FleetDaemon | undefined {
		const item = this.store.get(storeKeys.leader);
		const name = item && (JSON.parse(item.value) as {daemon: string}).daemon;
		return this.daemons.find(daemon => daemon.name === name);
	}

	/** Owner of a key in the view of the first running daemon. */
	ownerOf(key: number): string | undefined {
		const view = this.daemons.find(({isPaused}) => !isPaused)?.view;
		const ranges = view?.assignments.get(keyedService)?.assignment.ranges ?? [];
		return findRange(ranges, key)?.owner.id;
	}

	unheldKeys(): number[] {
		return unheldKeys([...this.holders.values()]);
	}

	/** Ends the lease of the leader without its knowledge, as the platform may do. */
	revokeLeadership(): void {
		const item = this.store.get(storeKeys.leader);
		if (item) {
			this.store.endLease((JSON.parse(item.value) as {lease: number}).lease);
		}
	}

	/** Ticks the daemons, advances the clock and checks ownership, step by step for the given duration. */
	async run(durationMs: number, advance: (ms: number) => Promise<unknown>): Promise<void> {
		for (let passed = 0; passed < durationMs; passed += stepMs) {
			for (const daemon of this.daemons) {
				daemon.tick();
			}

			// eslint-disable-next-line no-await-in-loop -- the clock advances step by step.
			await advance(stepMs);
			this.meter.check([...this.holders.values()]);
		}
	}

	resetGaps(): void {
		this.meter.resetGaps();
	}

	maxGapMs(): number {
		return this.meter.maxGapMs();
	}

	stop(): void {
		for (const daemon of this.daemons) {
			daemon.stop();
		}
	}
}
