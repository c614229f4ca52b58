/**
 * Context of a request while it is forwarded.
 */
import {Readable} from 'node:stream';
import type {Cancellation} from '../../model/cancellation.js';
import type {LogFields} from '../../model/events.js';
import {isRefusalStatus, type AttemptResult, type CallerRequest} from '../../model/forwarding.js';
import type {Route, ServiceRule} from '../../model/route-configuration.js';
import type {SlotGrant} from '../admission/slot-requests.js';
import type {LoadEstimate} from './target-loads.js';

/** Ways of a request. */
export enum RequestWay {
	/** To a target. */
	Direct = 'direct',
	/** To a target on a connection that is open. */
	OpenConnection = 'open_connection',
	/** To a peer. */
	Peer = 'peer',
	/** Back to the peer that relayed it, which may try another one. */
	Refusal = 'refusal',
}

export type ForwardingContext = {
	request: CallerRequest;
	route: Route;
	service: ServiceRule;
	/** True if attempts ask a coordinator for a slot; decided once, so that all attempts of the request follow the same rules. */
	isCoordinated: boolean;
	/** Cancelled at the end of a stop. */
	ending: Cancellation;
	/** True while an attempt is under way; its result tells whether it may have run. */
	isAttempting: boolean;
	/** Monotonic time at which the time budget of the caller or the timeout of the route ends, in milliseconds. */
	deadlineAt: number;
	triedTargets: Set<string>;
	/** Targets whose limit left no turn for this request, with the delay until a retry in milliseconds. */
	deniedTargets: Map<string, number>;
	/** Revision of the assignment that named the last owner of the key. */
	ownersRevision: number | undefined;
	/** Number of attempts that reached a target. */
	deliveredAttempts: number;
	unsentAttempts: number;
	misdirectedAttempts: number;
	/** Way of the current attempt. */
	way: RequestWay;
	/** The slot that the current attempt holds. */
	grant: SlotGrant | undefined;
	/** The slot of the next attempt, for which a silent one is given up. */
	nextGrant: SlotGrant | undefined;
	/** The peer that the request was last relayed to. */
	relay: string | undefined;
	/** Peers that could not forward the request. */
	triedPeers: Set<string>;
	/** True once an attempt may have been executed. */
	mayHaveRun: boolean;
	lastDetail: string;
	/** Last answer in which a target reported a failure. */
	lastFailure: AttemptResult | undefined;
};

/** True if the target would refuse the request or answer it too late. */
export function cannotServe({isFull, responseMs}: LoadEstimate, context: ForwardingContext): boolean {
	return isFull || responseMs > remainingMs(context);
}

/** Time left until the deadline, in milliseconds; negative after it. */
export function remainingMs({deadlineAt}: ForwardingContext): number {
	return deadlineAt - performance.now();
}

/** True if the target answered with a server error, or with a refusal status without the statement that the request did not run. */
export function isServerFailure({answer}: AttemptResult): boolean {
	return answer !== undefined && (answer.status >= 500 || isRefusalStatus(answer.status));
}

/** True if part of a streamed body has been read, so that another target could not receive the whole request. */
export function isBodyConsumed({request}: ForwardingContext): boolean {
	return request.body instanceof Readable && request.body.readableDidRead;
}

/** Fields of log lines about a request. */
export function requestLogFields(context: ForwardingContext): LogFields {
	return {
		request: context.request.requestId,
		route: context.route.name,
		service: context.service.name,
		key: context.request.key,
		owners: context.ownersRevision,
		arrivals: context.deliveredAttempts,
		leftMs: Math.round(remainingMs(context)),
		relay: context.relay,
		relayedFrom: context.request.relay?.daemon,
	};
}
