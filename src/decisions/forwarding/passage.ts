/**
 * One request on its way through the daemon.
 */
import {Readable} from 'node:stream';
import type {LogFields} from '../../model/events.js';
import type {AttemptResult, CallerRequest} from '../../model/forwarding.js';
import type {Route, ServiceRule} from '../../model/route-configuration.js';
import type {Expectation} from './target-loads.js';

/** State of one request. */
export type Passage = {
	request: CallerRequest;
	route: Route;
	service: ServiceRule;
	/** Monotonic time at which the caller or the route gives up. */
	deadlineAt: number;
	tried: Set<string>;
	/** Tries that reached a target. */
	arrivals: number;
	unsent: number;
	misdirected: number;
	/** True once a try may have run. */
	mayHaveRun: boolean;
	lastDetail: string;
	/** Last answer that the target gave although it failed. */
	failure: AttemptResult | undefined;
};

/** True if the target would refuse the request, or answer it too late. */
export function cannotServe({isFull, finishMs}: Expectation, passage: Passage): boolean {
	return isFull || finishMs > remainingMs(passage);
}

/** Time until the caller or the route gives up, in milliseconds. */
export function remainingMs({deadlineAt}: Passage): number {
	return deadlineAt - performance.now();
}

/** True if the target answered that it failed. */
export function isServerFailure({answer}: AttemptResult): boolean {
	return (answer?.status ?? 0) >= 500;
}

/** True if bytes of a streamed body are gone, so that another target could not get the whole request. */
export function isBodySpent({request}: Passage): boolean {
	return request.body instanceof Readable && request.body.readableDidRead;
}

/** Fields of log lines about a request. */
export function describe(passage: Passage): LogFields {
	return {
		request: passage.request.requestId,
		route: passage.route.name,
		service: passage.service.name,
		key: passage.request.key,
		arrivals: passage.arrivals,
		leftMs: Math.round(remainingMs(passage)),
	};
}
