/**
 * Requests that wait for evidence.
 */
import type {Cancellation} from '../../model/cancellation.js';

/** Longest wait for evidence, in milliseconds; long enough for an answer of a peer and then one of the store. */
export const evidenceWaitMs = 300;

/** Time after a failed request in which evidence is not waited for, in milliseconds. */
export const failureBackoffMs = 500;

/** Ends the waits of requests as soon as evidence arrives. */
export class EvidenceWaiters {
	private readonly waiters = new Set<(isFresh: boolean) => void>();

	get size(): number {
		return this.waiters.size;
	}

	/** Waits until the waits are settled; false after the time has passed or the request was cancelled. */
	async wait(cancellation: Cancellation, waitMs: number): Promise<boolean> {
		return new Promise<boolean>(resolve => {
			const settle = (isFresh: boolean): void => {
				clearTimeout(timer);
				this.waiters.delete(settle);
				cancellation.unsubscribe(onCancelled);
				resolve(isFresh);
			};

			const onCancelled = (): void => {
				settle(false);
			};

			const timer = setTimeout(() => {
				settle(false);
			}, Math.max(0, waitMs));
			this.waiters.add(settle);
			cancellation.subscribe(onCancelled);
		});
	}

	settle(isFresh: boolean): void {
		for (const settle of this.waiters) {
			settle(isFresh);
		}
	}
}
