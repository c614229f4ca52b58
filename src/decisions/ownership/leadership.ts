/**
 * Leadership of all keyed services, held as a key of the store that is bound to a lease.
 */
import type {CoordinationStore, StoreLease} from '../../model/coordination-store.js';
import {
	ConflictError, LeaseEndedError, RouterError, StoreAmbiguousError,
} from '../../model/errors.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import {compareBySpareCapacity} from '../../model/fleet.js';
import {storeKeys} from '../fleet/daemon-documents.js';
import type {FleetView} from '../fleet/fleet-view.js';
import {elapsedSince, currentMoment, type Moment} from './moment.js';

/** Duration of the lease without renewal, in milliseconds; another daemon can replace a stopped leader after this time. */
const leaseMs = 1200;

/** Interval of renewals in milliseconds; four fit into the duration of the lease. */
const renewalIntervalMs = 250;

/** Final part of the lease in which no order is sent, in milliseconds, for clocks of different speed and the time until the first byte. */
const confirmationMarginMs = 200;

/** Interval between the candidacies of daemons, in milliseconds; about as long as the write of a candidate, so that few compete. */
const candidacyIntervalMs = 15;

const maxCandidacyDelayMs = 300;

/** Interval at which the leader reads its key, in milliseconds: the store may remove it although the lease goes on, and a watch may be silent. */
const keyReadIntervalMs = 1000;

/** Delay before a failed call is retried, in milliseconds. */
const retryDelayMs = 200;

/** Dependencies and settings of the leadership. */
export type LeadershipOptions = {
	daemon: string;
	store: CoordinationStore;
	view: FleetView;
	log: EventLog;
	leaseMinimumMs: number;
	random(): number;
	/** True while this daemon reaches no target, and could not send any order. */
	isCutOff(): boolean;
};

type Term = {
	lease: StoreLease;
	/** Revision of the leader's key. */
	revision: number;
	/** When the last successful renewal was sent; the lease runs at least from this moment. */
	confirmedAt: Moment;
	/** When the key was last written or read. */
	keySeenAt: Moment;
	/** Era of the store to which lease and revision belong. */
	era: number | undefined;
};

/** Acquires, renews and resigns leadership. */
export class Leadership {
	private term: Term | undefined;
	private isBusy = false;
	private isReadingKey = false;
	private isResigned = false;
	private nextCallAt = 0;
	private vacantSince: number | undefined;
	private startedTerms = 0;

	constructor(private readonly options: LeadershipOptions) {}

	/** True while no other daemon can have acquired leadership. */
	get isConfirmed(): boolean {
		return this.isLeader && this.term !== undefined && this.confirmationAgeMs() < this.term.lease.durationMs - confirmationMarginMs;
	}

	/** True from the acquisition of the lease until this daemon knows that it has ended, that the key was removed or the store restored. */
	get isLeader(): boolean {
		return this.term !== undefined && !this.isKeyRemoved && !this.isLost;
	}

	/** Era of the store in which leadership was acquired; undefined while none is known. */
	get era(): number | undefined {
		return this.term?.era;
	}

	/** Revision of the leader's key, which is a condition of every write. */
	get revision(): number {
		return this.term?.revision ?? 0;
	}

	/** Number of times that this daemon acquired leadership. */
	get termCount(): number {
		return this.startedTerms;
	}

	/** Time since the store last confirmed the leadership, in milliseconds. */
	confirmationAgeMs(): number {
		return this.term ? elapsedSince(this.term.confirmedAt) : Infinity;
	}

	/** Called at regular intervals. */
	tick(now = performance.now()): void {
		if (this.term && this.isLost) {
			// The id of the lease may have been given to another daemon since, so that it must not be ended.
			this.endTerm('the store was restored');
		}

		if (this.term && !this.isReadingKey && elapsedSince(this.term.keySeenAt) >= keyReadIntervalMs) {
			void this.readKey(this.term);
		}

		if (this.isBusy || now < this.nextCallAt) {
			return;
		}

		if (this.term && this.isKeyRemoved) {
			void this.run(async () => this.giveUp('the leader\'s key was removed'), now + retryDelayMs);
			return;
		}

		if (this.term && this.options.isCutOff()) {
			void this.run(async () => this.giveUp('cut off from all targets'), now + retryDelayMs);
			return;
		}

		if (this.term) {
			void this.run(async () => this.renew(), now + renewalIntervalMs);
			return;
		}

		if (this.isCandidate(now)) {
			void this.run(async () => this.acquire(), now + retryDelayMs);
		}
	}

	/** True once the store was restored, which loses the lease. */
	private get isLost(): boolean {
		return this.term !== undefined && this.term.era !== this.options.store.era.current;
	}

	/** True once the view shows that the store removed the leader's key, which may happen although the lease goes on. */
	private get isKeyRemoved(): boolean {
		const {view} = this.options;
		return this.term !== undefined && view.revision >= this.term.revision && view.leader?.revision !== this.term.revision;
	}

