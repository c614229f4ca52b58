/**
 * Messages between daemons: load of targets, changes of the store, the newest known revision, and requested keys.
 *
 * In a small availability zone, each daemon reports its load to all others. In a large one, it reports to the hub, which sends
 * the total to all. A message to another availability zone goes to the hub there, which forwards it.
 */
import {partition} from 'es-toolkit';
import type {StoreUpdate} from '../../model/coordination-store.js';
import type {Member} from '../../model/fleet.js';
import type {TargetLoads} from '../forwarding/target-loads.js';
import type {PermitAnswerMessage, PermitRequestMessage, Permits} from '../limits/permits.js';
import type {TargetStatements} from '../limits/target-statements.js';
import {shiftMoment, currentMoment, type Moment} from '../ownership/moment.js';
import {applyAssignmentChange, diffAssignment, type AssignmentChange} from './assignment-codec.js';
import type {FleetSync} from './fleet-sync.js';
import type {FleetView} from './fleet-view.js';
import {storeKeys} from './daemon-documents.js';
import type {PeerMessage} from './peer-message.js';
import {RecentUpdates} from './recent-updates.js';
import {joinUpdates, splitUpdate, withoutSuperseded} from './store-update.js';
import {zoneReportIntervalMs, type ZoneHubs} from './zone-hubs.js';
import {ZoneLoad} from './zone-load.js';

/** Sends messages to peers. */
export type PeerSender = {
	send(message: PeerMessage, members: Iterable<Member>): void;
};

/** Shortest interval between load reports, in milliseconds; requests take longer. */
const loadReportIntervalMs = 50;

/** Interval added for each local peer, in milliseconds; it bounds the message rate of a daemon or hub. */
const loadReportMsPerPeer = 5;

/** Most local peers to report to directly; with more, the hub sums the reports, and messages grow linearly with the zone. */
const directPeerLimit = 8;

/** Interval of load reports while the load does not change, in milliseconds. */
const idleReportIntervalMs = 250;

/** Shortest interval between reports of requested keys to the leader, in milliseconds. */
const keyReportIntervalMs = 100;

/** Interval added for each daemon of the fleet, in milliseconds; it bounds the rate of messages to the leader. */
const keyReportMsPerDaemon = 2.5;

/** Time after which a newer assignment is requested from a peer, in milliseconds; the leader's own message usually comes sooner. */
const assignmentRequestDelayMs = 60;

/** Time after which the assignment is read from the store, in milliseconds; it may be too large for a message. */
const assignmentReadDelayMs = 1000;

/** Most by which a revision or version of the store can be ahead; the largest fleets write some thousand times a second. */
const plausibleLead = 1_000_000;

/** Most keys of a service in one report; further ones are dropped, and the sample still shows the share of each key. */
const keyReportLimit = 2000;

/** Largest update in one message, in bytes of its values; a datagram holds 65,507 bytes, in which quotes are escaped. */
const updateLimitBytes = 40_000;

/** Number of evidence requests whose answers are still accepted; one is sent every 60 ms. */
const evidenceRequestLimit = 16;

/** Shortest interval between requests for an assignment from before a restore, in milliseconds; an answer takes a few milliseconds. */
const formerRequestIntervalMs = 60;

/** Dependencies of the exchange. */
export type PeerExchangeOptions = {
	daemon: string;
	availabilityZone: string;
	view: FleetView;
	loads: TargetLoads;
	sync: FleetSync;
	hubs: ZoneHubs;
	statements: TargetStatements;
	permits: Permits;
	sender: PeerSender;
	/** Records requested keys at the leader. */
	recordKeys(service: string, keys: readonly number[]): void;
};

/** An assignment of which a peer has a newer revision. */
type MissingAssignment = {
	revision: number;
	/** The peer that last reported this revision. */
	knownBy: string;
	waitingSince: number;
	requestedAt: number;
};

/** A request to a peer for evidence that the active configuration is the newest one. */
type EvidenceRequest = {
	number: number;
	sentAt: Moment;
};

/** Evidence of a peer for the owners of keys. */
type OwnerEvidence = {
	/** When the peer's owners were the newest ones. */
	at: Moment;
	/** Revisions of the assignments that the peer has. */
	assignments: PeerMessage['assignments'];
};

