/**
 * Ownership of keys: which incarnation of a target owns which range, and under which fencing token.
 */
import type {TargetIncarnation} from './fleet.js';

/** Largest key; the smallest is 0. */
export const lastKey = 65_535;

/** Keys from `first` to `last`, both inclusive. */
export type KeyRange = {
	first: number;
	last: number;
};

export function areOverlapping(left: KeyRange, right: KeyRange): boolean {
	return left.first <= right.last && right.first <= left.last;
}

/** True if the outer range contains all keys of the inner one. */
export function isWithin(inner: KeyRange, outer: KeyRange): boolean {
	return outer.first <= inner.first && inner.last <= outer.last;
}

/** The parts of a range that are left without the keys of another; none, one or two. */
export function subtractRange<Range extends KeyRange>(range: Range, removed: KeyRange): Range[] {
	if (!areOverlapping(range, removed)) {
		return [range];
	}

	return [{...range, last: removed.first - 1}, {...range, first: removed.last + 1}].filter(({first, last}) => first <= last);
}

/** A range with its owner. */
export type OwnedRange = KeyRange & {
	owner: TargetIncarnation;
	/** Fencing token of the owner's grants; higher than all earlier tokens for these keys. */
	fence: number;
	/** Earlier incarnations whose hold on the range may not have expired; the owner gets no grant while there are any. */
	previous: TargetIncarnation[];
	/** True while an earlier incarnation cannot be reached, so that its hold has to expire. */
	isBlocked: boolean;
};

/**
 * A range that has another owner although a former one has not proved that it no longer holds it: a grant that got no answer may
 * still be carried out there, until the former owner answers a release.
 */
export type UnreleasedRange = KeyRange & {
	holder: TargetIncarnation;
	/** Fencing token of the release; higher than those of all grants to the holder. */
	fence: number;
};

/** All ranges of a service in the order of their keys; together they cover every key once. */
export type KeyAssignment = {
	service: string;
	/** Era of the store in which the leader wrote it; undefined while no era is known. */
	era?: number | undefined;
	/** Highest fencing token ever written. */
	fence: number;
	/** Id of the write, by which its writer recognizes it after a lost reply. */
	writeId: string;
	ranges: OwnedRange[];
	unreleased: UnreleasedRange[];
	/**
	 * True while targets may hold keys that no range names: the newest owners of a lost era of the store may be known to no reachable
	 * daemon. Owners get no grant of such keys until then.
	 */
	isUnconfirmed?: boolean | undefined;
};

/** Finds the range of a key by binary search. */
export function findRange<Range extends KeyRange>(ranges: readonly Range[], key: number): Range | undefined {
	let low = 0;
	let high = ranges.length - 1;
	while (low <= high) {
		const middle = Math.floor((low + high) / 2);
		const range = ranges[middle];
		if (!range) {
			return undefined;
		}

		if (key < range.first) {
			high = middle - 1;
		} else if (key > range.last) {
			low = middle + 1;
		} else {
			return range;
		}
	}

	return undefined;
}
