/**
 * Decides which requests a daemon that stops still accepts. A request that outlasts the daemon gets no answer although a target ran it.
 */
import type {DurationEstimate} from './route-durations.js';

/**
 * Time after the begin of a stop in which a request may be accepted that will only probably end in time, in milliseconds: by the
 * users' rules, a request that was sent within 3 s may be cut in the last sixth of the grace period, and no later one. The rest
 * is for a signal that is handled late.
 */
const acceptanceMs = 2800;

/** What the decision about a request depends on. */
export type AdmissionInput = {
	/** Monotonic times in milliseconds. */
	receivedAt: number;
	deadlineAt: number;
	isIdempotent: boolean;
	/** Undefined if nothing is known of the duration. */
	duration: DurationEstimate | undefined;
};

export class StopAdmission {
	private acceptsUntil = Infinity;
	private endsAt = Infinity;

	/** True once a stop has begun. */
	get hasBegun(): boolean {
		return this.endsAt !== Infinity;
	}

	/** @param endsAt monotonic time at which requests in flight are cut, in milliseconds */
	begin(endsAt: number, now = performance.now()): void {
		this.acceptsUntil = now + acceptanceMs;
		this.endsAt = endsAt;
	}

	isAccepted({receivedAt, deadlineAt, isIdempotent, duration}: AdmissionInput, now = performance.now()): boolean {
		if (deadlineAt <= this.endsAt) {
			return true;
		}

		if (receivedAt > this.acceptsUntil) {
			return false;
		}

		const leftMs = this.endsAt - now;
		if (isIdempotent) {
			return duration === undefined || duration.averageMs <= leftMs;
		}

		// A cut request that must not be repeated is lost for the caller.
		return duration !== undefined && duration.cautiousMs <= leftMs;
	}
}
