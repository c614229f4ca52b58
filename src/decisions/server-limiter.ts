/**
 * Admission of requests to one server: a bounded number in flight, the rest waiting in order.
 */
import {NotRunError, NotRunReason} from '../model/errors.js';
import type {WaitingRequest, WaitOrder} from './wait-order.js';

/** Limits of one daemon towards one server. */
export type ConcurrencyLimits = {
	/** Requests in flight. */
	concurrency: number;
	/** Requests in flight that are long. */
	longConcurrency: number;
	/** Requests waiting. */
	waiting: number;
};

/** A waiting request with the functions that end its wait. */
export type Waiter = WaitingRequest & {
	/** Monotonic time in milliseconds at which waiting is given up. */
	expiresAt: number;
	admit: () => void;
	refuse: (error: NotRunError) => void;
};

/** Weight of the newest service time in the moving average. */
const averageWeight = 0.1;

/**
 * Admits requests to one server.
 */
export class ServerLimiter {
	private inFlight = 0;
	private longInFlight = 0;
	private averageMs = 5;

	constructor(readonly server: string, private limits: ConcurrencyLimits, private readonly order: WaitOrder<Waiter>) {}

	get load(): number {
		return this.inFlight + this.order.size;
	}

	/** Largest number of requests in flight. */
	get concurrency(): number {
		return this.limits.concurrency;
	}

	get waiting(): number {
		return this.order.size;
	}

	setLimits(limits: ConcurrencyLimits): void {
		this.limits = limits;
		this.pump();
	}

	/** Estimated wait of a request of the given priority in milliseconds. */
	estimatedWaitMs(waiter: Pick<WaitingRequest, 'priority'>): number {
		if (this.inFlight < this.limits.concurrency) {
			return 0;
		}

		return (this.order.ahead(waiter.priority) + 1) * this.averageMs / this.limits.concurrency;
	}

	/** Admits a request without a wait if there is room and nobody waits. */
	tryEnter(long: boolean): boolean {
		if (this.order.size > 0 || !this.hasRoom(long)) {
			return false;
		}

		this.take(long);
		return true;
	}

	/** Admits a request at once, lets it wait, or refuses it. */
	enter(waiter: Waiter, now = performance.now()): void {
		if (this.tryEnter(waiter.long)) {
			waiter.admit();
			return;
		}

		const waitMs = this.estimatedWaitMs(waiter);
		if (now + waitMs > waiter.expiresAt) {
			// The request would miss its deadline in the queue: an early refusal leaves the caller time to act.
			waiter.refuse(new NotRunError(NotRunReason.QueueTimeout, waitMs));
			return;
		}

		if (this.order.size >= this.limits.waiting && !this.evictFor(waiter, waitMs)) {
			waiter.refuse(new NotRunError(NotRunReason.QueueFull, waitMs));
			return;
		}

		this.order.add(waiter);
		this.pump();
	}

	/** Takes a waiting request out, because its caller left or its shard moved. */
	leave(waiter: Waiter): void {
		this.order.remove(waiter);
	}

	/** Returns the place of a finished request. */
	release(long: boolean, serviceMs: number): void {
		this.inFlight -= 1;
		this.longInFlight -= long ? 1 : 0;
		if (!long) {
			this.averageMs += (serviceMs - this.averageMs) * averageWeight;
		}

		this.pump();
	}

	/** Refuses waiting requests whose time is over. */
	expire(now = performance.now()): void {
		for (const waiter of this.order.items()) {
			if (now >= waiter.expiresAt) {
				this.order.remove(waiter);
				waiter.refuse(new NotRunError(NotRunReason.QueueTimeout, this.averageMs * this.order.size));
			}
		}
	}

	/** Takes all waiting requests out. */
	drain(): Waiter[] {
		const waiters = this.order.items();
		for (const waiter of waiters) {
			this.order.remove(waiter);
		}

		return waiters;
	}

	private evictFor(waiter: Waiter, waitMs: number): boolean {
		const victim = this.order.evictFor(waiter);
		victim?.refuse(new NotRunError(NotRunReason.Shed, waitMs));
		return victim !== undefined;
	}

	private pump(): void {
		while (this.inFlight < this.limits.concurrency) {
			const waiter = this.order.take(this.hasRoom(true));
			if (!waiter) {
				return;
			}

			this.start(waiter);
		}
	}

	private start(waiter: Waiter): void {
		this.take(waiter.long);
		waiter.admit();
	}

	private take(long: boolean): void {
		this.inFlight += 1;
		this.longInFlight += long ? 1 : 0;
	}

	private hasRoom(long: boolean): boolean {
		return this.inFlight < this.limits.concurrency && (!long || this.longInFlight < this.limits.longConcurrency);
	}
}
