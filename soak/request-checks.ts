/**
 * Checks of the promises about requests, each by the users' rule of its name. An excuse stands only where RULES.md has a line for it.
 */
import {
	AnswerEnd, Rule, RunEnd, type RequestRecord, type RunRecord, type Stop, type Trace, type Violation,
} from './trace.js';
import {trafficRoutes} from './traffic.js';

/** Time before a request in which a disturbance excuses its loss, in milliseconds; LOST: "no unplanned disruption from `stableWindowMs` before the request". */
const stableWindowMs = 3000;

/** Time after a request's last byte within which a close may cross it, in milliseconds; LOST: "later than `lossSlackMs` after its last byte". */
const lossSlackMs = 200;

/** Time after SIGTERM in which requests count as sent early, in milliseconds; LOST: "sent no later than 3 s after the SIGTERM". */
const earlyRequestMs = 3000;

/** Time after the grace period in which losses still belong to a stop, in milliseconds; LOST: "until 1 s after `graceS`". */
const stopSlackMs = 1000;

/** Resolution of the timers of two processes, in milliseconds; no excuse of a rule. */
const timerSlackMs = 2;

/** Statuses that promise that the request has not run and never will. */
const promisingStatuses = new Set([408, 421, 429, 503]);

/** Statuses with which a daemon replaces an answer that it broke off. */
const replacingStatuses = new Set([500, 502, 503, 504]);

/** Numbers of requests by what could be checked. */
export type CheckCounts = {
	requests: number;
	served: number;
	/** Requests that ran and whose connection could be checked for LOST, without an excuse. */
	undisturbed: number;
	/** As `undisturbed`, at a daemon that was stopping. */
	aroundStops: number;
	excusedLosses: number;
};

/** Checks each request once. */
export class RequestChecks {
	readonly counts: CheckCounts = {
		requests: 0, served: 0, undisturbed: 0, aroundStops: 0, excusedLosses: 0,
	};

	/** Excused losses by their excuse. */
	readonly excuses = new Map<string, number>();

	constructor(private readonly trace: Trace, private readonly graceMs: number) {}

	/** Checks an ended request; call it after a time in which it could still have run. */
	check(request: RequestRecord): Violation[] {
		const runs = this.trace.runsByRequest.get(request.id) ?? [];
		this.count(request, runs);
		return [this.checkLost(request, runs), checkTwice(request, runs), checkRefused(request, runs), checkMixed(request)].filter(violation => violation !== undefined);
	}

	/** Reports runs that no caller asked for. */
	checkUnasked(): Violation[] {
		return [...this.trace.runsByRequest].filter(([id]) => !this.trace.requests.has(id)).map(([id, [run]]) => ({
			rule: Rule.Unasked, at: run?.startedAt ?? 0, requestId: id, detail: 'ran without a caller',
		}));
	}

	private count(request: RequestRecord, runs: RunRecord[]): void {
		this.counts.requests += 1;
		this.counts.served += isServed(request) ? 1 : 0;
		if (runs.length > 0 && this.excuseOf(request, runs) === undefined) {
			this.counts.undisturbed += 1;
			this.counts.aroundStops += this.stopAround(request) ? 1 : 0;
		}
	}

	private checkLost(request: RequestRecord, runs: RunRecord[]): Violation | undefined {
		const loss = this.lossOf(request, runs);
		if (loss === undefined) {
			return undefined;
		}

		const excuse = this.excuseOf(request, runs);
		if (excuse !== undefined) {
			this.counts.excusedLosses += 1;
			this.excuses.set(excuse, (this.excuses.get(excuse) ?? 0) + 1);
			return undefined;
		}

		const detail = [loss, describeRequest(request), describeRuns(runs, request), this.describeStop(request)].join('; ');
		return {
			rule: Rule.Lost, at: request.endedAt, requestId: request.id, detail,
		};
	}

	private lossOf(request: RequestRecord, runs: RunRecord[]): string | undefined {
		if (request.end === AnswerEnd.Closed) {
			if (runs.length > 0) {
				return 'passed on, closed without a whole answer';
			}

			// LOST: "a request that was sent behind another on its connection and wasn't passed on", and one that crossed the close.
			return !request.isBehindAnother && request.endedAt - request.lastByteAt > lossSlackMs ? 'closed without an answer' : undefined;
		}

		// LOST: "After a SIGTERM it is the same if you break off a request at which its server is at work and give an answer of your own".
		const isReplaced = request.end === AnswerEnd.Whole && request.isSealValid === undefined && replacingStatuses.has(request.status ?? 0);
		const isBrokenOff = isReplaced && this.stopAround(request) !== undefined
			&& runs.some(({end, endedAt}) => end === RunEnd.BrokenOff && endedAt !== undefined && endedAt <= request.endedAt + lossSlackMs);
		return isBrokenOff ? `broken off at its target, answered ${request.status ?? 0}` : undefined;
	}

