/**
 * Time since a moment, on two clocks: a suspended VM does not advance the monotonic one.
 */

/** A moment on both clocks, in milliseconds. */
export type Moment = {
	monotonic: number;
	wall: number;
};

export function presentMoment(): Moment {
	return {monotonic: performance.now(), wall: Date.now()};
}

/** The moment after a time in milliseconds; before it if the time is negative. */
export function later({monotonic, wall}: Moment, durationMs: number): Moment {
	return {monotonic: monotonic + durationMs, wall: wall + durationMs};
}

/** Milliseconds since the moment; the larger reading counts, so that neither a suspension nor a step back hides time. */
export function elapsedSince(moment: Moment, now = presentMoment()): number {
	return Math.max(now.monotonic - moment.monotonic, now.wall - moment.wall);
}
