/** State of a circuit breaker. */
export enum CircuitState {
	Closed = 'closed',
	Open = 'open',
	HalfOpen = 'half_open',
}

/** Consecutive failures that open the circuit. */
const failureLimit = 5;

/** Time in milliseconds after which an open circuit lets one trial request through. */
const openMs = 1000;

/**
 * Stops sending requests to a server that fails repeatedly. A request that the server sheds does not count as a failure.
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

	/** True if a request may be sent; the half-open state allows a single one. */
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
