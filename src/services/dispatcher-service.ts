/**
 * Service "dispatcher": matches and dispatches requests, and ticks the core periodically.
 */
import type {Context, Service, ServiceSchema} from 'moleculer';
import type {BurnRecorder} from '../decisions/burn-recorder.js';
import type {Outcome} from '../decisions/outcome.js';
import {matchRequest, type Match, type RequestHead} from '../decisions/request-matcher.js';
import {tickMs, type RouterCore} from '../decisions/router-core.js';
import type {RoutedRequest} from '../model/request.js';
import type {RequestMetrics} from './metrics-service.js';

export function createDispatcherService(core: RouterCore, burnRecorder: BurnRecorder): ServiceSchema {
	let timer: NodeJS.Timeout | undefined;
	let metrics: RequestMetrics | undefined;
	return {
		name: 'dispatcher',
		actions: {
			match(context: Context<RequestHead>): Match {
				return matchRequest(context.params, core.replica.configuration.value);
			},
			async dispatch(context: Context<RoutedRequest>): Promise<Outcome> {
				const request = context.params;
				const outcome = await core.dispatcher.dispatch(request);
				const durationMs = performance.now() - request.receivedAt;
				burnRecorder.record(request.service, request.requestClass, outcome, durationMs);
				metrics?.countRequest({
					service: request.service.name, requestClass: request.requestClass.name, outcome: outcome.kind, durationMs,
				});
				return outcome;
			},
			beginShutdown() {
				core.dispatcher.beginShutdown();
			},
			load(): number {
				return core.dispatcher.load;
			},
			isReady(): boolean {
				return core.isReady();
			},
		},
		dependencies: ['metrics'],
		async started(this: Service) {
			metrics = this.broker.getLocalService('metrics') as unknown as RequestMetrics;
			timer = setInterval(() => {
				core.tick();
			}, tickMs);
		},
		async stopped() {
			clearInterval(timer);
		},
	};
}
