/**
 * Durations of requests by route, from their arrival to their answer.
 */

/** Weights of one request in the average duration and in its average deviation; those of TCP's timer (RFC 6298). */
const averageWeight = 1 / 8;
const deviationWeight = 1 / 4;

/** Deviations above the average within which almost all requests end; as in TCP's timer. */
const deviationFactor = 4;

/** Estimated duration of a request. */
export type DurationEstimate = {
	averageMs: number;
	/** Exceeded by few requests. */
	cautiousMs: number;
};

type DurationRecord = {averageMs: number; deviationMs: number};

/** Learns from each request that has ended. */
export class RouteDurations {
	private readonly records = new Map<string, DurationRecord>();

	record(route: string, durationMs: number): void {
		const known = this.records.get(route);
		if (!known) {
			this.records.set(route, {averageMs: durationMs, deviationMs: durationMs / 2});
			return;
		}

		known.deviationMs += (Math.abs(durationMs - known.averageMs) - known.deviationMs) * deviationWeight;
		known.averageMs += (durationMs - known.averageMs) * averageWeight;
	}

	/** Returns undefined if no request of the route has ended. */
	estimate(route: string): DurationEstimate | undefined {
		const known = this.records.get(route);
		return known && {averageMs: known.averageMs, cautiousMs: known.averageMs + (deviationFactor * known.deviationMs)};
	}
}
