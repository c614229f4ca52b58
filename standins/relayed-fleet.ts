/**
 * Daemons of several availability zones in one process, without sockets: they follow the store, exchange peer messages and
 * forward requests.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {FleetSync} from '../src/decisions/fleet/fleet-sync.js';
import {FleetView} from '../src/decisions/fleet/fleet-view.js';
import {LeaderWord} from '../src/decisions/fleet/leader-word.js';
import {PeerExchange} from '../src/decisions/fleet/peer-exchange.js';
import {decodePeerMessage, type PeerMessage} from '../src/decisions/fleet/peer-message.js';
import {ZoneHubs} from '../src/decisions/fleet/zone-hubs.js';
import {Forwarder} from '../src/decisions/forwarding/forwarder.js';
import {RelayPeers} from '../src/decisions/forwarding/relay-peers.js';
import {RequestRelay} from '../src/decisions/forwarding/request-relay.js';
import {TargetAccess} from '../src/decisions/forwarding/target-access.js';
import {TargetLoads} from '../src/decisions/forwarding/target-loads.js';
import {PermitIssuers} from '../src/decisions/limits/permit-issuers.js';
import {Permits} from '../src/decisions/limits/permits.js';
import {TargetStatements} from '../src/decisions/limits/target-statements.js';
import {Leadership} from '../src/decisions/ownership/leadership.js';
import {TargetState, type Member, type Target} from '../src/model/fleet.js';
import {
	AttemptEnd, isDaemonSpecific, OutcomeKind, type Attempt, type AttemptResult, type CallerRequest, type Outcome, type RelayAttempt, type RelayResult,
} from '../src/model/forwarding.js';
import {decodeConfiguration, decodeEvacuation} from '../src/platform/documents.js';
import {CutConnections, type CutMode} from './cut-connections.js';
import {MemoryCoordinationStore, type MemoryStoreClient} from './memory-coordination-store.js';
import {createPlatformSettings} from './platform-settings.js';

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
	readonly relay: RequestRelay;
	/** Forwards to targets that answer every request, unless the fleet has other targets. */
	readonly forwarder: Forwarder;
	/** Undefined unless the daemon competes for the leadership. */
	leadership: Leadership | undefined;
	isStopped = false;
	watchCount = 0;
	readCount = 0;
	listCount = 0;
	/** Messages that wait in the socket of a suspended daemon; undefined while it runs. */
	private inbox: PeerMessage[] | undefined;
	private leaderWord: LeaderWord | undefined;
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
			evacuationsPrefix: 'op/evacuate/',
			decodeConfiguration,
			decodeEvacuation,
			decodeTarget(key, text) {
				const known = target(key.slice('targets/'.length));
				return {...known, softwareVersion: text, availabilityZone: fleet.targetZones.get(known.id) ?? known.availabilityZone};
			},
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
				requestLeaderEvidence: () => {
					this.exchange.requestLeaderEvidence();
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
		const random = (): number => fleet.random();
		this.relay = new RequestRelay({
			access: new TargetAccess({
				view: this.view,
				probe: {
					connects: async address => fleet.connects(member.daemon, address),
				},
				log: silentLog,
				random,
				onIsolated: () => undefined,
			}),
			peers: new RelayPeers(member, this.view, random),
			loads: this.loads,
			transport: {
				relay: async (request, attempt) => fleet.relay(member.daemon, request, attempt),
			},
			log: silentLog,
		});
		this.forwarder = new Forwarder({
			availabilityZone: member.availabilityZone,
			relay: this.relay,
			view: this.view,
			loads: this.loads,
			statements: this.statements,
			permits: this.permits,
			transport: {
				send: async (request, attempt) => fleet.answer(member.daemon, attempt, request),
			},
			log: silentLog,
			retryRatio: 0,
			retryReserve: 0,
			random,
			recordKey() {
				// No leader needs the request rates of keys.
			},
		});
		void this.sync.run();
		this.timer = setInterval(() => {
			if (!this.isStopped && !this.inbox) {
				this.leadership?.tick();
				this.leaderWord?.tick();
				this.exchange.tick();
				this.sync.tick();
				this.forwarder.tick();
			}
		}, tickMs);
	}

	/** Competes for the leadership from now on. */
	compete(random: () => number): void {
		const {daemon} = this.member;
		const {leaseMinimumMs, holdLimitMs, thawSlackMs} = createPlatformSettings({daemon, ip: '', storeIp: ''});
		this.leadership = new Leadership({
			daemon, store: this.client, view: this.view, log: silentLog, leaseMinimumMs, random, isCutOff: () => false,
		});
		this.leaderWord = new LeaderWord({
			leadership: this.leadership,
			ownerFreshness: {
				confirm: at => {
					this.view.confirmOwners(at);
				},
			},
			limits: {holdLimitMs, thawSlackMs},
			readOwners: async () => this.sync.refreshOwners(),
		});
	}

	receive(message: PeerMessage): void {
		if (this.inbox) {
			this.inbox.push(message);
		} else if (!this.isStopped) {
			this.exchange.receive(message);
		}
	}

	get isSuspended(): boolean {
		return this.inbox !== undefined;
	}

	/** Suspends the process: timers do not run, and messages and answers of the store wait. */
	suspend(durationMs: number): void {
		this.inbox = [];
		this.client.answerDelayMs += durationMs;
		setTimeout(() => {
			this.client.answerDelayMs -= durationMs;
			const messages = this.inbox ?? [];
			this.inbox = undefined;
			for (const message of messages) {
				this.receive(message);
			}
		}, durationMs);
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
export type TargetAnswer = (daemon: string, attempt: Attempt, request: CallerRequest) => Promise<AttemptResult>;

/** An answer of a target that ran the request. */
export const success: AttemptResult = {end: AttemptEnd.Answered, answer: {status: 200, headers: {}}, body: new Uint8Array()};

/** A fleet of daemons that share one store. */
export class RelayedFleet {
	readonly store = new MemoryCoordinationStore();
	readonly daemons: RelayedDaemon[] = [];
	/** Number of messages sent between availability zones. */
	crossZoneMessages = 0;
	dropsUpdates = false;
	/** Daemons that exchange messages only with each other. */
	readonly isolated = new Set<string>();
	/** Number of requests that were relayed to peers. */
	relayCount = 0;
	/** Number of probes of targets. */
	probeCount = 0;
	/** Addresses of targets that no daemon can connect to. */
	readonly unreachableAddresses = new Set<string>();
	/** Availability zones of targets that are not in the usual one, by id. */
	readonly targetZones = new Map<string, string>();
	readonly sent = new Map<string, Traffic>();
	private readonly daemonsByName = new Map<string, RelayedDaemon>();
	private readonly blockedReceivers = new Set<string>();
	private deliveryDelays: DeliveryDelays | undefined;
	private readonly generator = xoroshiro128plus(1);
	private targetAnswer: TargetAnswer | undefined;
	/** Daemons that are cut off from all targets. */
	private readonly cuts = new Map<string, CutConnections>();

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

	async answer(daemon: string, attempt: Attempt, request: CallerRequest): Promise<AttemptResult> {
		const run = async (): Promise<AttemptResult> => await this.targetAnswer?.(daemon, attempt, request) ?? success;
		const cut = this.cuts.get(daemon);
		return cut ? cut.send(attempt, run) : run();
	}

	/** Cuts a daemon off from all targets, but not from its peers and the store. */
	cutOff(daemon: string, mode: CutMode): void {
		this.cuts.set(daemon, new CutConnections(mode));
	}

	/** Ends the cut of a daemon. */
	reconnect(daemon: string): void {
		this.cuts.delete(daemon);
	}

	/** Opens a connection from a daemon to a target; an unreachable target fails for all daemons. */
	async connects(daemon: string, address: string): Promise<boolean> {
		this.probeCount += 1;
		return !this.unreachableAddresses.has(address) && (await this.cuts.get(daemon)?.connects() ?? true);
	}

	/** Relays a request to a peer, which answers as over the network. */
	async relay(daemon: string, request: CallerRequest, {peer, budgetMs, deliveredAttempts}: RelayAttempt): Promise<RelayResult> {
		this.relayCount += 1;
		const outcome = await this.daemon(peer.daemon).forwarder.forward({
			...request, receivedAt: performance.now(), budgetMs, relay: {daemon, deliveredAttempts},
		});
		return {...relayedResult(outcome), deliveredAttempts: outcome.deliveredAttempts ?? deliveredAttempts};
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
		if (from.isStopped || from.isSuspended || text.length > maxDatagramBytes || (this.dropsUpdates && message.update)) {
			return;
		}

		for (const {daemon, availabilityZone} of members) {
			this.crossZoneMessages += availabilityZone === from.member.availabilityZone ? 0 : 1;
			this.countTraffic(from.member.daemon, text.length);
			const to = this.daemon(daemon);
			for (const delayMs of this.deliveryDelays?.() ?? [datagramDelayMs]) {
				setTimeout(() => {
					if (!this.blockedReceivers.has(daemon) && this.isolated.has(daemon) === this.isolated.has(from.member.daemon)) {
						to.receive(decodePeerMessage(JSON.parse(text)));
					}
				}, delayMs);
			}
		}
	}

	/** Writes a configuration with one route for each prefix, all to the service of the targets. */
	putConfiguration(version: number, prefixes: readonly string[], isKeyed = false, kind = 'safe'): void {
		const routes = prefixes.map(prefix => ({
			resourceType: 'routes',
			metadata: {name: prefix},
			spec: {
				host: 'host', prefix, kind, timeoutMs: 1000, targetLatencyMs: 300, priority: 1, service: 'service', maxAttempts: 1,
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

/** The result that a peer's outcome becomes, as its gateway and the relaying daemon's transport translate it. */
function relayedResult({kind, reason, answer, body, retryAfterMs}: Outcome): AttemptResult & {retryAfterMs: number | undefined} {
	switch (kind) {
		case OutcomeKind.Answered: {
			return {
				end: AttemptEnd.Answered, answer, body, retryAfterMs,
			};
		}

		case OutcomeKind.NotRun:
		case OutcomeKind.NoRoute: {
			return {end: isDaemonSpecific(reason) ? AttemptEnd.Misdirected : AttemptEnd.Refused, retryAfterMs};
		}

		case OutcomeKind.Streamed:
		case OutcomeKind.Unknown:
		case OutcomeKind.TimedOut:
		case OutcomeKind.Abandoned: {
			return {end: AttemptEnd.Ambiguous, retryAfterMs};
		}
	}
}
