/**
 * The leader's own evidence that its owners of keys are the newest ones, which other daemons request while the store is unreachable.
 */
import {clockDriftFactor, HoldPolicy, type HoldLimits} from '../ownership/hold-policy.js';
import type {Leadership} from '../ownership/leadership.js';
import {currentMoment} from '../ownership/moment.js';
import {ownerEvidenceLifetimeMs, type OwnerFreshness} from './owner-freshness.js';

/** Age of the leadership's confirmation up to which the word counts at most, in milliseconds; store outages are bridged up to here. */
const wordLimitMs = 9000;

/** Time between the end of all evidence from the word and the first move of another leader, in milliseconds. */
const wordMarginMs = 500;

/** Delay before a failed reading is repeated, in milliseconds. */
const readRetryMs = 300;

/** Dependencies of the word. */
export type LeaderWordOptions = {
	leadership: Pick<Leadership, 'isLeader' | 'termCount' | 'confirmationAgeMs'>;
	ownerFreshness: Pick<OwnerFreshness, 'confirm'>;
	limits: HoldLimits;
	/** Reads the owners from the store; false if that failed. */
	readOwners(): Promise<boolean>;
};

/**
 * Time since a takeover in which evidence from the word of an earlier leader may count, in milliseconds. A leader grants no keys of a
 * target that has not answered to another one before; the store confirmed the earlier leader before the takeover.
 */
export const wordReachMs = wordLimitMs + (ownerEvidenceLifetimeMs * clockDriftFactor);

/** Renews the evidence for owners while this daemon leads: no other daemon writes owners meanwhile. */
export class LeaderWord {
	private readTerm = 0;
	private isReading = false;
	private nextReadAt = Number.NEGATIVE_INFINITY;
	private readonly lifetimeMs: number;

	constructor(private readonly options: LeaderWordOptions) {
		// With short holds, another leader may give keys away sooner.
		const {expiresBy} = new HoldPolicy(options.limits).inheritedHold(0);
		this.lifetimeMs = Math.min(wordLimitMs, expiresBy - (ownerEvidenceLifetimeMs * clockDriftFactor) - wordMarginMs);
	}

	/** Called periodically. */
	tick(now = performance.now()): void {
		const {leadership, ownerFreshness} = this.options;
		if (!leadership.isLeader) {
			return;
		}

		if (this.readTerm !== leadership.termCount) {
			void this.readOwners(now);
			return;
		}

		// Another daemon may lead by now, but waits for the holds of this term to expire.
		if (leadership.confirmationAgeMs() <= this.lifetimeMs) {
			ownerFreshness.confirm(currentMoment());
		}
	}

	/** What earlier leaders wrote has to be known before the word counts. */
	private async readOwners(now: number): Promise<void> {
		if (this.isReading || now < this.nextReadAt) {
			return;
		}

		this.isReading = true;
		this.nextReadAt = now + readRetryMs;
		const {termCount} = this.options.leadership;
		if (await this.options.readOwners()) {
			this.readTerm = termCount;
		}

		this.isReading = false;
	}
}
