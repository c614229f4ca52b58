/**
 * Leadership over all keyed services: a key of the store under a lease.
 */
import type {CoordinationStore, StoreLease} from '../../model/coordination-store.js';
import {
	ConflictError, LeaseEndedError, RouterError, StoreAmbiguousError,
} from '../../model/errors.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import {compareByRoom} from '../../model/fleet.js';
import {storeKeys} from '../fleet/own-documents.js';
import type {FleetView} from '../fleet/fleet-view.js';
import {elapsedSince, presentMoment, type Moment} from './clock-watch.js';

/** Time for which the lease holds without renewal, in milliseconds; a lost leader is followed after this time. */
const leaseMs = 1200;

/** Interval of renewals in milliseconds; four fit into the lease. */
const renewalMs = 250;

/** Part of the lease in which no order is sent any more, in milliseconds; an order begun before still arrives in it. */
const proofMarginMs = 200;

/** Time between the candidacies of daemons in turn, in milliseconds, so that few compete; the write of one takes about as long. */
const candidacyStepMs = 15;

/** Longest wait before a candidacy, in milliseconds. */
const longestCandidacyMs = 300;

/** Pause after a failed call, in milliseconds. */
const retryMs = 200;

/** What the leadership needs. */
export type LeadershipOptions = {
	daemon: string;
	store: CoordinationStore;
	view: FleetView;
	log: EventLog;
	leaseMinimumMs: number;
	random(): number;
};

type Term = {
	lease: StoreLease;
	/** Revision of the leader's key. */
	revision: number;
	/** When the last successful renewal was asked for; the lease runs at least from then. */
	provedAt: Moment;
};

/** Takes, renews and gives up leadership. */
export class Leadership {
	private term: Term | undefined;
	private isBusy = false;
	private isResigned = false;
	private nextCallAt = 0;
	private vacantSince: number | undefined;
	private takenCount = 0;

	constructor(private readonly options: LeadershipOptions) {}

	/** True while no other daemon can have taken over. */
	get isProved(): boolean {
		return this.term !== undefined && this.proofAgeMs() < this.term.lease.durationMs - proofMarginMs;
	}

	/** True from the taking of the lease until its end is known. */
	get isLeader(): boolean {
		return this.term !== undefined;
	}

	/** Revision of the leader's key, on which every write depends. */
	get revision(): number {
		return this.term?.revision ?? 0;
	}

	/** Times that this daemon took leadership. */
	get termCount(): number {
		return this.takenCount;
	}

	/** Time since leadership was last proved, in milliseconds. */
	proofAgeMs(): number {
		return this.term ? elapsedSince(this.term.provedAt) : Infinity;
	}

	/** Called regularly. */
	tick(now = performance.now()): void {
		if (this.isBusy || now < this.nextCallAt) {
			return;
		}

		if (this.term) {
			void this.run(async () => this.renew(), now + renewalMs);
			return;
		}

		if (this.isCandidate(now)) {
			void this.run(async () => this.take(), now + retryMs);
		}
	}

	/** Gives leadership up for good, so that another daemon takes over at once. */
	async resign(): Promise<void> {
		this.isResigned = true;
		const {term} = this;
		if (!term) {
			return;
		}

		this.lose('resigned');
		await this.options.store.endLease(term.lease.id);
	}

	private isCandidate(now: number): boolean {
		const {view} = this.options;
		if (this.isResigned || view.revision === 0 || view.leader) {
			this.vacantSince = undefined;
			return false;
		}

		this.vacantSince ??= now;
		return now - this.vacantSince >= this.candidacyDelayMs();
	}

	private candidacyDelayMs(): number {
		const {view, daemon, random} = this.options;
		const rank = [...view.members.values()].toSorted(compareByRoom).findIndex(member => member.daemon === daemon);
		const place = rank === -1 ? view.members.size : rank;
		return Math.min(longestCandidacyMs, (place + random()) * candidacyStepMs);
	}

	private async run(call: () => Promise<void>, nextCallAt: number): Promise<void> {
		this.isBusy = true;
		this.nextCallAt = nextCallAt;
		try {
			await call();
		} catch (error) {
			if (!(error instanceof RouterError)) {
				throw error;
			}

			this.options.log.record(LogEvent.LeaderStoreWriteFailed, {detail: error.message, isLeader: this.isLeader});
			this.nextCallAt = Math.min(this.nextCallAt, performance.now() + retryMs);
		} finally {
			this.isBusy = false;
		}
	}

	private async renew(): Promise<void> {
		const {term} = this;
		if (!term) {
			return;
		}

		const askedAt = presentMoment();
		try {
			await this.options.store.renewLease(term.lease.id);
			term.provedAt = askedAt;
		} catch (error) {
			if (!(error instanceof LeaseEndedError)) {
				throw error;
			}

			this.lose(error.message);
		}
	}

	private async take(): Promise<void> {
		const {store, leaseMinimumMs} = this.options;
		const askedAt = presentMoment();
		const lease = await store.openLease(Math.max(leaseMs, leaseMinimumMs));
		const revision = await this.writeLeader(lease);
		if (revision === undefined || this.isResigned) {
			await store.endLease(lease.id);
			return;
		}

		this.term = {lease, revision, provedAt: askedAt};
		this.takenCount += 1;
		this.options.log.record(LogEvent.LeadershipTaken, {revision, lease: lease.id, leaseMs: lease.durationMs});
	}

	/** Returns the revision of the written key; nothing if another daemon leads. */
	private async writeLeader(lease: StoreLease): Promise<number | undefined> {
		const {store, daemon} = this.options;
		const value = JSON.stringify({daemon, lease: lease.id});
		try {
			return await store.write({expected: [{key: storeKeys.leader, revision: 0}], puts: [{key: storeKeys.leader, value, lease: lease.id}]});
		} catch (error) {
			if (error instanceof ConflictError) {
				return undefined;
			}

			if (!(error instanceof StoreAmbiguousError)) {
				throw error;
			}
		}

		// The reply was lost; the key tells whether the write took effect.
		const item = await store.read(storeKeys.leader);
		return item?.value === value ? item.revision : undefined;
	}

	private lose(detail: string): void {
		this.options.log.record(LogEvent.LeadershipLost, {detail, proofAgeMs: Math.round(this.proofAgeMs())});
		this.term = undefined;
	}
}
