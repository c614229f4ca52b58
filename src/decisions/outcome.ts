/**
 * Outcomes of requests, as callers see them.
 */
import type {RouterError} from '../model/errors.js';

/** The three ways a request ends. */
export enum OutcomeKind {
	Answered = 'answered',
	NotRun = 'not_run',
	Unknown = 'unknown',
}

/** Outcome of a request. */
export type Outcome = {
	kind: OutcomeKind;
	/** HTTP status of the server's answer. */
	status?: number;
	/** Failure that the gateway returns to the caller, unless the answer has begun. */
	error?: RouterError;
	/** True if only a part of the answer reached the caller. */
	truncated?: boolean;
	server?: string;
};
