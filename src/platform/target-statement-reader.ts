/**
 * Reads what a target says about itself from the headers of its answer.
 */
import type {AnswerHead} from '../model/forwarding.js';
import {highestLimitPerS, type TargetStatement} from '../model/target-statement.js';
import {WireHeader} from './wire.js';

/** Seconds, or a date, until which a target wants no requests from the daemon that it refused. */
const retryAfterHeader = 'retry-after';

/** Longest number of a limit or delay that is read, in characters. */
const longestNumber = 16;

/** Longest pause that one refusal can cause, in milliseconds; a longer one is likely a mistake. */
const longestPauseMs = 120_000;

/** Characters of an unreadable limit that are logged. */
const loggedCharacters = 32;

const secondMs = 1000;

const serviceUnavailable = 503;

/** Reads the statement in an answer. Never throws, whatever the headers hold. */
export function readTargetStatement(status: number, headers: AnswerHead['headers'], hasRun: boolean): TargetStatement {
	return {
		...readLimit(headers[WireHeader.Limit]),
		isLeaving: isTrue(headers[WireHeader.Leaving]),
		pauseMs: status === serviceUnavailable ? readPauseMs(headers[retryAfterHeader]) : undefined,
		hasRun,
	};
}

/** Takes the lowest of several values, because any of them may be the one that the target enforces. */
function readLimit(value: string | string[] | undefined): Pick<TargetStatement, 'limitPerS' | 'unreadableLimit'> {
	if (value === undefined) {
		return {limitPerS: undefined, unreadableLimit: undefined};
	}

	const text = [value].flat().join(',');
	const readable = text.split(',', 4).map(part => readDecimal(part.trim())).filter(number => number !== undefined);
	if (readable.length === 0) {
		return {limitPerS: undefined, unreadableLimit: text.slice(0, loggedCharacters)};
	}

	return {limitPerS: Math.min(highestLimitPerS, ...readable), unreadableLimit: undefined};
}

/** Reads seconds, also with fractions, or a date. */
function readPauseMs(value: string | string[] | undefined): number | undefined {
	const text = [value].flat()[0]?.trim() ?? '';
	const seconds = readDecimal(text) ?? (Date.parse(text) - Date.now()) / secondMs;
	return Number.isFinite(seconds) && seconds > 0 ? Math.min(longestPauseMs, seconds * secondMs) : undefined;
}

function readDecimal(text: string): number | undefined {
	return text.length <= longestNumber && /^\d+(?:\.\d*)?$/v.test(text) ? Number(text) : undefined;
}

function isTrue(value: string | string[] | undefined): boolean {
	const text = [value].flat()[0]?.trim() ?? '';
	return text !== '' && text !== '0';
}
