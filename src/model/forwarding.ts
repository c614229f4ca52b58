/**
 * Requests of callers, attempts at targets and outcomes.
 */
import type {Readable, Writable} from 'node:stream';
import type {Cancellation} from './cancellation.js';
import type {Member, Target} from './fleet.js';
import type {Route} from './route-configuration.js';
import type {TargetStatement} from './target-statement.js';

/** Headers as alternating names and values. */
export type HeaderList = string[];

/** Where a relayed request comes from. */
export type RelayOrigin = {
	/** The daemon that the caller sent the request to. */
	daemon: string;
	/** Number of its attempts that reached a target or may have reached one. */
	deliveredAttempts: number;
};

/** A request as read by the gateway. */
export type CallerRequest = {
	method: string;
	path: string;
	host: string;
	/** End-to-end headers. */
	headers: HeaderList;
	/** Id of the caller's attempt, if the request has one. */
	requestId: string;
	/** Key that determines the owner, for keyed services. */
	key: number | undefined;
	/** Longest time that the caller waits after the arrival of the request, in milliseconds. */
	budgetMs: number | undefined;
	/** Monotonic time of the arrival in milliseconds. */
	receivedAt: number;
	body: Uint8Array | Readable | undefined;
	cancellation: Cancellation;
	/** Set if a peer relayed the request, which is then not relayed again. */
	relay?: RelayOrigin | undefined;
	/** Begins an answer that is too large to be kept in memory. */
	beginStream(answer: AnswerHead): Writable;
	/** Aborts an answer that was begun, so that it cannot look complete. */
	abortStream(): void;
};

/** Status and end-to-end headers of an answer. */
export type AnswerHead = {
	status: number;
	headers: Record<string, string | string[]>;
	/** True if the answer bears the target's signature. */
	isSealed?: boolean;
};

/** Statuses by which callers are told that a request has not run and never will. */
const refusalStatuses = new Set([408, 421, 429, 503]);

/** True if the status tells callers that the request has not run and never will. */
export function isRefusalStatus(status: number): boolean {
	return refusalStatuses.has(status);
}

/** One attempt at a target. */
export type Attempt = {
	target: Pick<Target, 'id' | 'address'>;
	/** Time that the target may spend, in milliseconds. */
	budgetMs: number;
	/** Time after which the attempt is aborted, in milliseconds. */
	timeoutMs: number;
	/** Cancels this attempt only. */
	cancellation: Cancellation;
	/** Cancelled at the end of a stop: ends this attempt unless its answer is being streamed. */
	ending?: Cancellation;
	/** Largest number of connections that this daemon may have to the target. */
	connectionLimit: number;
	/** True if the request may run more than once. Otherwise its caller must not repeat it unless it has certainly not run. */
	isIdempotent?: boolean;
	/** True if the attempt is not sent unless a connection to the target is open. */
	usesOpenConnection?: boolean;
	/**
	 * Asked when the target has not begun to answer within `timeoutMs`. Unless it returns true before the answer begins, the attempt goes
	 * on until `budgetMs` is over.
	 */
	mayGiveUp?(): Promise<boolean>;
	/** Asked right before the first byte; nothing is sent unless it returns true. */
	mayBeSent?(): boolean;
	/** Called with what the target says about itself, as soon as the head of its answer is read. */
	onStatement(statement: TargetStatement): void;
};

/** How an attempt ended. */
export enum AttemptEnd {
	/** The whole answer was received; `answer` and `body` contain it. */
	Answered = 'answered',
	/** The answer was streamed to the caller. */
	Streamed = 'streamed',
	/** The target answered that it did not run the request. */
	Refused = 'refused',
	/** The target does not own the key, or another target has the address. */
	Misdirected = 'misdirected',
	/** No byte of the request was sent. */
	NotSent = 'not_sent',
	/** The target answered with a status by which callers are told that the request did not run, but did not say so. It may have run. */
	UnprovedRefusal = 'unproved_refusal',
	/** The request may have run. */
	Ambiguous = 'ambiguous',
}

/** Result of one attempt. */
export type AttemptResult = {
	end: AttemptEnd;
	answer?: AnswerHead;
	body?: Uint8Array;
	/** What happened, for the log. */
	detail?: string;
	/** True if the attempt ended because its timeout expired. */
	isTimeout?: boolean;
	/** True if a silent attempt was given up before the deadline, so that another one follows. */
	isGivenUp?: boolean;
	/** True if a connection to the target was opened for the attempt. */
	hasConnected?: boolean;
};

/** Sends requests to targets. */
export type RequestTransport = {
	/** Never rejects. */
	send(request: CallerRequest, attempt: Attempt): Promise<AttemptResult>;
};

