/**
 * Time after which an attempt that gets no answer is given up, so that another one can still be answered in time.
 */

/** Shortest timeout, in milliseconds; answers of targets that are three times slower than usual come later than shorter ones. */
const minTimeoutMs = 250;

/** Factor on the estimated response time; targets of one service differ by up to a factor of three. */
const timeoutFactor = 3;

/** Time for a request for a slot and the way to another target, in milliseconds; an exchange takes about 3 ms. */
const handoverMs = 20;

/** What the timeout of an attempt depends on. */
export type AttemptTimeoutInput = {
	/** Estimated time until the target answers, in milliseconds. */
	responseMs: number;
	/** Time until the deadline of the request, in milliseconds. */
	leftMs: number;
	/** True if the request may run again and has an attempt and a retry left. */
	mayRepeat: boolean;
};

/** Returns the timeout in milliseconds, or undefined if the attempt may use all the time that is left. */
export function attemptTimeoutMs({responseMs, leftMs, mayRepeat}: AttemptTimeoutInput): number | undefined {
	const longestMs = leftMs - responseMs - handoverMs;
	return mayRepeat && longestMs >= minTimeoutMs ? Math.min(longestMs, Math.max(minTimeoutMs, timeoutFactor * responseMs)) : undefined;
}
