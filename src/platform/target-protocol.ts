/**
 * Headers of requests to targets and of their answers.
 */
import type {
	AnswerHead, Attempt, CallerRequest, HeaderList,
} from '../model/forwarding.js';
import {AnswerMeaning, type TargetProtocol} from '../transport/target-exchange.js';
import {WireHeader} from './wire.js';

/** Headers that concern one connection only. */
const connectionHeaders = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/** Headers of a caller's request that the daemon sets itself. */
const ownRequestHeaders = new Set<string>([WireHeader.Budget, WireHeader.ExpectedTarget, 'content-length']);

/** What the platform's headers say of a caller's request. */
export type CallerHeaders = {
	/** End-to-end headers, names and values in turn. */
	passed: HeaderList;
	requestId: string;
	key: number | undefined;
	budgetMs: number | undefined;
};

/** Reads a caller's headers, which come as names and values in turn. */
export function readCallerHeaders(raw: HeaderList): CallerHeaders {
	const named = namedByConnection(raw);
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
				headers.key = wholeNumber(value);
				break;
			}

			case WireHeader.Budget as string: {
				headers.budgetMs = wholeNumber(value);
				break;
			}

			default: {
				break;
			}
		}

		if (!connectionHeaders.has(name) && !ownRequestHeaders.has(name) && !named.has(name)) {
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

	meaningOf(request: CallerRequest, status: number, headers: AnswerHead['headers']): AnswerMeaning {
		// A second or late answer to an earlier request may come on a kept connection; it says nothing of this one.
		if (request.requestId !== '' && headers[WireHeader.RequestId] !== request.requestId) {
			return AnswerMeaning.Foreign;
		}

		if (status === 421) {
			return AnswerMeaning.Misdirected;
		}

		if (headers[WireHeader.NotRun] !== undefined) {
			return AnswerMeaning.NotRun;
		}

		// A caller takes these as final, so that they have to come from the target itself.
		const isFinal = status >= 200 && status < 500;
		return isFinal && headers[WireHeader.Seal] === undefined ? AnswerMeaning.Foreign : AnswerMeaning.Answer;
	}

	answerHeaders(headers: AnswerHead['headers']): AnswerHead['headers'] {
		const passed: AnswerHead['headers'] = {};
		for (const [name, value] of Object.entries(headers)) {
			if (!connectionHeaders.has(name) && name !== 'content-length') {
				passed[name] = value;
			}
		}

		return passed;
	}
}

/** Names that the header `Connection` declares as concerning one connection only. */
function namedByConnection(raw: HeaderList): Set<string> {
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

function wholeNumber(text: string): number | undefined {
	return /^\d{1,15}$/v.test(text) ? Number(text) : undefined;
}
