/**
 * Slots of targets that a coordinator grants to the daemons.
 */

/** What a target reported about its load in one answer. */
export type TargetLoadReport = {
	running: number;
	waiting: number;
	slots: number;
	/** Duration of work on the target's machine at present, in percent of the usual one; undefined if it does not report it. */
	slowness: number | undefined;
};

/** A request for a slot. */
export type SlotRequest = {
	/** Unique among the requests of the asking daemon. */
	number: number;
	service: string;
	/** The only target that may run the request, for keyed services. */
	target?: string | undefined;
	/** Number of the group that was chosen, for other services; a daemon may coordinate several groups of a service. */
	group?: number | undefined;
	/** Targets that earlier attempts of the request used. */
	excluded: string[];
	/** Availability zone of the asking daemon. */
	availabilityZone: string;
	/** Priority of the route, 0 is the highest. */
	priority: number;
	/** Target latency of the route in milliseconds. */
	targetLatencyMs: number;
	/** Time until the target latency has passed, in milliseconds; negative afterwards. */
	dueMs: number;
	/** Time until the deadline, in milliseconds. */
	leftMs: number;
};

export enum SlotDecision {
	Granted = 'granted',
	/** The request waits; another answer follows. */
	Queued = 'queued',
	Denied = 'denied',
}

/** Answer of a coordinator. */
export type SlotAnswer = {
	/** The daemon that asked. */
	daemon: string;
	number: number;
	decision: SlotDecision;
	/** The target whose slot is granted. */
	target?: string | undefined;
	/** Estimated time from now until the answer of the target, in milliseconds; without meaning if denied. */
	responseMs: number;
	/** Delay after which a denied request is likely to be granted, in milliseconds; 0 otherwise. */
	retryAfterMs: number;
	/** True if a request was denied because its only target is not ready as far as the coordinator knows. */
	isUnknownTarget?: boolean | undefined;
	/** Requests in flight on average over about two seconds, and waiting at present, for each slot of the group. */
	load: number;
};

/** How the use of a slot ended. */
export enum SlotEnd {
	/** The target answered. */
	Answered = 'answered',
	/** The target answered with a server error. */
	Failed = 'failed',
	/** The target answered that it did not run the request. */
	Refused = 'refused',
	/** The target gave no answer in time, or its connection failed. */
	Silent = 'silent',
	/** Nothing is known about the target: the request was not sent, or its caller left. */
	Unused = 'unused',
}

/** The end of a grant, or of a request that still waits. */
export type SlotRelease = {
	number: number;
	service: string;
	target?: string | undefined;
	end: SlotEnd;
	/** Time between sending and the answer, in milliseconds. */
	durationMs?: number | undefined;
	load?: TargetLoadReport | undefined;
	/** Time until the target has warmed up as it reported, in milliseconds. */
	warmUpLeftMs?: number | undefined;
};
