/**
 * Decides which ranges change owner so that each target's load is proportional to its capacity.
 */
import type {TargetIncarnation} from '../../model/fleet.js';
import {lastKey, type KeyRange, type OwnedRange} from '../../model/key-ownership.js';
import {meanLifetimeS, type KeyCount} from './key-request-rates.js';

/** A target that is eligible to own keys. */
export type OwnerCandidate = {
	incarnation: TargetIncarnation;
	/** Requests per second that the target can process. */
	capacity: number;
	/** True if the target must not exceed its capacity. */
	hasHardLimit?: boolean;
};

/** A range that changes owner. */
export type KeyMove = {
	range: KeyRange;
	to: TargetIncarnation;
};

/** Utilization above which a target is relieved; below it, queues are short and a move costs more than it gains. */
const busyUtilization = 0.45;

/** Difference in relative load, of which 1 is the fair share, above which a move is worth the pause it causes. */
const minRelativeDifference = 0.35;

/** A target is relieved only if its load exceeds its fair share by this many standard deviations; the rest is noise. */
const minDeviations = 2;

/** Standard deviations by which noise alone lifts the highest load of this many equal targets above the fair share. */
function significantDeviations(targetCount: number): number {
	return Math.max(minDeviations, Math.sqrt(2 * Math.log(targetCount)));
}

/** Smallest load of a piece that is moved, as a decayed request count. */
const minPieceLoad = 2;

/** Part of its fair share that a target without load receives in one move. */
const newTargetShare = 0.6;

/** A single key that overloads its owner moves only to a target that is faster by this factor. */
const minSpeedup = 1.15;

const maxMovesPerRound = 12;

/** Largest load of a piece, as a multiple of the desired load. */
const maxPieceLoadFactor = 1.35;

/** Load of a target during a round. */
type TargetLevel = {
	candidate: OwnerCandidate;
	load: number;
	/** Ranges that may move, in the order of their keys; those already moving are left out. */
	movableRanges: CountedRange[];
};

type CountedRange = KeyRange & {
	counts: KeyCount[];
	load: number;
};

/** Proposes moves from the most loaded to the least loaded targets. */
export function balanceKeys(ranges: readonly OwnedRange[], counts: readonly KeyCount[], candidates: readonly OwnerCandidate[]): KeyMove[] {
	return new BalancingRound(measureLevels(ranges, counts, candidates)).moves();
}

class BalancingRound {
	private readonly totalLoad: number;
	private readonly totalCapacity: number;
	private readonly proposed: KeyMove[] = [];
	private readonly unrelievable = new Set<TargetLevel>();

	constructor(private readonly levels: TargetLevel[]) {
		this.totalLoad = levels.reduce((total, {load}) => total + load, 0);
		this.totalCapacity = levels.reduce((total, {candidate}) => total + candidate.capacity, 0);
	}

	moves(): KeyMove[] {
		while (this.totalLoad > 0 && this.proposed.length < maxMovesPerRound && this.relieveNext()) {
			// Each step proposes a move or excludes a target.
		}

		return this.proposed;
	}

	/** Returns false if nothing is left to do. */
	private relieveNext(): boolean {
		const mostLoaded = maxBy(this.levels.filter(level => !this.unrelievable.has(level)), level => this.relativeLoad(level));
		const leastLoaded = maxBy(this.levels.filter(level => hasRoom(level)), level => -this.relativeLoad(level));
		if (!mostLoaded || !leastLoaded || mostLoaded === leastLoaded) {
			return false;
		}

		const desiredLoad = Math.min(this.loadToMove(mostLoaded, leastLoaded), roomOf(leastLoaded) / maxPieceLoadFactor);
		if (desiredLoad === 0) {
			return false;
		}

		const piece = choosePiece(mostLoaded, desiredLoad);
		if (piece) {
			this.propose(mostLoaded, leastLoaded, piece);
			return true;
		}

		this.unrelievable.add(mostLoaded);
		this.moveHottestKeyToFastest(mostLoaded);
		return true;
	}

	/** Load to move away from the most loaded target; 0 if a move is not worthwhile. */
	private loadToMove(mostLoaded: TargetLevel, leastLoaded: TargetLevel): number {
		if (leastLoaded.load === 0) {
			return this.fairLoad(leastLoaded) * newTargetShare;
		}

		const fair = this.fairLoad(mostLoaded);
		const isBusy = mostLoaded.load / meanLifetimeS / mostLoaded.candidate.capacity > busyUtilization;
		const isUneven = this.relativeLoad(mostLoaded) - this.relativeLoad(leastLoaded) > minRelativeDifference;
		const isSignificant = mostLoaded.load - fair > significantDeviations(this.levels.length) * Math.sqrt(fair);
		return isBusy && isUneven && isSignificant ? equalizingLoad(mostLoaded, leastLoaded) : 0;
	}

	/** A single key cannot be split: the fastest target takes it and sheds its other keys in the next steps. */
	private moveHottestKeyToFastest(level: TargetLevel): void {
		const range = mostLoadedRange(level.movableRanges);
		const fastest = maxBy(this.levels, ({candidate}) => candidate.capacity);
		if (!range || !fastest || fastest === level || this.relativeLoad(level) < 1) {
			return;
		}

		const piece = pieceOfHottestKey(range);
		if (fastest.candidate.capacity > level.candidate.capacity * minSpeedup && piece.load <= roomOf(fastest)) {
			this.propose(level, fastest, piece);
		}
	}

