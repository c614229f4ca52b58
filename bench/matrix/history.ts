/**
 * What the fakes and callers recorded during a scenario.
 */
import type {OutcomeKind} from '../../src/decisions/outcome.js';

/** A request as its caller saw it. */
export type CallRecord = {
	id: string;
	key: string;
	idempotent: boolean;
	daemon: string;
	sentAt: number;
	answeredAt: number | undefined;
	outcome: OutcomeKind | undefined;
	/** True if the daemon was lost while it held the request. */
	isDaemonLost: boolean;
};

/** A version of a document that a ready daemon had in force. */
export type VersionSample = {
	at: number;
	daemon: string;
	document: string;
	version: number;
};

/** A confirmation that an operator was told of. */
export type Confirmed = {
	intent: string;
	at: number;
	configurationVersion: number;
};

/** Record of a scenario. */
export class History {
	readonly calls: CallRecord[] = [];
	readonly versions: VersionSample[] = [];
	readonly confirmed: Confirmed[] = [];
	/** Times in milliseconds at which a server was declared to be leaving in a confirmed configuration. */
	readonly leavingSince = new Map<string, number>();
	/** Servers that were frozen or cut off: work begun there may end late. */
	readonly disturbedServers = new Set<string>();
	/** Time at which the fault began. */
	faultAt: number | undefined;
}
