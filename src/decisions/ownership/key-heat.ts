/**
 * How often keys are asked for, with exponential decay.
 */

/** Time after which a request counts half, in milliseconds; hot keys change within seconds. */
const halfLifeMs = 2000;

/** Time that a request counts on average, in seconds; counts divided by it are requests a second. */
export const meanLifeS = halfLifeMs / Math.LN2 / 1000;

/** Counts below this are forgotten. */
const leastCount = 0.05;

/** A key with its decayed count of requests. */
export type KeyCount = {
	key: number;
	count: number;
};

/** Counts requests by key. */
export class KeyHeat {
	private readonly counts = new Map<number, number>();
	private decayedAt: number | undefined;

	add(keys: readonly number[]): void {
		for (const key of keys) {
			this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
		}
	}

	/** Returns all counted keys in order. */
	sorted(now = performance.now()): KeyCount[] {
		this.decay(now);
		return Array.from(this.counts, ([key, count]) => ({key, count})).toSorted((left, right) => left.key - right.key);
	}

	private decay(now: number): void {
		const factor = 0.5 ** ((now - (this.decayedAt ?? now)) / halfLifeMs);
		this.decayedAt = now;
		for (const [key, count] of this.counts) {
			if (count * factor < leastCount) {
				this.counts.delete(key);
			} else {
				this.counts.set(key, count * factor);
			}
		}
	}
}
