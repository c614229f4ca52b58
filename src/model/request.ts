/**
 * Requests of callers on their way to a server.
 */
import type {Readable, Writable} from 'node:stream';
import type {Cancellation} from './cancellation.js';
import type {RequestClass, Server, Service} from './configuration.js';
import type {NotRunReason} from './errors.js';

/** The caller's side of a request. */
export type Responder = {
	/** Begins the answer; called at most once. */
	start(status: number, headers: Record<string, string | string[]>): Writable;
	/** Cuts the caller's connection, so that a broken answer never looks complete. */
	abort(): void;
};

/** A request that was matched to a service and class. */
export type RoutedRequest = {
	service: Service;
	requestClass: RequestClass;
	/** Key of a service divided by key. */
	key: string | undefined;
	/** Idempotency key of a non-idempotent instruction. */
	instructionId: string | undefined;
	method: string;
	path: string;
	/** Names and values in turn. */
	headers: string[];
	/** A buffer can be sent again; a stream cannot. */
	body: Uint8Array | Readable | undefined;
	responder: Responder;
	/** True if another daemon forwarded the request to this one. */
	isForwarded: boolean;
	/** Monotonic time in milliseconds at which the request arrived. */
	receivedAt: number;
	/** Monotonic time in milliseconds at which the caller must have an answer. */
	deadlineAt: number;
	/** Cancelled when the caller goes away. */
	cancellation: Cancellation;
};

/** One attempt to have a server run a request. */
export type Attempt = {
	server: Pick<Server, 'id' | 'address'>;
	/** Names and values in turn, added to the request's headers. */
	headers: string[];
	shard: number | undefined;
	epoch: number | undefined;
	/** Unix time in milliseconds after which the server must not start the request. */
	startByMs: number;
	/** Largest number of connections that this daemon may open to the server. */
	connectionLimit: number;
	/** Milliseconds in which the server must have answered. */
	timeoutMs: number;
	/** Asked immediately before the first byte is written; a reason stops the write. */
	guard: () => NotRunReason | undefined;
	/** Cancels the attempt at the server. */
	cancellation: Cancellation;
};

/** How an attempt ended. */
export enum AttemptEnd {
	/** The whole answer reached the caller. */
	Completed = 'completed',
	/** The server certainly did not run the request. */
	NotRun = 'not_run',
	/** The request may have run, and nothing was passed to the caller. */
	Ambiguous = 'ambiguous',
	/** A part of the answer reached the caller, whose connection was cut to show it. */
	Truncated = 'truncated',
}

/** Result of an attempt. */
export type AttemptResult = {
	end: AttemptEnd;
	/** HTTP status of a completed answer. */
	status?: number;
	reason?: NotRunReason;
	retryAfterMs?: number;
	/** True if the connection was refused or reset. */
	refused?: boolean;
	detail?: string;
	/** True if bytes of the request body were read, so that it cannot be sent again. */
	bodyUsed: boolean;
};

/** Carries one request to servers and the answer to its caller. */
export type RequestTransport = {
	send(request: RoutedRequest, attempt: Attempt): Promise<AttemptResult>;
};
