/**
 * How long targets hold keys, and when a hold has certainly run out.
 */

/** Hold in the calm, in milliseconds; a lost target's keys are free after it, and a lost leader is followed within two thirds of it. */
const shortHoldMs = 2100;

/** Grants are renewed this many times within a hold. */
const renewalsPerHold = 3;

/** Age of the leader's proof from which the store is taken to be in trouble, in milliseconds; renewals come every 300 ms and take up to 400 ms. */
const troubleProofAgeMs = 700;

/** Targets' clocks may run this much slow. */
const clockFactor = 1.02;

/** Covers timers that fire late and bytes under way, in milliseconds. */
const marginMs = 60;

/** Bounds of the deployment. */
export type HoldLimits = {
	/** Longest hold of keys in milliseconds. */
	holdLimitMs: number;
	/** Time after the thaw of a daemon in which its orders may arrive, in milliseconds. */
	thawSlackMs: number;
};

/** Chooses holds by the state of the store. */
export class HoldPolicy {
	constructor(private readonly limits: HoldLimits) {}

	/** Hold of a grant that is sent now. Long holds keep keys in service while the store is away. */
	holdDurationMs(proofAgeMs: number): number {
		return this.isTrouble(proofAgeMs) ? this.limits.holdLimitMs : Math.min(shortHoldMs, this.limits.holdLimitMs);
	}

	isTrouble(proofAgeMs: number): boolean {
		return proofAgeMs > troubleProofAgeMs;
	}

	renewalMs(holdDurationMs: number): number {
		return Math.min(holdDurationMs, shortHoldMs) / renewalsPerHold;
	}

	/** Latest end of a hold whose grant cannot arrive after `arrivalAt`. */
	latestEnd(arrivalAt: number, holdDurationMs: number): number {
		return arrivalAt + (holdDurationMs * clockFactor) + marginMs;
	}

	/** Latest end of any hold that earlier leaders granted, for a leader that takes over at `takenAt`. */
	latestInheritedEnd(takenAt: number, orderLimitMs: number): number {
		return this.latestEnd(takenAt + orderLimitMs + this.limits.thawSlackMs, this.limits.holdLimitMs);
	}
}