/** Sends messages to peers and handles those that it receives. */
export class PeerExchange {
	private keys = new Map<string, number[]>();
	private readonly recentUpdates = new RecentUpdates();
	private readonly missingAssignments = new Map<string, MissingAssignment>();
	/** The peer that last reported a newer revision of the store than this daemon has. */
	private newestPeer = '';
	/** Load of the own availability zone; there are two sums because each counts the answers since its own last report. */
	private readonly loadForRemoteZones = new ZoneLoad();
	private readonly loadForLocalPeers = new ZoneLoad();
	/** Own requests in flight as last reported; the hub's total contains them. */
	private reportedInFlight: ReadonlyMap<string, number> = new Map();
	private reportedAt = 0;
	private zoneReportedAt = 0;
	private keysReportedAt = 0;
	private lastInFlightJson = '';
	private readonly evidenceRequests: EvidenceRequest[] = [];
	/** Evidence for owners that this daemon does not have yet. */
	private pendingOwnerEvidence: OwnerEvidence | undefined;
	/** Starts at the time of day, so that requests of an earlier process of this daemon have lower numbers. */
	private nextRequestNumber = Date.now();
	/** Era of the store to which the known revisions of peers belong. */
	private storeEra: number | undefined;
	private readonly formerRequestedAt = new Map<string, number>();

	constructor(private readonly options: PeerExchangeOptions) {}

	/** Records the key of a request to this daemon. */
	recordKey(service: string, key: number): void {
		const keys = this.keys.get(service) ?? [];
		this.keys.set(service, keys);
		if (keys.length < keyReportLimit) {
			keys.push(key);
		}
	}

	/** Called periodically. */
	tick(now = performance.now()): void {
		this.followEra();
		this.reportLoad(now);
		this.reportZoneLoad(now);
		this.reportKeys(now);
		this.requestAssignments(now);
		this.applyPendingOwnerEvidence();
		this.options.permits.tick(now);
		this.options.hubs.prune();
	}

	/** True if another daemon of the availability zone watches the store and relays its changes. */
	isFollowing(now = performance.now()): boolean {
		const {hubs, sync, daemon} = this.options;
		const watcher = hubs.watcher(sync.isStoreReachable, now);
		return watcher !== undefined && watcher !== daemon;
	}

	/** Relays changes of the store to the other daemons of the availability zone, which do not watch it. */
	publish(update: StoreUpdate): void {
		this.followEra();
		const localPeers = this.options.hubs.localPeers();
		for (const part of splitUpdate(withoutLargeValues(withoutSuperseded(withoutAssignments(update))), updateLimitBytes)) {
			this.recentUpdates.add(part);
			this.send({update: part}, localPeers);
		}
	}

	/** Requests the changes after a revision from the peer that last reported a newer one. */
	requestChanges(after: number): void {
		const member = this.options.view.members.get(this.newestPeer);
		if (member) {
			this.send({wants: {after}}, [member]);
		}
	}

	/** Requests evidence that the active configuration and the known owners are the newest ones, from the daemon that watches the store. */
	requestEvidence(now = performance.now()): void {
		const {hubs, sync} = this.options;
		this.requestEvidenceFrom(hubs.watcher(sync.isStoreReachable, now));
	}

	/** Requests the same from the leader, whose word holds while the store is unreachable. */
	requestLeaderEvidence(): void {
		this.requestEvidenceFrom(this.options.view.leader?.daemon);
	}

	/** Sends peers the owners that were just written. A peer that misses the message notices it by the revisions in later ones. */
	announce(service: string): void {
		const {hubs, view} = this.options;
		const known = view.currentAssignment(service);
		if (known) {
			this.send({change: diffAssignment(known, view.previousAssignment(service))}, [...hubs.localPeers(), ...hubs.remoteRecipients(performance.now())]);
		}
	}

	/** Tells all daemons at once what targets have said of themselves. */
	announceStatements(now = performance.now()): void {
		const {hubs, statements} = this.options;
		this.send({statements: statements.report(now)}, [...hubs.localPeers(), ...hubs.remoteRecipients(now)]);
	}

	sendPermitRequest(permitRequest: PermitRequestMessage, issuer: Member): void {
		this.send({permitRequest}, [issuer]);
	}

