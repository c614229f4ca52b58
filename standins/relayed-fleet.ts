/**
 * Daemons of some availability zones that follow the store, talk to each other and forward requests, without sockets.
 */
import {FleetSync} from '../src/decisions/fleet/fleet-sync.js';
import {FleetView} from '../src/decisions/fleet/fleet-view.js';
import {PeerExchange} from '../src/decisions/fleet/peer-exchange.js';
import {decodePeerMessage, type PeerMessage} from '../src/decisions/fleet/peer-message.js';
import {ZoneHubs} from '../src/decisions/fleet/zone-hubs.js';
import {Forwarder} from '../src/decisions/forwarding/forwarder.js';
import {TargetLoads} from '../src/decisions/forwarding/target-loads.js';
import {TargetState, type Member, type Target} from '../src/model/fleet.js';
import {AttemptEnd} from '../src/model/forwarding.js';
import {decodeConfiguration} from '../src/platform/documents.js';
import {MemoryCoordinationStore, type MemoryStoreClient} from './memory-coordination-store.js';

/** Interval in which daemons do what is due, in milliseconds. */
const tickMs = 20;

/** Time of a datagram in milliseconds. */
const linkMs = 1;

/** Largest datagram in bytes. */
export const datagramBytes = 60_000;

const quiet = {
	record() {
		// Lines are not checked.
	},
};

/** A target with this id; nothing else of it matters. */
export function target(id: string): Target {
	return {
		id, bornAt: 1, address: `10.0.0.1:${id}`, service: 'service', availabilityZone: 'one', softwareVersion: '', slots: 3, state: TargetState.Ready, warmUpLeftMs: 0,
	};
}

/** A daemon without sockets. */
export class RelayedDaemon {
	readonly view = new FleetView();
	readonly loads = new TargetLoads();
	readonly client: MemoryStoreClient;
	readonly sync: FleetSync;
	readonly exchange: PeerExchange;
	/** Forwards to targets that answer every request. */
	readonly forwarder: Forwarder;
	isLost = false;
	watches = 0;
	reads = 0;
	lists = 0;
	private readonly timer: NodeJS.Timeout;

	constructor(readonly member: Member, fleet: RelayedFleet) {
		this.client = fleet.store.clientOf();
		const watch = this.client.watch.bind(this.client);
		this.client.watch = async (...parameters) => {
			this.watches += 1;
			return watch(...parameters);
		};

		const list = this.client.list.bind(this.client);
		this.client.list = async prefix => {
			this.lists += 1;
			return list(prefix);
		};

		const read = this.client.read.bind(this.client);
		this.client.read = async key => {
			this.reads += 1;
			return read(key);
		};

		this.sync = new FleetSync(this.client, this.view, {
			configurationKey: 'configuration',
			targetsPrefix: 'targets/',
			decodeConfiguration,
			decodeTarget: (key, text) => ({...target(key), id: key.slice('targets/'.length), softwareVersion: text}),
		}, {
			log: quiet,
			relay: {
				isFollowing: () => this.exchange.isFollowing(),
				publish: update => {
					this.exchange.publish(update);
				},
				request: after => {
					this.exchange.request(after);
				},
				requestEvidence: () => {
					this.exchange.requestEvidence();
				},
			},
		});
		this.exchange = new PeerExchange({
			daemon: member.daemon,
			availabilityZone: member.availabilityZone,
			view: this.view,
			loads: this.loads,
			sync: this.sync,
			hubs: new ZoneHubs(member, this.view),
			sender: {
				send: (message, members) => {
					fleet.send(this, message, members);
				},
			},
			noteKeys() {
				// No leader.
			},
		});
		this.forwarder = new Forwarder({
			availabilityZone: member.availabilityZone,
			view: this.view,
			loads: this.loads,
			transport: {
				send: async () => ({end: AttemptEnd.Answered, answer: {status: 200, headers: {}}, body: new Uint8Array()}),
			},
			log: quiet,
			retryRatio: 0,
			retryReserve: 0,
			random: () => 0,
			noteKey() {
				// No leader.
			},
		});
		void this.sync.run();
		this.timer = setInterval(() => {
			if (!this.isLost) {
				this.exchange.tick();
				this.sync.tick();
			}
		}, tickMs);
	}

	close(): void {
		clearInterval(this.timer);
		this.sync.stop();
	}
}

