/**
 * Requests between daemons: a daemon that is cut off from all targets has a peer forward a request.
 *
 * The peer tells in a header what became of the request, because the status alone does not tell whether a target or the peer answered.
 */
import {
	isDaemonSpecific, OutcomeKind, OutcomeReason,
	type AnswerHead, type Attempt, type CallerRequest, type HeaderList, type Outcome, type RelayAttempt, type RelayOrigin, type RelayResult, type RelayTransport,
} from '../model/forwarding.js';
import type {TargetStatement} from '../model/target-statement.js';
import {ConnectionPool} from '../transport/connection-pool.js';
import {AnswerKind, TargetExchange, type TargetProtocol} from '../transport/target-exchange.js';
import {
	answerKindOf, passedAnswerHead, readCallerHeaders, type CallerHeaders,
} from './target-protocol.js';
import {readTargetStatement} from './target-statement-reader.js';
import {WireHeader} from './wire.js';

/** Headers between daemons, in lower case. */
export enum RelayHeader {
	/** The daemon that relays the request. */
	Sender = 'eelgrasswheel-relay-sender',
	/** Number of attempts so far that reached a target or may have reached one, in the request and in the answer. */
	Attempts = 'eelgrasswheel-relay-attempts',
	Outcome = 'eelgrasswheel-relay-outcome',
}

/** What became of a relayed request. */
enum RelayOutcome {
	/** The target's answer. */
	Answer = 'answer',
	NotRun = 'not-run',
	/** The request did not run because of the peer's own state; another peer may forward it. */
	Elsewhere = 'elsewhere',
	Unknown = 'unknown',
	/** The request may have run at a target that refused it without proof; peers of earlier versions take it for unknown. */
	Unproved = 'unproved',
}

/** Bytes that relaying may add to the headers of a request. */
export const relayHeaderBytes = 512;

/** Most connections to one peer that are kept. */
const keptConnectionLimit = 16;

const relayHeaders = new Set<string>(Object.values(RelayHeader));

const answerKinds = new Map<string, AnswerKind>([
	[RelayOutcome.Answer, AnswerKind.Answer],
	[RelayOutcome.NotRun, AnswerKind.NotRun],
	[RelayOutcome.Elsewhere, AnswerKind.Misdirected],
	[RelayOutcome.Unknown, AnswerKind.Unknown],
	[RelayOutcome.Unproved, AnswerKind.UnprovedRefusal],
]);

/** Parses the headers of a relayed request. */
export function readRelayedHeaders(raw: HeaderList): CallerHeaders & {relay: RelayOrigin} {
	const headers = readCallerHeaders(raw);
	const relay: RelayOrigin = {daemon: '', deliveredAttempts: 0};
	for (let index = 0; index + 1 < headers.passed.length; index += 2) {
		const value = headers.passed[index + 1] ?? '';
		switch (headers.passed[index]?.toLowerCase()) {
			case RelayHeader.Sender as string: {
				relay.daemon = value;
				break;
			}

			case RelayHeader.Attempts as string: {
				relay.deliveredAttempts = readCount(value) ?? 0;
				break;
			}

			default: {
				break;
			}
		}
	}

	return {...headers, passed: withoutRelayHeaders(headers.passed), relay};
}

/** Headers that tell the relaying daemon what became of its request. */
export function relayAnswerHeaders({requestId, relay}: CallerRequest, {kind, reason, deliveredAttempts}: Outcome): Record<string, string> {
	return {
		[WireHeader.RequestId]: requestId,
		[RelayHeader.Outcome]: relayOutcome(kind, reason),
		[RelayHeader.Attempts]: String(deliveredAttempts ?? relay?.deliveredAttempts ?? 0),
	};
}

function relayOutcome(kind: OutcomeKind, reason: Outcome['reason']): RelayOutcome {
	switch (kind) {
		case OutcomeKind.Answered:
		case OutcomeKind.Streamed: {
			return RelayOutcome.Answer;
		}

		case OutcomeKind.NotRun:
		case OutcomeKind.NoRoute: {
			return isDaemonSpecific(reason) ? RelayOutcome.Elsewhere : RelayOutcome.NotRun;
		}

		case OutcomeKind.Unknown:
		case OutcomeKind.TimedOut:
		case OutcomeKind.Abandoned: {
			return reason === OutcomeReason.RefusalUnproved ? RelayOutcome.Unproved : RelayOutcome.Unknown;
		}
	}
}

/** Headers of one relayed request and of the peer's answer. */
class RelayProtocol implements TargetProtocol {
	deliveredAttempts: number;
	retryAfterMs: number | undefined;

	constructor(private readonly daemon: string, deliveredAttempts: number) {
		this.deliveredAttempts = deliveredAttempts;
	}

	requestHeaders(request: CallerRequest, {budgetMs}: Attempt): HeaderList {
		return [
			...withoutRelayHeaders(request.headers),
			WireHeader.Budget,
			String(Math.max(1, Math.floor(budgetMs))),
			RelayHeader.Sender,
			this.daemon,
			RelayHeader.Attempts,
			String(this.deliveredAttempts),
		];
	}

	classify(request: CallerRequest, attempt: Pick<Attempt, 'isIdempotent'>, status: number, headers: AnswerHead['headers']): AnswerKind {
		if (request.requestId !== '' && headers[WireHeader.RequestId] !== request.requestId) {
			return AnswerKind.Unrelated;
		}

		const {[RelayHeader.Outcome]: outcome, [RelayHeader.Attempts]: attempts} = headers;
		this.deliveredAttempts = Math.max(this.deliveredAttempts, readCount(String(attempts)) ?? 0);
		const kind = answerKinds.get(String(outcome)) ?? AnswerKind.Unrelated;
		// Peers of earlier versions pass the refusal status of a target on.
		return kind === AnswerKind.Answer ? answerKindOf(attempt, status) : kind;
	}

	/** A target's statements are recorded by the peer; only the delay until a retry is read here. */
	statement(kind: AnswerKind, _attempt: Attempt, status: number, headers: AnswerHead['headers']): TargetStatement | undefined {
		if (kind === AnswerKind.NotRun) {
			this.retryAfterMs = readTargetStatement(status, headers, false).pauseMs;
		}

		return undefined;
	}

	answerHead(status: number, headers: AnswerHead['headers']): AnswerHead {
		return passedAnswerHead(status, headers, relayHeaders);
	}
}

/** Sends requests to peers over pooled connections. */
export class PeerRelayTransport implements RelayTransport {
	private readonly pool = new ConnectionPool();

	constructor(private readonly daemon: string) {}

	async relay(request: CallerRequest, {peer, deliveredAttempts, ...attempt}: RelayAttempt): Promise<RelayResult> {
		const protocol = new RelayProtocol(this.daemon, deliveredAttempts);
		const address = `${peer.ip}:${peer.port}`;
		const result = await new TargetExchange(this.pool, protocol, request, {
			...attempt, target: {id: peer.daemon, address}, connectionLimit: keptConnectionLimit, onStatement: () => undefined,
		}).run();
		if (result.isTimeout) {
			this.pool.discardIdle(address);
		}

		return {...result, deliveredAttempts: protocol.deliveredAttempts, retryAfterMs: protocol.retryAfterMs};
	}

	close(): void {
		this.pool.close();
	}
}

function withoutRelayHeaders(headers: HeaderList): HeaderList {
	return headers.filter((_, index) => !relayHeaders.has((headers[index - (index % 2)] ?? '').toLowerCase()));
}

function readCount(text: string): number | undefined {
	return /^\d{1,6}$/v.test(text) ? Number(text) : undefined;
}