	private propose(from: TargetLevel, to: TargetLevel, piece: CountedRange): void {
		transferPiece(from, to, piece);
		this.proposed.push({range: {first: piece.first, last: piece.last}, to: to.candidate.incarnation});
	}

	private relativeLoad(level: TargetLevel): number {
		return level.load / this.fairLoad(level);
	}

	private fairLoad({candidate}: TargetLevel): number {
		return this.totalLoad * candidate.capacity / this.totalCapacity;
	}
}

/** Load that a target may still get, as a decayed request count. */
function roomOf({candidate: {capacity, hasHardLimit}, load}: TargetLevel): number {
	return hasHardLimit ? (capacity * meanLifetimeS) - load : Infinity;
}

function hasRoom(level: TargetLevel): boolean {
	return roomOf(level) >= minPieceLoad * maxPieceLoadFactor;
}

function measureLevels(ranges: readonly OwnedRange[], counts: readonly KeyCount[], candidates: readonly OwnerCandidate[]): TargetLevel[] {
	const levels = new Map(candidates.map(candidate => [candidate.incarnation.id, {candidate, load: 0, movableRanges: [] as CountedRange[]}]));
	let index = 0;
	for (const range of ranges) {
		const inRange: KeyCount[] = [];
		for (; index < counts.length && (counts[index]?.key ?? 0) <= range.last; index += 1) {
			const count = counts[index];
			if (count && count.key >= range.first) {
				inRange.push(count);
			}
		}

		const level = levels.get(range.owner.id);
		if (!level) {
			continue;
		}

		const load = sum(inRange);
		level.load += load;
		if (range.previous.length === 0) {
			level.movableRanges.push({
				first: range.first, last: range.last, counts: inRange, load,
			});
		}
	}

	return [...levels.values()];
}

/** Load to move so that both targets have the same relative load. */
function equalizingLoad(mostLoaded: TargetLevel, leastLoaded: TargetLevel): number {
	const mostLoadedCapacity = mostLoaded.candidate.capacity;
	const leastLoadedCapacity = leastLoaded.candidate.capacity;
	return ((mostLoaded.load * leastLoadedCapacity) - (leastLoaded.load * mostLoadedCapacity)) / (mostLoadedCapacity + leastLoadedCapacity);
}

/** Weight of a piece's share of all keys in its cost: a change of owner is priced per key, and the new owner's cache is cold. */
const keyShareCost = 4;

/** Finds the piece whose load is closest to the desired one, preferring few keys. */
function choosePiece(level: TargetLevel, desiredLoad: number): CountedRange | undefined {
	let best: CountedRange | undefined;
	for (const range of level.movableRanges) {
		for (const piece of candidatePieces(range, desiredLoad)) {
			const isFit = piece.load >= minPieceLoad && piece.load <= desiredLoad * maxPieceLoadFactor;
			if (isFit && (!best || pieceCost(piece, desiredLoad) < pieceCost(best, desiredLoad))) {
				best = piece;
			}
		}
	}

	return best;
}

function pieceCost({first, last, load}: CountedRange, desiredLoad: number): number {
	return (Math.abs(load - desiredLoad) / desiredLoad) + (keyShareCost * (last - first + 1) / (lastKey + 1));
}

/** Splits a range into contiguous pieces of about the desired load; a key that would exceed it starts the next piece. */
function candidatePieces(range: CountedRange, desiredLoad: number): CountedRange[] {
	const found: CountedRange[] = [];
	let {first} = range;
	let gathered: KeyCount[] = [];
	let load = 0;
	for (const count of range.counts) {
		if (load > 0 && load + count.count > desiredLoad) {
			found.push({
				first, last: count.key - 1, counts: gathered, load,
			});
			first = count.key;
			gathered = [];
			load = 0;
		}

		gathered.push(count);
		load += count.count;
	}

	found.push({
		first, last: range.last, counts: gathered, load,
	});
	return found;
}

function transferPiece(from: TargetLevel, to: TargetLevel, piece: CountedRange): void {
	from.load -= piece.load;
	to.load += piece.load;
	const rest: CountedRange[] = [];
	for (const range of from.movableRanges) {
		rest.push(...subtract(range, piece));
	}

	from.movableRanges = rest;
}

function subtract(range: CountedRange, piece: CountedRange): CountedRange[] {
	if (piece.last < range.first || piece.first > range.last) {
		return [range];
	}

	const before = slice(range, range.first, piece.first - 1);
	const after = slice(range, piece.last + 1, range.last);
	return [before, after].filter(part => part.first <= part.last);
}

function slice(range: CountedRange, first: number, last: number): CountedRange {
	const counts = range.counts.filter(({key}) => key >= first && key <= last);
	return {
		first, last, counts, load: sum(counts),
	};
}

function mostLoadedRange(ranges: readonly CountedRange[]): CountedRange | undefined {
	return ranges.toSorted((left, right) => right.load - left.load)[0];
}

/** The part of a range that holds only its hottest key. */
function pieceOfHottestKey(range: CountedRange): CountedRange {
	const [hottest] = range.counts.toSorted((left, right) => right.count - left.count);
	return hottest ? slice(range, hottest.key, hottest.key) : range;
}

function sum(counts: readonly KeyCount[]): number {
	return counts.reduce((total, {count}) => total + count, 0);
}

function maxBy(levels: readonly TargetLevel[], measureOf: (level: TargetLevel) => number): TargetLevel | undefined {
	let best: TargetLevel | undefined;
	for (const level of levels) {
		if (!best || measureOf(level) > measureOf(best)) {
			best = level;
		}
	}

	return best;
}
