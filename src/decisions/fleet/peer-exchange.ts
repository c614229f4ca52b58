/**
 * What daemons tell each other: load of targets, changes of the store, the newest revision, and keys that were asked for.
 *
 * A daemon talks to all daemons of its own availability zone; between availability zones, hubs talk for the others.
 */
import type {StoreUpdate} from '../../model/coordination-store.js';
import type {Member} from '../../model/fleet.js';
import type {LoadReport, TargetLoads} from '../forwarding/target-loads.js';
import type {FleetSync} from './fleet-sync.js';
import type {FleetView, KnownAssignment} from './fleet-view.js';
import {splitUpdate} from './store-update.js';
import type {ZoneHubs} from './zone-hubs.js';
import {ZoneLoad} from './zone-load.js';

/** A message between daemons. */
export type PeerMessage = {
	daemon: string;
	availabilityZone: string;
	/** Revision of the store up to which the sender knows everything. */
	revision: number;
	isStoreReachable: boolean;
	/** Load that the sender puts on targets. */
	load?: LoadReport;
	/** Load that all daemons of the sender's availability zone put on targets. */
	zoneLoad?: LoadReport;
	/** Changes that the sender has read from the store. */
	update?: StoreUpdate;
	/** Keys that were asked for since the last message, by service; only the leader gets them. */
	keys?: Record<string, number[]>;
	/** Owners that the leader has just written. */
	assignment?: KnownAssignment;
	/** True if a hub passes the message on to its own availability zone. */
	isForwarded?: boolean;
};

/** Sends messages to peers. */
export type PeerSender = {
	send(message: PeerMessage, members: Iterable<Member>): void;
};

/** Least interval of load reports in milliseconds; requests take longer. */
const reportMs = 50;

/** Time that one receiver adds to the interval of reports, in milliseconds, so that the messages of a daemon are bounded. */
const reportStepMs = 5;

/** Interval of reports while nothing changes, in milliseconds. */
const quietReportMs = 400;

/** Interval in which keys are told to the leader, in milliseconds. */
const keyReportMs = 100;

/** Most keys of a service that are told at once; the rest is left out, which keeps the shares. */
const keyLimit = 2000;

/** Largest update in one message, in bytes of its values; a datagram takes 65,507 bytes with quotes escaped. */
const updateLimitBytes = 40_000;

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

/** Sends and takes messages. */
export class PeerExchange {
	private keys = new Map<string, number[]>();
	private readonly zoneLoad = new ZoneLoad();
	private reportedAt = 0;
	private zoneReportedAt = 0;
	private keysReportedAt = 0;
	private lastInFlight = '';

	constructor(private readonly options: PeerExchangeOptions) {}

	/** Notes the key of a request at this daemon. */
	noteKey(service: string, key: number): void {
		const keys = this.keys.get(service) ?? [];
		this.keys.set(service, keys);
		if (keys.length < keyLimit) {
			keys.push(key);
		}
	}

	/** Called regularly. */
	tick(now = performance.now()): void {
		this.reportLoad(now);
		this.reportZoneLoad(now);
		this.reportKeys(now);
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
		const neighbours = this.options.hubs.neighbourMembers();
		for (const part of splitUpdate(update, updateLimitBytes)) {
			this.send({update: part}, neighbours);
		}
	}

	/** Tells peers the owners that were just written; they learn them from the store as well, but later. */
	announce(assignment: KnownAssignment): void {
		const {hubs} = this.options;
		this.send({assignment}, [...hubs.neighbourMembers(), ...hubs.remoteMembers(performance.now())]);
	}

	hear(message: PeerMessage, now = performance.now()): void {
		const {sync, view, noteKeys, daemon} = this.options;
		if (message.daemon === daemon) {
			return;
		}

		this.hearLoads(message, now);
		if (message.update) {
			sync.take(message.update);
		}

		sync.hearRevision(message.revision, now);
		if (message.assignment) {
			view.applyAssignment(message.assignment);
		}

		for (const [service, keys] of Object.entries(message.keys ?? {})) {
			noteKeys(service, keys);
		}

		this.forward(message, now);
	}

	private hearLoads({daemon, availabilityZone, isStoreReachable, load, zoneLoad}: PeerMessage, now: number): void {
		const {loads, hubs} = this.options;
		const isNeighbour = availabilityZone === this.options.availabilityZone;
		if (isNeighbour) {
			hubs.noteNeighbour(daemon, isStoreReachable, now);
			if (load) {
				loads.hear(daemon, load, now);
				this.zoneLoad.note(daemon, load, now);
			}

			return;
		}

		if (zoneLoad) {
			hubs.noteContact(availabilityZone, daemon, now);
			loads.hear(`zone ${availabilityZone}`, zoneLoad, now);
		}
	}

	/** A message of another availability zone reaches the whole own one through its hub. */
	private forward(message: PeerMessage, now: number): void {
		const {availabilityZone, hubs, sender} = this.options;
		const isForAll = message.zoneLoad !== undefined || message.assignment !== undefined;
		const isForeign = message.availabilityZone !== availabilityZone;
		if (!isForAll || !isForeign || message.isForwarded === true || !hubs.isHub(now)) {
			return;
		}

		sender.send({...message, isForwarded: true}, hubs.neighbourMembers());
	}

	private reportLoad(now: number): void {
		const {loads, hubs, daemon} = this.options;
		const neighbours = hubs.neighbourMembers();
		if (now - this.reportedAt < Math.max(reportMs, neighbours.length * reportStepMs)) {
			return;
		}

		const inFlight = JSON.stringify(loads.inFlightNow());
		if (inFlight === this.lastInFlight && now - this.reportedAt < quietReportMs) {
			return;
		}

		this.reportedAt = now;
		this.lastInFlight = inFlight;
		const load = loads.report();
		this.zoneLoad.note(daemon, load, now);
		this.send({load}, neighbours);
	}

	private reportZoneLoad(now: number): void {
		const {hubs, view} = this.options;
		const intervalMs = Math.max(reportMs, view.members.size * reportStepMs / 2);
		if (now - this.zoneReportedAt < intervalMs || !hubs.isHub(now)) {
			return;
		}

		this.zoneReportedAt = now;
		this.send({zoneLoad: this.zoneLoad.take(now)}, hubs.remoteMembers(now));
	}

	private reportKeys(now: number): void {
		if (now - this.keysReportedAt < keyReportMs || this.keys.size === 0) {
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
			daemon, availabilityZone, revision: view.revision, isStoreReachable: sync.isStoreReachable, ...content,
		}, members);
	}
}
