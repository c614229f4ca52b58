/**
 * Metrics over StatsD.
 */
import {StatsD} from 'hot-shots';
import type {Metrics, MetricTags} from '../model/metrics.js';

/** Interval at which buffered metrics are sent, in milliseconds. */
const flushMs = 1000;

/** Maximum size of a datagram in bytes. */
const datagramBytes = 1400;

/** Sends metrics as datagrams. Errors are ignored, so that metrics cannot affect requests. */
export class StatsdMetrics implements Metrics {
	private readonly client: StatsD;

	constructor(host: string, port: number, daemon: string) {
		this.client = new StatsD({
			host,
			port,
			prefix: 'eelgrasswheel.',
			globalTags: {daemon},
			bufferFlushInterval: flushMs,
			maxBufferSize: datagramBytes,
			cacheDns: true,
			errorHandler() {
				// Metrics are lost while the receiver is unreachable.
			},
		});
	}

	increment(name: string, count: number, tags: MetricTags): void {
		this.client.increment(name, count, tags);
	}

	timing(name: string, durationMs: number, tags: MetricTags): void {
		this.client.timing(name, durationMs, tags);
	}

	gauge(name: string, value: number, tags: MetricTags): void {
		this.client.gauge(name, value, tags);
	}

	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			this.client.close(() => {
				resolve();
			});
		});
	}
}
