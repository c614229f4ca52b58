/**
 * Changes to an assignment that are written to the store together.
 */
import {omit} from 'es-toolkit';
import {isSameIncarnation, type TargetIncarnation} from '../../model/fleet.js';
import {
	areOverlapping, lastKey, subtractRange, type KeyAssignment, type KeyRange, type OwnedRange, type UnreleasedRange,
} from '../../model/key-ownership.js';

/** Divides all keys evenly among the owners of a service that has no assignment yet. */
export function initialAssignment(service: string, owners: readonly TargetIncarnation[], era?: number): KeyAssignment {
	const keys = lastKey + 1;
	const fence = firstFenceOf(era);
	const ranges = owners.map((owner, index): OwnedRange => ({
		first: Math.floor(index * keys / owners.length),
		last: Math.floor((index + 1) * keys / owners.length) - 1,
		owner,
		fence,
		previous: [],
		isBlocked: false,
	}));
	return {
		service, ...(era !== undefined && {era}), fence, writeId: '', ranges, unreleased: [],
	};
}

/**
 * Fencing tokens of each era of the store; far more than the writes of an era. Tokens of an era are above all that were handed out
 * before, also those that a restore has lost and no reachable daemon knows.
 */
const fencesPerEra = 2 ** 20;

/** Highest token from which eras count; below the highest token of a stored assignment, 2 ** 48. */
const highestFirstFence = 2 ** 47;

/** Lowest fencing token of an era; 1 while none is known, and for eras so high that the number of tokens does not suffice. */
function firstFenceOf(era: number | undefined): number {
	const fence = (era ?? 0) * fencesPerEra;
	return fence === 0 || fence > highestFirstFence ? 1 : fence;
}

/**
 * Returns the owners after a restore of the store: those of the newest assignment that is known, under higher fencing tokens.
 *
 * Where another known assignment differs, its owners may still hold the keys as well, so that they have to be released first.
 */
export function reconcileAssignments(newest: KeyAssignment, others: readonly KeyAssignment[], era: number | undefined): KeyAssignment {
	// Within an era, a step of 1 suffices, and keeps its tokens below those of the next era.
	const step = newest.era === era ? 1 : fencesPerEra;
	const fence = Math.max(Math.max(newest.fence, ...others.map(other => other.fence)) + step, firstFenceOf(era));
	let {ranges} = newest;
	for (const other of others) {
		ranges = ranges.flatMap(range => other.ranges.filter(each => areOverlapping(each, range)).map(each => withPossibleHolders(range, each)));
	}

	let unreleased = [newest, ...others].flatMap(assignment => assignment.unreleased);
	for (const range of ranges) {
		unreleased = unreleased.flatMap(entry => isSameIncarnation(range.owner, entry.holder) ? subtractRange(entry, range) : [entry]);
	}

	return {
		...newest, era, fence, ranges: ranges.map(range => ({...range, fence})), unreleased: unreleased.map(entry => ({...entry, fence})),
	};
}

/** The part of a range that another assignment gives to its owner, which may hold it as well. */
function withPossibleHolders(range: OwnedRange, other: OwnedRange): OwnedRange {
	const previous = [...range.previous];
	for (const holder of [other.owner, ...other.previous]) {
		if (![range.owner, ...previous].some(known => isSameIncarnation(known, holder))) {
			previous.push(holder);
		}
	}

	return {
		...range, first: Math.max(range.first, other.first), last: Math.min(range.last, other.last), previous,
	};
}

/** A mutable copy of an assignment. */
export class AssignmentDraft {
	ranges: OwnedRange[];
	private unreleased: UnreleasedRange[];
	private isChanged = false;
	private isUnconfirmed: boolean;
	private readonly fence: number;

	constructor(private readonly base: KeyAssignment) {
		this.ranges = base.ranges.map(range => ({...range}));
		this.unreleased = [...base.unreleased];
		this.isUnconfirmed = base.isUnconfirmed === true;
		this.fence = base.fence + 1;
	}

	/** Returns the changed assignment, or undefined if nothing changed. */
	result(writeId: string): KeyAssignment | undefined {
		return this.isChanged
			? {
				...omit(this.base, ['isUnconfirmed']),
				fence: this.fence,
				writeId,
				ranges: this.ranges,
				unreleased: this.unreleased,
				...(this.isUnconfirmed && {isUnconfirmed: true}),
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

	/** Records that no other targets may hold keys, except those that have not proved it although their holds count as expired. */
	confirmOwners(unproved: ReadonlyArray<KeyRange & {holder: TargetIncarnation}>): void {
		this.isChanged = true;
		this.isUnconfirmed = false;
		for (const {holder, ...range} of unproved) {
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
