/**
 * Checks the guarantees to users against the recorded history, independently of the router's own state.
 */
import {groupBy} from 'es-toolkit';
import type {Execution} from '../../standins/target-model.js';
import {OutcomeKind} from '../../src/decisions/outcome.js';
import type {CallRecord, History} from './history.js';

/** Guarantees that are checked. */
export enum Guarantee {
	SingleOwner = 'single owner',
	ConfirmedIntentKept = 'assignment kept',
	AtMostOnce = 'at most once',
	NotRun = 'not run means not run',
	VersionsIncrease = 'versions rise',
	LeavingRespected = 'leaving respected',
	EveryRequestAnswered = 'every answer',
	KeysServedAgain = 'served again within 1 s',
	ConfigurationActive = 'in force within 4 s',
}

/** A violated guarantee. */
export type Violation = {
	guarantee: Guarantee;
	detail: string;
};

/** Longest allowed time without an answer for a key, in milliseconds. */
const keyRecoveryLimitMs = 1000;

/** Longest allowed time until a confirmed configuration is active on every daemon, in milliseconds. */
const activationLimitMs = 4000;

/** Time after which a leaving server may start no new work, in milliseconds. */
const leavingLimitMs = 3000;

/** Time after its deadline within which a request must be answered, in milliseconds. */
const answerGraceMs = 500;

/** Input of the checks besides the history. */
export type CheckContext = {
	executions: Execution[];
	endedAt: number;
	deadlineMs: number;
	/** Configuration version in the store at the end of the scenario. */
	storedVersion: number;
	/** Daemons that were neither stopped nor shut down. */
	survivingDaemons: string[];
	/** False if the time that a key may be unavailable is not bounded. */
	boundsUnavailability: boolean;
};

/** Returns every violation. */
export function checkHistory(history: History, context: CheckContext): Violation[] {
	return [
		...checkSingleOwner(history, context.executions),
		...checkExecutions(history, context.executions),
		...checkVersions(history),
		...checkLeaving(history, context.executions),
		...checkAnswers(history, context),
		...checkAvailability(history, context),
		...checkConfirmedIntents(history, context),
	];
}

/** Reports executions on an old owner after one on a newer owner, and overlaps unless the earlier server was disrupted. */
function checkSingleOwner(history: History, executions: Execution[]): Violation[] {
	const violations: Violation[] = [];
	for (const [key, keyExecutions] of Object.entries(groupBy(executions, execution => execution.key))) {
		const ordered = keyExecutions.toSorted((a, b) => a.startedAt - b.startedAt);
		let newest = ordered[0];
		for (const execution of ordered) {
			const isStale = newest !== undefined && (execution.epoch ?? 0) < (newest.epoch ?? 0) && execution.shard === newest.shard;
			if (isStale) {
				violations.push({guarantee: Guarantee.SingleOwner, detail: `${key}: ${describe(execution)} after ${describe(newest)}`});
			}

			newest = isStale ? newest : execution;
		}

		violations.push(...findOverlaps(key, ordered, history.disruptedServers));
	}

	return violations;
}

function describe(execution: Execution): string {
	const {server, epoch, instructionId, startedAt} = execution;
	return `${instructionId} on ${server} (epoch ${epoch}, started at ${Math.round(startedAt)} ms)`;
}

function findOverlaps(key: string, ordered: Execution[], disruptedServers: Set<string>): Violation[] {
	const violations: Violation[] = [];
	for (const [index, execution] of ordered.entries()) {
		const next = ordered.slice(index + 1).find(candidate => candidate.server !== execution.server);
		const isDisrupted = disruptedServers.has(execution.server);
		if (next && !isDisrupted && next.startedAt < (execution.endedAt ?? Infinity)) {
			violations.push({guarantee: Guarantee.SingleOwner, detail: `${key}: ${describe(next)} before the end of ${describe(execution)}`});
		}
	}

	return violations;
}

