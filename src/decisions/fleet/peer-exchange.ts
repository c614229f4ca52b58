/**
 * What daemons tell each other: load of targets, changes of the store, the newest revision, and keys that were asked for.
 *
 * In a small availability zone, each daemon tells all others; in a large one it tells the hub, which tells them the sum.
 * Between availability zones, hubs talk for the others.
 */
import type {StoreUpdate} from '../../model/coordination-store.js';
import type {Member} from '../../model/fleet.js';
import type {TargetLoads} from '../forwarding/target-loads.js';
import {later, presentMoment, type Moment} from '../ownership/clock-watch.js';
import {applyAssignmentChange, diffAssignment, type AssignmentChange} from './assignment-codec.js';
import type {FleetSync} from './fleet-sync.js';
import type {FleetView} from './fleet-view.js';
import {storeKeys} from './own-documents.js';
import type {PeerMessage} from './peer-message.js';
import {RecentUpdates} from './recent-updates.js';
import {joinUpdates, splitUpdate, withoutSuperseded} from './store-update.js';
import {zoneReportIntervalMs, type ZoneHubs} from './zone-hubs.js';
import {ZoneLoad} from './zone-load.js';

/** Sends messages to peers. */
export type PeerSender = {
	send(message: PeerMessage, members: Iterable<Member>): void;
};

/** Least interval of load reports in milliseconds; requests take longer. */
const loadReportIntervalMs = 50;

/** Time that one neighbour adds to the interval of reports, in milliseconds, so that the messages of a daemon or hub are bounded. */
const loadReportMsPerPeer = 5;

/** Neighbours that each daemon tells directly; with more, the hub adds up, and messages grow with the zone, not its square. */
const directPeerLimit = 8;

/** Interval of reports while nothing changes, in milliseconds. */
const idleReportIntervalMs = 250;

/** Least interval in which keys are told to the leader, in milliseconds. */
const keyReportIntervalMs = 100;

/** Time that each daemon adds to that interval, in milliseconds, so that the messages to the leader are bounded. */
const keyReportMsPerDaemon = 2.5;

/** Time after which a newer assignment of a peer is asked for, in milliseconds; the leader's own message is usually sooner. */
const assignmentRequestDelayMs = 60;

/** Time after which the store is asked for it, in milliseconds; it may be too large for a message. */
const assignmentReadDelayMs = 1000;

/** A revision or version that is this far ahead was not given by the store: the largest fleets write some thousand times a second. */
const plausibleLead = 1_000_000;

/** Most keys of a service that are told at once; the rest is left out, which keeps the shares. */
const keyReportLimit = 2000;

/** Largest update in one message, in bytes of its values; a datagram takes 65,507 bytes with quotes escaped. */
const updateLimitBytes = 40_000;

/** Questions for evidence whose answers are still taken; one is asked each 60 ms. */
const evidenceRequestLimit = 16;

/** What the exchange needs. */
export type PeerExchangeOptions = {
	daemon: string;
	availabilityZone: string;
	view: FleetView;
	loads: TargetLoads;
	sync: FleetSync;
	hubs: ZoneHubs;
	sender: PeerSender;
	/** Takes keys that were asked for, at the leader. */
	noteKeys(service: string, keys: readonly number[]): void;
};

/** An assignment of which a peer knows a newer revision. */
type MissingAssignment = {
	revision: number;
	/** The daemon that knows it. */
	knownBy: string;
	waitingSince: number;
	requestedAt: number;
};

/** A question for evidence that the configuration is the newest one. */
type EvidenceRequest = {
	number: number;
	askedAt: Moment;
};

