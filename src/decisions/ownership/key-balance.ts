/**
 * Decides which ranges change owner so that targets carry load by their capacity.
 */
import type {TargetLife} from '../../model/fleet.js';
import {lastKey, type KeyRange, type OwnedRange} from '../../model/key-ownership.js';
import {meanLifeS, type KeyCount} from './key-heat.js';

/** A target that may own keys. */
export type OwnerCandidate = {
	life: TargetLife;
	/** Requests a second that it can process. */
	capacity: number;
};

/** A range that changes owner. */
export type KeyMove = {
	range: KeyRange;
	to: TargetLife;
};

/** Part of its capacity from which a target is relieved; below it, waiting is short and a move would only cost. */
const busyShare = 0.45;

/** Difference of relative load from which a move is worth its pause. */
const leastDifference = 0.35;

/** A target's load has to exceed its share by at least this many standard deviations; below it, counts differ by chance. */
const leastDeviations = 2;

/** Deviations by which the most loaded of many equal targets exceeds its share by chance. */
function chanceDeviations(targetCount: number): number {
	return Math.max(leastDeviations, Math.sqrt(2 * Math.log(targetCount)));
}

/** Requests, as counted with decay, that a piece has to carry. */
const leastRelief = 2;

/** Part of its fair share that a target without load is given at once. */
const newcomerShare = 0.6;

/** A key that overloads its owner alone moves to a target that is faster by this factor. */
const fasterFactor = 1.15;

/** Most moves of one round. */
const moveLimit = 12;

/** Largest load of a piece as a share of the load that levels two targets. */
const largestPiece = 1.35;

/** Relative load of a target: 1 is the average. */
type Level = {
	candidate: OwnerCandidate;
	load: number;
	/** Pieces in the order of their keys; only these may move. */
	pieces: CountedRange[];
};

type CountedRange = KeyRange & {
	counts: KeyCount[];
	load: number;
};

/** Proposes moves from the most to the least loaded targets. */
export function balanceKeys(ranges: readonly OwnedRange[], counts: readonly KeyCount[], candidates: readonly OwnerCandidate[]): KeyMove[] {
	return new Balance(measure(ranges, counts, candidates)).moves();
}

/** One round of balancing. */
class Balance {
	private readonly totalLoad: number;
	private readonly totalCapacity: number;
	private readonly proposed: KeyMove[] = [];
	private readonly stuck = new Set<Level>();

	constructor(private readonly levels: Level[]) {
		this.totalLoad = levels.reduce((total, {load}) => total + load, 0);
		this.totalCapacity = levels.reduce((total, {candidate}) => total + candidate.capacity, 0);
	}

	moves(): KeyMove[] {
		while (this.totalLoad > 0 && this.proposed.length < moveLimit && this.relieveNext()) {
			// Each step proposes a move or rules a target out.
		}

		return this.proposed;
	}

	/** False if nothing is left to do. */
	private relieveNext(): boolean {
		const hottest = extreme(this.levels.filter(level => !this.stuck.has(level)), level => this.relative(level));
		const coldest = extreme(this.levels, level => -this.relative(level));
		if (!hottest || !coldest || hottest === coldest) {
			return false;
		}

		const wanted = this.wantedRelief(hottest, coldest);
		if (wanted === 0) {
			return false;
		}

		const piece = choosePiece(hottest, wanted);
		if (piece) {
			this.propose(hottest, coldest, piece);
			return true;
		}

		this.stuck.add(hottest);
		this.moveToFaster(hottest);
		return true;
	}

	/** Load that should leave the hottest target; 0 if it is as well where it is. */
	private wantedRelief(hottest: Level, coldest: Level): number {
		if (coldest.load === 0) {
			return this.fairLoad(coldest) * newcomerShare;
		}

		const fair = this.fairLoad(hottest);
		const isBusy = hottest.load / meanLifeS / hottest.candidate.capacity > busyShare;
		const isUneven = this.relative(hottest) - this.relative(coldest) > leastDifference;
		const isSignificant = hottest.load - fair > chanceDeviations(this.levels.length) * Math.sqrt(fair);
		return isBusy && isUneven && isSignificant ? levellingLoad(hottest, coldest) : 0;
	}

