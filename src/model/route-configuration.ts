/**
 * Routes, services and limits for callers, as one version of the configuration defines them.
 */

/** A part of a route's traffic. */
export type ServiceShare = {
	service: string;
	weight: number;
};

/** Requests of one host and path prefix. */
export type Route = {
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	prefix: string;
	/** Empty if the part of the document that names the services cannot be read. */
	shares: ServiceShare[];
	/** True if a request may run more than once. */
	isIdempotent: boolean;
	/** Longest time that a caller waits for an answer, in milliseconds. */
	timeoutMs: number;
	/** Latency above which an answer is worth less to the caller, in milliseconds. */
	targetLatencyMs: number;
	/** Priority of the requests; 0 is the most urgent. */
	priority: number;
	/** Largest number of targets that one request may reach. */
	maxAttempts: number;
};

/** Rules for the targets of one service. */
export type ServiceRule = {
	name: string;
	healthPath: string;
	/** Largest number of connections that a target accepts from all daemons together. */
	maxConnections: number;
	/** True if each key has exactly one owner among the targets. */
	isKeyed: boolean;
	/** Time for which requests for keys are slow at a new owner without a handover, in milliseconds. */
	keyWarmUpMs: number;
	/** Requests a second that a cold target tolerates from all daemons together; missing if there is no such bound. */
	warmUpPerS?: number | undefined;
	/** Time for which a target is cold after its start, in milliseconds; missing if not stated. */
	warmUpMs?: number | undefined;
};

/** Limits on what a caller may send. */
export type CallerLimits = {
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
};

/** Largest headers that daemons read, in bytes; the configured limit applies within it. */
export const parserMaxHeaderBytes = 65_536;

/** Limits that apply before the first configuration. */
export const initialLimits: CallerLimits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** One version of the configuration. */
export type RouteConfiguration = {
	version: number;
	routes: Route[];
	services: Map<string, ServiceRule>;
	limits: CallerLimits;
	/** True if a part that could not be read may be a route for any request. */
	hasUnknownRoutes: boolean;
	/** True if the limits could not be read, so that earlier or initial limits apply. */
	hasUnknownLimits: boolean;
	/** Parts of the document that could not be read, each with its position. */
	faults: string[];
};
