/**
 * Error classes of the router. Each has a stable code and suggests the next step to the reader.
 */

/** Stable codes of failures, shown to callers and operators. */
export enum ErrorCode {
	BadRequest = 'bad_request',
	UnknownService = 'unknown_service',
	MissingKey = 'missing_key',
	MissingInstructionId = 'missing_instruction_id',
	BodyTooLarge = 'body_too_large',
	NotRun = 'not_run',
	OutcomeUnknown = 'outcome_unknown',
	DuplicateInstruction = 'duplicate_instruction',
	DeadlineExpired = 'deadline_expired',
	StoreUnavailable = 'store_unavailable',
	StoreAmbiguous = 'store_ambiguous',
	PeerUnavailable = 'peer_unavailable',
	TargetUnavailable = 'target_unavailable',
	Conflict = 'conflict',
	StalePlan = 'stale_plan',
	UnknownPlan = 'unknown_plan',
	PlanClosed = 'plan_closed',
	InvalidIntent = 'invalid_intent',
	NotAuthorized = 'not_authorized',
	BadSettings = 'bad_settings',
	HistoryLost = 'history_lost',
	WatchInterrupted = 'watch_interrupted',
	LeaseEnded = 'lease_ended',
	MalformedDocument = 'malformed_document',
	FenceRejected = 'fence_rejected',
	AnswerTooLarge = 'answer_too_large',
}

/** Base class of every failure of the router. */
export class RouterError extends Error {
	override name = 'RouterError';

	/**
	 * @param code stable code of the failure
	 * @param message what was expected and what happened instead
	 * @param nextStep what the reader can do about it
	 */
	constructor(readonly code: ErrorCode, message: string, readonly nextStep = 'See the log of the daemon.') {
		super(message);
	}
}

/** The caller's request is malformed; `status` is the HTTP status to answer with. */
export class BadRequestError extends RouterError {
	override name = 'BadRequestError';

	constructor(message: string, readonly status = 400, code = ErrorCode.BadRequest) {
		super(code, message, 'Correct the request before sending it again.');
	}
}

/** The caller sends the body of its request too slowly. The status promises that the request has not run, so a target must not have it. */
export class BodyTimeoutError extends BadRequestError {
	override name = 'BodyTimeoutError';

	constructor() {
		super('The body was not sent in time.', 408);
	}
}

/** Limits of the configuration that a request can exceed. */
export enum LimitName {
	HeaderBytes = 'maxHeaderBytes',
	BodyBytes = 'maxBodyBytes',
}

/** A request is larger than the configuration allows. */
export class LimitExceededError extends BadRequestError {
	override name = 'LimitExceededError';

	constructor(readonly limit: LimitName, readonly limitBytes: number) {
		const isBody = limit === LimitName.BodyBytes;
		super(
			`The ${isBody ? 'body is' : 'headers are'} larger than ${limitBytes} bytes.`,
			isBody ? 413 : 431,
			isBody ? ErrorCode.BodyTooLarge : ErrorCode.BadRequest,
		);
	}
}

/** Reasons why a request was refused and did not run. */
export enum NotRunReason {
	NoRouteLease = 'no_route_lease',
	ConfigurationUnconfirmed = 'configuration_unproven',
	Paused = 'paused',
	QueueFull = 'queue_full',
	QueueTimeout = 'queue_timeout',
	Fenced = 'fenced',
	Shed = 'shed',
	Connect = 'connect',
	NoOwner = 'no_owner',
	ClaimUnavailable = 'claim_unavailable',
	ShuttingDown = 'shutting_down',
	Cancelled = 'cancelled',
}

/** The request did not run on any server; a retry is safe. */
export class NotRunError extends RouterError {
	override name = 'NotRunError';

	/** @param retryAfterMs delay after which a retry is likely to be served */
	constructor(readonly reason: NotRunReason, readonly retryAfterMs = 1000) {
		super(ErrorCode.NotRun, `The request did not run: ${reason}.`, 'Send the request again after the given delay.');
	}
}

/** The request may have run; the router does not send it again. */
export class OutcomeUnknownError extends RouterError {
	override name = 'OutcomeUnknownError';

	constructor(message: string) {
		super(ErrorCode.OutcomeUnknown, message, 'Ask the service for the state of the instruction before acting on it.');
	}
}

/** An instruction with this id was claimed before; it is not run again. */
export class DuplicateInstructionError extends RouterError {
	override name = 'DuplicateInstructionError';

	constructor(instructionId: string, readonly firstStatus?: number) {
		super(
			ErrorCode.DuplicateInstruction,
			firstStatus === undefined
				? `Instruction ${instructionId} was accepted before and its outcome is not known.`
				: `Instruction ${instructionId} was accepted before and answered with status ${firstStatus}.`,
			'Ask the service for the state of the instruction; use a new id only for a new instruction.',
		);
	}
}

/** An awaited step did not end before its deadline. */
export class DeadlineExpiredError extends RouterError {
	override name = 'DeadlineExpiredError';

	constructor(readonly step: string) {
		super(ErrorCode.DeadlineExpired, `The deadline passed while waiting for: ${step}.`);
	}
}

