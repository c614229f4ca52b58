/**
 * Waiting of requests: for a route, or for admission by a limiter.
 */
import {NotRunError, NotRunReason} from '../model/errors.js';
import type {RoutedRequest} from '../model/request.js';
import type {Waiter} from './server-limiter.js';

/** A request that waits for its shard to be served again. */
type PausedWaiter = Waiter & {
	isRoutable: () => boolean;
};

/** Largest number of requests that wait for a route in one daemon. */
const maxPaused = 4096;

/** Longest wait of a request for a paused or unowned shard, in milliseconds. */
const maxPauseWaitMs = 2000;

/** Delay after which callers of paused keys should retry, in milliseconds. */
const pausedRetryAfterMs = 500;

/**
 * Queues requests whose shard is paused or has no owner. Every wait ends exactly once.
 */
export class PausedRequests {
	private readonly paused = new Set<PausedWaiter>();

	/** Number of requests that wait for a route. */
	get size(): number {
		return this.paused.size;
	}

	/** Refuses requests that waited too long for a route. */
	expire(now: number): void {
		for (const waiter of this.paused) {
			if (now >= waiter.expiresAt) {
				this.paused.delete(waiter);
				waiter.refuse(new NotRunError(NotRunReason.Paused, pausedRetryAfterMs));
			}
		}
	}

	/** Admits requests whose shard is served again. */
	release(): void {
		for (const waiter of this.paused) {
			if (waiter.isRoutable()) {
				this.paused.delete(waiter);
				waiter.admit();
			}
		}
	}

	/** Waits until a request has a route; rejects if it is refused first. */
	async waitForRoute(request: RoutedRequest, isRoutable: () => boolean): Promise<void> {
		if (this.paused.size >= maxPaused) {
			throw new NotRunError(NotRunReason.Paused, pausedRetryAfterMs);
		}

		await this.wait(request, waiter => {
			const expiresAt = Math.min(waiter.expiresAt, waiter.arrivedAt + maxPauseWaitMs);
			const entry: PausedWaiter = {...waiter, expiresAt, isRoutable};
			this.paused.add(entry);
			return () => {
				this.paused.delete(entry);
			};
		});
	}

	/** Waits until `enter` admits or refuses the request, or its caller disconnects. */
	async wait(request: RoutedRequest, enter: (waiter: Waiter) => () => void): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			let leave: () => void = () => undefined;
			const onCancelled = () => {
				leave();
				reject(new NotRunError(NotRunReason.Cancelled));
			};

			const settle = (action: () => void) => () => {
				request.cancellation.unsubscribe(onCancelled);
				action();
			};

			const waiter: Waiter = {
				priority: request.requestClass.priority,
				long: request.requestClass.long,
				arrivedAt: request.receivedAt,
				expiresAt: request.deadlineAt,
				admit: settle(resolve),
				refuse(error) {
					settle(() => {
						reject(error);
					})();
				},
			};
			// Subscribes first, because `enter` may admit the waiter at once, which removes the listener.
			request.cancellation.subscribe(onCancelled);
			leave = enter(waiter);
		});
	}
}
