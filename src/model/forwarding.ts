/**
 * A caller's request on its way to a target and back.
 */
import type {Readable, Writable} from 'node:stream';
import type {Cancellation} from './cancellation.js';
import type {Target} from './fleet.js';
import type {Route} from './route-configuration.js';

/** Headers as names and values in turn. */
export type HeaderList = string[];

/** A request as the gateway read it. */
export type CallerRequest = {
	method: string;
	path: string;
	host: string;
	/** End-to-end headers. */
	headers: HeaderList;
	/** Id of the caller's attempt, if it gave one. */
	requestId: string;
	/** Key that decides the owner, for keyed services. */
	key: number | undefined;
	/** Time that the caller is willing to wait from the arrival of the request, in milliseconds. */
	budgetMs: number | undefined;
	/** Monotonic time of the arrival in milliseconds. */
	receivedAt: number;
	body: Uint8Array | Readable | undefined;
	cancellation: Cancellation;
	/** Begins an answer that is too large to be held in memory. */
	beginStream(answer: AnswerHead): Writable;
	/** Breaks off an answer that was begun, so that it cannot look complete. */
	abortStream(): void;
};

/** Status and end-to-end headers of an answer. */
export type AnswerHead = {
	status: number;
	headers: Record<string, string | string[]>;
};

/** One try at a target. */
export type Attempt = {
	target: Target;
	/** Time that the target may spend, in milliseconds. */
	budgetMs: number;
	/** Time after which the try is given up, in milliseconds. */
	timeoutMs: number;
	/** Ends this try alone. */
	cancellation: Cancellation;
	/** Most connections that this daemon may have to the target. */
	connectionLimit: number;
};

/** How a try ended. */
export enum AttemptEnd {
	/** The target answered in full; `answer` and `body` hold it. */
	Answered = 'answered',
	/** The answer was passed to the caller as it came. */
	Streamed = 'streamed',
	/** The target said that it did not run the request. */
	Refused = 'refused',
	/** The target does not own the key, or another target has the address. */
	Misdirected = 'misdirected',
	/** No byte of the request left. */
	NotSent = 'not_sent',
	/** The request may have run. */
	Ambiguous = 'ambiguous',
}

/** Result of one try. */
export type AttemptResult = {
	end: AttemptEnd;
	answer?: AnswerHead;
	body?: Uint8Array;
	/** What happened, for the log. */
	detail?: string;
	/** True if the try ended because its time was up. */
	isTimeout?: boolean;
};

/** Sends requests to targets. */
export type RequestTransport = {
	/** Never rejects. */
	send(request: CallerRequest, attempt: Attempt): Promise<AttemptResult>;
};

/** Kinds of final answers. */
export enum OutcomeKind {
	/** The target's own answer. */
	Answered = 'answered',
	/** Already passed to the caller. */
	Streamed = 'streamed',
	/** The request did not run and never will. */
	NotRun = 'not_run',
	/** The request may have run. */
	Unknown = 'unknown',
	/** The time was up and the request may have run. */
	TimedOut = 'timed_out',
	NoRoute = 'no_route',
	/** The caller has left. */
	Abandoned = 'abandoned',
}

/** Reasons for an outcome other than an answer. */
export enum OutcomeReason {
	NoConfiguration = 'no_configuration',
	NoRoute = 'no_route',
	/** Peers have had a newer configuration for so long that this daemon may not serve by its own any more. */
	ConfigurationOutdated = 'configuration_outdated',
	/** No route takes the request, but a newer configuration may have one. */
	ConfigurationUnproven = 'configuration_unproven',
	/** The configuration does not say readably which service the route goes to. */
	RouteUnreadable = 'route_unreadable',
	NoTarget = 'no_target',
	NoOwner = 'no_owner',
	KeyMoving = 'key_moving',
	OwnerLost = 'owner_lost',
	Overloaded = 'overloaded',
	AttemptsUsed = 'attempts_used',
	RetryBudgetSpent = 'retry_budget_spent',
	AnswerLost = 'answer_lost',
	Timeout = 'timeout',
	CallerLeft = 'caller_left',
}

/** Final answer to a caller. */
export type Outcome = {
	kind: OutcomeKind;
	answer?: AnswerHead;
	body?: Uint8Array;
	reason?: OutcomeReason;
	/** Delay after which a return is likely to be served, in milliseconds. */
	retryAfterMs?: number;
	route?: Route;
};
