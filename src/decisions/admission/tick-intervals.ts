/**
 * Detects that this process did not run for a while, so that its own stalls are not taken for the silence of others.
 */

/** Longest usual time between ticks, in milliseconds; they are 20 ms apart, and a busy event loop delays them by some more. */
const longestUsualMs = 60;

export class TickIntervals {
	private tickedAt: number | undefined;

	/** Time for which the process has stalled before this tick, in milliseconds; 0 at usual intervals. */
	stallMs(now: number): number {
		const passedMs = now - (this.tickedAt ?? now);
		this.tickedAt = now;
		return passedMs > longestUsualMs ? passedMs : 0;
	}
}
