/**
 * Tells a single unexpected failure from a daemon that fails again and again.
 */

/** Failures within the window from which a daemon is started anew; a fault that each request meets passes it at once. */
const failureLimit = 20;

/** Length of the window in milliseconds. */
const windowMs = 10_000;

/** Counts failures in a sliding window. */
export class FailureCount {
	private times: number[] = [];

	/** Notes a failure; true if there were too many lately. */
	note(now = performance.now()): boolean {
		this.times = this.times.filter(time => now - time < windowMs);
		this.times.push(now);
		return this.times.length >= failureLimit;
	}
}
