/**
 * Time after which an attempt that gets no answer is given up, so that another one can still be answered in time.
 */

/** Shortest patience, in milliseconds; answers of targets that are three times slower than usual come later than shorter ones. */
const minPatienceMs = 250;

/** Factor on the estimated response time; targets of one service differ by up to a factor of three. */
const patienceFactor = 3;

/** Time for a request for a slot and the way to another target, in milliseconds; an exchange takes about 3 ms. */
const handoverMs = 20;

/** What the patience with an attempt depends on. */
export type PatienceInput = {
	/** Estimated time until the target answers, in milliseconds. */
	responseMs: number;
	/** Time until the deadline of the request, in milliseconds. */
	leftMs: number;
	/** True if the request may run again and has an attempt and a retry left. */
	mayRepeat: boolean;
};

/** Returns the patience in milliseconds, or undefined if the attempt may use all the time that is left. */
export function attemptPatienceMs({responseMs, leftMs, mayRepeat}: PatienceInput): number | undefined {
	const longestMs = leftMs - responseMs - handoverMs;
	return mayRepeat && longestMs >= minPatienceMs ? Math.min(longestMs, Math.max(minPatienceMs, patienceFactor * responseMs)) : undefined;
}
