/**
 * This daemon's entry in the store, by which peers find it. The entry is bound to a lease.
 */
import type {CoordinationStore} from '../../model/coordination-store.js';
import {describeFailure, LeaseEndedError, RouterError} from '../../model/errors.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import type {Member} from '../../model/fleet.js';
import {storeKeys} from './daemon-documents.js';
import type {FleetView} from './fleet-view.js';

/** Duration of the lease, after which the entry of a stopped daemon expires, in milliseconds. */
const leaseMs = 9000;

/** Interval of renewals in milliseconds; three fit into the lease. */
const renewalMs = 3000;

/** Pause after a failed call in milliseconds. */
const retryMs = 500;

/** Dependencies of the membership. */
export type MembershipOptions = {
	store: CoordinationStore;
	view: FleetView;
	log: EventLog;
	/** Called whenever the store has answered. */
	onAnswer(): void;
};

/** The entry as this daemon wrote it. */
type Registration = {
	lease: number;
	/** Revision of the entry. */
	revision: number;
	at: number;
	/** Era of the store to which lease and revision belong. */
	era: number | undefined;
};

/** Writes the entry, renews its lease and removes it. */
export class Membership {
	private registration: Registration | undefined;
	private nextCallAt = 0;
	private isBusy = false;
	private hasLeft = false;

	constructor(private readonly member: Member, private readonly options: MembershipOptions) {}

	/** Called periodically. */
	tick(now = performance.now()): void {
		if (this.isBusy || this.hasLeft) {
			return;
		}

		if (this.registration && this.registration.era !== this.options.store.era.current) {
			// Lease and entry are lost; the id of the lease may have been given to another daemon since.
			this.registration = undefined;
			this.nextCallAt = now;
			this.options.log.record(LogEvent.LeaseLost, {detail: 'the store was restored'});
		}

		if (this.registration && this.isEntryRemoved) {
			// An entry that the view can never show must not be written again and again.
			this.nextCallAt = this.registration.at + renewalMs;
			this.registration = undefined;
			this.options.log.record(LogEvent.LeaseLost, {detail: 'the entry was removed although its lease goes on'});
		}

		if (now < this.nextCallAt) {
			return;
		}

		this.isBusy = true;
		void this.step();
	}

	/** Removes the entry. */
	async leave(): Promise<void> {
		this.hasLeft = true;
		if (this.registration && this.registration.era === this.options.store.era.current) {
			await this.options.store.endLease(this.registration.lease);
		}
	}

	/** True if the store removed the entry, or a write that an earlier call left unanswered bound it to a lease that has ended. */
	private get isEntryRemoved(): boolean {
		const {view} = this.options;
		return this.registration !== undefined && view.revision >= this.registration.revision && !view.members.has(this.member.daemon);
	}

	private async step(): Promise<void> {
		try {
			await (this.registration ? this.options.store.renewLease(this.registration.lease) : this.register());
			this.nextCallAt = performance.now() + renewalMs;
			this.options.onAnswer();
		} catch (error) {
			this.nextCallAt = performance.now() + retryMs;
			if (!(error instanceof RouterError)) {
				this.options.log.record(LogEvent.InternalFailure, {detail: describeFailure(error)});
				return;
			}

			if (error instanceof LeaseEndedError) {
				this.registration = undefined;
				this.nextCallAt = 0;
			}

			this.options.log.record(LogEvent.LeaseLost, {detail: error.message});
		} finally {
			this.isBusy = false;
		}
	}

	private async register(): Promise<void> {
		const {store} = this.options;
		const era = store.era.current;
		const {id} = await store.openLease(leaseMs);
		store.era.requireSame(era);
		const key = `${storeKeys.members}${this.member.daemon}`;
		const revision = await store.write({expected: [], puts: [{key, value: JSON.stringify(this.member), lease: id}]});
		this.registration = {
			lease: id, revision, at: performance.now(), era: store.era.current,
		};
	}
}
