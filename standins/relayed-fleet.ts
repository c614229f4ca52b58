/**
 * Daemons of several availability zones in one process, without sockets: they follow the store, exchange peer messages and
 * forward requests.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {FleetSync} from '../src/decisions/fleet/fleet-sync.js';
import {FleetView} from '../src/decisions/fleet/fleet-view.js';
import {PeerExchange} from '../src/decisions/fleet/peer-exchange.js';
import {decodePeerMessage, type PeerMessage} from '../src/decisions/fleet/peer-message.js';
import {ZoneHubs} from '../src/decisions/fleet/zone-hubs.js';
import {Forwarder} from '../src/decisions/forwarding/forwarder.js';
import {TargetLoads} from '../src/decisions/forwarding/target-loads.js';
import {PermitIssuers} from '../src/decisions/limits/permit-issuers.js';
import {Permits} from '../src/decisions/limits/permits.js';
import {TargetStatements} from '../src/decisions/limits/target-statements.js';
import {TargetState, type Member, type Target} from '../src/model/fleet.js';
import {AttemptEnd, type Attempt, type AttemptResult} from '../src/model/forwarding.js';
import {decodeConfiguration} from '../src/platform/documents.js';
import {MemoryCoordinationStore, type MemoryStoreClient} from './memory-coordination-store.js';

/** Interval between ticks of a daemon, in milliseconds. */
const tickMs = 20;

/** Number of different random numbers. */
const randomSteps = 1_000_000;

/** Default one-way delay of a datagram, in milliseconds. */
const datagramDelayMs = 1;

/** Largest datagram that is delivered, in bytes. */
export const maxDatagramBytes = 60_000;

const silentLog = {
	record() {
		// Tests do not read this log.
	},
};

/** Creates a target with this id; its other fields are arbitrary. */
export function target(id: string): Target {
	return {
		id, bornAt: 1, address: `10.0.0.1:${id}`, service: 'service', availabilityZone: 'one', softwareVersion: '', slots: 3, state: TargetState.Ready, warmUpLeftMs: 0,
	};
}

/** A daemon without sockets; counts its calls to the store. */
export class RelayedDaemon {
	readonly view = new FleetView();
	readonly loads = new TargetLoads();
	readonly statements = new TargetStatements(silentLog, {
		onNews: () => {
			this.exchange.announceStatements();
		},
		onLeaving: target => {
			this.view.markLeaving(target);
		},
	});

	readonly permits: Permits;
	readonly client: MemoryStoreClient;
	readonly sync: FleetSync;
	readonly exchange: PeerExchange;
	/** Forwards to targets that answer every request, unless the fleet has other targets. */
	readonly forwarder: Forwarder;
	isStopped = false;
	watchCount = 0;
	readCount = 0;
	listCount = 0;
	private readonly timer: NodeJS.Timeout;

