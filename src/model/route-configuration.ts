/**
 * The configuration in force: routes, services and limits of callers.
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
	/** Empty if the document does not say readably where the requests go. */
	shares: ServiceShare[];
	/** True if a request may run more than once. */
	isIdempotent: boolean;
	/** Longest time that a caller is kept waiting, in milliseconds. */
	timeoutMs: number;
	/** Time within which an answer has its full worth, in milliseconds. */
	targetLatencyMs: number;
	/** Rank of the requests; 0 is the most urgent. */
	priority: number;
	/** Most targets that one request may reach. */
	maxAttempts: number;
};

/** Rules for the targets of one service. */
export type ServiceRule = {
	name: string;
	healthPath: string;
	/** Connections that a target accepts from all daemons together. */
	maxConnections: number;
	/** True if each key has a single owner among the targets. */
	isKeyed: boolean;
	/** Time for which keys without a handover are slow, in milliseconds. */
	keyWarmUpMs: number;
};

/** Bounds on what a caller may send. */
export type CallerLimits = {
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
};

/** Limits before the first configuration. */
export const initialLimits: CallerLimits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** One version of the configuration. */
export type RouteConfiguration = {
	version: number;
	routes: Route[];
	services: Map<string, ServiceRule>;
	limits: CallerLimits;
	/** True if a part that could not be understood may be a route for any request. */
	hasUnknownRoutes: boolean;
	/** True if the limits could not be understood, so that others are in force. */
	hasUnknownLimits: boolean;
	/** Parts of the document that could not be understood, each with its place. */
	faults: string[];
};
