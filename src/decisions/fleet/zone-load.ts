/**
 * Load of targets by the requests of all daemons of one availability zone.
 */
import type {LoadReport} from '../forwarding/target-loads.js';

/** Time after which a daemon's report no longer counts, in milliseconds. */
const reportLifetimeMs = 1500;

type ReportedLoad = {
	receivedAt: number;
	inFlight: Record<string, number>;
};

/** Sums the reports of daemons. */
export class ZoneLoad {
	private readonly reports = new Map<string, ReportedLoad>();
	private readonly samples = new Map<string, [number, number]>();

	/** Replaces the requests in flight of a daemon by those in its new report, and adds the answers in it to the earlier ones. */
	add(daemon: string, {inFlight, samples}: LoadReport, now: number): void {
		this.reports.set(daemon, {receivedAt: now, inFlight});
		for (const [target, [count, sumMs]] of Object.entries(samples)) {
			const [knownCount, knownSumMs] = this.samples.get(target) ?? [0, 0];
			this.samples.set(target, [knownCount + count, knownSumMs + sumMs]);
		}
	}

	/** Returns the load of all daemons with the answers since the last call, and resets these. */
	takeReport(now: number): LoadReport {
		const samples = Object.fromEntries(this.samples);
		this.samples.clear();
		return {inFlight: this.inFlight(now), samples};
	}

	/** Requests in flight of all daemons, by target. */
	inFlight(now: number): Record<string, number> {
		const inFlight = new Map<string, number>();
		for (const [daemon, load] of this.reports) {
			if (now - load.receivedAt > reportLifetimeMs) {
				this.reports.delete(daemon);
				continue;
			}

			for (const [target, count] of Object.entries(load.inFlight)) {
				inFlight.set(target, (inFlight.get(target) ?? 0) + count);
			}
		}

		return Object.fromEntries(inFlight);
	}
}