	sendPermitAnswer(permitAnswer: PermitAnswerMessage, daemon: string): void {
		const member = this.options.view.members.get(daemon);
		if (member) {
			this.send({permitAnswer}, [member]);
		}
	}

	receive(message: PeerMessage, now = performance.now()): void {
		const {view, recordKeys, daemon} = this.options;
		const isCurrent = message.daemon !== daemon && this.learnEra(message.storeEra);
		if (message.daemon === daemon || (isCurrent && !this.isPlausible(message))) {
			return;
		}

		this.receiveLoads(message, now);
		this.receiveLimits(message, now);
		if (message.availabilityZone === this.options.availabilityZone && message.zoneLoad && message.isForwarded !== true) {
			this.receiveHubReport(message, now);
		}

		if (isCurrent) {
			this.receiveStoreData(message, now);
		}

		for (const [service, keys] of Object.entries(message.keys ?? {})) {
			recordKeys(service, keys);
		}

		this.answerRequests(message, view.findSender(message.daemon), isCurrent);
		this.forwardToZone(message, now);
	}

	/** Takes what a message of the current era says of the store. */
	private receiveStoreData(message: PeerMessage, now: number): void {
		const {sync, view} = this.options;
		if (message.update && sync.applyPeerUpdate(message.update)) {
			this.recentUpdates.add(message.update);
		}

		if (message.revision > view.revision) {
			this.newestPeer = message.daemon;
		}

		sync.recordPeerRevision(message.revision, now);
		view.freshness.recordPeerVersion(message.configurationVersion ?? 0, message.isStoreReachable);
		this.receiveEvidence(message);
		if (message.change) {
			this.receiveAssignmentChange(message.change);
			this.applyPendingOwnerEvidence();
		}

		this.recordMissingAssignments(message, now);
		this.requestFormerAssignments(message, now);
	}

	/**
	 * Learns the era of a peer.
	 *
	 * @returns false if the message is of another era than the current one, so that its revisions, changes and evidence are ignored
	 */
	private learnEra(era: number | undefined): boolean {
		const {sync, view} = this.options;
		if (era !== undefined) {
			sync.learnEra(era);
		}

		this.followEra();
		return era === view.storeEra;
	}

	/** Forgets what belongs to a lost era of the store. */
	private followEra(): void {
		const {storeEra} = this.options.view;
		if (storeEra === this.storeEra) {
			return;
		}

		this.storeEra = storeEra;
		this.recentUpdates.clear();
		this.missingAssignments.clear();
		this.newestPeer = '';
		this.evidenceRequests.length = 0;
		this.pendingOwnerEvidence = undefined;
	}

	/** False if a revision or version is too far ahead, and before the first listing, when no known revision can be compared. */
	private isPlausible({revision, update, change, assignments, configurationVersion = 0}: PeerMessage): boolean {
		const {view} = this.options;
		const known = view.highestRevision;
		if (configurationVersion > (view.configuration?.version ?? Infinity) + plausibleLead) {
			return false;
		}

		const highest = Math.max(revision, update?.revision ?? 0, change?.revision ?? 0, ...Object.values(assignments));
		return known > 0 && highest <= known + plausibleLead;
	}

	/** Ignores a change whose base is not the known revision; the missing assignment is requested later. */
	private receiveAssignmentChange(change: AssignmentChange): void {
		const {view} = this.options;
		if (change.era !== view.storeEra) {
			this.receiveFormerAssignment(change);
			return;
		}

		const known = view.currentAssignment(change.service);
		if (known && (known.revision >= change.revision || (change.base !== undefined && known.revision !== change.base))) {
			return;
		}

		if (!known && change.base !== undefined) {
			return;
		}

		view.applyAssignment(applyAssignmentChange(change, change.base === undefined ? undefined : known?.assignment));
	}

	/** Takes a whole assignment from before a restore, if no leader has written the owners since. */
	private receiveFormerAssignment(change: AssignmentChange): void {
		if (change.base === undefined) {
			this.options.view.applyFormerAssignment(applyAssignmentChange(change));
		}
	}

