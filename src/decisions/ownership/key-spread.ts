/**
 * Divides the keys of owners that leave among the remaining targets, in proportion to the capacity that they have to spare.
 *
 * The leaving ranges are laid end to end, and each target takes one section. This creates at most one more range for each target,
 * however many ranges leave.
 */
import type {TargetIncarnation} from '../../model/fleet.js';
import {lastKey, type KeyRange, type OwnedRange} from '../../model/key-ownership.js';
import type {KeyMove, OwnerCandidate} from './key-balance.js';
import {meanLifetimeS, type KeyCount} from './key-request-rates.js';

/** Part of the counted requests that is added evenly to all keys, because the counts are a sample and miss rarely requested keys. */
const uniformShare = 0.1;

/** Requests that are assumed for all keys together while none is counted. */
const assumedCount = 1;

/** Part of a section, and of the next one, by which their common end may differ, so that a range is not cut close to its end. */
const sectionTolerance = 0.25;

/**
 * Most ranges of a service after a division. The message with the changed ranges has to fit into a datagram of 65,507 bytes, and a
 * moving range takes up to about 45 bytes of it.
 */
const rangeLimit = 1000;

/** Proposes new owners for leaving ranges, which no candidate owns. */
export function spreadKeys(leaving: readonly OwnedRange[], input: {ranges: readonly OwnedRange[]; counts: readonly KeyCount[]; candidates: readonly OwnerCandidate[]}): KeyMove[] {
	if (leaving.length === 0 || input.candidates.length === 0) {
		return [];
	}

	const loads = new KeyLoads(input.counts);
	const sections = measureSections(leaving, loads, input);
	return input.ranges.length + sections.length <= rangeLimit ? cutSections(leaving, loads, sections) : moveWhole(leaving, loads, sections);
}

/** Requests per second of ranges. */
class KeyLoads {
	/** Requests per second for all keys below each key. */
	private readonly below = new Float64Array(lastKey + 2);

	constructor(counts: readonly KeyCount[]) {
		const counted = counts.reduce((total, {count}) => total + count, 0);
		const uniform = Math.max(assumedCount, counted * uniformShare) / (lastKey + 1);
		for (const {key, count} of counts) {
			this.below[key + 1] = count;
		}

		for (let key = 0; key <= lastKey; key += 1) {
			this.below[key + 1] = this.below[key] + ((this.below[key + 1] + uniform) / meanLifetimeS);
		}
	}

	of({first, last}: KeyRange): number {
		return this.below[last + 1] - this.below[first];
	}

	/** Last key of the section from `first` whose load is closest to the desired one; less than `first` if no key fits. */
	endOf(first: number, load: number): number {
		const bound = this.below[first] + load;
		let low = first;
		let high = lastKey + 1;
		while (low < high) {
			const middle = Math.ceil((low + high) / 2);
			if (this.below[middle] <= bound) {
				low = middle;
			} else {
				high = middle - 1;
			}
		}

		const isNextCloser = low <= lastKey && this.below[low + 1] - bound < bound - this.below[low];
		return isNextCloser ? low : low - 1;
	}
}

/** The part of the leaving load that a target takes, in requests per second. */
type Section = {
	to: TargetIncarnation;
	load: number;
};

function measureSections(leaving: readonly OwnedRange[], loads: KeyLoads, {ranges, candidates}: {ranges: readonly OwnedRange[]; candidates: readonly OwnerCandidate[]}): Section[] {
	const ownLoads = new Map<string, number>();
	for (const range of ranges) {
		ownLoads.set(range.owner.id, (ownLoads.get(range.owner.id) ?? 0) + loads.of(range));
	}

	const spare = candidates.map(({incarnation, capacity}) => Math.max(0, capacity - (ownLoads.get(incarnation.id) ?? 0)));
	const total = leaving.reduce((sum, range) => sum + loads.of(range), 0);
	const totalSpare = spare.reduce((sum, each) => sum + each, 0);
	// What exceeds the capacity of all targets goes to targets without a hard limit.
	const elastic = candidates.filter(({hasHardLimit}) => hasHardLimit !== true);
	const bearers = elastic.length > 0 ? elastic : candidates;
	const bearerCapacity = bearers.reduce((sum, {capacity}) => sum + capacity, 0);
	const excess = Math.max(0, total - totalSpare);
	const scale = totalSpare > 0 ? Math.min(1, total / totalSpare) : 0;
	return candidates
		.map((candidate, index): Section => ({
			to: candidate.incarnation,
			load: (spare[index] * scale) + (bearers.includes(candidate) ? excess * candidate.capacity / bearerCapacity : 0),
		}))
		.filter(({load}) => load > 0);
}

function cutSections(leaving: readonly OwnedRange[], loads: KeyLoads, sections: readonly Section[]): KeyMove[] {
	const moves: KeyMove[] = [];
	let index = 0;
	let bound = sections[0].load;
	let assigned = 0;
	const startNext = (): void => {
		index += 1;
		bound += sections[index].load;
	};

	for (const {first, last} of leaving) {
		let next = first;
		while (next <= last) {
			const section = sections[index];
			const rest = loads.of({first: next, last});
			const isLastSection = index === sections.length - 1;
			const tolerance = isLastSection ? Infinity : Math.min(section.load, sections[index + 1].load) * sectionTolerance;
			const end = assigned + rest <= bound + tolerance ? last : Math.min(last, loads.endOf(next, bound - assigned));
			if (end >= next) {
				moves.push({range: {first: next, last: end}, to: section.to});
				assigned += loads.of({first: next, last: end});
				next = end + 1;
			}

			if (!isLastSection && (end < last || assigned >= bound - tolerance)) {
				startNext();
			}
		}
	}

	return moves;
}

/** Moves each range to the target of which the most load is left to take. */
function moveWhole(leaving: readonly OwnedRange[], loads: KeyLoads, sections: readonly Section[]): KeyMove[] {
	const left = sections.map(section => ({...section}));
	return leaving
		.toSorted((one, other) => loads.of(other) - loads.of(one))
		.map(({first, last}): KeyMove => {
			const [most] = left.toSorted((one, other) => other.load - one.load);
			most.load -= loads.of({first, last});
			return {range: {first, last}, to: most.to};
		});
}
