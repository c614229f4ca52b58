/**
 * Records that fakes and callers make during a scenario.
 */
import type {OutcomeKind} from '../../src/decisions/outcome.js';

/** A request and its outcome, as seen by the caller. */
export type CallRecord = {
	id: string;
	key: string;
	idempotent: boolean;
	daemon: string;
	sentAt: number;
	answeredAt: number | undefined;
	outcome: OutcomeKind | undefined;
	/** True if the daemon stopped before it answered the request. */
	isDaemonStopped: boolean;
};

/** A document version that was active on a ready daemon, or stored. */
export type VersionSample = {
	at: number;
	daemon: string;
	document: string;
	version: number;
};

/** An intent whose plan was confirmed, with the time at which the operator received the confirmation. */
export type ConfirmedIntent = {
	intent: string;
	at: number;
	configurationVersion: number;
};

/** All records of a scenario. */
export class History {
	readonly calls: CallRecord[] = [];
	readonly versions: VersionSample[] = [];
	readonly confirmedIntents: ConfirmedIntent[] = [];
	/** Times in milliseconds at which a server was declared to be leaving in a confirmed configuration. */
	readonly leavingSince = new Map<string, number>();
	/** Servers that were suspended, restarted or cut off: executions that started there may finish late. */
	readonly disruptedServers = new Set<string>();
	/** Time at which the first fault began. */
	faultAt: number | undefined;
}
