/**
 * Service "metrics": counts requests and sends the counts once a second.
 */
import type {ServiceSchema} from 'moleculer';
import type {Metrics} from '../model/metrics.js';

/** Measurement of a completed request. */
export type RequestSample = {
	service: string;
	requestClass: string;
	outcome: string;
	durationMs: number;
};

/** Methods that other services call directly. */
export type RequestMetrics = {
	/** Counts a request. Called directly, because an event for each request costs more than the counting. */
	countRequest(sample: RequestSample): void;
};

type Aggregate = RequestSample & {
	count: number;
	longestMs: number;
};

/** Interval between two transmissions, in milliseconds. */
const sendPeriodMs = 1000;

export function createMetricsService(metrics: Metrics): ServiceSchema {
	const aggregates = new Map<string, Aggregate>();
	let timer: NodeJS.Timeout | undefined;

	const send = () => {
		for (const {service, requestClass, outcome, count, durationMs, longestMs} of aggregates.values()) {
			const tags = {service, class: requestClass, outcome};
			metrics.increment('requests', count, tags);
			metrics.timing('request.duration.mean', durationMs / count, tags);
			metrics.timing('request.duration.longest', longestMs, tags);
		}

		aggregates.clear();
	};

	const methods: RequestMetrics = {
		countRequest(sample) {
			const key = `${sample.service}/${sample.requestClass}/${sample.outcome}`;
			const aggregate = aggregates.get(key);
			if (!aggregate) {
				aggregates.set(key, {...sample, count: 1, longestMs: sample.durationMs});
				return;
			}

			aggregate.count += 1;
			aggregate.durationMs += sample.durationMs;
			aggregate.longestMs = Math.max(aggregate.longestMs, sample.durationMs);
		},
	};

	return {
		name: 'metrics',
		methods,
		async started() {
			timer = setInterval(send, sendPeriodMs);
		},
		async stopped() {
			clearInterval(timer);
			send();
			await metrics.close();
		},
	};
}
