/**
 * Reads what a target says about itself from the headers of its answer.
 */
import type {AnswerHead} from '../model/forwarding.js';
import type {TargetLoadReport} from '../model/slots.js';
import {highestLimitPerS, type TargetStatement} from '../model/target-statement.js';
import {longestTimeMs} from './document-reader.js';
import {WireHeader} from './wire.js';

/** Seconds, or a date, until which a target wants no requests from the daemon that it refused. */
const retryAfterHeader = 'retry-after';

/** Longest number of a limit or delay that is read, in characters. */
const longestNumber = 16;

/** Longest pause that one refusal can cause, in milliseconds; a longer one is likely a mistake. */
const longestPauseMs = 120_000;

/** Characters of an unreadable limit that are logged. */
const loggedCharacters = 32;

/** Highest number of requests or slots that a load report may state; a higher one is taken as this. */
const highestCount = 100_000;

/** Lowest and highest slowness that a load report may state, in percent; a target is at most some times slower than usual. */
const slownessRange = {lowest: 10, highest: 10_000};

const secondMs = 1000;

const serviceUnavailable = 503;

/** Reads the statement in an answer. Never throws, whatever the headers hold. */
export function readTargetStatement(status: number, headers: AnswerHead['headers'], hasRun: boolean): TargetStatement {
	return {
		...readLimit(headers[WireHeader.Limit]),
		isLeaving: isTrue(headers[WireHeader.Leaving]),
		pauseMs: status === serviceUnavailable ? readPauseMs(headers[retryAfterHeader]) : undefined,
		hasRun,
		...readReports(headers),
	};
}

/** Reads load and warm-up time. Most answers have neither, and their statements then have no further fields. */
function readReports(headers: AnswerHead['headers']): Pick<TargetStatement, 'load' | 'warmUpLeftMs' | 'unreadableReport'> {
	const loadText = headers[WireHeader.Load];
	const warmUpText = headers[WireHeader.WarmUpLeft];
	if (loadText === undefined && warmUpText === undefined) {
		return {};
	}

	const load = loadText === undefined ? undefined : readLoad(loadText);
	const warmUpLeftMs = typeof warmUpText === 'string' ? readDecimal(warmUpText.trim()) : undefined;
	const unreadable = [
		...(loadText !== undefined && load === undefined ? [`${WireHeader.Load}: ${[loadText].flat().join(',')}`] : []),
		...(warmUpText !== undefined && warmUpLeftMs === undefined ? [`${WireHeader.WarmUpLeft}: ${[warmUpText].flat().join(',')}`] : []),
	];
	return {
		...(load && {load}),
		...(warmUpLeftMs !== undefined && {warmUpLeftMs: Math.min(longestTimeMs, warmUpLeftMs)}),
		...(unreadable.length > 0 && {unreadableReport: unreadable.map(text => text.slice(0, loggedCharacters)).join('; ')}),
	};
}

/** Several headers are unreadable, because it is unknown which one holds. */
function readLoad(text: string | string[]): TargetLoadReport | undefined {
	if (typeof text !== 'string') {
		return undefined;
	}

	const parts = text.split(',', 5).map(part => readDecimal(part.trim()));
	const [running, waiting, slots, slowness] = parts;
	const hasSlowness = parts.length === 4;
	if (running === undefined || waiting === undefined || slots === undefined || (parts.length !== 3 && !hasSlowness)) {
		return undefined;
	}

	if (slots < 1 || (hasSlowness && (slowness ?? 0) === 0) || [running, waiting, slots].some(count => !Number.isInteger(count))) {
		return undefined;
	}

	return {
		running: Math.min(highestCount, running),
		waiting: Math.min(highestCount, waiting),
		slots: Math.min(highestCount, slots),
		slowness: slowness && Math.min(slownessRange.highest, Math.max(slownessRange.lowest, slowness)),
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