	/** Requests assignments from before a restore that are newer than the known ones: the next leader has to know the newest. */
	private requestFormerAssignments({daemon, formerAssignments = {}}: PeerMessage, now: number): void {
		const {view} = this.options;
		const services = Object.entries(formerAssignments).filter(([service, {era, revision}]) => {
			const known = view.assignments.get(service);
			const knownEra = known?.assignment.era ?? 0;
			const isNewer = known === undefined || era > knownEra || (era === knownEra && revision > known.revision);
			return isNewer && now - (this.formerRequestedAt.get(service) ?? Number.NEGATIVE_INFINITY) > formerRequestIntervalMs;
		}).map(([service]) => service);
		const member = view.findSender(daemon);
		if (services.length === 0 || !member) {
			return;
		}

		for (const service of services) {
			this.formerRequestedAt.set(service, now);
		}

		this.send({wants: {formerAssignments: services}}, [member]);
	}

	private requestEvidenceFrom(daemon = ''): void {
		const member = this.options.view.members.get(daemon);
		if (!member || daemon === this.options.daemon) {
			return;
		}

		const request = {number: this.nextRequestNumber, sentAt: currentMoment()};
		this.nextRequestNumber += 1;
		this.evidenceRequests.push(request);
		this.evidenceRequests.splice(0, this.evidenceRequests.length - evidenceRequestLimit);
		this.send({wants: {evidence: request.number}}, [member]);
	}

	/** Counts the age of the evidence from the time of the request, because the answer may have waited in a socket. */
	private receiveEvidence({evidence, assignments, revision}: PeerMessage): void {
		const {view} = this.options;
		const request = this.evidenceRequests.find(({number}) => number === evidence?.question);
		if (!evidence || !request) {
			return;
		}

		// After a restore, a configuration of the same version may have other contents, which the view has up to its revision.
		const isCovered = !view.freshness.isAheadOfStore || revision <= view.revision;
		if (isCovered && evidence.ageMs !== undefined && (view.configuration?.version ?? 0) >= evidence.version) {
			view.freshness.recordStoredVersion(evidence.version);
			view.freshness.confirm(shiftMoment(request.sentAt, -evidence.ageMs));
		}

		if (evidence.ownersAgeMs !== undefined) {
			this.receiveOwnerEvidence({at: shiftMoment(request.sentAt, -evidence.ownersAgeMs), assignments});
		}
	}

	/** Applies evidence for owners that are known here, and keeps it until then; the message with newer owners may be on its way. */
	private receiveOwnerEvidence(evidence: OwnerEvidence): void {
		const {view} = this.options;
		if (Object.entries(evidence.assignments).every(([service, revision]) => (view.currentAssignment(service)?.revision ?? 0) >= revision)) {
			view.confirmOwners(evidence.at);
		} else {
			this.pendingOwnerEvidence = evidence;
		}
	}

	private applyPendingOwnerEvidence(): void {
		const {pendingOwnerEvidence} = this;
		if (pendingOwnerEvidence) {
			this.pendingOwnerEvidence = undefined;
			this.receiveOwnerEvidence(pendingOwnerEvidence);
		}
	}

	private recordMissingAssignments({daemon, assignments}: PeerMessage, now: number): void {
		for (const [service, revision] of Object.entries(assignments)) {
			const known = this.options.view.currentAssignment(service)?.revision ?? 0;
			const missing = this.missingAssignments.get(service);
			if (revision <= known) {
				if (missing && missing.revision <= known) {
					this.missingAssignments.delete(service);
				}

				continue;
			}

			if (!missing || missing.revision <= known) {
				this.missingAssignments.set(service, {
					revision, knownBy: daemon, waitingSince: now, requestedAt: 0,
				});
			} else if (revision >= missing.revision) {
				missing.revision = revision;
				missing.knownBy = daemon;
			}
		}
	}

	private requestAssignments(now: number): void {
		const {view, sync} = this.options;
		for (const [service, missing] of this.missingAssignments) {
			const revision = view.currentAssignment(service)?.revision ?? 0;
			if (missing.revision <= revision) {
				this.missingAssignments.delete(service);
				continue;
			}

			const waitedMs = now - Math.max(missing.waitingSince, missing.requestedAt);
			const member = view.members.get(missing.knownBy);
			if (now - missing.waitingSince > assignmentReadDelayMs) {
				missing.waitingSince = now;
				void sync.refresh(`${storeKeys.assignments}${service}`);
			} else if (waitedMs > assignmentRequestDelayMs && member) {
				missing.requestedAt = now;
				this.send({wants: {assignments: {[service]: revision}}}, [member]);
			}
		}
	}

