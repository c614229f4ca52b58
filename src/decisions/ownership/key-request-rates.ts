/**
 * Request rates of keys, as counts with exponential decay.
 */

/** Time after which a request counts half, in milliseconds; which keys are hot changes within seconds. */
const halfLifeMs = 2000;

/** Mean time for which a request counts, in seconds; a count divided by it is a rate in requests per second. */
export const meanLifetimeS = halfLifeMs / Math.LN2 / 1000;

/** Counts below this are dropped. */
const minCount = 0.05;

/** A key with its decayed request count. */
export type KeyCount = {
	key: number;
	count: number;
};

export class KeyRequestRates {
	private readonly counts = new Map<number, number>();
	private decayedAt: number | undefined;

	add(keys: readonly number[]): void {
		for (const key of keys) {
			this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
		}
	}

	/** Returns all counts in the order of their keys. */
	sortedCounts(now = performance.now()): KeyCount[] {
		this.decay(now);
		return Array.from(this.counts, ([key, count]) => ({key, count})).toSorted((left, right) => left.key - right.key);
	}

	private decay(now: number): void {
		const factor = 0.5 ** ((now - (this.decayedAt ?? now)) / halfLifeMs);
		this.decayedAt = now;
		for (const [key, count] of this.counts) {
			if (count * factor < minCount) {
				this.counts.delete(key);
			} else {
				this.counts.set(key, count * factor);
			}
		}
	}
}
