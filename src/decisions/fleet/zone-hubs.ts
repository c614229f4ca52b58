/**
 * Which daemon of an availability zone watches the store for the others there, and which is the hub that carries messages
 * between availability zones: the one with the most room that was heard lately. Nothing is agreed on; two daemons that both take
 * the part cost calls and messages, and do no harm.
 */
import {compareByRoom, type Member} from '../../model/fleet.js';
import type {FleetView} from './fleet-view.js';

/** Silence after which another daemon takes the part, in milliseconds; the quietest daemons report every 250 ms, so that three reports in a row have to be lost. */
const peerTimeoutMs = 1000;

/** Least interval of the messages between hubs in milliseconds, and the time that each daemon of the fleet adds to it. */
const minimumZoneReportMs = 50;
const zoneReportMsPerDaemon = 5;

/** Intervals without a message after which a hub no longer counts as the contact of its availability zone. */
const missedReportLimit = 3;

/** Daemons that are addressed in an availability zone of which none has spoken; the hub there answers any of them. */
const fallbackRecipientCount = 4;

/** Time after which others are addressed, in milliseconds. */
const fallbackRotationMs = 1000;

/** Interval of the messages between hubs in milliseconds; each is passed on to a whole availability zone. */
export function zoneReportIntervalMs(daemonCount: number): number {
	return Math.max(minimumZoneReportMs, daemonCount * zoneReportMsPerDaemon);
}

/** The daemon that decides for itself. */
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

/** What the hub of the own availability zone said last. */
type HubReport = {
	daemon: string;
	receivedAt: number;
	/** The daemon that is to watch the store; nothing if none reaches it. */
	watcher: string | undefined;
};

/** Hubs as one daemon sees them. */
export class ZoneHubs {
	private readonly localPeerStates = new Map<string, LocalPeerState>();
	private readonly contacts = new Map<string, Contact>();
	private hubReport: HubReport | undefined;

	constructor(private readonly own: OwnIdentity, private readonly view: FleetView) {}

	/** Notes a message that came from a daemon of the same availability zone. */
	recordLocalPeer(daemon: string, isStoreReachable: boolean, now: number): void {
		this.localPeerStates.set(daemon, {receivedAt: now, isStoreReachable});
	}

	/** Notes which daemon the hub of the own availability zone names as watcher. */
	recordHubReport(daemon: string, watcher: string | undefined, now: number): void {
		this.hubReport = {daemon, receivedAt: now, watcher};
	}

	/** Notes that a daemon spoke for another availability zone. */
	recordContact(availabilityZone: string, daemon: string, now: number): void {
		this.contacts.set(availabilityZone, {daemon, receivedAt: now});
	}

	/** True if this daemon talks to other availability zones for its own. */
	isHub(now: number): boolean {
		return this.hub(now) === this.own.daemon;
	}

	/** Name of the daemon that speaks for the own availability zone: the one with the most room that was heard lately. */
	hub(now: number): string {
		let hub = this.own.daemon;
		for (const [daemon, {receivedAt}] of this.localPeerStates) {
			if (now - receivedAt <= peerTimeoutMs && this.hasPrecedence(daemon, hub)) {
				hub = daemon;
			}
		}

		return hub;
	}

	/** Name of the daemon that watches the store for the own availability zone; nothing if none there reaches it. */
	watcher(isOwnStoreReachable: boolean, now: number): string | undefined {
		const {hubReport} = this;
		if (hubReport !== undefined && now - hubReport.receivedAt <= peerTimeoutMs && hubReport.daemon === this.hub(now)) {
			// The hub hears all daemons; this one may hear the hub alone.
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

	/** One daemon for each other availability zone: the one that spoke for it lately, or a few in turn where none did. */
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

	/** Forgets daemons that are gone. */
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

	/** Daemons with more room go first; one whose entry is not known goes last. */
	private hasPrecedence(left: string, right: string): boolean {
		const leftMember = this.view.members.get(left);
		const rightMember = this.view.members.get(right);
		if (!leftMember || !rightMember) {
			return leftMember !== undefined || (rightMember === undefined && left < right);
		}

		return compareByRoom(leftMember, rightMember) < 0;
	}

	/** The daemon that speaks for another availability zone; one whose entry has lapsed has no address any more, though it speaks. */
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
