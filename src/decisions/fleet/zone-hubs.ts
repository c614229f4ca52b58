/**
 * Selection of the watcher, which watches the store for the other daemons of its availability zone, and of the hub, which relays
 * messages between availability zones. Each daemon selects on its own the one with the most spare capacity among those with a
 * recent message. Two daemons that both take a role cost additional calls and messages and are harmless otherwise.
 */
import {compareBySpareCapacity, type Member} from '../../model/fleet.js';
import type {FleetView} from './fleet-view.js';

/**
 * Time without a message after which another daemon takes a role, in milliseconds. Idle daemons report every 250 ms, so that
 * three reports in a row have to be lost.
 */
const peerTimeoutMs = 1000;

/** Shortest interval between load reports of hubs in milliseconds, and the interval added for each daemon of the fleet. */
const minimumZoneReportMs = 50;
const zoneReportMsPerDaemon = 5;

/** Missed reports after which a hub no longer counts as the contact of its availability zone. */
const missedReportLimit = 3;

/** Number of daemons that get messages in an availability zone without a contact; its hub reports back once it is among them. */
const fallbackRecipientCount = 4;

/** Time after which the messages go to the next such daemons, in milliseconds. */
const fallbackRotationMs = 1000;

/** Interval of load reports between hubs in milliseconds; each report is forwarded to a whole availability zone. */
export function zoneReportIntervalMs(daemonCount: number): number {
	return Math.max(minimumZoneReportMs, daemonCount * zoneReportMsPerDaemon);
}

/** The daemon that makes the selection. */
export type OwnIdentity = {
	daemon: string;
	availabilityZone: string;
};

type LocalPeerState = {
	receivedAt: number;
	isStoreReachable: boolean;
};

type Contact = {
	daemon: string;
	receivedAt: number;
};

/** The last report of the hub of the own availability zone. */
type HubReport = {
	daemon: string;
	receivedAt: number;
	/** The daemon that is to watch the store; undefined if none reaches it. */
	watcher: string | undefined;
};

/** Watchers and hubs as selected by one daemon. */
export class ZoneHubs {
	private readonly localPeerStates = new Map<string, LocalPeerState>();
	private readonly contacts = new Map<string, Contact>();
	private hubReport: HubReport | undefined;

	constructor(private readonly own: OwnIdentity, private readonly view: FleetView) {}

	/** Records a message from a daemon of the same availability zone. */
	recordLocalPeer(daemon: string, isStoreReachable: boolean, now: number): void {
		this.localPeerStates.set(daemon, {receivedAt: now, isStoreReachable});
	}

	/** Records which daemon the hub of the own availability zone names as watcher. */
	recordHubReport(daemon: string, watcher: string | undefined, now: number): void {
		this.hubReport = {daemon, receivedAt: now, watcher};
	}

	/** Records that a daemon sent a message as hub of another availability zone. */
	recordContact(availabilityZone: string, daemon: string, now: number): void {
		this.contacts.set(availabilityZone, {daemon, receivedAt: now});
	}

	/** True if this daemon is the hub of its availability zone. */
	isHub(now: number): boolean {
		return this.hub(now) === this.own.daemon;
	}

	/** Name of the hub of the own availability zone: the daemon with the most spare capacity among those with a recent message. */
	hub(now: number): string {
		let hub = this.own.daemon;
		for (const [daemon, {receivedAt}] of this.localPeerStates) {
			if (now - receivedAt <= peerTimeoutMs && this.hasPrecedence(daemon, hub)) {
				hub = daemon;
			}
		}

		return hub;
	}

	/** Name of the daemon that watches the store for the own availability zone; undefined if none there reaches it. */
	watcher(isOwnStoreReachable: boolean, now: number): string | undefined {
		const {hubReport} = this;
		if (hubReport !== undefined && now - hubReport.receivedAt <= peerTimeoutMs && hubReport.daemon === this.hub(now)) {
			// The hub receives the reports of all daemons; this daemon may receive only those of the hub.
			return hubReport.watcher ?? (isOwnStoreReachable ? this.own.daemon : undefined);
		}

		let watcher = isOwnStoreReachable ? this.own.daemon : undefined;
		for (const [daemon, {receivedAt, isStoreReachable}] of this.localPeerStates) {
			if (isStoreReachable && now - receivedAt <= peerTimeoutMs && (watcher === undefined || this.hasPrecedence(daemon, watcher))) {
				watcher = daemon;
			}
		}

		return watcher;
	}

	/** Other daemons of the own availability zone. */
	localPeers(): Member[] {
		const {daemon, availabilityZone} = this.own;
		return [...this.view.members.values()].filter(member => member.availabilityZone === availabilityZone && member.daemon !== daemon);
	}

	/** Recipients in other availability zones: in each one its hub, or a few daemons in turn if no hub sent a message lately. */
	remoteRecipients(now: number): Member[] {
		const remote: Member[] = [];
		for (const [availabilityZone, members] of this.membersByZone()) {
			if (availabilityZone === this.own.availabilityZone) {
				continue;
			}

			const contact = this.contact(availabilityZone, now);
			remote.push(...members.filter(({daemon}, index) => contact === undefined ? isFallbackRecipient(index, members.length, now) : daemon === contact));
		}

		return remote;
	}

	/** Drops daemons that are no longer members. */
	prune(): void {
		for (const daemon of this.localPeerStates.keys()) {
			if (!this.view.members.has(daemon)) {
				this.localPeerStates.delete(daemon);
			}
		}
	}

	private membersByZone(): Map<string, Member[]> {
		const byZone = new Map<string, Member[]>();
		for (const member of this.view.members.values()) {
			const members = byZone.get(member.availabilityZone) ?? [];
			members.push(member);
			byZone.set(member.availabilityZone, members);
		}

		return byZone;
	}

	/** Daemons with more spare capacity go first; one whose entry is not known goes last. */
	private hasPrecedence(left: string, right: string): boolean {
		const leftMember = this.view.members.get(left);
		const rightMember = this.view.members.get(right);
		if (!leftMember || !rightMember) {
			return leftMember !== undefined || (rightMember === undefined && left < right);
		}

		return compareBySpareCapacity(leftMember, rightMember) < 0;
	}

	/** The hub of another availability zone, unless its entry has expired: its address is not known then, though it still sends. */
	private contact(availabilityZone: string, now: number): string | undefined {
		const contact = this.contacts.get(availabilityZone);
		const contactTimeoutMs = Math.max(peerTimeoutMs, missedReportLimit * zoneReportIntervalMs(this.view.members.size));
		const isKnown = contact !== undefined && now - contact.receivedAt <= contactTimeoutMs && this.view.members.has(contact.daemon);
		return isKnown ? contact.daemon : undefined;
	}
}

function isFallbackRecipient(index: number, count: number, now: number): boolean {
	const first = Math.floor(now / fallbackRotationMs) * fallbackRecipientCount;
	return ((index - (first % count)) + count) % count < fallbackRecipientCount;
}
