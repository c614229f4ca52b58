/**
 * Pace of the releases to a target that may leave each of them unanswered.
 */

/** Interval of releases, in milliseconds, for the time within which most unanswered grants are carried out. */
const firstIntervalMs = 300;

/** Intervals of later releases by the time since the first one, in milliseconds; each opens a connection. */
const laterIntervals = [
	{sinceMs: 60_000, intervalMs: 5000},
	{sinceMs: 15_000, intervalMs: 1000},
];

/** Most releases that wait for an answer at a time; a release is answered once the requests for its keys have ended. */
const maxConcurrentReleases = 3;

/** Lets a release follow before the one before it is answered, because each of them may be lost. */
export class ReleasePacing {
	/** Time from which the next release is due. */
	nextAt = -Infinity;
	private inFlight = 0;

	constructor(readonly startedAt: number) {}

	/** Returns true if a release is due, and counts it as in flight until `end`. */
	start(now: number): boolean {
		if (this.inFlight >= maxConcurrentReleases || now < this.nextAt) {
			return false;
		}

		this.inFlight += 1;
		this.nextAt = now + (laterIntervals.find(({sinceMs}) => now - this.startedAt >= sinceMs)?.intervalMs ?? firstIntervalMs);
		return true;
	}

	end(): void {
		this.inFlight -= 1;
	}
}
