/**
 * A daemon on the users' platform: connects adapters, decisions and kernel, and handles start and graceful shutdown.
 */
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import type {ServiceBroker} from 'moleculer';
import {CoordinationPolicy} from '../decisions/admission/coordination-policy.js';
import {SlotCoordinator} from '../decisions/admission/slot-coordinator.js';
import {SlotExchange} from '../decisions/admission/slot-exchange.js';
import {decodeSlotMessage, isSlotMessage, type SlotMessage} from '../decisions/admission/slot-message.js';
import {SlotRequests} from '../decisions/admission/slot-requests.js';
import {TargetGroups} from '../decisions/admission/target-groups.js';
import {ConfigurationFreshness} from '../decisions/fleet/configuration-freshness.js';
import {EvacuationLog} from '../decisions/fleet/evacuation-log.js';
import {FleetSync} from '../decisions/fleet/fleet-sync.js';
import {FleetView} from '../decisions/fleet/fleet-view.js';
import {LeaderWord} from '../decisions/fleet/leader-word.js';
import {Membership} from '../decisions/fleet/membership.js';
import {PeerExchange} from '../decisions/fleet/peer-exchange.js';
import {decodePeerMessage, type PeerMessage} from '../decisions/fleet/peer-message.js';
import {ZoneHubs} from '../decisions/fleet/zone-hubs.js';
import {Forwarder} from '../decisions/forwarding/forwarder.js';
import {PermitIssuers} from '../decisions/limits/permit-issuers.js';
import {Permits} from '../decisions/limits/permits.js';
import {TargetStatements} from '../decisions/limits/target-statements.js';
import {RelayPeers} from '../decisions/forwarding/relay-peers.js';
import {RequestRelay} from '../decisions/forwarding/request-relay.js';
import {TargetAccess} from '../decisions/forwarding/target-access.js';
import {TargetLoads} from '../decisions/forwarding/target-loads.js';
import {KeyLeader} from '../decisions/ownership/key-leader.js';
import {describeFailure, RouterError} from '../model/errors.js';
import {LogEvent, type EventLog} from '../model/events.js';
import type {Member} from '../model/fleet.js';
import {
	OutcomeKind, type CallerRequest, type Outcome,
} from '../model/forwarding.js';
import type {CallerLimits} from '../model/route-configuration.js';
import {DatagramPeers} from '../peers/datagram-peers.js';
import {decodeConfiguration, decodeEvacuation, decodeTarget} from '../platform/documents.js';
import {PlatformKeyOrders} from '../platform/key-orders.js';
import {PlatformStore} from '../platform/platform-store.js';
import {
	PeerRelayTransport, readRelayedHeaders, relayAnswerHeaders, relayHeaderBytes,
} from '../platform/relay.js';
import type {PlatformSettings} from '../platform/settings.js';
import {PlatformTargetProtocol, readCallerHeaders} from '../platform/target-protocol.js';
import {wireKeys, wirePaths} from '../platform/wire.js';
import {HeldBytes} from '../services/held-bytes.js';
import {OpenRequests} from '../services/open-requests.js';
import {createPlatformGatewayService} from '../services/platform-gateway-service.js';
import {createPlatformKernel} from '../services/platform-kernel.js';
import {createPlatformMetricsService, PlatformMetrics} from '../services/platform-metrics-service.js';
import {createReadinessService} from '../services/readiness-service.js';
import {TargetTransport} from '../transport/target-transport.js';

/** Time for the load balancer to detect that the daemon is not ready, in milliseconds: two failed checks, one a second. */
const readinessPropagationMs = 2600;

/**
 * Share of the grace period reserved for the steps after the last request. By the users' rules, requests may be cut in the last
 * sixth of the grace period.
 */
const exitReserveShare = 0.15;

/**
 * Share of the grace period after which requests without an answer get one; after the begin of the last sixth, and early enough for
 * callers to receive the answers before the process ends.
 */
const finalAnswersShare = 0.84;

/** Interval at which a shutdown checks for requests in flight, in milliseconds. */
const drainPollMs = 20;

