import test from 'ava';
import {AssignmentDraft, initialAssignment} from '../../src/decisions/ownership/assignment-draft.js';
import {ReleasePacing} from '../../src/decisions/ownership/release-pacing.js';
import type {TargetIncarnation} from '../../src/model/fleet.js';
import {lastKey, type KeyAssignment} from '../../src/model/key-ownership.js';

const [first, second, third] = ['i-1', 'i-2', 'i-3'].map((id, index): TargetIncarnation => ({id, bornAt: 1, address: `10.0.0.${index}:80`}));

/** Two ranges of the first target and one of the second. */
const initial: KeyAssignment = initialAssignment('service', [first, first, second]);

/** Moves ranges to the third target without proof that the owner before holds none. */
function moveWithoutProof(assignment: KeyAssignment, indexes: number[]): KeyAssignment {
	const draft = new AssignmentDraft(assignment);
	for (const index of indexes) {
		const {owner} = draft.ranges[index];
		draft.replaceOwner(draft.ranges[index], third);
		draft.finishMove(draft.ranges[index], [owner]);
	}

	return draft.result('write') ?? assignment;
}

test('should remember the range of a former owner that keeps other keys', t => {
	const {unreleased, fence} = moveWithoutProof(initial, [0]);
	const {first: from, last} = initial.ranges[0];
	t.deepEqual(unreleased, [{
		first: from, last, holder: first, fence,
	}]);
});

test('should remember a former owner without any keys once for all keys', t => {
	const {unreleased, fence} = moveWithoutProof(initial, [0, 1]);
	t.deepEqual(unreleased, [{
		first: 0, last: lastKey, holder: first, fence,
	}]);
});

test('should remember former owners through later changes and a change of the leader', t => {
	const moved = moveWithoutProof(initial, [0, 1]);
	const draft = new AssignmentDraft(moved);
	draft.raiseFences();
	draft.mergeNeighbours();
	t.deepEqual(draft.result('write')?.unreleased, moved.unreleased);
});

test('should forget a former owner that has answered a release', t => {
	const moved = moveWithoutProof(initial, [0, 1]);
	const draft = new AssignmentDraft(moved);
	draft.removeUnreleased(moved.unreleased);
	t.deepEqual(draft.result('write')?.unreleased, []);
});

test('should not go on releasing keys that a former owner gets back', t => {
	const moved = moveWithoutProof(initial, [0]);
	const draft = new AssignmentDraft(moved);
	draft.replaceOwner(draft.ranges[0], first);
	t.deepEqual(draft.result('write')?.unreleased, []);
});

test('should remember no former owner that has proved that it holds no keys', t => {
	const draft = new AssignmentDraft(initial);
	draft.replaceOwner(draft.ranges[0], third);
	draft.finishMove(draft.ranges[0], []);
	t.deepEqual(draft.result('write')?.unreleased, []);
});

const paceCases = [
	{title: 'each 300 ms at first', sinceMs: 0, intervalMs: 300},
	{title: 'each second after 15 s', sinceMs: 15_000, intervalMs: 1000},
	{title: 'each 5 s after a minute', sinceMs: 60_000, intervalMs: 5000},
];

for (const {title, sinceMs, intervalMs} of paceCases) {
	test(`should release ${title}`, t => {
		const pacing = new ReleasePacing(0);
		t.true(pacing.start(sinceMs));
		t.false(pacing.start(sinceMs + intervalMs - 1));
		t.true(pacing.start(sinceMs + intervalMs));
	});
}

test('should not wait for more than three releases at a time', t => {
	const pacing = new ReleasePacing(0);
	t.deepEqual([0, 300, 600, 900].map(now => pacing.start(now)), [true, true, true, false]);
	pacing.end();
	t.true(pacing.start(900));
});
