/**
 * Service "metrics": turns events of the other services into metrics.
 */
import type {Context, ServiceSchema} from 'moleculer';
import type {Metrics} from '../model/metrics.js';

/** Event after each request. */
export const requestFinished = 'request.finished';

/** Payload of `requestFinished`. */
export type RequestFinished = {
	service: string;
	requestClass: string;
	outcome: string;
	durationMs: number;
};

/** Creates the service. */
export function createMetricsService(metrics: Metrics): ServiceSchema {
	return {
		name: 'metrics',
		events: {
			[requestFinished](context: Context<RequestFinished>) {
				const {service, requestClass, outcome, durationMs} = context.params;
				const tags = {service, class: requestClass, outcome};
				metrics.increment('request', tags);
				metrics.timing('request.duration', durationMs, tags);
			},
		},
		async stopped() {
			await metrics.close();
		},
	};
}
