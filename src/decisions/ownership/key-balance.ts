/**
 * Decides which ranges change owner so that targets carry load by their capacity.
 */
import type {TargetLife} from '../../model/fleet.js';
import type {KeyRange, OwnedRange} from '../../model/key-ownership.js';
import type {KeyCount} from './key-heat.js';

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

/** Difference of relative load from which a move is worth its pause; below it, counts differ by chance. */
const leastDifference = 0.5;

/** Requests, as counted with decay, that a move has to relieve. */
const leastRelief = 5;

/** Most moves of one round. */
const moveLimit = 12;

/** Bounds of a piece's load as a share of the load that levels two targets. */
const smallestPiece = 0.25;
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
	const levels = measure(ranges, counts, candidates);
	const totalLoad = levels.reduce((sum, {load}) => sum + load, 0);
	const totalCapacity = levels.reduce((sum, {candidate}) => sum + candidate.capacity, 0);
	const relative = ({load, candidate}: Level): number => (load / candidate.capacity) / (totalLoad / totalCapacity);
	const moves: KeyMove[] = [];
	const stuck = new Set<Level>();
	if (totalLoad === 0) {
		return moves;
	}

	while (moves.length < moveLimit) {
		const movable = levels.filter(level => !stuck.has(level));
		const hottest = extreme(movable, level => relative(level));
		const coldest = extreme(levels, level => -relative(level));
		if (!hottest || !coldest || relative(hottest) - relative(coldest) < leastDifference) {
			break;
		}

		const piece = choosePiece(hottest, levellingLoad(hottest, coldest));
		if (!piece) {
			stuck.add(hottest);
			continue;
		}

		move(hottest, coldest, piece);
		moves.push({range: {first: piece.first, last: piece.last}, to: coldest.candidate.life});
	}

	return moves;
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

/** Finds the piece whose load is nearest to the wanted one. */
function choosePiece(level: Level, wanted: number): CountedRange | undefined {
	if (wanted < leastRelief) {
		return undefined;
	}

	let best: CountedRange | undefined;
	for (const range of level.pieces) {
		for (const piece of pieces(range, wanted)) {
			const isFit = piece.load >= wanted * smallestPiece && piece.load <= wanted * largestPiece;
			if (isFit && (!best || Math.abs(piece.load - wanted) < Math.abs(best.load - wanted))) {
				best = piece;
			}
		}
	}

	return best;
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
