/**
 * Requests that wait for a slot, in the order of their turns.
 */
import type {SlotRequest} from '../../model/slots.js';

/** Share of the target latency by which each step of priority brings a turn forward. */
const priorityShare = 0.2;

/** Factor on the mean response time that has to be left for an answer in time; half of all work takes longer than the mean. */
const inTimeMargin = 2;

/** Largest share of the target latency that this margin takes, so that a request is not late on arrival at a slow service. */
const largestMarginShare = 0.75;

/**
 * One turn in this many goes to the request that has been overtaken longest, if one has waited for its target latency. With all turns,
 * a lasting overload would be worked off in order of arrival, and every answer would be late.
 */
const overtakenTurn = 8;

/** Requests tried for a free target before it stays free; those ahead exclude it. */
const triedRequests = 8;

/** Shortest and longest delay until a retry, in milliseconds, before it is spread. */
const minRetryMs = 100;
const maxRetryMs = 2000;

/** Smallest and additional random factor on the delay until a retry, so that denied callers do not return together. */
const minSpread = 0.75;
const spreadRange = 0.75;

/** A request that waits. */
export type WaitingRequest = {
	daemon: string;
	request: SlotRequest;
	queuedAt: number;
	/** Time at which the target latency has passed. */
	dueAt: number;
	deadlineAt: number;
	/** When the daemon last sent the request. */
	repeatedAt: number;
};

/** How fast slots become free. */
export type Pace = {
	/** Requests that the targets answer in a millisecond. */
	perMs: number;
	/** Estimated time between a grant and its answer, in milliseconds. */
	responseMs: number;
};

export class SlotQueue {
	/** Requests that may be answered within their target latency, most urgent first. */
	private inTime: WaitingRequest[] = [];
	/** Requests that will be late, by priority, then by deadline. */
	private late: WaitingRequest[] = [];
	/** Lowest priority since the queue was empty. */
	private lowestPriority = 0;
	private turnsSinceOvertaken = 0;

	get length(): number {
		return this.inTime.length + this.late.length;
	}

	add(waiting: WaitingRequest, now: number, pace: Pace): void {
		const {priority} = waiting.request;
		if (this.length === 0) {
			this.lowestPriority = priority;
		} else if (priority > this.lowestPriority) {
			this.lowestPriority = priority;
			this.inTime.sort((left, right) => this.urgency(left) - this.urgency(right));
		}

		if (isInTime(waiting, now, pace)) {
			insert(this.inTime, waiting, (left, right) => this.urgency(left) - this.urgency(right));
		} else {
			insert(this.late, waiting, compareLate);
		}
	}

	remove(waiting: WaitingRequest): void {
		for (const list of [this.inTime, this.late]) {
			const index = list.indexOf(waiting);
			if (index !== -1) {
				list.splice(index, 1);
			}
		}
	}

	/** Removes the next request that the callback accepts; it is given a few of those that are due. False if it accepts none. */
	take(now: number, pace: Pace, isAccepted: (waiting: WaitingRequest) => boolean): boolean {
		while (this.inTime.length > 0 && !isInTime(this.inTime[0], now, pace)) {
			for (const waiting of this.inTime.splice(0, 1)) {
				insert(this.late, waiting, compareLate);
			}
		}

		const overtaken = this.turnsSinceOvertaken >= overtakenTurn - 1 ? this.overtakenLongest(now) : undefined;
		let tried = 0;
		for (const waiting of this.turns(overtaken)) {
			if (isAccepted(waiting)) {
				this.turnsSinceOvertaken = waiting === overtaken ? 0 : this.turnsSinceOvertaken + 1;
				this.remove(waiting);
				return true;
			}

			tried += 1;
			if (tried === triedRequests) {
				break;
			}
		}

		return false;
	}

