/**
 * Metrics over StatsD.
 */
import {StatsD} from 'hot-shots';
import type {Metrics, MetricTags} from '../model/metrics.js';

/** Interval in which metrics are sent together, in milliseconds. */
const flushMs = 1000;

/** Size of a datagram of metrics in bytes. */
const datagramBytes = 1400;

/** Sends metrics as datagrams; errors are ignored, because metrics must not disturb requests. */
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
				// Metrics are lost while their receiver is away.
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
