/**
 * Errors of commands, with exit codes.
 */
import {TRPCClientError} from '@trpc/client';
import {ErrorCode, RouterError} from '../model/errors.js';

/** Exit codes, stable for scripts. */
export enum ExitCode {
	Done = 0,
	Failed = 1,
	Usage = 2,
	Refused = 3,
	Unavailable = 4,
}

const unavailableCodes = new Set<string>([ErrorCode.StoreUnavailable, ErrorCode.StoreAmbiguous, ErrorCode.DeadlineExpired, ErrorCode.PeerUnavailable]);

/** Failure of a command, with the exit code of the program. */
export class CommandFailure extends RouterError {
	override name = 'CommandFailure';

	constructor(code: ErrorCode, message: string, nextStep: string, readonly exitCode: ExitCode) {
		super(code, message, nextStep);
	}

	describe(): string {
		return `${this.message}\n${this.nextStep}`;
	}

	asObject(): Record<string, unknown> {
		return {error: this.code, message: this.message, nextStep: this.nextStep};
	}
}

/** Converts any error to a failure with an exit code. */
export function failureOf(error: unknown): CommandFailure {
	if (error instanceof CommandFailure) {
		return error;
	}

	if (error instanceof TRPCClientError) {
		return failureOfControlCall(error as TRPCClientError<never>);
	}

	const code = error instanceof RouterError ? error.code : ErrorCode.BadRequest;
	return new CommandFailure(code, error instanceof Error ? error.message : String(error), 'Run with --help.', ExitCode.Failed);
}

function failureOfControlCall(error: TRPCClientError<never>): CommandFailure {
	const {failure} = (error.data as unknown as {failure?: {code: ErrorCode; message: string; nextStep: string}} | undefined) ?? {};
	if (!failure) {
		const isAnswered = error.data !== undefined && error.data !== null;
		const code = isAnswered ? ErrorCode.BadRequest : ErrorCode.PeerUnavailable;
		const nextStep = isAnswered ? 'Check the command and the credential.' : 'Check --daemon and whether the daemon runs.';
		return new CommandFailure(code, error.message, nextStep, isAnswered ? ExitCode.Refused : ExitCode.Unavailable);
	}

	const exitCode = unavailableCodes.has(failure.code) ? ExitCode.Unavailable : ExitCode.Refused;
	return new CommandFailure(failure.code, failure.message, failure.nextStep, exitCode);
}