	/**
	 * Sends a daemon the data that it requests, as far as it is available here. One that asks in another era of the store gets nothing
	 * but the era of the next message.
	 */
	private answerRequests({wants}: PeerMessage, member: Member | undefined, isCurrent: boolean): void {
		if (!wants || !member || !isCurrent) {
			return;
		}

		if (wants.after !== undefined) {
			for (const update of joinUpdates(this.recentUpdates.since(wants.after)).flatMap(joined => splitUpdate(joined, updateLimitBytes))) {
				this.send({update}, [member]);
			}
		}

		const {view} = this.options;
		if (wants.evidence !== undefined) {
			this.sendEvidence(wants.evidence, member);
		}

		for (const service of wants.formerAssignments ?? []) {
			const known = view.assignments.get(service);
			if (known && !view.isCurrent(known)) {
				this.send({change: diffAssignment(known)}, [member]);
			}
		}

		for (const [service, revision] of Object.entries(wants.assignments ?? {})) {
			const known = view.currentAssignment(service);
			if (known && known.revision > revision) {
				this.send({change: diffAssignment(known, view.assignmentAt(service, revision))}, [member]);
			}
		}
	}

	private sendEvidence(question: number, member: Member): void {
		const {freshness, ownerFreshness, configuration, storeEra} = this.options.view;
		const ageMs = Number.isFinite(freshness.ageMs) ? Math.ceil(freshness.ageMs) : undefined;
		const ownersAgeMs = ownerFreshness.isShareable ? Math.ceil(ownerFreshness.ageMs) : undefined;
		// After a restore, the owners may be confirmed although the store has an older configuration.
		if (configuration && (ageMs !== undefined || (storeEra !== undefined && ownersAgeMs !== undefined))) {
			this.send({
				evidence: {
					question, version: configuration.version, ageMs, ownersAgeMs,
				},
			}, [member]);
		}
	}

	/** Takes the hub's total for the own availability zone, less this daemon's own part. */
	private receiveHubReport({daemon, zoneLoad, watcher}: PeerMessage, now: number): void {
		const {loads, hubs, availabilityZone} = this.options;
		hubs.recordHubReport(daemon, watcher, now);
		const inFlight: Record<string, number> = {};
		for (const [target, count] of Object.entries(zoneLoad?.inFlight ?? {})) {
			const others = count - (this.reportedInFlight.get(target) ?? 0);
			if (others > 0) {
				inFlight[target] = others;
			}
		}

		loads.receiveReport(`zone ${availabilityZone}`, {inFlight, samples: zoneLoad?.samples ?? {}}, now);
	}

	private receiveLoads({daemon, availabilityZone, isStoreReachable, load, zoneLoad}: PeerMessage, now: number): void {
		const {loads, hubs} = this.options;
		const isLocal = availabilityZone === this.options.availabilityZone;
		if (isLocal) {
			hubs.recordLocalPeer(daemon, isStoreReachable, now);
			if (load) {
				loads.receiveReport(daemon, load, now);
				this.loadForRemoteZones.add(daemon, load, now);
				this.loadForLocalPeers.add(daemon, load, now);
			}

			return;
		}

		if (zoneLoad) {
			hubs.recordContact(availabilityZone, daemon, now);
			loads.receiveReport(`zone ${availabilityZone}`, zoneLoad, now);
		}
	}

	private receiveLimits({daemon, statements, permitRequest, permitAnswer}: PeerMessage, now: number): void {
		const {permits} = this.options;
		if (statements) {
			this.options.statements.receive(statements, now);
		}

		if (permitRequest) {
			permits.receiveRequest(daemon, permitRequest, now);
		}

		if (permitAnswer) {
			permits.receiveAnswer(daemon, permitAnswer);
		}
	}

	/** Forwards a message from another availability zone to the whole own one if this daemon is its hub. */
	private forwardToZone(message: PeerMessage, now: number): void {
		const {availabilityZone, hubs, sender} = this.options;
		const isForAll = message.zoneLoad !== undefined || message.change !== undefined || message.statements !== undefined;
		const isRemote = message.availabilityZone !== availabilityZone;
		if (!isForAll || !isRemote || message.isForwarded === true || !hubs.isHub(now)) {
			return;
		}

		sender.send({...message, isForwarded: true}, hubs.localPeers());
	}

