/**
 * Headers of requests to targets and of the targets' answers.
 */
import {
	isRefusalStatus, type AnswerHead, type Attempt, type CallerRequest, type HeaderList,
} from '../model/forwarding.js';
import type {TargetStatement} from '../model/target-statement.js';
import {AnswerKind, type TargetProtocol} from '../transport/target-exchange.js';
import {readTargetStatement} from './target-statement-reader.js';
import {WireHeader} from './wire.js';

/** Headers that apply to a single connection and are not forwarded. */
const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/** Headers that the daemon sets itself; a caller's values are dropped. */
const daemonRequestHeaders = new Set<string>([WireHeader.Budget, WireHeader.ExpectedTarget, 'content-length']);

/** Parsed headers of a caller's request. */
export type CallerHeaders = {
	/** End-to-end headers, alternating names and values. */
	passed: HeaderList;
	requestId: string;
	key: number | undefined;
	budgetMs: number | undefined;
};

/** Parses a caller's headers, given as alternating names and values. */
export function readCallerHeaders(raw: HeaderList): CallerHeaders {
	const connectionOptions = readConnectionOptions(raw);
	const headers: CallerHeaders = {
		passed: [], requestId: '', key: undefined, budgetMs: undefined,
	};
	for (let index = 0; index + 1 < raw.length; index += 2) {
		const name = (raw[index] ?? '').toLowerCase();
		const value = raw[index + 1] ?? '';
		switch (name) {
			case WireHeader.RequestId as string: {
				headers.requestId = value;
				break;
			}

			case WireHeader.Key as string: {
				headers.key = parseNonNegativeInteger(value);
				break;
			}

			case WireHeader.Budget as string: {
				headers.budgetMs = parseNonNegativeInteger(value);
				break;
			}

			default: {
				break;
			}
		}

		if (!hopByHopHeaders.has(name) && !daemonRequestHeaders.has(name) && !connectionOptions.has(name)) {
			headers.passed.push(raw[index] ?? '', value);
		}
	}

	return headers;
}

/** The platform's headers between daemons and targets. */
export class PlatformTargetProtocol implements TargetProtocol {
	requestHeaders(request: CallerRequest, attempt: Attempt): HeaderList {
		return [
			...request.headers,
			WireHeader.Budget,
			String(Math.max(1, Math.floor(attempt.budgetMs))),
			WireHeader.ExpectedTarget,
			attempt.target.id,
		];
	}

	classify(request: CallerRequest, attempt: Pick<Attempt, 'isIdempotent'>, status: number, headers: AnswerHead['headers']): AnswerKind {
		// A late or duplicate answer to an earlier request can arrive on a reused connection.
		if (request.requestId !== '' && headers[WireHeader.RequestId] !== request.requestId) {
			return AnswerKind.Unrelated;
		}

		if (status === 421) {
			return AnswerKind.Misdirected;
		}

		const isFinal = status >= 200 && status < 500;
		// Server errors other than 503 count as run, whatever the target says beside them.
		const isNotRun = headers[WireHeader.NotRun] !== undefined && (isFinal || status === 503);
		if (isNotRun) {
			return status < 400 ? AnswerKind.Contradictory : AnswerKind.NotRun;
		}

		// Callers treat these statuses as final, so they must carry the target's seal.
		return isFinal && headers[WireHeader.Seal] === undefined ? AnswerKind.Unrelated : answerKindOf(attempt, status);
	}

	/** Another target may have given a misdirected answer, which names its id. */
	statement(kind: AnswerKind, {target}: Attempt, status: number, headers: AnswerHead['headers']): TargetStatement | undefined {
		const isOther = kind === AnswerKind.Misdirected && headers[WireHeader.Target] !== target.id;
		return kind === AnswerKind.Unrelated || isOther ? undefined : readTargetStatement(status, headers, kind === AnswerKind.Answer || kind === AnswerKind.UnprovedRefusal);
	}

	answerHead(status: number, headers: AnswerHead['headers']): AnswerHead {
		return passedAnswerHead(status, headers);
	}
}

/**
 * The kind of an answer that a target gave after it may have run the request. Callers repeat any request after a refusal status, so the
 * answer must not reach them if the request may run only once.
 */
export function answerKindOf({isIdempotent = false}: Pick<Attempt, 'isIdempotent'>, status: number): AnswerKind {
	return !isIdempotent && isRefusalStatus(status) ? AnswerKind.UnprovedRefusal : AnswerKind.Answer;
}

/** The head of an answer, without headers that apply to a single connection or are among the omitted ones. */
export function passedAnswerHead(status: number, headers: AnswerHead['headers'], omitted: ReadonlySet<string> = new Set()): AnswerHead {
	const passed: AnswerHead['headers'] = {};
	for (const [name, value] of Object.entries(headers)) {
		if (!hopByHopHeaders.has(name) && name !== 'content-length' && !omitted.has(name)) {
			passed[name] = value;
		}
	}

	return {status, headers: passed, isSealed: headers[WireHeader.Seal] !== undefined};
}

/** Names of the headers that `Connection` declares as hop-by-hop. */
function readConnectionOptions(raw: HeaderList): Set<string> {
	const names = new Set<string>();
	for (let index = 0; index + 1 < raw.length; index += 2) {
		if (raw[index]?.toLowerCase() !== 'connection') {
			continue;
		}

		for (const name of (raw[index + 1] ?? '').split(',')) {
			names.add(name.trim().toLowerCase());
		}
	}

	return names;
}

function parseNonNegativeInteger(text: string): number | undefined {
	return /^\d{1,15}$/v.test(text) ? Number(text) : undefined;
}
