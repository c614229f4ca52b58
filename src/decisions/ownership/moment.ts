/**
 * Time elapsed since a moment, measured on two clocks because the monotonic clock stops while a VM is suspended.
 */

/** A moment on the monotonic clock and on the wall clock, in milliseconds. */
export type Moment = {
	monotonic: number;
	wall: number;
};

export function currentMoment(): Moment {
	return {monotonic: performance.now(), wall: Date.now()};
}

/** Moves a moment by a duration in milliseconds, into the past if it is negative. */
export function shiftMoment({monotonic, wall}: Moment, durationMs: number): Moment {
	return {monotonic: monotonic + durationMs, wall: wall + durationMs};
}

/** Milliseconds since a moment: the larger of both readings, because a suspension or a backward clock step hides time from one. */
export function elapsedSince(moment: Moment, now = currentMoment()): number {
	return Math.max(now.monotonic - moment.monotonic, now.wall - moment.wall);
}