/** The store did not accept the call; a write certainly had no effect. */
export class StoreUnavailableError extends RouterError {
	override name = 'StoreUnavailableError';

	constructor(detail: string) {
		super(ErrorCode.StoreUnavailable, `The key-value service is not available: ${detail}.`, 'Check the key-value service.');
	}
}

/** The store's reply to a write was lost; the write may have taken effect. */
export class StoreAmbiguousError extends RouterError {
	override name = 'StoreAmbiguousError';

	constructor(detail: string) {
		super(ErrorCode.StoreAmbiguous, `The reply of the key-value service was lost: ${detail}.`, 'Check the key-value service.');
	}
}

/** The store was restored from a copy during a call, so that the answer is rejected. */
export class StoreRestoredError extends StoreUnavailableError {
	override name = 'StoreRestoredError';
}

/** A peer daemon did not answer. */
export class PeerUnavailableError extends RouterError {
	override name = 'PeerUnavailableError';

	constructor(daemon: string, detail: string) {
		super(ErrorCode.PeerUnavailable, `Daemon ${daemon} did not answer: ${detail}.`, 'Check the VM and its network.');
	}
}

/** A server did not answer a control call. */
export class TargetUnavailableError extends RouterError {
	override name = 'TargetUnavailableError';

	/** @param refused true if the server's VM refused or reset the connection */
	constructor(server: string, detail: string, readonly refused = false) {
		super(ErrorCode.TargetUnavailable, `Server ${server} did not answer: ${detail}.`, 'Check the server and its network.');
	}
}

/** An order to a target failed before any byte of it was sent, so that it cannot arrive. */
export class OrderUnsentError extends TargetUnavailableError {
	override name = 'OrderUnsentError';
}

/**
 * Another target answered an order, so that the order was not carried out and the incarnation that it was for is no longer at its
 * address.
 */
export class TargetReplacedError extends TargetUnavailableError {
	override name = 'TargetReplacedError';

	/** @param answeredBy id of the target that answered; undefined if it names none */
	constructor(target: string, readonly answeredBy: string | undefined) {
		super(target, `another target answers at its address: ${answeredBy ?? 'it names no id'}`);
	}
}

/** A compare-and-swap failed because another writer changed the value first. */
export class ConflictError extends RouterError {
	override name = 'ConflictError';

	constructor(key: string) {
		super(ErrorCode.Conflict, `The value of ${key} was changed by another writer.`, 'Read the value again and repeat the change.');
	}
}

/** A refusal to an operator or veto holder; nothing was changed. */
export class OperatorRefusalError extends RouterError {
	override name = 'OperatorRefusalError';
}

/** The daemon itself ended its pending watch; the store has not failed. */
export class WatchInterruptedError extends RouterError {
	override name = 'WatchInterruptedError';

	constructor(reason: string) {
		super(ErrorCode.WatchInterrupted, `The watch was ended: ${reason}.`, 'Start the watch again.');
	}
}

/** The store no longer has the changes since a revision. */
export class HistoryLostError extends RouterError {
	override name = 'HistoryLostError';

	constructor(after: number) {
		super(ErrorCode.HistoryLost, `The key-value service no longer has the changes since revision ${after}.`, 'Read all keys again.');
	}
}

/** A lease has ended. */
export class LeaseEndedError extends RouterError {
	override name = 'LeaseEndedError';

	constructor(lease: number) {
		super(ErrorCode.LeaseEnded, `Lease ${lease} has ended.`, 'Open a new lease and write its keys again.');
	}
}

/** Faults that the message of a malformed document names, and most characters of each; the message becomes a line of the log. */
const namedFaults = 5;
const faultCharacters = 400;

/** A document from outside the router does not have the expected form. */
export class MalformedDocumentError extends RouterError {
	override name = 'MalformedDocumentError';

	constructor(document: string, readonly faults: string[]) {
		const named = faults.slice(0, namedFaults).map(fault => fault.slice(0, faultCharacters));
		const unnamed = faults.length > namedFaults ? `; and ${faults.length - namedFaults} more` : '';
		super(ErrorCode.MalformedDocument, `${document.slice(0, faultCharacters)}: ${named.join('; ')}${unnamed}.`, 'Correct the document.');
	}
}

/** A target has already received a higher fencing token for the range. */
export class FenceRejectedError extends RouterError {
	override name = 'FenceRejectedError';

	constructor(target: string, fence: number) {
		super(ErrorCode.FenceRejected, `Target ${target} has already received a higher fencing token than ${fence}.`, 'Write a higher token first.');
	}
}

/** Returns the text of an unexpected failure, with its stack if there is one. */
export function describeFailure(error: unknown): string {
	return error instanceof Error ? error.stack ?? error.message : String(error);
}

/** A body that is larger than any sound answer to the call; it may have no end. */
export class AnswerTooLargeError extends RouterError {
	override name = 'AnswerTooLargeError';

	constructor(limitBytes: number) {
		super(ErrorCode.AnswerTooLarge, `The answer is larger than ${limitBytes} bytes.`, 'Check the process at the address that was called.');
	}
}