/** Sends and takes messages. */
export class PeerExchange {
	private keys = new Map<string, number[]>();
	private readonly recentUpdates = new RecentUpdates();
	private readonly missingAssignments = new Map<string, MissingAssignment>();
	/** The daemon that last told a newer revision of the store. */
	private newestPeer = '';
	/** Load of the own availability zone, for the other ones and for the neighbours. */
	private readonly loadForRemoteZones = new ZoneLoad();
	private readonly loadForLocalPeers = new ZoneLoad();
	/** Own load as the hub knows it, which its sum contains. */
	private reportedInFlight: Record<string, number> = {};
	private reportedAt = 0;
	private zoneReportedAt = 0;
	private keysReportedAt = 0;
	private lastInFlightJson = '';
	private readonly evidenceRequests: EvidenceRequest[] = [];
	/** Questions of an earlier process of this daemon have lower numbers. */
	private nextRequestNumber = Date.now();

	constructor(private readonly options: PeerExchangeOptions) {}

	/** Notes the key of a request at this daemon. */
	noteKey(service: string, key: number): void {
		const keys = this.keys.get(service) ?? [];
		this.keys.set(service, keys);
		if (keys.length < keyReportLimit) {
			keys.push(key);
		}
	}

	/** Called regularly. */
	tick(now = performance.now()): void {
		this.reportLoad(now);
		this.reportZoneLoad(now);
		this.reportKeys(now);
		this.requestAssignments(now);
		this.options.hubs.prune();
	}

	/** True if another daemon of the availability zone passes changes of the store on. */
	isFollowing(now = performance.now()): boolean {
		const {hubs, sync, daemon} = this.options;
		const watcher = hubs.watcher(sync.isStoreReachable, now);
		return watcher !== undefined && watcher !== daemon;
	}

	/** Passes changes of the store on to the daemons that do not watch it. */
	publish(update: StoreUpdate): void {
		const localPeers = this.options.hubs.localPeers();
		for (const part of splitUpdate(withoutLargeValues(withoutSuperseded(withoutAssignments(update))), updateLimitBytes)) {
			this.recentUpdates.add(part);
			this.send({update: part}, localPeers);
		}
	}

	/** Asks the daemon that knows most for the changes after a revision. */
	request(after: number): void {
		const member = this.options.view.members.get(this.newestPeer);
		if (member) {
			this.send({wants: {after}}, [member]);
		}
	}

	/** Asks the daemon that watches the store whether the configuration in force is the newest one. */
	requestEvidence(now = performance.now()): void {
		const {hubs, sync, view} = this.options;
		const member = view.members.get(hubs.watcher(sync.isStoreReachable, now) ?? '');
		if (!member) {
			return;
		}

		const request = {number: this.nextRequestNumber, askedAt: presentMoment()};
		this.nextRequestNumber += 1;
		this.evidenceRequests.push(request);
		this.evidenceRequests.splice(0, this.evidenceRequests.length - evidenceRequestLimit);
		this.send({wants: {evidence: request.number}}, [member]);
	}

	/** Tells peers the owners that were just written; those who miss it see so by the revisions in other messages. */
	announce(service: string): void {
		const {hubs, view} = this.options;
		const known = view.assignments.get(service);
		if (known) {
			this.send({change: diffAssignment(known, view.previousAssignment(service))}, [...hubs.localPeers(), ...hubs.remoteRecipients(performance.now())]);
		}
	}

	hear(message: PeerMessage, now = performance.now()): void {
		const {sync, view, noteKeys, daemon} = this.options;
		if (message.daemon === daemon || !this.isPlausible(message)) {
			return;
		}

		this.receiveLoads(message, now);
		if (message.availabilityZone === this.options.availabilityZone && message.zoneLoad && message.isForwarded !== true) {
			this.receiveHubReport(message, now);
		}

		if (message.update && sync.applyPeerUpdate(message.update)) {
			this.recentUpdates.add(message.update);
		}

		if (message.revision > view.revision) {
			this.newestPeer = message.daemon;
		}

		sync.recordPeerRevision(message.revision, now);
		view.currency.hearVersion(message.configurationVersion ?? 0, message.isStoreReachable);
		this.receiveEvidence(message);
		if (message.change) {
			this.receiveAssignmentChange(message.change);
		}

		this.recordMissingAssignments(message, now);
		for (const [service, keys] of Object.entries(message.keys ?? {})) {
			noteKeys(service, keys);
		}

		this.answerRequests(message, view.members.get(message.daemon));
		this.forwardToZone(message, now);
	}