	/** Resigns leadership permanently, so that another daemon takes over at once. */
	async resign(): Promise<void> {
		this.isResigned = true;
		await this.giveUp('resigned');
	}

	/** Ends the lease, so that another daemon takes over at once. */
	private async giveUp(detail: string): Promise<void> {
		const {term} = this;
		if (!term) {
			return;
		}

		const {isLost} = this;
		this.endTerm(detail);
		if (!isLost) {
			await this.options.store.endLease(term.lease.id);
		}
	}

	private isCandidate(now: number): boolean {
		const {view, store} = this.options;
		// A leader of the lost era that has not learned of the restore may send orders until its lease has run out.
		// The writer of owners of the current era was elected after that time, so that a loss of power without a restore needs no wait.
		const mayBeLed = now - store.era.since < this.leaseDurationMs && !view.hasCurrentOwners;
		if (this.isResigned || this.options.isCutOff() || view.revision === 0 || view.leader !== undefined || mayBeLed) {
			this.vacantSince = undefined;
			return false;
		}

		this.vacantSince ??= now;
		return now - this.vacantSince >= this.candidacyDelayMs();
	}

	private get leaseDurationMs(): number {
		return Math.max(leaseMs, this.options.leaseMinimumMs);
	}

	private candidacyDelayMs(): number {
		const {view, daemon, random} = this.options;
		const rank = [...view.members.values()].toSorted(compareBySpareCapacity).findIndex(member => member.daemon === daemon);
		const position = rank === -1 ? view.members.size : rank;
		return Math.min(maxCandidacyDelayMs, (position + random()) * candidacyIntervalMs);
	}

	private async run(call: () => Promise<void>, nextCallAt: number): Promise<void> {
		this.isBusy = true;
		this.nextCallAt = nextCallAt;
		try {
			await call();
		} catch (error) {
			this.recordFailure(error);
			this.nextCallAt = Math.min(this.nextCallAt, performance.now() + retryDelayMs);
		} finally {
			this.isBusy = false;
		}
	}

	private recordFailure(error: unknown): void {
		if (!(error instanceof RouterError)) {
			throw error;
		}

		this.options.log.record(LogEvent.LeaderStoreWriteFailed, {detail: error.message, isLeader: this.isLeader});
	}

	private async renew(): Promise<void> {
		const {term} = this;
		if (!term) {
			return;
		}

		const requestedAt = currentMoment();
		try {
			await this.options.store.renewLease(term.lease.id);
			term.confirmedAt = requestedAt;
		} catch (error) {
			if (!(error instanceof LeaseEndedError)) {
				throw error;
			}

			this.endTerm(error.message);
		}
	}

	/** Reads the key beside the renewals, which a slow store must not delay. */
	private async readKey(term: Term): Promise<void> {
		this.isReadingKey = true;
		term.keySeenAt = currentMoment();
		try {
			const item = await this.options.store.read(storeKeys.leader);
			if (item?.revision !== term.revision && this.term === term) {
				await this.giveUp('the leader\'s key was removed');
			}
		} catch (error) {
			this.recordFailure(error);
		} finally {
			this.isReadingKey = false;
		}
	}

	private async acquire(): Promise<void> {
		const {store} = this.options;
		const requestedAt = currentMoment();
		const era = store.era.current;
		const lease = await store.openLease(this.leaseDurationMs);
		store.era.requireSame(era);
		const revision = await this.writeLeader(lease);
		store.era.requireSame(era);
		if (revision === undefined || this.isResigned) {
			await store.endLease(lease.id);
			return;
		}

		this.term = {
			lease, revision, confirmedAt: requestedAt, keySeenAt: requestedAt, era: store.era.current,
		};
		this.startedTerms += 1;
		this.options.log.record(LogEvent.LeadershipTaken, {revision, lease: lease.id, leaseMs: lease.durationMs});
	}

	/** Returns the revision of the written key, or undefined if another daemon leads. */
	private async writeLeader(lease: StoreLease): Promise<number | undefined> {
		const {store, daemon, view} = this.options;
		const value = JSON.stringify({daemon, lease: lease.id, era: store.era.current});
		try {
			return await store.write({expected: [{key: storeKeys.leader, revision: view.formerLeaderRevision}], puts: [{key: storeKeys.leader, value, lease: lease.id}]});
		} catch (error) {
			if (error instanceof ConflictError) {
				return undefined;
			}

			if (!(error instanceof StoreAmbiguousError)) {
				throw error;
			}
		}

		// The reply was lost; the key shows whether the write took effect.
		const item = await store.read(storeKeys.leader);
		return item?.value === value ? item.revision : undefined;
	}

	private endTerm(detail: string): void {
		this.options.log.record(LogEvent.LeadershipLost, {detail, proofAgeMs: Math.round(this.confirmationAgeMs())});
		this.term = undefined;
	}
}
