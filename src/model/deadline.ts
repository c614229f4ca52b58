import {DeadlineExpiredError} from './errors.js';

/**
 * Deadline of one awaited step, on the monotonic clock.
 */
export class Deadline {
	/** Creates a deadline `durationMs` from now for the named step. */
	static after(durationMs: number, step: string): Deadline {
		return new Deadline(performance.now() + durationMs, step);
	}

	/**
	 * @param expiresAt monotonic time in milliseconds
	 * @param step name of the awaited step, for the error
	 */
	constructor(readonly expiresAt: number, readonly step: string) {}

	/** Milliseconds left, never negative. */
	remainingMs(): number {
		return Math.max(0, this.expiresAt - performance.now());
	}

	/** True once the deadline has passed. */
	isExpired(): boolean {
		return performance.now() >= this.expiresAt;
	}

	/**
	 * Settles with the operation, or rejects if the deadline passes first.
	 *
	 * @param operation receives a signal that aborts at the deadline
	 * @throws {DeadlineExpiredError}
	 */
	async run<Result>(operation: (signal: AbortSignal) => Promise<Result>): Promise<Result> {
		const controller = new AbortController();
		return new Promise<Result>((resolve, reject) => {
			const timer = setTimeout(() => {
				const expiry = new DeadlineExpiredError(this.step);
				reject(expiry);
				controller.abort(expiry);
			}, this.remainingMs());
			operation(controller.signal).then(resolve, reject).finally(() => {
				clearTimeout(timer);
			});
		});
	}
}