/** One in this many served requests is logged. All other outcomes are logged, subject to the line limit of the log. */
const servedLogInterval = 50;

/** Port of the metrics; must match deploy/system.toml. */
const metricsPort = 9464;

const secondMs = 1000;

/** Maximum bandwidth of the messages that one core can process on behalf of other daemons, in Mbit/s. */
const linkMbpsPerCore = 60;

/** Runs one daemon in this process. */
export class PlatformDaemon {
	private readonly store: PlatformStore;
	private readonly orders = new PlatformKeyOrders();
	private readonly transport = new TargetTransport(new PlatformTargetProtocol());
	private readonly relayTransport: PeerRelayTransport;
	private readonly relay: RequestRelay;
	private readonly view: FleetView;
	private readonly sync: FleetSync;
	private readonly exchange: PeerExchange;
	private readonly membership: Membership;
	private readonly peers: DatagramPeers<PeerMessage | SlotMessage>;
	private readonly leader: KeyLeader;
	private readonly metrics: PlatformMetrics;
	private readonly kernel: ServiceBroker;
	private readonly statements: TargetStatements;
	private readonly permits: Permits;
	private readonly slots: SlotRequests;
	private readonly openRequests = new OpenRequests();
	private readonly heldBytes: HeldBytes;
	private servedCount = 0;
	private receivedRelayCount = 0;
	private hasStarted = false;
	private stopped: Promise<void> | undefined;

	constructor(private readonly settings: PlatformSettings, private readonly log: EventLog) {
		const {daemon, availabilityZone, ip, peerPorts: [port]} = settings;
		this.heldBytes = new HeldBytes(log, settings.memoryMb);
		this.view = new FleetView(new ConfigurationFreshness(settings.configurationApplyMs));
		this.store = new PlatformStore(settings.storeAddress, detail => {
			log.record(LogEvent.DocumentRejected, {detail});
		});
		this.sync = this.createSync();
		const member: Member = {
			daemon, availabilityZone, ip, port, room: spareCapacity(settings),
		};
		this.membership = new Membership(member, {
			store: this.store,
			view: this.view,
			log,
			onAnswer: () => {
				this.sync.recordStoreAnswer();
			},
		});
		const loads = new TargetLoads();
		this.statements = new TargetStatements(log, {
			onNews: () => {
				this.exchange.announceStatements();
			},
			onLeaving: target => {
				this.view.markLeaving(target);
			},
		});
		this.permits = this.createPermits();
		const exchange = this.createExchange(loads);
		this.exchange = exchange;
		const slotExchange = this.createSlotExchange(loads);
		this.slots = new SlotRequests({
			availabilityZone, groups: new TargetGroups(this.view), link: slotExchange, log, random: Math.random,
		});
		this.peers = new DatagramPeers(decodeMessage, message => {
			if ('slotsOf' in message) {
				slotExchange.receive(message);
			} else {
				exchange.receive(message);
			}
		}, detail => {
			log.record(LogEvent.PeerMessageRejected, {detail});
		});
		this.leader = this.createLeader(loads, exchange);
		const {leadership} = this.leader;
		const {holdLimitMs, thawSlackMs} = settings;
		const leaderWord = new LeaderWord({
			leadership,
			ownerFreshness: {
				confirm: at => {
					this.view.confirmOwners(at);
				},
			},
			limits: {holdLimitMs, thawSlackMs},
			readOwners: async () => this.sync.refreshOwners(),
		});
		this.relayTransport = new PeerRelayTransport(daemon);
		this.relay = this.createRelay(loads);
		const forwarder = new Forwarder({
			availabilityZone,
			relay: this.relay,
			coordination: {policy: new CoordinationPolicy(), requests: this.slots},
			view: this.view,
			loads,
			statements: this.statements,
			permits: this.permits,
			transport: this.transport,
			log,
			retryRatio: settings.retryRatio,
			retryReserve: settings.retryReserve,
			random: Math.random,
			recordKey(service, key) {
				exchange.recordKey(service, key);
			},
		});
		this.metrics = this.createMetrics(forwarder);
		this.kernel = createPlatformKernel(daemon, {
			view: this.view,
			sync: this.sync,
			membership: this.membership,
			exchange,
			evacuationLog: new EvacuationLog({view: this.view, loads, log}),
			forwarder,
			loads,
			statements: this.statements,
			leader: this.leader,
			leaderWord,
			log,
		}, this.createEdgeServices());
	}