	/** Before the first list nothing is known to compare with. */
	private isPlausible({revision, update, change, assignments, configurationVersion = 0}: PeerMessage): boolean {
		const {view} = this.options;
		const known = view.revision;
		if (configurationVersion > (view.configuration?.version ?? Infinity) + plausibleLead) {
			return false;
		}

		const most = Math.max(revision, update?.revision ?? 0, change?.revision ?? 0, ...Object.values(assignments));
		return known > 0 && most <= known + plausibleLead;
	}

	/** A change whose base is not known is of no use; what is missing is asked for. */
	private receiveAssignmentChange(change: AssignmentChange): void {
		const {view} = this.options;
		const known = view.assignments.get(change.service);
		if (known && (known.revision >= change.revision || (change.base !== undefined && known.revision !== change.base))) {
			return;
		}

		if (!known && change.base !== undefined) {
			return;
		}

		view.applyAssignment(applyAssignmentChange(change, change.base === undefined ? undefined : known?.assignment));
	}

	/** Evidence counts from the question, so that an answer that waited in a socket is no younger for it. */
	private receiveEvidence({evidence}: PeerMessage): void {
		const {view} = this.options;
		const request = this.evidenceRequests.find(({number}) => number === evidence?.question);
		if (!evidence || !request || (view.configuration?.version ?? 0) < evidence.version) {
			return;
		}

		view.currency.confirm(later(request.askedAt, -evidence.ageMs));
	}

