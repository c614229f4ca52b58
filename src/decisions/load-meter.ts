/**
 * Load that one daemon dispatches to shards and keys.
 */
import type {LoadReport} from '../model/peer.js';
import {KeySketch} from './hot-spots.js';

/** Largest number of keys in a service's hot-key sketch. */
const sketchCapacity = 512;

/** Largest number of keys in a load report. */
const reportedKeys = 16;

type ServiceLoad = {
	shards: Map<number, number>;
	sketch: KeySketch;
	reportedAt: number;
};

/**
 * Counts requests by shard, and the most frequent keys, between two reports to the leader.
 */
export class LoadMeter {
	private readonly services = new Map<string, ServiceLoad>();

	constructor(private readonly daemon: string) {}

	count(service: string, key: string, shard: number): void {
		const load = this.loadOf(service);
		load.shards.set(shard, (load.shards.get(shard) ?? 0) + 1);
		load.sketch.observe(key, shard);
	}

	/** Returns the load of a service since the last report. */
	report(service: string, now = performance.now()): LoadReport {
		const load = this.loadOf(service);
		const report: LoadReport = {
			daemon: this.daemon,
			intervalMs: now - load.reportedAt,
			shards: [...load.shards].map(([shard, requests]) => ({shard, requests})),
			keys: load.sketch.top(reportedKeys),
		};
		load.shards.clear();
		load.sketch.clear();
		load.reportedAt = now;
		return report;
	}

	private loadOf(service: string): ServiceLoad {
		let load = this.services.get(service);
		if (!load) {
			load = {shards: new Map(), sketch: new KeySketch(sketchCapacity), reportedAt: performance.now()};
			this.services.set(service, load);
		}

		return load;
	}
}
