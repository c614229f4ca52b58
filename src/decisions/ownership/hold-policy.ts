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

/** Factor by which the clocks of targets may run slow. */
const clockDriftFactor = 1.02;

/** Allowance for timers that fire late and bytes in transit, in milliseconds. */
const expiryMarginMs = 60;

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

	/** Latest expiry of a hold whose grant cannot be delivered after `deliveredBy`. */
	latestExpiry(deliveredBy: number, holdDurationMs: number): number {
		return deliveredBy + (holdDurationMs * clockDriftFactor) + expiryMarginMs;
	}

	/** Latest expiry of any hold that earlier leaders granted, for a leader that takes over at `takeoverAt`. */
	latestInheritedExpiry(takeoverAt: number, orderTimeoutMs: number): number {
		return this.latestExpiry(takeoverAt + orderTimeoutMs + this.limits.thawSlackMs, this.limits.holdLimitMs);
	}
}