	/** Why a loss does not count; undefined if it does. */
	private excuseOf(request: RequestRecord, runs: RunRecord[]): string | undefined {
		const {daemon, route, sentAt, endedAt, budgetMs} = request;
		const from = sentAt - stableWindowMs;
		const {isKeyed, timeoutMs} = trafficRoutes[route];
		// LOST: "the deadline or the route's timeout was reached".
		if (endedAt - sentAt >= Math.min(budgetMs, timeoutMs) - timerSlackMs) {
			return 'deadline';
		}

		// LOST: "with no unplanned disruption from `stableWindowMs` before the request to its end"; of the daemon, its links and its targets only.
		if (this.trace.isDaemonDisturbed(daemon, from, endedAt)) {
			return 'daemon disturbed';
		}

		const targets = runs.length > 0 ? runs.map(({target}) => target) : [undefined];
		if (targets.some(target => this.trace.isLinkDisturbed(daemon, target, from, endedAt))) {
			return 'link disturbed';
		}

		// LOST: "the server broke off", or it was disturbed as above.
		if (runs.some(({target, end, endedAt: runEndedAt}) => end === RunEnd.Failed || this.trace.isTargetDisturbed(target, from, runEndedAt ?? endedAt))) {
			return 'target disturbed';
		}

		// LOST: "Disruption of the store alone excuses nothing for safe and unsafe requests without a key".
		if (isKeyed && this.trace.isStoreDisturbed(daemon, from, endedAt)) {
			return 'store disturbed';
		}

		return this.isLateInGrace(request, runs) ? 'target at work late in the grace period' : undefined;
	}

	/** LOST: "still at work in the last sixth of `graceS` on a request that was sent no later than 3 s after the SIGTERM". */
	private isLateInGrace(request: RequestRecord, runs: RunRecord[]): boolean {
		const stop = this.stopAround(request);
		if (!stop || request.sentAt > stop.signalledAt + earlyRequestMs) {
			return false;
		}

		const lastSixthAt = stop.signalledAt + (this.graceMs * 5 / 6);
		return runs.some(({endedAt}) => (endedAt ?? Infinity) >= lastSixthAt);
	}

	private stopAround({daemon, sentAt, endedAt}: RequestRecord): Stop | undefined {
		return this.trace.stops.find(stop => stop.daemon === daemon && endedAt >= stop.signalledAt
			&& sentAt <= (stop.exitedAt ?? Infinity) && endedAt <= stop.signalledAt + this.graceMs + stopSlackMs);
	}

	private describeStop(request: RequestRecord): string {
		const stop = this.stopAround(request);
		return stop ? `SIGTERM ${Math.round(request.endedAt - stop.signalledAt)} ms before, exit ${Math.round((stop.exitedAt ?? Infinity) - stop.signalledAt)} ms after it` : 'no stop';
	}
}

function checkTwice({id, route, sentAt}: RequestRecord, runs: RunRecord[]): Violation | undefined {
	if (trafficRoutes[route].isSafe || runs.length < 2) {
		return undefined;
	}

	return {
		rule: Rule.Twice, at: sentAt, requestId: id, detail: `ran ${runs.length} times, at ${runs.map(({holder}) => holder).join(', ')}`,
	};
}

function checkRefused(request: RequestRecord, runs: RunRecord[]): Violation | undefined {
	if (trafficRoutes[request.route].isSafe || runs.length === 0 || request.end !== AnswerEnd.Whole || !promisingStatuses.has(request.status ?? 0)) {
		return undefined;
	}

	return {
		rule: Rule.Refused, at: request.endedAt, requestId: request.id, detail: `refused, but ran; ${describeRequest(request)}; ${describeRuns(runs, request)}`,
	};
}

function checkMixed(request: RequestRecord): Violation | undefined {
	const {id, end, status = 0, isSealValid, answerId, endedAt} = request;
	if (end !== AnswerEnd.Whole) {
		return undefined;
	}

	const isSuccess = status >= 200 && status < 300;
	if (isSealValid === false || (isSuccess && (!isSealValid || answerId !== id))) {
		const seal = isSealValid === undefined ? 'no seal' : `${isSealValid ? 'valid' : 'invalid'} seal`;
		return {
			rule: Rule.Mixed, at: endedAt, requestId: id, detail: `status ${status}, ${seal}, answer to ${answerId ?? 'no id'}`,
		};
	}

	return undefined;
}

function isServed({end, status, isSealValid}: RequestRecord): boolean {
	return end === AnswerEnd.Whole && status === 200 && isSealValid === true;
}

function describeRequest({daemon, route, sentAt, lastByteAt, endedAt, status, budgetMs}: RequestRecord): string {
	const sent = Number.isFinite(lastByteAt) ? `sent ${Math.round(endedAt - lastByteAt)} ms` : `begun ${Math.round(endedAt - sentAt)} ms`;
	return `${route} at daemon ${daemon}, ${sent} before, budget ${budgetMs} ms, status ${status ?? 'none'}`;
}

function describeRuns(runs: RunRecord[], {endedAt}: RequestRecord): string {
	if (runs.length === 0) {
		return 'not passed on';
	}

	return runs.map(({holder, startedAt, endedAt: runEndedAt, end}) => (
		`at ${holder} from ${Math.round(startedAt - endedAt)} to ${Math.round((runEndedAt ?? Infinity) - endedAt)} ms (${end ?? 'running'})`
	)).join(', ');
}