function checkExecutions(history: History, executions: Execution[]): Violation[] {
	const violations: Violation[] = [];
	const runs = groupBy(executions, execution => execution.instructionId ?? '');
	for (const [id, list] of Object.entries(runs)) {
		if (!list[0].idempotent && list.length > 1) {
			violations.push({guarantee: Guarantee.AtMostOnce, detail: `${id} ran ${list.length} times`});
		}
	}

	for (const [id, calls] of Object.entries(groupBy(history.calls, call => call.id))) {
		const isNotRun = calls.every(call => call.outcome === OutcomeKind.NotRun);
		if (isNotRun && runs[id] !== undefined) {
			violations.push({guarantee: Guarantee.NotRun, detail: `${id} was refused as not run but ran`});
		}
	}

	return violations;
}

function checkVersions(history: History): Violation[] {
	const violations: Violation[] = [];
	const highest = new Map<string, number>();
	for (const {daemon, document, version} of history.versions) {
		const name = `${daemon}/${document}`;
		const highestVersion = highest.get(name) ?? 0;
		if (version < highestVersion) {
			violations.push({guarantee: Guarantee.VersionsIncrease, detail: `${name} fell from ${highestVersion} to ${version}`});
		}

		highest.set(name, Math.max(highestVersion, version));
	}

	return violations;
}

function checkLeaving(history: History, executions: Execution[]): Violation[] {
	const violations: Violation[] = [];
	for (const {server, startedAt} of executions) {
		const since = history.leavingSince.get(server);
		if (since !== undefined && startedAt > since + leavingLimitMs) {
			violations.push({guarantee: Guarantee.LeavingRespected, detail: `${server} started work ${Math.round(startedAt - since)} ms after it was declared leaving`});
		}
	}

	return violations;
}

function checkAnswers(history: History, {endedAt, deadlineMs}: CheckContext): Violation[] {
	const late = history.calls.filter(call => !call.isDaemonStopped
		&& call.outcome === undefined
		&& call.sentAt + deadlineMs + answerGraceMs < endedAt);
	return late.map(call => ({guarantee: Guarantee.EveryRequestAnswered, detail: `${call.id} through ${call.daemon} was not answered`}));
}

function checkAvailability(history: History, {endedAt, boundsUnavailability}: CheckContext): Violation[] {
	if (!boundsUnavailability) {
		return [];
	}

	const violations: Violation[] = [];
	for (const [key, calls] of Object.entries(groupBy(history.calls, call => call.key))) {
		const gapMs = longestGap(calls, endedAt);
		if (gapMs > keyRecoveryLimitMs) {
			violations.push({guarantee: Guarantee.KeysServedAgain, detail: `${key} was not served for ${Math.round(gapMs)} ms`});
		}
	}

	return violations;
}

/** Longest time without an answer between a key's first answer and the end of the scenario, in milliseconds. */
export function longestGap(calls: CallRecord[], endedAt: number): number {
	const answered = calls.filter(call => call.outcome === OutcomeKind.Answered).map(call => call.answeredAt ?? 0).toSorted((a, b) => a - b);
	let longest = endedAt - (answered.at(-1) ?? calls[0].sentAt);
	for (const [index, at] of answered.entries()) {
		longest = Math.max(longest, at - (answered[index - 1] ?? at));
	}

	return longest;
}

function checkConfirmedIntents(history: History, {survivingDaemons, storedVersion, endedAt}: CheckContext): Violation[] {
	const violations: Violation[] = [];
	for (const {intent, at, configurationVersion} of history.confirmedIntents) {
		if (storedVersion < configurationVersion) {
			violations.push({guarantee: Guarantee.ConfirmedIntentKept, detail: `intent ${intent} was confirmed but is missing from the store`});
		}

		for (const daemon of survivingDaemons) {
			const firstSample = history.versions.find(sample => sample.daemon === daemon && sample.document === 'configuration' && sample.version >= configurationVersion);
			const activeAt = firstSample?.at ?? endedAt;
			if (activeAt - at > activationLimitMs) {
				violations.push({guarantee: Guarantee.ConfigurationActive, detail: `intent ${intent} was not active on ${daemon} within ${activationLimitMs} ms`});
			}
		}
	}

	return violations;
}
