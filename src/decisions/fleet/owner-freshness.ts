/**
 * Freshness of the owners of keys: evidence that no target other than the known owners may hold the keys.
 *
 * The leader gives the keys of an owner that has not answered to another one no sooner than after the lifetime of such evidence.
 * A daemon that sends only with fresh evidence never sends to the old owner by then; see docs/design/owner-evidence.md.
 */
import type {Cancellation} from '../../model/cancellation.js';
import {elapsedSince, currentMoment, type Moment} from '../ownership/moment.js';
import {EvidenceWaiters, evidenceWaitMs, failureBackoffMs} from './evidence-waiters.js';

/** Time for which owners may be sent requests after they were known to be the newest, in milliseconds. */
export const ownerEvidenceLifetimeMs = 2000;

/** Tracks until when the known owners were confirmed as the newest ones. */
export class OwnerFreshness {
	private confirmedAt: Moment | undefined;
	/** True if the evidence is from before the store was restored. */
	private isOfLostEra = false;
	private failedAt: Moment | undefined;
	private readonly waiters = new EvidenceWaiters();

	/** True once there was any evidence. */
	get hasEvidence(): boolean {
		return this.confirmedAt !== undefined;
	}

	get isFresh(): boolean {
		return this.ageMs <= ownerEvidenceLifetimeMs;
	}

	/** True while requests wait for evidence. */
	get isEvidenceNeeded(): boolean {
		return this.waiters.size > 0;
	}

	/** True if other daemons may rely on the evidence. */
	get isShareable(): boolean {
		return this.hasEvidence && !this.isOfLostEra;
	}

	/** Age of the evidence in milliseconds. */
	get ageMs(): number {
		return this.confirmedAt ? elapsedSince(this.confirmedAt) : Infinity;
	}

	/**
	 * Records that the known owners were the newest ones.
	 *
	 * @param at a moment at which they were; requested evidence counts from the request
	 */
	confirm(at: Moment): void {
		if (elapsedSince(at) >= this.ageMs) {
			return;
		}

		this.confirmedAt = at;
		this.isOfLostEra = false;
		if (this.isFresh) {
			this.failedAt = undefined;
			this.waiters.settle(true);
		}
	}

	/**
	 * Marks the evidence as being from before the store was restored. It holds for the rest of its lifetime: the leader of the new era
	 * waits for its end as after any other takeover.
	 */
	beginEra(): void {
		this.isOfLostEra = this.hasEvidence;
	}

	/** Discards the evidence, because other owners than those it was for are known now. */
	discard(): void {
		this.confirmedAt = undefined;
		this.isOfLostEra = false;
	}

	/**
	 * Waits for evidence; false if none came in time, or the request was cancelled. After a wait in vain, others fail at once for
	 * some time.
	 *
	 * @param leftMs remaining time of the caller, in milliseconds
	 */
	async waitForEvidence(cancellation: Cancellation, leftMs = Infinity): Promise<boolean> {
		if (this.isFresh) {
			return true;
		}

		if (cancellation.isCancelled || (this.failedAt && elapsedSince(this.failedAt) <= failureBackoffMs)) {
			return false;
		}

		const isConfirmed = await this.waiters.wait(cancellation, Math.min(evidenceWaitMs, leftMs));
		if (!isConfirmed && !cancellation.isCancelled && leftMs >= evidenceWaitMs) {
			this.failedAt = currentMoment();
		}

		return isConfirmed;
	}
}
