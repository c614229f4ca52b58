/**
 * A target that names a limit, and the judgement of what it got, on the clock of the test.
 */
import {AttemptEnd, type Attempt, type AttemptResult} from '../src/model/forwarding.js';
import type {TargetStatement} from '../src/model/target-statement.js';
import {success} from './relayed-fleet.js';

/** A statement that says nothing. */
export const silentStatement: TargetStatement = {
	limitPerS: undefined, unreadableLimit: undefined, isLeaving: false, pauseMs: undefined, hasRun: true,
};

/** Time from the first naming of a limit until it binds, in milliseconds. */
const stableWindowMs = 3000;

/** Time after a daemon was told from which its requests count, in milliseconds. */
const toldDelayMs = 500;

/** Window in which requests are counted, in milliseconds. */
const windowMs = 4000;

/** Requests in a window beyond one and a half times the limit. */
const allowedExcess = 5;

const secondMs = 1000;

type Arrival = {
	at: number;
	/** True if the daemon had been told of the limit half a second before or earlier. */
	isCounted: boolean;
	daemon: string;
};

export class LimitedTarget {
	readonly arrivals: Arrival[] = [];
	isLeaving = false;
	/** If set, the target refuses requests and wants none from their daemons for so long. */
	pauseMs: number | undefined;
	private readonly toldAt = new Map<string, number>();
	private namedAt: number | undefined;

	/** @param workMs time that a request takes */
	constructor(private readonly workMs: number, public limitPerS?: number) {}

	/** Answers like a target; the limit is read when the answer is written. */
	async answer(daemon: string, attempt: Attempt): Promise<AttemptResult> {
		const now = performance.now();
		this.arrivals.push({at: now, daemon, isCounted: now - (this.toldAt.get(daemon) ?? Infinity) >= toldDelayMs});
		await new Promise(resolve => {
			setTimeout(resolve, this.workMs);
		});
		attempt.onStatement({
			...silentStatement, limitPerS: this.limitPerS, isLeaving: this.isLeaving, pauseMs: this.pauseMs, hasRun: this.pauseMs === undefined,
		});
		if (this.limitPerS !== undefined && !this.toldAt.has(daemon)) {
			this.toldAt.set(daemon, performance.now());
			this.namedAt ??= performance.now();
		}

		return this.pauseMs === undefined ? success : {end: AttemptEnd.Refused, answer: {status: 503, headers: {}}};
	}

	/** Forgets whom it told, as the end of the limit or a restart of the daemon does. */
	forget(daemon?: string): void {
		if (daemon === undefined) {
			this.toldAt.clear();
		} else {
			this.toldAt.delete(daemon);
		}
	}

	/** Most requests from daemons that were told, in any window that ends after the limit binds. */
	highestCount(): number {
		const counted = this.arrivals.filter(({isCounted}) => isCounted).map(({at}) => at);
		let highest = 0;
		let first = 0;
		for (const [index, at] of counted.entries()) {
			while ((counted[first] ?? at) <= at - windowMs) {
				first += 1;
			}

			if (at >= (this.namedAt ?? Infinity) + stableWindowMs) {
				highest = Math.max(highest, index - first + 1);
			}
		}

		return highest;
	}

	countBetween(from: number, until: number): number {
		return this.arrivals.filter(({at}) => at >= from && at < until).length;
	}
}

/** Most requests that a target with a limit may get in four seconds. */
export function allowedCount(limitPerS: number): number {
	return (1.5 * limitPerS * windowMs / secondMs) + allowedExcess;
}
