/**
 * This daemon's entry in the store, by which peers find it. The entry is bound to a lease.
 */
import type {CoordinationStore} from '../../model/coordination-store.js';
import {describeFailure, LeaseEndedError, RouterError} from '../../model/errors.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import type {Member} from '../../model/fleet.js';
import {storeKeys} from './daemon-documents.js';

/** Duration of the lease, after which the entry of a stopped daemon expires, in milliseconds. */
const leaseMs = 9000;

/** Interval of renewals in milliseconds; three fit into the lease. */
const renewalMs = 3000;

/** Pause after a failed call in milliseconds. */
const retryMs = 500;

/** Writes the entry, renews its lease and removes it. */
export class Membership {
	private lease: number | undefined;
	private nextCallAt = 0;
	private isBusy = false;
	private hasLeft = false;

	/** @param onAnswer called whenever the store has answered */
	constructor(
		private readonly member: Member,
		private readonly store: CoordinationStore,
		private readonly log: EventLog,
		private readonly onAnswer: () => void,
	) {}

	/** Called periodically. */
	tick(now = performance.now()): void {
		if (this.isBusy || this.hasLeft || now < this.nextCallAt) {
			return;
		}

		this.isBusy = true;
		void this.step();
	}

	/** Removes the entry. */
	async leave(): Promise<void> {
		this.hasLeft = true;
		if (this.lease !== undefined) {
			await this.store.endLease(this.lease);
		}
	}

	private async step(): Promise<void> {
		try {
			await (this.lease === undefined ? this.register() : this.renew(this.lease));
			this.nextCallAt = performance.now() + renewalMs;
			this.onAnswer();
		} catch (error) {
			this.nextCallAt = performance.now() + retryMs;
			if (!(error instanceof RouterError)) {
				this.log.record(LogEvent.InternalFailure, {detail: describeFailure(error)});
				return;
			}

			if (error instanceof LeaseEndedError) {
				this.lease = undefined;
				this.nextCallAt = 0;
			}

			this.log.record(LogEvent.LeaseLost, {detail: error.message});
		} finally {
			this.isBusy = false;
		}
	}

	private async register(): Promise<void> {
		const {id} = await this.store.openLease(leaseMs);
		const key = `${storeKeys.members}${this.member.daemon}`;
		await this.store.write({expected: [], puts: [{key, value: JSON.stringify(this.member), lease: id}]});
		this.lease = id;
	}

	private async renew(lease: number): Promise<void> {
		await this.store.renewLease(lease);
	}
}
