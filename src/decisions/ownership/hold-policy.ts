/**
 * How long targets hold keys, and when a hold has certainly expired.
 */

/**
 * Hold during normal operation, in milliseconds. After it, the keys of an unreachable target can be granted to another. A
 * leader that stops is replaced within two thirds of it.
 */
const normalHoldMs = 2100;

/** Number of renewals of a grant within a hold. */
const renewalsPerHold = 3;

/**
 * Age of the leadership's confirmation above which a store outage is assumed, in milliseconds. Renewals are sent every 300 ms
 * and take up to 400 ms.
 */
const outageConfirmationAgeMs = 700;

/** Factor by which clocks may run slow. */
export const clockDriftFactor = 1.02;

/** Allowance for timers of targets that fire late, in milliseconds. */
const expiryMarginMs = 60;

/** Timeout of a grant in milliseconds; targets answer within a few milliseconds, to which the network adds its latency. */
export const grantTimeoutMs = 300;

/**
 * Time after the timeout of a grant for which the keys of a silent target wait for it to arrive, in milliseconds. TCP sends lost
 * bytes again after 0.2, 0.4 and 0.8 s; a full link adds its queue. No bound is stated, so that this is no proof: releases go on.
 */
const lateArrivalMs = 1700;

/**
 * Time after which a target that answers other calls has carried out a grant that it left unanswered, in milliseconds; from the
 * users' list of faults (`applied_late`).
 */
const lateOrderLimitMs = 12_000;

/** Limits that the deployment sets. */
export type HoldLimits = {
	/** Longest hold of keys in milliseconds. */
	holdLimitMs: number;
	/** Time after a suspended daemon resumes during which its orders may still be delivered, in milliseconds. */
	thawSlackMs: number;
};

/** Chooses the duration of holds by whether the store confirms leadership in time. */
export class HoldPolicy {
	constructor(private readonly limits: HoldLimits) {}

	/** Hold of a grant that is sent now. Long holds keep keys in service during a store outage. */
	holdDurationMs(confirmationAgeMs: number): number {
		return this.isStoreOutage(confirmationAgeMs) ? this.limits.holdLimitMs : Math.min(normalHoldMs, this.limits.holdLimitMs);
	}

	isStoreOutage(confirmationAgeMs: number): boolean {
		return confirmationAgeMs > outageConfirmationAgeMs;
	}

	renewalIntervalMs(holdDurationMs: number): number {
		return Math.min(holdDurationMs, normalHoldMs) / renewalsPerHold;
	}

	/** Latest arrival of a grant that got no answer. One that failed early is treated like one that timed out. */
	latestArrival(sentAt: number, failedAt: number): number {
		return Math.max(sentAt + grantTimeoutMs, failedAt) + Math.max(lateArrivalMs, this.limits.thawSlackMs);
	}

	/** Latest expiry of a hold whose grant cannot arrive after `arrivesBy`. */
	latestExpiry(arrivesBy: number, holdDurationMs: number): number {
		return arrivesBy + (holdDurationMs * clockDriftFactor) + expiryMarginMs;
	}

	/** Latest expiry of a hold at a target that answers other calls, and will probably answer a release before. */
	latestLateExpiry(sentAt: number, holdDurationMs: number): number {
		return this.latestExpiry(sentAt + lateOrderLimitMs, holdDurationMs);
	}

	/** Latest arrival and expiry of any grant of earlier leaders, for a leader that takes over at `takeoverAt`. */
	inheritedHold(takeoverAt: number): {arrivesBy: number; expiresBy: number; lateExpiresBy: number} {
		const arrivesBy = this.latestArrival(takeoverAt, takeoverAt);
		const {holdLimitMs} = this.limits;
		return {
			arrivesBy, expiresBy: this.latestExpiry(arrivesBy, holdLimitMs), lateExpiresBy: this.latestLateExpiry(takeoverAt, holdLimitMs),
		};
	}
}