	private reportLoad(now: number): void {
		const {loads, hubs, statements, daemon} = this.options;
		const localPeers = hubs.localPeers();
		if (now - this.reportedAt < Math.max(loadReportIntervalMs, localPeers.length * loadReportMsPerPeer)) {
			return;
		}

		const hub = localPeers.length > directPeerLimit ? hubs.hub(now) : undefined;
		const own = loads.ownInFlight();
		const inFlight = JSON.stringify(hub === daemon ? this.loadForLocalPeers.inFlight(now) : own);
		if (inFlight === this.lastInFlightJson && now - this.reportedAt < idleReportIntervalMs) {
			return;
		}

		this.reportedAt = now;
		this.lastInFlightJson = inFlight;
		const load = loads.takeReport();
		this.reportedInFlight = new Map(Object.entries(load.inFlight));
		this.loadForRemoteZones.add(daemon, load, now);
		this.loadForLocalPeers.add(daemon, load, now);
		if (hub === daemon) {
			this.send({zoneLoad: this.loadForLocalPeers.takeReport(now), statements: statements.report(now), watcher: hubs.watcher(this.options.sync.isStoreReachable, now)}, localPeers);
			return;
		}

		this.send({load, statements: statements.report(now)}, hub === undefined ? localPeers : localPeers.filter(member => member.daemon === hub));
	}

	private reportZoneLoad(now: number): void {
		const {hubs, view} = this.options;
		const intervalMs = zoneReportIntervalMs(view.members.size);
		if (now - this.zoneReportedAt < intervalMs || !hubs.isHub(now)) {
			return;
		}

		this.zoneReportedAt = now;
		this.send({zoneLoad: this.loadForRemoteZones.takeReport(now), statements: this.options.statements.report(now)}, hubs.remoteRecipients(now));
	}

	private reportKeys(now: number): void {
		const intervalMs = Math.max(keyReportIntervalMs, this.options.view.members.size * keyReportMsPerDaemon);
		if (now - this.keysReportedAt < intervalMs || this.keys.size === 0) {
			return;
		}

		this.keysReportedAt = now;
		const {view, daemon, recordKeys} = this.options;
		const {keys} = this;
		this.keys = new Map();
		if (view.leader?.daemon === daemon) {
			for (const [service, requested] of keys) {
				recordKeys(service, requested);
			}

			return;
		}

		const leader = view.members.get(view.leader?.daemon ?? '');
		if (leader) {
			this.send({keys: Object.fromEntries(keys)}, [leader]);
		}
	}

	private send(content: Partial<PeerMessage>, members: readonly Member[]): void {
		if (members.length === 0) {
			return;
		}

		const {daemon, availabilityZone, view, sync, sender} = this.options;
		const [current, former] = partition([...view.assignments], ([, known]) => view.isCurrent(known));
		sender.send({
			daemon,
			availabilityZone,
			revision: view.revision,
			assignments: Object.fromEntries(current.map(([service, {revision}]) => [service, revision])),
			isStoreReachable: sync.isStoreReachable,
			...(view.storeEra !== undefined && {storeEra: view.storeEra}),
			...(former.length > 0 && {formerAssignments: Object.fromEntries(former.map(([service, {assignment, revision}]) => [service, {era: assignment.era ?? 0, revision}]))}),
			configurationVersion: view.configuration?.version,
			...content,
		}, members);
	}
}

/** Marks values that fit into no message as omitted, so that each receiver reads them from the store at once. */
function withoutLargeValues({changes, ...update}: StoreUpdate): StoreUpdate {
	return {
		...update,
		changes: changes.map(({value, ...change}) => (value?.length ?? 0) > updateLimitBytes ? {...change, isOmitted: true} : {...change, value}),
	};
}

/** Leaves out assignments: they are sent separately as differences, which are small, and each message names their revisions. */
function withoutAssignments({changes, ...update}: StoreUpdate): StoreUpdate {
	return {...update, changes: changes.filter(({key}) => !key.startsWith(storeKeys.assignments))};
}
