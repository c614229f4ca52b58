/**
 * Distinguishes occasional unexpected failures from a daemon that fails repeatedly.
 */

/** Failures within the window from which the daemon restarts. A fault that affects every request reaches it immediately. */
const failureLimit = 20;

/** Length of the window in milliseconds. */
const windowMs = 10_000;

/** Counts failures in a sliding window. */
export class FailureCounter {
	private times: number[] = [];

	/** Counts a failure; returns true if the limit is reached within the window. */
	record(now = performance.now()): boolean {
		this.times = this.times.filter(time => now - time < windowMs);
		this.times.push(now);
		return this.times.length >= failureLimit;
	}
}