	/** A single key cannot be divided: a fast target takes it, and gives away its other keys in the next steps. */
	private moveToFaster(level: Level): void {
		const hottestPiece = extremePiece(level.pieces);
		const fastest = extreme(this.levels, ({candidate}) => candidate.capacity);
		if (!hottestPiece || !fastest || fastest === level || this.relative(level) < 1) {
			return;
		}

		if (fastest.candidate.capacity > level.candidate.capacity * fasterFactor) {
			this.propose(level, fastest, hottestKey(hottestPiece));
		}
	}

	private propose(from: Level, to: Level, piece: CountedRange): void {
		move(from, to, piece);
		this.proposed.push({range: {first: piece.first, last: piece.last}, to: to.candidate.life});
	}

	private relative(level: Level): number {
		return level.load / this.fairLoad(level);
	}

	private fairLoad({candidate}: Level): number {
		return this.totalLoad * candidate.capacity / this.totalCapacity;
	}
}

function measure(ranges: readonly OwnedRange[], counts: readonly KeyCount[], candidates: readonly OwnerCandidate[]): Level[] {
	const levels = new Map(candidates.map(candidate => [candidate.life.id, {candidate, load: 0, pieces: [] as CountedRange[]}]));
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
			level.pieces.push({
				first: range.first, last: range.last, counts: inRange, load,
			});
		}
	}

	return [...levels.values()];
}

/** Load that has to move so that both targets are loaded alike. */
function levellingLoad(hottest: Level, coldest: Level): number {
	const hotCapacity = hottest.candidate.capacity;
	const coldCapacity = coldest.candidate.capacity;
	return ((hottest.load * coldCapacity) - (coldest.load * hotCapacity)) / (hotCapacity + coldCapacity);
}

/** How much worse a piece is for each share of all keys that it holds; keys that change hands are priced and start cold. */
const keyShareCost = 4;

/** Finds the piece whose load is nearest to the wanted one, with few keys. */
function choosePiece(level: Level, wanted: number): CountedRange | undefined {
	let best: CountedRange | undefined;
	for (const range of level.pieces) {
		for (const piece of pieces(range, wanted)) {
			const isFit = piece.load >= leastRelief && piece.load <= wanted * largestPiece;
			if (isFit && (!best || pieceCost(piece, wanted) < pieceCost(best, wanted))) {
				best = piece;
			}
		}
	}

	return best;
}

function pieceCost({first, last, load}: CountedRange, wanted: number): number {
	return (Math.abs(load - wanted) / wanted) + (keyShareCost * (last - first + 1) / (lastKey + 1));
}

/** Contiguous pieces of about the wanted load: one from the start of the range and one from each key that overshot. */
function pieces(range: CountedRange, wanted: number): CountedRange[] {
	const found: CountedRange[] = [];
	let {first} = range;
	let gathered: KeyCount[] = [];
	let load = 0;
	for (const count of range.counts) {
		if (load > 0 && load + count.count > wanted) {
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

function move(from: Level, to: Level, piece: CountedRange): void {
	from.load -= piece.load;
	to.load += piece.load;
	const rest: CountedRange[] = [];
	for (const range of from.pieces) {
		rest.push(...without(range, piece));
	}

	from.pieces = rest;
}

function without(range: CountedRange, piece: CountedRange): CountedRange[] {
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

function extremePiece(ranges: readonly CountedRange[]): CountedRange | undefined {
	return ranges.toSorted((left, right) => right.load - left.load)[0];
}

/** The part of a range with its hottest key alone. */
function hottestKey(range: CountedRange): CountedRange {
	const [hottest] = range.counts.toSorted((left, right) => right.count - left.count);
	return hottest ? slice(range, hottest.key, hottest.key) : range;
}

function sum(counts: readonly KeyCount[]): number {
	return counts.reduce((total, {count}) => total + count, 0);
}

function extreme(levels: readonly Level[], measureOf: (level: Level) => number): Level | undefined {
	let best: Level | undefined;
	for (const level of levels) {
		if (!best || measureOf(level) > measureOf(best)) {
			best = level;
		}
	}

	return best;
}
