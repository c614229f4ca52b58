/**
 * Measures for how long keys have two holders or none.
 */
import {lastKey} from '../src/model/key-ownership.js';
import type {KeyHolder} from './key-holder.js';

/** Sample of the key space that is checked. */
const checkedKeys = Array.from({length: 32}, (_, index) => Math.floor(index * lastKey / 31));

/** Times are as exact as the interval of the calls to `check`. */
export class HoldMeter {
	/** Moments at which more than one target held a key, as text. */
	readonly overlaps: string[] = [];
	/** Longest time for which more than one target held a key, in milliseconds. */
	longestOverlapMs = 0;
	/** Longest time without a holder by key, in milliseconds; counted after the first holder of the key. */
	private readonly longestGapMs = new Map<number, number>();
	private readonly overlapsSince = new Map<number, number>();
	private readonly lastHeldAt = new Map<number, number>();
	private checkedAt = performance.now();

	/** Discards the gaps measured so far. */
	resetGaps(): void {
		this.longestGapMs.clear();
	}

	maxGapMs(): number {
		return Math.max(0, ...this.longestGapMs.values());
	}

	check(holders: readonly KeyHolder[]): void {
		const now = performance.now();
		for (const key of checkedKeys) {
			const currentHolders = holders.filter(holder => holder.isHolding(key, now));
			if (currentHolders.length > 1) {
				this.overlaps.push(`key ${key} at ${now}: ${currentHolders.map(holder => `${holder.incarnation.id} with fence ${holder.fenceOf(key)}`).join(', ')}`);
				const since = this.overlapsSince.get(key) ?? this.checkedAt;
				this.overlapsSince.set(key, since);
				this.longestOverlapMs = Math.max(this.longestOverlapMs, now - since);
			} else {
				this.overlapsSince.delete(key);
			}

			const lastHeldAt = this.lastHeldAt.get(key);
			if (currentHolders.length > 0) {
				this.lastHeldAt.set(key, now);
			} else if (lastHeldAt !== undefined) {
				this.longestGapMs.set(key, Math.max(now - lastHeldAt, this.longestGapMs.get(key) ?? 0));
			}
		}

		this.checkedAt = now;
	}
}

/** Checked keys that no target holds. */
export function unheldKeys(holders: readonly KeyHolder[]): number[] {
	return checkedKeys.filter(key => !holders.some(holder => holder.isHolding(key)));
}