	private recordMissingAssignments({daemon, assignments}: PeerMessage, now: number): void {
		for (const [service, revision] of Object.entries(assignments)) {
			const known = this.options.view.assignments.get(service)?.revision ?? 0;
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
			const revision = view.assignments.get(service)?.revision ?? 0;
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

	/** Sends a daemon what it lacks, as far as it is remembered. */
	private answerRequests({wants}: PeerMessage, member: Member | undefined): void {
		if (!wants || !member) {
			return;
		}

		if (wants.after !== undefined) {
			for (const update of joinUpdates(this.recentUpdates.since(wants.after)).flatMap(joined => splitUpdate(joined, updateLimitBytes))) {
				this.send({update}, [member]);
			}
		}

		const {view} = this.options;
		const {ageMs} = view.currency;
		if (wants.evidence !== undefined && view.configuration && Number.isFinite(ageMs)) {
			this.send({evidence: {question: wants.evidence, version: view.configuration.version, ageMs: Math.ceil(ageMs)}}, [member]);
		}

		for (const [service, revision] of Object.entries(wants.assignments ?? {})) {
			const known = view.assignments.get(service);
			if (known && known.revision > revision) {
				this.send({change: diffAssignment(known, view.assignmentAt(service, revision))}, [member]);
			}
		}
	}

	/** The sum of the own availability zone, without what this daemon has put into it. */
	private receiveHubReport({daemon, zoneLoad, watcher}: PeerMessage, now: number): void {
		const {loads, hubs, availabilityZone} = this.options;
		hubs.recordHubReport(daemon, watcher, now);
		const inFlight: Record<string, number> = {};
		for (const [target, count] of Object.entries(zoneLoad?.inFlight ?? {})) {
			const others = count - (this.reportedInFlight[target] ?? 0);
			if (others > 0) {
				inFlight[target] = others;
			}
		}

		loads.hear(`zone ${availabilityZone}`, {inFlight, samples: zoneLoad?.samples ?? {}}, now);
	}

	private receiveLoads({daemon, availabilityZone, isStoreReachable, load, zoneLoad}: PeerMessage, now: number): void {
		const {loads, hubs} = this.options;
		const isLocal = availabilityZone === this.options.availabilityZone;
		if (isLocal) {
			hubs.recordLocalPeer(daemon, isStoreReachable, now);
			if (load) {
				loads.hear(daemon, load, now);
				this.loadForRemoteZones.add(daemon, load, now);
				this.loadForLocalPeers.add(daemon, load, now);
			}

			return;
		}

		if (zoneLoad) {
			hubs.recordContact(availabilityZone, daemon, now);
			loads.hear(`zone ${availabilityZone}`, zoneLoad, now);
		}
	}

	/** A message of another availability zone reaches the whole own one through its hub. */
	private forwardToZone(message: PeerMessage, now: number): void {
		const {availabilityZone, hubs, sender} = this.options;
		const isForAll = message.zoneLoad !== undefined || message.change !== undefined;
		const isRemote = message.availabilityZone !== availabilityZone;
		if (!isForAll || !isRemote || message.isForwarded === true || !hubs.isHub(now)) {
			return;
		}

		sender.send({...message, isForwarded: true}, hubs.localPeers());
	}

	private reportLoad(now: number): void {
		const {loads, hubs, daemon} = this.options;
		const localPeers = hubs.localPeers();
		if (now - this.reportedAt < Math.max(loadReportIntervalMs, localPeers.length * loadReportMsPerPeer)) {
			return;
		}

		const hub = localPeers.length > directPeerLimit ? hubs.hub(now) : undefined;
		const own = loads.inFlightNow();
		const inFlight = JSON.stringify(hub === daemon ? this.loadForLocalPeers.inFlight(now) : own);
		if (inFlight === this.lastInFlightJson && now - this.reportedAt < idleReportIntervalMs) {
			return;
		}

		this.reportedAt = now;
		this.lastInFlightJson = inFlight;
		const load = loads.report();
		this.reportedInFlight = load.inFlight;
		this.loadForRemoteZones.add(daemon, load, now);
		this.loadForLocalPeers.add(daemon, load, now);
		if (hub === daemon) {
			this.send({zoneLoad: this.loadForLocalPeers.takeReport(now), watcher: hubs.watcher(this.options.sync.isStoreReachable, now)}, localPeers);
			return;
		}

		this.send({load}, hub === undefined ? localPeers : localPeers.filter(member => member.daemon === hub));
	}

	private reportZoneLoad(now: number): void {
		const {hubs, view} = this.options;
		const intervalMs = zoneReportIntervalMs(view.members.size);
		if (now - this.zoneReportedAt < intervalMs || !hubs.isHub(now)) {
			return;
		}

		this.zoneReportedAt = now;
		this.send({zoneLoad: this.loadForRemoteZones.takeReport(now)}, hubs.remoteRecipients(now));
	}

	private reportKeys(now: number): void {
		const intervalMs = Math.max(keyReportIntervalMs, this.options.view.members.size * keyReportMsPerDaemon);
		if (now - this.keysReportedAt < intervalMs || this.keys.size === 0) {
			return;
		}

		this.keysReportedAt = now;
		const {view, daemon, noteKeys} = this.options;
		const {keys} = this;
		this.keys = new Map();
		if (view.leader?.daemon === daemon) {
			for (const [service, list] of keys) {
				noteKeys(service, list);
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
		sender.send({
			daemon,
			availabilityZone,
			revision: view.revision,
			assignments: Object.fromEntries(Array.from(view.assignments, ([service, {revision}]) => [service, revision])),
			isStoreReachable: sync.isStoreReachable,
			configurationVersion: view.configuration?.version,
			...content,
		}, members);
	}
}

/** A value that fits into no message is read from the store by each daemon, which is told so at once. */
function withoutLargeValues({changes, ...update}: StoreUpdate): StoreUpdate {
	return {
		...update,
		changes: changes.map(({value, ...change}) => (value?.length ?? 0) > updateLimitBytes ? {...change, isOmitted: true} : {...change, value}),
	};
}

/** Assignments travel as differences of their own, which are small; each message tells their revisions. */
function withoutAssignments({changes, ...update}: StoreUpdate): StoreUpdate {
	return {...update, changes: changes.filter(({key}) => !key.startsWith(storeKeys.assignments))};
}
