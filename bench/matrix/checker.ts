/**
 * Checks of the users' promises against the recorded history, not against the product's own state.
 */
import {groupBy} from 'es-toolkit';
import type {Execution} from '../../standins/target-model.js';
import {OutcomeKind} from '../../src/decisions/outcome.js';
import type {CallRecord, History} from './history.js';

/** Promises that are checked. */
export enum Promised {
	SingleOwner = 'single owner',
	AssignmentKept = 'assignment kept',
	AtMostOnce = 'at most once',
	NotRun = 'not run means not run',
	VersionsRise = 'versions rise',
	LeavingRespected = 'leaving respected',
	EveryAnswer = 'every answer',
	ServedAgain = 'served again within 1 s',
	InForce = 'in force within 4 s',
}

/** A broken promise. */
export type Violation = {
	promise: Promised;
	detail: string;
};

/** Bound on the time a key is not served after a loss, in milliseconds. */
const servedAgainMs = 1000;

/** Bound on the time until a confirmed configuration is in force, in milliseconds. */
const inForceMs = 4000;

/** Bound on new work for a leaving server, in milliseconds. */
const leavingMs = 3000;

/** Time after its deadline in which a request must have an answer, in milliseconds. */
const answerGraceMs = 500;

/** What the checks need beside the history. */
export type CheckContext = {
	executions: Execution[];
	endedAt: number;
	deadlineMs: number;
	/** Configuration version in the store at the end. */
	storedVersion: number;
	/** Daemons that were running and connected throughout. */
	soundDaemons: string[];
	/** False where a bound on unavailability is not promised. */
	expectsService: boolean;
};

/** Returns every violation. */
export function checkHistory(history: History, context: CheckContext): Violation[] {
	return [
		...checkSingleOwner(history, context.executions),
		...checkExecutions(history, context.executions),
		...checkVersions(history),
		...checkLeaving(history, context.executions),
		...checkAnswers(history, context),
		...checkService(history, context),
		...checkConfirmed(history, context),
	];
}

/** No execution starts on an old owner after one on a newer owner, and undisturbed executions do not overlap. */
function checkSingleOwner(history: History, executions: Execution[]): Violation[] {
	const violations: Violation[] = [];
	for (const [key, list] of Object.entries(groupBy(executions, execution => execution.key))) {
		const ordered = list.toSorted((a, b) => a.startedAt - b.startedAt);
		let newest = ordered[0];
		for (const execution of ordered) {
			const isOld = newest !== undefined && (execution.epoch ?? 0) < (newest.epoch ?? 0) && execution.shard === newest.shard;
			if (isOld) {
				violations.push({promise: Promised.SingleOwner, detail: `${key}: ${describe(execution)} after ${describe(newest)}`});
			}

			newest = isOld ? newest : execution;
		}

		violations.push(...overlaps(key, ordered, history.disturbedServers));
	}

	return violations;
}

function describe(execution: Execution): string {
	const {server, epoch, instructionId, startedAt} = execution;
	return `${instructionId} on ${server} (epoch ${epoch}, begun at ${Math.round(startedAt)} ms)`;
}

function overlaps(key: string, ordered: Execution[], disturbed: Set<string>): Violation[] {
	const violations: Violation[] = [];
	for (const [index, execution] of ordered.entries()) {
		const next = ordered.slice(index + 1).find(candidate => candidate.server !== execution.server);
		const isDisturbed = disturbed.has(execution.server);
		if (next && !isDisturbed && next.startedAt < (execution.endedAt ?? Infinity)) {
			violations.push({promise: Promised.SingleOwner, detail: `${key}: ${describe(next)} before the end of ${describe(execution)}`});
		}
	}

	return violations;
}

function checkExecutions(history: History, executions: Execution[]): Violation[] {
	const violations: Violation[] = [];
	const runs = groupBy(executions, execution => execution.instructionId ?? '');
	for (const [id, list] of Object.entries(runs)) {
		if (!list[0].idempotent && list.length > 1) {
			violations.push({promise: Promised.AtMostOnce, detail: `${id} ran ${list.length} times`});
		}
	}

	for (const [id, calls] of Object.entries(groupBy(history.calls, call => call.id))) {
		const isNotRun = calls.every(call => call.outcome === OutcomeKind.NotRun);
		if (isNotRun && runs[id] !== undefined) {
			violations.push({promise: Promised.NotRun, detail: `${id} was refused as not run and ran`});
		}
	}

	return violations;
}

function checkVersions(history: History): Violation[] {
	const violations: Violation[] = [];
	const highest = new Map<string, number>();
	for (const {daemon, document, version} of history.versions) {
		const name = `${daemon}/${document}`;
		const known = highest.get(name) ?? 0;
		if (version < known) {
			violations.push({promise: Promised.VersionsRise, detail: `${name} fell from ${known} to ${version}`});
		}

		highest.set(name, Math.max(known, version));
	}

	return violations;
}

function checkLeaving(history: History, executions: Execution[]): Violation[] {
	const violations: Violation[] = [];
	for (const {server, startedAt} of executions) {
		const since = history.leavingSince.get(server);
		if (since !== undefined && startedAt > since + leavingMs) {
			violations.push({promise: Promised.LeavingRespected, detail: `${server} got work ${Math.round(startedAt - since)} ms after it was to leave`});
		}
	}

	return violations;
}

function checkAnswers(history: History, {endedAt, deadlineMs}: CheckContext): Violation[] {
	const late = history.calls.filter(call => !call.isDaemonLost
		&& call.outcome === undefined
		&& call.sentAt + deadlineMs + answerGraceMs < endedAt);
	return late.map(call => ({promise: Promised.EveryAnswer, detail: `${call.id} through ${call.daemon} was not answered`}));
}

function checkService(history: History, {endedAt, expectsService}: CheckContext): Violation[] {
	if (!expectsService) {
		return [];
	}

	const violations: Violation[] = [];
	for (const [key, calls] of Object.entries(groupBy(history.calls, call => call.key))) {
		const gapMs = longestGap(calls, endedAt);
		if (gapMs > servedAgainMs) {
			violations.push({promise: Promised.ServedAgain, detail: `${key} was not served for ${Math.round(gapMs)} ms`});
		}
	}

	return violations;
}

/** Longest time between two answers of one key in milliseconds. */
export function longestGap(calls: CallRecord[], endedAt: number): number {
	const answered = calls.filter(call => call.outcome === OutcomeKind.Answered).map(call => call.answeredAt ?? 0).toSorted((a, b) => a - b);
	let longest = endedAt - (answered.at(-1) ?? calls[0].sentAt);
	for (const [index, at] of answered.entries()) {
		longest = Math.max(longest, at - (answered[index - 1] ?? at));
	}

	return longest;
}

function checkConfirmed(history: History, {soundDaemons, storedVersion, endedAt}: CheckContext): Violation[] {
	const violations: Violation[] = [];
	for (const {intent, at, configurationVersion} of history.confirmed) {
		if (storedVersion < configurationVersion) {
			violations.push({promise: Promised.AssignmentKept, detail: `intent ${intent} was confirmed and lost`});
		}

		for (const daemon of soundDaemons) {
			const seen = history.versions.find(sample => sample.daemon === daemon && sample.document === 'configuration' && sample.version >= configurationVersion);
			const inForceAt = seen?.at ?? endedAt;
			if (inForceAt - at > inForceMs) {
				violations.push({promise: Promised.InForce, detail: `intent ${intent} was not in force on ${daemon} within ${inForceMs} ms`});
			}
		}
	}

	return violations;
}