	constructor(readonly member: Member, fleet: RelayedFleet) {
		this.client = fleet.store.createClient();
		const watch = this.client.watch.bind(this.client);
		this.client.watch = async (...parameters) => {
			this.watchCount += 1;
			return watch(...parameters);
		};

		const list = this.client.list.bind(this.client);
		this.client.list = async prefix => {
			this.listCount += 1;
			return list(prefix);
		};

		const read = this.client.read.bind(this.client);
		this.client.read = async key => {
			this.readCount += 1;
			return read(key);
		};

		this.sync = new FleetSync(this.client, this.view, {
			configurationKey: 'configuration',
			targetsPrefix: 'targets/',
			decodeConfiguration,
			decodeTarget: (key, text) => ({...target(key.slice('targets/'.length)), softwareVersion: text}),
		}, {
			log: silentLog,
			relay: {
				isFollowing: () => this.exchange.isFollowing(),
				publish: update => {
					this.exchange.publish(update);
				},
				requestChanges: after => {
					this.exchange.requestChanges(after);
				},
				requestEvidence: () => {
					this.exchange.requestEvidence();
				},
			},
		});
		this.permits = new Permits({
			daemon: member.daemon,
			statements: this.statements,
			issuers: new PermitIssuers(member.daemon, this.view),
			sender: {
				request: (message, issuer) => {
					this.exchange.sendPermitRequest(message, issuer);
				},
				answer: (message, daemon) => {
					this.exchange.sendPermitAnswer(message, daemon);
				},
			},
			log: silentLog,
		});
		this.exchange = new PeerExchange({
			daemon: member.daemon,
			availabilityZone: member.availabilityZone,
			view: this.view,
			loads: this.loads,
			sync: this.sync,
			statements: this.statements,
			permits: this.permits,
			hubs: new ZoneHubs(member, this.view),
			sender: {
				send: (message, members) => {
					fleet.send(this, message, members);
				},
			},
			recordKeys() {
				// No daemon is leader, so reports about keys are ignored.
			},
		});
		this.forwarder = new Forwarder({
			availabilityZone: member.availabilityZone,
			view: this.view,
			loads: this.loads,
			statements: this.statements,
			permits: this.permits,
			transport: {
				send: async (_request, attempt) => fleet.answer(member.daemon, attempt),
			},
			log: silentLog,
			retryRatio: 0,
			retryReserve: 0,
			random: () => fleet.random(),
			recordKey() {
				// No leader needs the request rates of keys.
			},
		});
		void this.sync.run();
		this.timer = setInterval(() => {
			if (!this.isStopped) {
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

/** Returns the delays in milliseconds after which the copies of one message arrive; none if the message is lost. */
export type DeliveryDelays = () => number[];

/** Size of a fleet. */
export type FleetSize = {
	availabilityZones: string[];
	/** Daemons in each availability zone. */
	daemonsPerZone: number;
};

const smallFleet: FleetSize = {availabilityZones: ['one', 'two'], daemonsPerZone: 3};

/** Messages and bytes that one daemon sent. */
export type Traffic = {
	messages: number;
	bytes: number;
};

/** Answers an attempt of a daemon. */
export type TargetAnswer = (daemon: string, attempt: Attempt) => Promise<AttemptResult>;

/** An answer of a target that ran the request. */
export const success: AttemptResult = {end: AttemptEnd.Answered, answer: {status: 200, headers: {}}, body: new Uint8Array()};

/** A fleet of daemons that share one store. */
export class RelayedFleet {
	readonly store = new MemoryCoordinationStore();
	readonly daemons: RelayedDaemon[] = [];
	/** Number of messages sent between availability zones. */
	crossZoneMessages = 0;
	dropsUpdates = false;
	readonly sent = new Map<string, Traffic>();
	private readonly daemonsByName = new Map<string, RelayedDaemon>();
	private readonly blockedReceivers = new Set<string>();
	private deliveryDelays: DeliveryDelays | undefined;
	private readonly generator = xoroshiro128plus(1);
	private targetAnswer: TargetAnswer | undefined;

	constructor({availabilityZones, daemonsPerZone}: FleetSize = smallFleet) {
		for (const availabilityZone of availabilityZones) {
			for (let number = 1; number <= daemonsPerZone; number += 1) {
				const daemon = `${availabilityZone}-${number}`;
				const member: Member = {
					daemon, availabilityZone, ip: '127.0.0.1', port: 1, room: 1,
				};
				this.store.put(`eelgrasswheel/members/${daemon}`, JSON.stringify(member));
				const relayed = new RelayedDaemon(member, this);
				this.daemons.push(relayed);
				this.daemonsByName.set(daemon, relayed);
			}
		}
	}

	/** Sets the delays of messages that are sent from now on. */
	setDeliveryDelays(deliveryDelays: DeliveryDelays): void {
		this.deliveryDelays = deliveryDelays;
	}

	/** The same numbers from 0 to 1 in each run. */
	random(): number {
		return uniformInt(this.generator, 0, randomSteps) / randomSteps;
	}

	/** Sets how targets answer. */
	setTargetAnswer(targetAnswer: TargetAnswer): void {
		this.targetAnswer = targetAnswer;
	}

	async answer(daemon: string, attempt: Attempt): Promise<AttemptResult> {
		return this.targetAnswer?.(daemon, attempt) ?? success;
	}

	/** Starts or stops dropping every message that arrives at a daemon. */
	dropMessagesTo(name: string, isDropping = true): void {
		if (isDropping) {
			this.blockedReceivers.add(name);
		} else {
			this.blockedReceivers.delete(name);
		}
	}

	send(from: RelayedDaemon, message: PeerMessage, members: Iterable<Member>): void {
		const text = JSON.stringify(message);
		if (from.isStopped || text.length > maxDatagramBytes || (this.dropsUpdates && message.update)) {
			return;
		}

		for (const {daemon, availabilityZone} of members) {
			this.crossZoneMessages += availabilityZone === from.member.availabilityZone ? 0 : 1;
			this.countTraffic(from.member.daemon, text.length);
			const to = this.daemon(daemon);
			for (const delayMs of this.deliveryDelays?.() ?? [datagramDelayMs]) {
				setTimeout(() => {
					if (!to.isStopped && !this.blockedReceivers.has(daemon)) {
						to.exchange.receive(decodePeerMessage(JSON.parse(text)));
					}
				}, delayMs);
			}
		}
	}

	/** Writes a configuration with one route for each prefix, all to the service of the targets. */
	putConfiguration(version: number, prefixes: readonly string[], isKeyed = false): void {
		const routes = prefixes.map(prefix => ({
			resourceType: 'routes',
			metadata: {name: prefix},
			spec: {
				host: 'host', prefix, kind: 'safe', timeoutMs: 1000, targetLatencyMs: 300, priority: 1, service: 'service', maxAttempts: 1,
			},
		}));
		const service = {resourceType: 'services', metadata: {name: 'service'}, spec: {healthPath: '/health', maxConnections: 100, ...(isKeyed && {sharded: true, warmS: 1})}};
		this.store.put('configuration', JSON.stringify({version, resources: [...routes, service]}));
	}

	daemon(name: string): RelayedDaemon {
		return this.daemonsByName.get(name)!;
	}

	close(): void {
		for (const daemon of this.daemons) {
			daemon.close();
		}
	}

	/** Replaces a daemon by a new process with an empty view. */
	restart(name: string): RelayedDaemon {
		const old = this.daemon(name);
		old.close();
		const restarted = new RelayedDaemon(old.member, this);
		this.daemons[this.daemons.indexOf(old)] = restarted;
		this.daemonsByName.set(name, restarted);
		return restarted;
	}

	/** Names of the running daemons that do not list a target. */
	daemonsMissingTarget(id: string): string[] {
		return this.daemons.filter(({view, isStopped}) => !isStopped && !view.listedTarget(id)).map(({member}) => member.daemon);
	}

	private countTraffic(daemon: string, bytes: number): void {
		const traffic = this.sent.get(daemon) ?? {messages: 0, bytes: 0};
		traffic.messages += 1;
		traffic.bytes += bytes;
		this.sent.set(daemon, traffic);
	}
}
