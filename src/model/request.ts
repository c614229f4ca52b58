/**
 * Requests of callers to services, and attempts at servers.
 */
import type {Readable, Writable} from 'node:stream';
import type {Cancellation} from './cancellation.js';
import type {RequestClass, Server, Service} from './configuration.js';
import type {NotRunReason} from './errors.js';

/** The caller's side of a request. */
export type Responder = {
	/** Begins the answer; called at most once. */
	start(status: number, headers: Record<string, string | string[]>): Writable;
	/** Closes the caller's connection, so that an incomplete answer never looks complete. */
	abort(): void;
};

/** A request matched to a service and class. */
export type RoutedRequest = {
	service: Service;
	requestClass: RequestClass;
	/** Key of the request, for a service divided by key. */
	key: string | undefined;
	/** Idempotency key of the request, for a non-idempotent instruction. */
	instructionId: string | undefined;
	method: string;
	path: string;
	/** Alternating names and values. */
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
	/** Cancelled when the caller disconnects. */
	cancellation: Cancellation;
};

/** One attempt to have a server run a request. */
export type Attempt = {
	server: Pick<Server, 'id' | 'address'>;
	/** Alternating names and values, added to the request's headers. */
	headers: string[];
	shard: number | undefined;
	epoch: number | undefined;
	/** Unix time in milliseconds after which the server must not start the request. */
	startByMs: number;
	/** Largest number of connections that this daemon may open to the server. */
	connectionLimit: number;
	/** Milliseconds in which the server must have answered. */
	timeoutMs: number;
	/** Called immediately before the first byte is written; a returned reason prevents the write. */
	guard: () => NotRunReason | undefined;
	/** Cancels the attempt at the server. */
	cancellation: Cancellation;
};

/** How an attempt ended. */
export enum AttemptEnd {
	/** The whole answer was passed to the caller. */
	Completed = 'completed',
	/** The server certainly did not run the request. */
	NotRun = 'not_run',
	/** The request may have run, and nothing was passed to the caller. */
	Ambiguous = 'ambiguous',
	/** Only a part of the answer was passed to the caller, whose connection was closed to show that it is incomplete. */
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

/** Sends requests to servers and passes the answers to their callers. */
export type RequestTransport = {
	send(request: RoutedRequest, attempt: Attempt): Promise<AttemptResult>;
};
