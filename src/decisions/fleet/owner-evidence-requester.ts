/**
 * Requests evidence that the known owners of keys are the newest ones, before the evidence that this daemon has ends.
 */
import {LogEvent, type EventLog} from '../../model/events.js';
import type {FleetView} from './fleet-view.js';
import {ownerEvidenceLifetimeMs} from './owner-freshness.js';
import type {UpdateRelay} from './update-relay.js';

/** Age of the evidence from which new evidence is requested, in milliseconds. */
const renewalAgeMs = ownerEvidenceLifetimeMs / 2;

/** Interval between requests in milliseconds; an answer takes a few milliseconds. */
const requestIntervalMs = 250;

/** The same while callers' requests wait for the evidence. */
const urgentIntervalMs = 60;

/** Average interval between requests in milliseconds, and the number that may be sent sooner; they bound the load of the leader. */
const averageIntervalMs = 750;
const requestReserve = 4;

/** Age of the evidence from which a daemon that follows another one reads the owners from the store, in milliseconds. */
const readAgeMs = ownerEvidenceLifetimeMs * 0.9;

/** Shortest interval between these reads, in milliseconds. */
const readIntervalMs = 1000;

/** Dependencies of the requester. */
export type OwnerEvidenceRequesterOptions = {
	view: FleetView;
	relay: Pick<UpdateRelay, 'isFollowing' | 'requestEvidence' | 'requestLeaderEvidence'>;
	log: EventLog;
	isStoreReachable(): boolean;
	/** Reads the owners from the store. */
	readOwners(): void;
};

/** Asks the daemon that watches the store and the leader in turn. A daemon that watches the store itself asks only the leader. */
export class OwnerEvidenceRequester {
	private wasFresh = true;
	/** Requests since the evidence was last recent. */
	private requestCount = 0;
	private requestedAt = Number.NEGATIVE_INFINITY;
	private readAt = Number.NEGATIVE_INFINITY;
	private reserve = requestReserve;
	private tickedAt: number | undefined;

	constructor(private readonly options: OwnerEvidenceRequesterOptions) {}

	/** Called periodically. */
	tick(now: number): void {
		const {view, relay, isStoreReachable, readOwners} = this.options;
		this.reserve = Math.min(requestReserve, this.reserve + ((now - (this.tickedAt ?? now)) / averageIntervalMs));
		this.tickedAt = now;
		const {ownerFreshness} = view;
		if (!view.hasKeyedServices || !ownerFreshness.hasEvidence) {
			return;
		}

		this.logChange();
		const {ageMs, isEvidenceNeeded} = ownerFreshness;
		if (ageMs < renewalAgeMs) {
			this.requestCount = 0;
			return;
		}

		const isFollowing = relay.isFollowing();
		if (now - this.requestedAt >= (isEvidenceNeeded ? urgentIntervalMs : requestIntervalMs) && this.reserve >= 1) {
			this.request(isFollowing, now);
		}

		if (isFollowing && isStoreReachable() && ageMs >= readAgeMs && now - this.readAt >= readIntervalMs) {
			this.readAt = now;
			readOwners();
		}
	}

	private request(isFollowing: boolean, now: number): void {
		const {relay} = this.options;
		this.requestedAt = now;
		this.reserve -= 1;
		if (isFollowing && this.requestCount % 2 === 0) {
			relay.requestEvidence();
		} else {
			relay.requestLeaderEvidence();
		}

		this.requestCount += 1;
	}

	private logChange(): void {
		const {view, log} = this.options;
		const {isFresh, ageMs} = view.ownerFreshness;
		if (isFresh === this.wasFresh) {
			return;
		}

		this.wasFresh = isFresh;
		log.record(isFresh ? LogEvent.OwnersConfirmed : LogEvent.OwnersUnconfirmed, {
			confirmedMsAgo: Math.round(ageMs), leader: view.leader?.daemon ?? 'none', revision: view.revision,
		});
	}
}