	/** Removes and returns the requests that cannot be answered before their deadline. */
	removeHopeless(now: number, {perMs, responseMs}: Pace): WaitingRequest[] {
		const hopeless: WaitingRequest[] = [];
		let ahead = 0;
		for (const list of [this.inTime, this.late]) {
			for (const waiting of list) {
				if (now + ((ahead + 1) / perMs) + responseMs > waiting.deadlineAt) {
					hopeless.push(waiting);
				} else {
					ahead += 1;
				}
			}
		}

		if (hopeless.length > 0) {
			const removed = new Set(hopeless);
			this.inTime = this.inTime.filter(waiting => !removed.has(waiting));
			this.late = this.late.filter(waiting => !removed.has(waiting));
		}

		return hopeless;
	}

	/**
	 * Moves requests behind the others until the rest can be in time, the lowest priority first. Otherwise all requests would be served
	 * when it is just too late for them in an overload, as usual for an order by urgency.
	 */
	advance(now: number, pace: Pace): void {
		const kept: WaitingRequest[] = [];
		const late: WaitingRequest[] = [];
		for (const waiting of this.inTime) {
			kept.push(waiting);
			if (isInTime(waiting, now + (kept.length / pace.perMs), pace)) {
				continue;
			}

			let lowest = kept.length - 1;
			for (const [index, {request: {priority}}] of kept.entries()) {
				if (priority > kept[lowest].request.priority) {
					lowest = index;
				}
			}

			late.push(...kept.splice(lowest, 1));
		}

		if (late.length > 0) {
			this.inTime = kept;
			this.late = [...this.late, ...late].toSorted(compareLate);
		}
	}

	/** Removes and returns all requests. */
	clear(): WaitingRequest[] {
		return [...this.inTime.splice(0), ...this.late.splice(0)];
	}

	/** Estimated time until the request has a slot, in milliseconds. */
	waitMs(waiting: WaitingRequest, {perMs}: Pace): number {
		const index = this.inTime.indexOf(waiting);
		const ahead = index === -1 ? this.inTime.length + Math.max(0, this.late.indexOf(waiting)) : index;
		return (ahead + 1) / perMs;
	}

	/** Time in which the backlog is worked off, spread by a random number below 1, in milliseconds. */
	retryAfterMs({perMs}: Pace, random: number): number {
		return retryDelayMs(this.length / perMs, random);
	}

	private * turns(overtaken: WaitingRequest | undefined): Iterable<WaitingRequest> {
		if (overtaken) {
			yield overtaken;
		}

		yield * this.inTime;
		yield * this.late;
	}

	private overtakenLongest(now: number): WaitingRequest | undefined {
		let longest: WaitingRequest | undefined;
		let earliest = now;
		for (const list of [this.inTime, this.late]) {
			for (const waiting of list) {
				const overtakenAt = waiting.queuedAt + waiting.request.targetLatencyMs;
				if (overtakenAt < earliest) {
					longest = waiting;
					earliest = overtakenAt;
				}
			}
		}

		return longest;
	}

	/** The estimated response time is the same for all that wait, so it does not matter for the order. */
	private urgency({dueAt, request: {targetLatencyMs, priority}}: WaitingRequest): number {
		return dueAt - (priorityShare * targetLatencyMs * (this.lowestPriority - priority));
	}
}

/** Delay until a retry after which a backlog is likely to be worked off, in milliseconds. */
export function retryDelayMs(backlogMs: number, random: number): number {
	return Math.min(maxRetryMs, Math.max(minRetryMs, backlogMs)) * (minSpread + (spreadRange * random));
}

function isInTime({dueAt, request: {targetLatencyMs}}: WaitingRequest, now: number, {responseMs}: Pace): boolean {
	return now + Math.max(responseMs, Math.min(responseMs * inTimeMargin, targetLatencyMs * largestMarginShare)) <= dueAt;
}

function compareLate(left: WaitingRequest, right: WaitingRequest): number {
	return left.request.priority - right.request.priority || left.deadlineAt - right.deadlineAt;
}

/** Inserts behind equal ones. */
function insert(list: WaitingRequest[], waiting: WaitingRequest, compare: (left: WaitingRequest, right: WaitingRequest) => number): void {
	let low = 0;
	let high = list.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (compare(list[middle], waiting) <= 0) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	list.splice(low, 0, waiting);
}