/** What becomes of one message: the times in milliseconds after which it arrives; none if it is lost. */
export type MessageFate = () => number[];

/** Size of a fleet. */
export type FleetSize = {
	availabilityZones: string[];
	/** Daemons in each availability zone. */
	daemonsPerZone: number;
};

const smallFleet: FleetSize = {availabilityZones: ['one', 'two'], daemonsPerZone: 3};

/** What one daemon sent. */
export type Traffic = {
	messages: number;
	bytes: number;
};

/** Daemons in some availability zones. */
export class RelayedFleet {
	readonly store = new MemoryCoordinationStore();
	readonly daemons: RelayedDaemon[] = [];
	/** Messages between availability zones. */
	remoteMessages = 0;
	losesUpdates = false;
	readonly sent = new Map<string, Traffic>();
	private readonly byName = new Map<string, RelayedDaemon>();
	private readonly deaf = new Set<string>();
	private fate: MessageFate | undefined;

	constructor({availabilityZones, daemonsPerZone}: FleetSize = smallFleet) {
		for (const availabilityZone of availabilityZones) {
			for (let number = 1; number <= daemonsPerZone; number += 1) {
				const daemon = `${availabilityZone}-${number}`;
				const member: Member = {
					daemon, availabilityZone, ip: daemon, port: 1, room: 1,
				};
				this.store.put(`eelgrasswheel/members/${daemon}`, JSON.stringify(member));
				const relayed = new RelayedDaemon(member, this);
				this.daemons.push(relayed);
				this.byName.set(daemon, relayed);
			}
		}
	}

	/** Decides from now on what becomes of messages. */
	decideFates(fate: MessageFate): void {
		this.fate = fate;
	}

	/** Loses every message to a daemon from now on, or no longer. */
	deafen(name: string, isDeaf = true): void {
		if (isDeaf) {
			this.deaf.add(name);
		} else {
			this.deaf.delete(name);
		}
	}

	send(from: RelayedDaemon, message: PeerMessage, members: Iterable<Member>): void {
		const text = JSON.stringify(message);
		if (from.isLost || text.length > datagramBytes || (this.losesUpdates && message.update)) {
			return;
		}

		for (const {daemon, availabilityZone} of members) {
			this.remoteMessages += availabilityZone === from.member.availabilityZone ? 0 : 1;
			this.noteTraffic(from.member.daemon, text.length);
			const to = this.daemon(daemon);
			for (const delayMs of this.fate?.() ?? [linkMs]) {
				setTimeout(() => {
					if (!to.isLost && !this.deaf.has(daemon)) {
						to.exchange.hear(decodePeerMessage(JSON.parse(text)));
					}
				}, delayMs);
			}
		}
	}

	/** Writes a configuration whose routes, one for each prefix, go to the service of the targets. */
	configure(version: number, prefixes: readonly string[]): void {
		const routes = prefixes.map(prefix => ({
			resourceType: 'routes',
			metadata: {name: prefix},
			spec: {
				host: 'host', prefix, kind: 'safe', timeoutMs: 1000, targetLatencyMs: 300, priority: 1, service: 'service', maxAttempts: 1,
			},
		}));
		const service = {resourceType: 'services', metadata: {name: 'service'}, spec: {healthPath: '/health', maxConnections: 100}};
		this.store.put('configuration', JSON.stringify({version, resources: [...routes, service]}));
	}

	daemon(name: string): RelayedDaemon {
		return this.byName.get(name)!;
	}

	close(): void {
		for (const daemon of this.daemons) {
			daemon.close();
		}
	}

	/** Starts another process of a daemon, which knows nothing. */
	restart(name: string): RelayedDaemon {
		const old = this.daemon(name);
		old.close();
		const restarted = new RelayedDaemon(old.member, this);
		this.daemons[this.daemons.indexOf(old)] = restarted;
		this.byName.set(name, restarted);
		return restarted;
	}

	/** Daemons that do not know a target. */
	unaware(id: string): string[] {
		return this.daemons.filter(({view, isLost}) => !isLost && !view.listedTarget(id)).map(({member}) => member.daemon);
	}

	private noteTraffic(daemon: string, bytes: number): void {
		const traffic = this.sent.get(daemon) ?? {messages: 0, bytes: 0};
		traffic.messages += 1;
		traffic.bytes += bytes;
		this.sent.set(daemon, traffic);
	}
}
