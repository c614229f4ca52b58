/**
 * What targets say about themselves in their answers.
 */

import type {TargetLoadReport} from './slots.js';

/** Highest limit that is kept, in requests a second; higher than any target can take. */
export const highestLimitPerS = 100_000;

/** What one answer says about the target that gave it. */
export type TargetStatement = {
	/** Requests a second that the target takes from all daemons together; undefined if it names no limit. */
	limitPerS: number | undefined;
	/** A limit in the answer that cannot be read, shortened for the log. */
	unreadableLimit: string | undefined;
	/** True if the target will stop soon. */
	isLeaving: boolean;
	/** Time for which the target wants no requests from this daemon, in milliseconds; undefined if it names none. */
	pauseMs: number | undefined;
	/** True if the target ran the request; such an answer without a limit shows that there is none. */
	hasRun: boolean;
	/** Missing if the answer reports no readable load. */
	load?: TargetLoadReport;
	/** Time until the target has warmed up, in milliseconds; missing if the answer reports none. */
	warmUpLeftMs?: number;
	/** Header with a load or warm-up time that cannot be read, shortened for the log. */
	unreadableReport?: string;
};