	async start(): Promise<void> {
		const {ip, peerPorts: [port], callerAddress, readinessAddress} = this.settings;
		await this.peers.open(ip, port);
		await this.kernel.start();
		this.hasStarted = true;
		this.log.record(LogEvent.DaemonStarted, {callerAddress, readinessAddress, startMs: Math.round(performance.now())});
	}

	/** Logs whether the settings differ from those at the start. No setting takes effect without a restart. */
	reload(settings: PlatformSettings): void {
		this.log.record(LogEvent.SettingsReloaded, {isSame: JSON.stringify(settings) === JSON.stringify(this.settings)});
	}

	/**
	 * Shuts down in order: readiness and leadership, listener, requests in flight, which may use the rest of the grace period.
	 * Whoever asks again waits for the same end.
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
		const now = performance.now();
		const graceMs = this.settings.shutdownGraceS * secondMs;
		const exitBy = now + (graceMs * (1 - exitReserveShare));
		const finalAnswersAt = now + (graceMs * finalAnswersShare);
		this.log.record(LogEvent.DaemonStopping, {load: this.openRequests.count});
		await this.callService('dispatcher.endAt', {time: finalAnswersAt});
		// Independent of the steps, of which one may last longer.
		const finalAnswersTimer = setTimeout(() => {
			void this.endRequests();
		}, finalAnswersAt - now);
		await this.callService('readiness.drain');
		// A daemon that has not started has not been ready.
		await Promise.all([this.resignAndLeave(), delay(this.hasStarted ? readinessPropagationMs : 0)]);
		await this.callService('gateway.drain');
		await this.callService('gateway.closeListener');
		await this.waitForRequests(exitBy);
		clearTimeout(finalAnswersTimer);
		await this.callService('gateway.closeConnections');
		await this.kernel.stop();
		this.transport.close();
		this.relayTransport.close();
		this.orders.close();
		this.peers.close();
		await this.store.close();
		this.log.record(LogEvent.DaemonStopped, {});
	}

	/** Answers the requests that have no answer. Streamed answers go on. */
	private async endRequests(): Promise<void> {
		this.log.record(LogEvent.RequestsEnded, {load: this.openRequests.count});
		await this.callService('dispatcher.endRequests');
		await this.callService('gateway.endRequests');
	}

	/** Calls a service during the shutdown. A failed step must not keep the later ones from completing the requests in flight. */
	private async callService(action: string, parameters: Record<string, unknown> = {}): Promise<void> {
		try {
			await this.kernel.call(action, parameters);
		} catch (error) {
			this.log.record(LogEvent.InternalFailure, {detail: `${action}: ${describeFailure(error)}`});
		}
	}

	/** After a stall, requests that have arrived are read first. */
	private async hasNoRequests(): Promise<boolean> {
		for (let turn = 0; turn < 2; turn += 1) {
			if (this.openRequests.count > 0) {
				return false;
			}

			// eslint-disable-next-line no-await-in-loop -- sockets are read in each turn.
			await nextTurn();
		}

		return this.openRequests.count === 0;
	}

