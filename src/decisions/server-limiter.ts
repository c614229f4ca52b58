/**
 * Admission of requests to one server: a bounded number is in flight, the rest waits in a queue.
 */
import {NotRunError, NotRunReason} from '../model/errors.js';
import type {WaitingRequest, WaitQueue} from './wait-queue.js';

/** Limits that one daemon applies to one server. */
export type ConcurrencyLimits = {
	/** Requests in flight. */
	concurrency: number;
	/** Long requests in flight. */
	longConcurrency: number;
	/** Requests waiting. */
	waiting: number;
};

/** A waiting request with the callbacks that end its wait. */
export type Waiter = WaitingRequest & {
	/** Monotonic time in milliseconds at which the request is refused if it still waits. */
	expiresAt: number;
	admit: () => void;
	refuse: (error: NotRunError) => void;
};

/** Weight of the newest service time in the moving average. */
const newestWeight = 0.1;

/**
 * Admits requests to one server.
 */
export class ServerLimiter {
	private inFlight = 0;
	private longInFlight = 0;
	private averageServiceMs = 5;

	constructor(readonly server: string, private limits: ConcurrencyLimits, private readonly queue: WaitQueue<Waiter>) {}

	get load(): number {
		return this.inFlight + this.queue.size;
	}

	/** Largest number of requests in flight. */
	get concurrency(): number {
		return this.limits.concurrency;
	}

	get waiting(): number {
		return this.queue.size;
	}

	setLimits(limits: ConcurrencyLimits): void {
		this.limits = limits;
		this.admitWaiting();
	}

	/** Estimated wait of a request of the given priority in milliseconds. */
	estimatedWaitMs(waiter: Pick<WaitingRequest, 'priority'>): number {
		if (this.inFlight < this.limits.concurrency) {
			return 0;
		}

		return (this.queue.countAhead(waiter.priority) + 1) * this.averageServiceMs / this.limits.concurrency;
	}

	/** Admits a request at once if there is capacity and no request is waiting. */
	tryEnter(long: boolean): boolean {
		if (this.queue.size > 0 || !this.hasCapacity(long)) {
			return false;
		}

		this.occupySlot(long);
		return true;
	}

	/** Admits a request at once, queues it, or refuses it. */
	enter(waiter: Waiter, now = performance.now()): void {
		if (this.tryEnter(waiter.long)) {
			waiter.admit();
			return;
		}

		const waitMs = this.estimatedWaitMs(waiter);
		if (now + waitMs > waiter.expiresAt) {
			// The request would miss its deadline in the queue; an early refusal leaves the caller time to act.
			waiter.refuse(new NotRunError(NotRunReason.QueueTimeout, waitMs));
			return;
		}

		if (this.queue.size >= this.limits.waiting && !this.evictFor(waiter, waitMs)) {
			waiter.refuse(new NotRunError(NotRunReason.QueueFull, waitMs));
			return;
		}

		this.queue.add(waiter);
		this.admitWaiting();
	}

	/** Removes a waiting request whose caller disconnected or whose shard moved. */
	removeWaiter(waiter: Waiter): void {
		this.queue.remove(waiter);
	}

	/** Frees the slot of a finished request. */
	release(long: boolean, serviceMs: number): void {
		this.inFlight -= 1;
		this.longInFlight -= long ? 1 : 0;
		if (!long) {
			this.averageServiceMs += (serviceMs - this.averageServiceMs) * newestWeight;
		}

		this.admitWaiting();
	}

	/** Refuses waiting requests that have expired. */
	expire(now = performance.now()): void {
		for (const waiter of this.queue.items()) {
			if (now >= waiter.expiresAt) {
				this.queue.remove(waiter);
				waiter.refuse(new NotRunError(NotRunReason.QueueTimeout, this.averageServiceMs * this.queue.size));
			}
		}
	}

	/** Removes and returns all waiting requests. */
	drain(): Waiter[] {
		const waiters = this.queue.items();
		for (const waiter of waiters) {
			this.queue.remove(waiter);
		}

		return waiters;
	}

	private evictFor(waiter: Waiter, waitMs: number): boolean {
		const victim = this.queue.evictFor(waiter);
		victim?.refuse(new NotRunError(NotRunReason.Shed, waitMs));
		return victim !== undefined;
	}

	private admitWaiting(): void {
		while (this.inFlight < this.limits.concurrency) {
			const waiter = this.queue.dequeue(this.hasCapacity(true));
			if (!waiter) {
				return;
			}

			this.start(waiter);
		}
	}

	private start(waiter: Waiter): void {
		this.occupySlot(waiter.long);
		waiter.admit();
	}

	private occupySlot(long: boolean): void {
		this.inFlight += 1;
		this.longInFlight += long ? 1 : 0;
	}

	private hasCapacity(long: boolean): boolean {
		return this.inFlight < this.limits.concurrency && (!long || this.longInFlight < this.limits.longConcurrency);
	}
}
