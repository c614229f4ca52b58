/** State of a circuit breaker. */
export enum CircuitState {
	Closed = 'closed',
	Open = 'open',
	HalfOpen = 'half_open',
}

/** Failures in a row that open the circuit. */
const failureLimit = 5;

/** Time in milliseconds after which one trial request is let through. */
const openMs = 1000;

/**
 * Keeps requests away from a server that fails again and again. Shedding is no failure.
 */
export class CircuitBreaker {
	private failures = 0;
	private openedAt = -Infinity;
	private isTrialUnderWay = false;

	state(now = performance.now()): CircuitState {
		if (this.failures < failureLimit) {
			return CircuitState.Closed;
		}

		return now - this.openedAt >= openMs && !this.isTrialUnderWay ? CircuitState.HalfOpen : CircuitState.Open;
	}

	/** True if a request may be sent; in the half-open state only one. */
	allows(now = performance.now()): boolean {
		return this.state(now) !== CircuitState.Open;
	}

	onStart(now = performance.now()): void {
		if (this.state(now) === CircuitState.HalfOpen) {
			this.isTrialUnderWay = true;
		}
	}

	onSuccess(): void {
		this.failures = 0;
		this.isTrialUnderWay = false;
	}

	onFailure(now = performance.now()): void {
		this.failures += 1;
		this.isTrialUnderWay = false;
		if (this.failures >= failureLimit) {
			this.openedAt = now;
		}
	}
}
