/**
 * Interface of the metrics client.
 */

/** Tags of a metric. */
export type MetricTags = Record<string, string>;

/** Sends metrics; failures to send are ignored. */
export type Metrics = {
	increment(name: string, count: number, tags: MetricTags): void;
	/** @param durationMs duration in milliseconds */
	timing(name: string, durationMs: number, tags: MetricTags): void;
	gauge(name: string, value: number, tags: MetricTags): void;
	close(): Promise<void>;
};