	private async waitForRequests(exitBy: number): Promise<void> {
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			if (await this.hasNoRequests() || performance.now() >= exitBy) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- polling.
			await delay(drainPollMs);
		}
	}

	/** Ends the leases of leadership and membership. They expire by themselves if the store does not answer. */
	private async resignAndLeave(): Promise<void> {
		const steps = await Promise.allSettled([this.leader.leadership.resign(), this.membership.leave()]);
		for (const step of steps) {
			if (step.status === 'rejected') {
				this.log.record(LogEvent.LeaseLost, {detail: step.reason instanceof RouterError ? step.reason.message : String(step.reason)});
			}
		}
	}

	private createSync(): FleetSync {
		return new FleetSync(this.store, this.view, {
			configurationKey: wireKeys.configuration,
			targetsPrefix: wireKeys.targets,
			evacuationsPrefix: wireKeys.evacuations,
			decodeConfiguration,
			decodeTarget,
			decodeEvacuation,
		}, {
			log: this.log,
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
			random: Math.random,
		});
	}

	private createExchange(loads: TargetLoads): PeerExchange {
		const {daemon, availabilityZone} = this.settings;
		return new PeerExchange({
			daemon,
			availabilityZone,
			view: this.view,
			loads,
			sync: this.sync,
			statements: this.statements,
			permits: this.permits,
			hubs: new ZoneHubs({daemon, availabilityZone}, this.view),
			sender: {
				send: (message, members) => {
					this.peers.send(message, members);
				},
			},
			recordKeys: (service, keys) => {
				this.leader.recordKeys(service, keys);
			},
		});
	}

	private createPermits(): Permits {
		const {daemon} = this.settings;
		return new Permits({
			daemon,
			statements: this.statements,
			issuers: new PermitIssuers(daemon, this.view),
			sender: {
				request: (message, issuer) => {
					this.exchange.sendPermitRequest(message, issuer);
				},
				answer: (message, receiver) => {
					this.exchange.sendPermitAnswer(message, receiver);
				},
			},
			log: this.log,
		});
	}

	private createSlotExchange(loads: TargetLoads): SlotExchange {
		const {settings: {daemon, availabilityZone}, view, log} = this;
		return new SlotExchange({
			daemon,
			availabilityZone,
			granter: new SlotCoordinator({
				daemon, view, loads, log, random: Math.random,
			}),
			findMember: name => view.findSender(name),
			send: (message, members) => {
				this.peers.send(message, members);
			},
			defer(callback) {
				setImmediate(callback);
			},
			onAnswer: (coordinator, answer, now) => {
				this.slots.receiveAnswer(coordinator, answer, now);
			},
			onWarmUp(target, warmUpLeftMs, now) {
				if (view.extendWarmUp(target, warmUpLeftMs, now)) {
					log.record(LogEvent.TargetCold, {target, warmUpLeftMs});
				}
			},
		});
	}

	private createRelay(loads: TargetLoads): RequestRelay {
		const {view, log, settings, transport, relayTransport} = this;
		const access = new TargetAccess({
			view,
			probe: transport,
			log,
			random: Math.random,
			onIsolated() {
				// What targets send on idle connections during the cut, such as a close, may be lost.
				transport.discardIdle();
			},
		});
		return new RequestRelay({
			access, peers: new RelayPeers(settings, view, Math.random), loads, transport: relayTransport, log,
		});
	}

	private createLeader(loads: TargetLoads, exchange: PeerExchange): KeyLeader {
		const {daemon, leaseMinimumMs, holdLimitMs, thawSlackMs} = this.settings;
		return new KeyLeader({
			daemon,
			store: this.store,
			orders: this.orders,
			view: this.view,
			loads,
			statements: this.statements,
			log: this.log,
			leaseMinimumMs,
			limits: {holdLimitMs, thawSlackMs},
			isCutOff: () => this.relay.isIsolated,
			onOwnersWritten(service) {
				exchange.announce(service);
			},
			random: Math.random,
		});
	}

	private createEdgeServices(): Array<ReturnType<typeof createReadinessService>> {
		const {ip, peerPorts: [peerPort]} = this.settings;
		const gateway = createPlatformGatewayService({
			...splitAddress(this.settings.callerAddress),
			log: this.log,
			openRequests: this.openRequests,
			heldBytes: this.heldBytes,
			readHeaders: readCallerHeaders,
			limits: () => this.view.configuration?.limits,
			confirmLimits: async cancellation => this.view.confirmLimits(cancellation),
			onOutcome: (request, outcome) => {
				this.recordOutcome(request, outcome);
			},
			relay: {
				ip,
				port: peerPort,
				readHeaders: readRelayedHeaders,
				limits: () => this.relayLimits(),
				outcomeHeaders: relayAnswerHeaders,
				onOutcome: () => {
					this.receivedRelayCount += 1;
				},
			},
		});
		const readiness = createReadinessService({
			...splitAddress(this.settings.readinessAddress),
			path: wirePaths.ready,
			isReady: () => this.view.configuration !== undefined && !this.view.freshness.isOutdated,
		});
		const metrics = createPlatformMetricsService(this.metrics, {ip: this.settings.ip, port: metricsPort});
		return [gateway, readiness, metrics];
	}

	private createMetrics(forwarder: Forwarder): PlatformMetrics {
		return new PlatformMetrics({
			inFlight: () => forwarder.inFlightCount,
			storeCalls: () => this.store.callCount,
			targetConnections: () => this.transport.pool.openedCount,
			isLeader: () => this.leader.leadership.isLeader,
			unansweredGrants: () => this.leader.unansweredGrants,
			unreleasedRanges: () => this.view.unreleasedRangeCount,
			configurationVersion: () => this.view.configuration?.version ?? 0,
			configurationEvidenceAgeMs: () => this.view.freshness.ageMs,
			storeEra: () => this.store.era.current ?? 0,
			ownerEvidenceAgeMs: () => this.view.ownerFreshness.ageMs,
			isStoreReachable: () => this.sync.isStoreReachable,
			limitedTargets: () => this.statements.limitedCount,
			oldestLimitAgeMs: () => this.statements.oldestLimitAgeMs(),
			limitedAttempts: () => forwarder.limitedAttemptCount,
			deniedPermits: () => this.permits.denialCount,
			pausedTargets: () => this.statements.pausedCount(),
			leavingTargets: () => this.statements.leavingCount,
			slots: () => this.slots.counts,
			meanSlotWaitMs: () => this.slots.meanWaitMs,
			silentAttempts: () => forwarder.silentAttemptCount,
			unprovedRefusals: () => forwarder.unprovedRefusalCount,
			coldTargets: () => this.view.coldTargetCount(),
			evacuatedZones: () => this.view.evacuatedZones.size,
			evacuatedRanges: () => this.view.evacuatedRangeCount,
			isCutOff: () => this.relay.isCutOff,
			relayedRequests: () => this.relay.relayedCount,
			receivedRelays: () => this.receivedRelayCount,
			heldBytes: () => this.heldBytes.bytes,
		});
	}

	/** The relaying daemon has applied the limits, and relaying adds headers. */
	private relayLimits(): CallerLimits | undefined {
		const limits = this.view.configuration?.limits;
		return limits && {...limits, maxHeaderBytes: limits.maxHeaderBytes + relayHeaderBytes};
	}

	private recordOutcome(request: CallerRequest, outcome: Outcome): void {
		this.metrics.recordOutcome(request, outcome);
		if (outcome.kind !== OutcomeKind.Answered) {
			return;
		}

		this.servedCount += 1;
		if (this.servedCount % servedLogInterval === 0) {
			this.log.record(LogEvent.RequestServed, {
				request: request.requestId,
				route: outcome.route?.name,
				status: outcome.answer?.status,
				tookMs: Math.round(performance.now() - request.receivedAt),
				relay: outcome.relay,
			});
		}
	}
}

/**
 * Validates a received message.
 *
 * @throws {MalformedDocumentError}
 */
function decodeMessage(content: unknown): PeerMessage | SlotMessage {
	return isSlotMessage(content) ? decodeSlotMessage(content) : decodePeerMessage(content);
}

/** Capacity of a VM for other daemons' messages, in cores; limited by its processor or its link. */
function spareCapacity({cores, linkMbps}: PlatformSettings): number {
	return Math.min(cores, linkMbps / linkMbpsPerCore);
}

function splitAddress(address: string): {ip: string; port: number} {
	const [ip = '', port = ''] = address.split(':');
	return {ip, port: Number(port)};
}
