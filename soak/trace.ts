/**
 * What a soak has seen: requests at callers, runs at targets, and when which part was disturbed. Times are monotonic, in milliseconds.
 */
import type {RouteName} from './traffic.js';

/** How the answer to a request ended. */
export enum AnswerEnd {
	/** The whole answer arrived. */
	Whole = 'whole',
	/** The connection was closed before the whole answer had arrived. */
	Closed = 'closed',
	/** The caller closed the connection, because its time was up. */
	GaveUp = 'gave up',
}

/** One request of a caller, with an id of its own. */
export type RequestRecord = {
	id: string;
	daemon: number;
	route: RouteName;
	budgetMs: number;
	/** True if the request was sent before the answer to another one on its connection. */
	isBehindAnother: boolean;
	sentAt: number;
	/** Time at which the last byte was handed to the kernel. */
	lastByteAt: number;
	end: AnswerEnd | undefined;
	endedAt: number;
	status: number | undefined;
	/** Undefined if the answer has no seal. */
	isSealValid: boolean | undefined;
	/** Id that the answer bears. */
	answerId: string | undefined;
};

/** How a run at a target ended. */
export enum RunEnd {
	Answered = 'answered',
	/** The connection was closed while the target was at work. */
	BrokenOff = 'broken off',
	/** The target ended, or lost its answer. */
	Failed = 'failed',
}

/** One run of a request at a target. */
export type RunRecord = {
	requestId: string;
	target: number;
	/** Life of the target; unique among all targets. */
	holder: string;
	daemon: number;
	key: number | undefined;
	startedAt: number;
	endedAt: number | undefined;
	end: RunEnd | undefined;
};

/** Part that a disturbance concerns; undefined fields stand for all. */
export enum Part {
	Daemon = 'daemon',
	Target = 'target',
	/** Link between a daemon and a target. */
	Link = 'link',
	/** The store, or the link of a daemon to it. */
	Store = 'store',
}

/** An unplanned fault. */
export type Disturbance = {
	part: Part;
	daemon: number | undefined;
	target: number | undefined;
	from: number;
	/** Undefined while it lasts. */
	to: number | undefined;
	/** True if its end lets held-up bytes through: a thaw, or the healing of a link. */
	isHealing: boolean;
	detail: string;
};

/** A planned stop of a daemon. */
export type Stop = {daemon: number; signalledAt: number; exitedAt: number | undefined};

/** A promise that was broken. */
export type Violation = {
	rule: Rule;
	at: number;
	requestId: string | undefined;
	detail: string;
};

/** Promises by the names of the users' rules. */
export enum Rule {
	Lost = 'LOST',
	Owner = 'OWNER',
	Twice = 'TWICE',
	Refused = 'REFUSED',
	Mixed = 'MIXED',
	Unasked = 'UNASKED',
	Exit = 'EXIT',
	Recover = 'RECOVER',
}

/** Collects what is seen. */
export class Trace {
	readonly requests = new Map<string, RequestRecord>();
	readonly runsByRequest = new Map<string, RunRecord[]>();
	readonly disturbances: Disturbance[] = [];
	readonly stops: Stop[] = [];

	addRun(run: RunRecord): void {
		const runs = this.runsByRequest.get(run.requestId) ?? [];
		runs.push(run);
		this.runsByRequest.set(run.requestId, runs);
	}

	/** Records the begin of a fault; call the result at its end. */
	disturb(part: Part, {daemon, target, isHealing = false, detail}: {daemon?: number; target?: number; isHealing?: boolean; detail: string}): () => void {
		const disturbance: Disturbance = {
			part, daemon, target, from: performance.now(), to: undefined, isHealing, detail,
		};
		this.disturbances.push(disturbance);
		return () => {
			disturbance.to ??= performance.now();
		};
	}

	/** True if the daemon itself was disturbed at any time of a span. */
	isDaemonDisturbed(daemon: number, from: number, to: number): boolean {
		return this.disturbances.some(item => item.part === Part.Daemon && covers(item.daemon, daemon) && lasts(item, from, to));
	}

	/** True if the link was, or one of the daemon's if no target is given. */
	isLinkDisturbed(daemon: number, target: number | undefined, from: number, to: number): boolean {
		return this.disturbances.some(item => item.part === Part.Link && covers(item.daemon, daemon) && (target === undefined || covers(item.target, target)) && lasts(item, from, to));
	}

	/** True if the link was silent, cut or reset at any time of a span. */
	isLinkHeldUp(daemon: number, target: number, from: number, to: number): boolean {
		return this.disturbances.some(item => item.part === Part.Link && item.isHealing && covers(item.daemon, daemon) && covers(item.target, target) && lasts(item, from, to));
	}

	isTargetDisturbed(target: number, from: number, to: number): boolean {
		return this.disturbances.some(item => item.part === Part.Target && covers(item.target, target) && lasts(item, from, to));
	}

	isStoreDisturbed(daemon: number, from: number, to: number): boolean {
		return this.disturbances.some(item => item.part === Part.Store && covers(item.daemon, daemon) && lasts(item, from, to));
	}

	/** True if the daemon was thawed, or its link to the target healed, in a span. */
	hasHealed(daemon: number, target: number, from: number, to: number): boolean {
		return this.disturbances.some(item => item.isHealing && item.to !== undefined && item.to >= from && item.to <= to
			&& covers(item.daemon, daemon) && (item.part === Part.Daemon || (item.part === Part.Link && covers(item.target, target))));
	}
}

function covers(subject: number | undefined, index: number): boolean {
	return subject === undefined || subject === index;
}

function lasts(disturbance: Disturbance, from: number, to: number): boolean {
	return disturbance.from <= to && (disturbance.to ?? Infinity) >= from;
}
