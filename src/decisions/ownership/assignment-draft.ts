/**
 * Changes to an assignment that are written to the store together.
 */
import {isSameIncarnation, type TargetIncarnation} from '../../model/fleet.js';
import {
	lastKey, subtractRange, type KeyAssignment, type KeyRange, type OwnedRange, type UnreleasedRange,
} from '../../model/key-ownership.js';

/** Divides all keys evenly among the owners of a service that has no assignment yet. */
export function initialAssignment(service: string, owners: readonly TargetIncarnation[]): KeyAssignment {
	const keys = lastKey + 1;
	const ranges = owners.map((owner, index): OwnedRange => ({
		first: Math.floor(index * keys / owners.length),
		last: Math.floor((index + 1) * keys / owners.length) - 1,
		owner,
		fence: 1,
		previous: [],
		isBlocked: false,
	}));
	return {
		service, fence: 1, writeId: '', ranges, unreleased: [],
	};
}

/** A mutable copy of an assignment. */
export class AssignmentDraft {
	ranges: OwnedRange[];
	private unreleased: UnreleasedRange[];
	private isChanged = false;
	private readonly fence: number;

	constructor(private readonly base: KeyAssignment) {
		this.ranges = base.ranges.map(range => ({...range}));
		this.unreleased = [...base.unreleased];
		this.fence = base.fence + 1;
	}

	/** Returns the changed assignment, or undefined if nothing changed. */
	result(writeId: string): KeyAssignment | undefined {
		return this.isChanged
			? {
				service: this.base.service, fence: this.fence, writeId, ranges: this.ranges, unreleased: this.unreleased,
			}
			: undefined;
	}

	/** Raises the fencing token of every range, which invalidates orders of earlier leaders. */
	raiseFences(): void {
		this.isChanged = true;
		for (const range of this.ranges) {
			range.fence = this.fence;
		}
	}

	/** Assigns a whole range to another owner. The current owner may hold it even if its grant was never acknowledged. */
	replaceOwner(range: OwnedRange, owner: TargetIncarnation): void {
		this.isChanged = true;
		if (!range.previous.some(incarnation => isSameIncarnation(incarnation, range.owner))) {
			range.previous = [...range.previous, range.owner];
		}

		range.previous = range.previous.filter(incarnation => !isSameIncarnation(incarnation, owner));
		this.unreleased = this.unreleased.flatMap(other => isSameIncarnation(other.holder, owner) ? subtractRange(other, range) : [other]);
		range.owner = owner;
		range.fence = this.fence;
	}

	/**
	 * Ends a move once the new owner holds the range.
	 *
	 * @param unproved previous owners that have not proved that they no longer hold the range
	 */
	finishMove(range: OwnedRange, unproved: readonly TargetIncarnation[] = []): void {
		this.isChanged = true;
		range.previous = [];
		range.isBlocked = false;
		for (const holder of unproved) {
			this.addUnreleased(range, holder);
		}
	}

	/** Forgets unreleased ranges whose holders have proved that they no longer hold them. */
	removeUnreleased(released: readonly UnreleasedRange[]): void {
		if (released.length > 0) {
			this.isChanged = true;
			this.unreleased = this.unreleased.filter(range => !released.includes(range));
		}
	}

	setBlocked(range: OwnedRange, isBlocked: boolean): void {
		if (range.isBlocked !== isBlocked) {
			this.isChanged = true;
			range.isBlocked = isBlocked;
		}
	}

	/** Moves a part of a range; the rest keeps its owner and fencing token. */
	movePart(part: KeyRange, owner: TargetIncarnation): void {
		const index = this.ranges.findIndex(range => part.first >= range.first && part.last <= range.last);
		const range = this.ranges[index];
		if (!range) {
			return;
		}

		const moved: OwnedRange = {...range, ...part, previous: [...range.previous]};
		const rest = [
			{...range, last: part.first - 1},
			{...range, first: part.last + 1},
		].filter(({first, last}) => first <= last);
		this.ranges.splice(index, 1, ...[...rest, moved].toSorted((left, right) => left.first - right.first));
		this.replaceOwner(moved, owner);
	}

	/** Merges adjacent ranges with the same owner and fencing token. */
	mergeNeighbours(): void {
		const merged: OwnedRange[] = [];
		for (const range of this.ranges) {
			const before = merged.at(-1);
			if (before && isMergeable(before, range)) {
				before.last = range.last;
				this.isChanged = true;
			} else {
				merged.push(range);
			}
		}

		this.ranges = merged;
	}

	/** A holder without any range gets one release for all keys, so that the number of releases stays small. */
	private addUnreleased(range: KeyRange, holder: TargetIncarnation): void {
		const hasOtherRanges = this.ranges.some(({owner, previous}) => [owner, ...previous].some(incarnation => isSameIncarnation(incarnation, holder)));
		const {first, last} = hasOtherRanges ? range : {first: 0, last: lastKey};
		this.unreleased = [
			...this.unreleased.flatMap(other => isSameIncarnation(other.holder, holder) ? subtractRange(other, {first, last}) : [other]),
			{
				first, last, holder, fence: this.fence,
			},
		];
	}
}

function isMergeable(left: OwnedRange, right: OwnedRange): boolean {
	return isSameIncarnation(left.owner, right.owner) && left.fence === right.fence && left.previous.length === 0 && right.previous.length === 0;
}