/** Opens connections to targets only in order to learn whether they can be reached. */
export type ConnectionProbe = {
	/** Opens a connection and closes it; false if that fails or takes too long. Never rejects. */
	connects(address: string): Promise<boolean>;
};

/** One attempt to have a peer forward a request. */
export type RelayAttempt = Pick<Attempt, 'budgetMs' | 'timeoutMs' | 'cancellation' | 'ending' | 'isIdempotent'> & {
	peer: Member;
	/** Number of attempts so far that reached a target or may have reached one. */
	deliveredAttempts: number;
};

/**
 * Result of a relayed request. `Refused` means that the request did not run anywhere, `Misdirected` that it did not run because of
 * the peer's own state, so that another peer may be tried.
 */
export type RelayResult = AttemptResult & {
	/** Number of attempts that reached a target, those before the relay included. */
	deliveredAttempts: number;
	/** Delay after which a retry of a refused request is likely to be served, in milliseconds. */
	retryAfterMs?: number | undefined;
};

/** Sends requests to peers. */
export type RelayTransport = {
	/** Never rejects. */
	relay(request: CallerRequest, attempt: RelayAttempt): Promise<RelayResult>;
};

/** Kinds of final answers. */
export enum OutcomeKind {
	/** The target's own answer. */
	Answered = 'answered',
	/** The target's answer, already streamed to the caller. */
	Streamed = 'streamed',
	/** The request did not run and never will. */
	NotRun = 'not_run',
	/** The request may have run. */
	Unknown = 'unknown',
	/** The timeout expired and the request may have run. */
	TimedOut = 'timed_out',
	NoRoute = 'no_route',
	/** The caller has disconnected. */
	Abandoned = 'abandoned',
}

/** Reasons for an outcome other than an answer. */
export enum OutcomeReason {
	NoConfiguration = 'no_configuration',
	NoRoute = 'no_route',
	/** Peers have had a newer configuration for so long that this daemon may no longer serve from its own. */
	ConfigurationOutdated = 'configuration_outdated',
	/** No route matches the request, or it exceeds a limit, but a newer configuration may allow it. */
	ConfigurationUnconfirmed = 'configuration_unproven',
	/** A part of the configuration that may define the request's route or its service cannot be read. */
	RouteUnreadable = 'route_unreadable',
	NoTarget = 'no_target',
	/** All targets that could run the request are in evacuated availability zones. */
	ZoneEvacuated = 'zone_evacuated',
	NoOwner = 'no_owner',
	KeyMoving = 'key_moving',
	OwnerLost = 'owner_lost',
	/** The known owner of the key may no longer be the newest one; other daemons may know. */
	OwnersUnconfirmed = 'owners_unconfirmed',
	Overloaded = 'overloaded',
	/** The target refused a request of this daemon and wants none from it for a time. */
	TargetPaused = 'target_paused',
	/** The target names a limit that leaves no turn for the request in time. */
	TargetLimit = 'target_limit',
	/** This daemon reaches no target, and no peer can forward the request. */
	TargetsUnreachable = 'targets_unreachable',
	/** A peer that the request was relayed to refused it. */
	RelayRefused = 'relay_refused',
	/** The daemon stops before the request is expected to end. */
	DaemonStopping = 'daemon_stopping',
	/** This daemon holds too many bytes for callers that do not read. */
	MemoryFull = 'memory_full',
	AttemptsUsed = 'attempts_used',
	RetryBudgetSpent = 'retry_budget_spent',
	AnswerLost = 'answer_lost',
	/** A target refused the request without saying that it has not run it. */
	RefusalUnproved = 'refusal_unproved',
	Timeout = 'timeout',
	CallerLeft = 'caller_left',
}

/** Reasons that lie in the state of one daemon, so that another daemon may serve the request. */
const daemonSpecificReasons = new Set([
	OutcomeReason.NoConfiguration,
	OutcomeReason.NoRoute,
	OutcomeReason.ConfigurationOutdated,
	OutcomeReason.ConfigurationUnconfirmed,
	OutcomeReason.OwnersUnconfirmed,
	OutcomeReason.TargetsUnreachable,
	OutcomeReason.DaemonStopping,
	OutcomeReason.MemoryFull,
]);

/** True if the reason lies in the state of the daemon that gives it. */
export function isDaemonSpecific(reason: OutcomeReason | undefined): boolean {
	return reason !== undefined && daemonSpecificReasons.has(reason);
}

/** Final answer to a caller. */
export type Outcome = {
	kind: OutcomeKind;
	answer?: AnswerHead;
	body?: Uint8Array;
	reason?: OutcomeReason;
	/** Delay after which a retry is likely to be served, in milliseconds. */
	retryAfterMs?: number;
	route?: Route;
	/** Number of attempts that reached a target or may have reached one. */
	deliveredAttempts?: number;
	/** The peer that forwarded the request. */
	relay?: string | undefined;
};
