import test from 'ava';
import {balanceKeys, type KeyMove, type OwnerCandidate} from '../../src/decisions/ownership/key-balance.js';
import type {KeyCount} from '../../src/decisions/ownership/key-request-rates.js';
import {initialAssignment} from '../../src/decisions/ownership/assignment-draft.js';
import {lastKey, type OwnedRange} from '../../src/model/key-ownership.js';

function candidate(index: number, capacity: number): OwnerCandidate {
	return {incarnation: {id: `target-${index}`, bornAt: index, address: `target-${index}:1`}, capacity};
}

function evenCounts(total: number, size = 256): KeyCount[] {
	return Array.from({length: size}, (_, index) => ({key: Math.floor(index * (lastKey + 1) / size), count: total / size}));
}

function rangesOf(candidates: readonly OwnerCandidate[]): OwnedRange[] {
	return initialAssignment('service', candidates.map(({incarnation}) => incarnation)).ranges;
}

/** Load of each candidate after the moves. */
function loadsAfter(ranges: readonly OwnedRange[], counts: readonly KeyCount[], moves: readonly KeyMove[]): Map<string, number> {
	const loads = new Map<string, number>();
	for (const {key, count} of counts) {
		const moved = moves.findLast(({range}) => key >= range.first && key <= range.last);
		const owner = moved?.to.id ?? ranges.find(({first, last}) => key >= first && key <= last)?.owner.id ?? '';
		loads.set(owner, (loads.get(owner) ?? 0) + count);
	}

	return loads;
}

const four = [0, 1, 2, 3].map(index => candidate(index, 40));

/** Counts cover the requests of about three seconds; 40 requests per second saturate a target. */
const cases: Array<{title: string; candidates: OwnerCandidate[]; counts: KeyCount[]; check(moves: KeyMove[], loads: Map<string, number>): boolean}> = [
	{
		title: 'move nothing while load is even',
		candidates: four,
		counts: evenCounts(300),
		check: moves => moves.length === 0,
	},
	{
		title: 'move nothing while targets are idle, however uneven the load',
		candidates: four,
		counts: [...evenCounts(40), {key: 40_000, count: 20}].toSorted((left, right) => left.key - right.key),
		check: moves => moves.length === 0,
	},
	{
		title: 'spread hot neighbours over several targets',
		candidates: four,
		counts: Array.from({length: 200}, (_, index) => ({key: 20_000 + index, count: 1.6})),
		check: (moves, loads) => moves.length > 0 && Math.max(...loads.values()) < 140,
	},
	{
		title: 'move few keys when hot neighbours are spread',
		candidates: four,
		counts: Array.from({length: 200}, (_, index) => ({key: 20_000 + index, count: 1.6})),
		check: moves => moves.reduce((sum, {range}) => sum + range.last - range.first + 1, 0) < lastKey / 2,
	},
	{
		title: 'give a single hot key to a faster target',
		candidates: [candidate(0, 40), candidate(1, 40), candidate(2, 40), candidate(3, 90)],
		counts: [...evenCounts(100), {key: 1000, count: 250}].toSorted((left, right) => left.key - right.key),
		check: moves => moves.some(({range, to}) => range.first <= 1000 && range.last >= 1000 && to.id === 'target-3'),
	},
	{
		title: 'leave a single hot key with the fastest target',
		candidates: [candidate(0, 90), candidate(1, 40), candidate(2, 40), candidate(3, 40)],
		counts: [{key: 1000, count: 250}],
		check: moves => !moves.some(({range}) => range.first <= 1000 && range.last >= 1000),
	},
];

for (const {title, candidates, counts, check} of cases) {
	test(`should ${title}`, t => {
		const ranges = rangesOf(candidates);
		const moves = balanceKeys(ranges, counts, candidates);
		const loads = loadsAfter(ranges, counts, moves);
		t.true(check(moves, loads), `moves: ${moves.length}, loads: ${[...loads.values()].join(', ')}`);
	});
}

test('should give a target without keys its first keys although no target is busy', t => {
	const ranges = rangesOf(four);
	const newcomer = candidate(9, 40);
	const moves = balanceKeys(ranges, evenCounts(100), [...four, newcomer]);
	t.true(moves.some(({to}) => to.id === 'target-9'));
});

test('should not move ranges that are already moving', t => {
	const ranges = rangesOf(four).map(range => ({...range, previous: [range.owner]}));
	const counts = Array.from({length: 200}, (_, index) => ({key: 20_000 + index, count: 1.6}));
	t.deepEqual(balanceKeys(ranges, counts, four), []);
});
