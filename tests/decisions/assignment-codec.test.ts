import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {
	applyAssignmentChange, diffAssignment, decodeAssignment, encodeAssignment,
} from '../../src/decisions/fleet/assignment-codec.js';
import {AssignmentDraft, initialAssignment} from '../../src/decisions/ownership/assignment-draft.js';
import {MalformedDocumentError} from '../../src/model/errors.js';
import type {KeyAssignment} from '../../src/model/key-ownership.js';

const incarnations = Array.from({length: 146}, (_, index) => ({id: `i-${String(index).padStart(10, '0')}`, bornAt: 1_800_000_000_000 + index, address: `10.2.64.${index}:8641`}));

const initial = initialAssignment('service', incarnations);

function moved(assignment: KeyAssignment, moves: Array<{first: number; length: number; owner: number}>): KeyAssignment {
	const draft = new AssignmentDraft(assignment);
	for (const {first, length, owner} of moves) {
		const range = draft.ranges.find(each => each.first <= first && each.last >= first);
		draft.movePart({first, last: Math.min(range?.last ?? first, first + length)}, incarnations[owner % incarnations.length]);
	}

	return draft.result('write') ?? assignment;
}

const someMoves = fc.array(fc.record({first: fc.nat(65_535), length: fc.nat(400), owner: fc.nat(145)}), {minLength: 1, maxLength: 12});

test('should preserve an assignment through encoding and through differences', t => {
	fc.assert(fc.property(fc.array(someMoves, {minLength: 1, maxLength: 6}), steps => {
		let before = {assignment: initial, revision: 1};
		for (const [index, moves] of steps.entries()) {
			const after = {assignment: moved(before.assignment, moves), revision: index + 2};
			t.deepEqual(decodeAssignment(encodeAssignment(after.assignment)), after.assignment);
			t.deepEqual(applyAssignmentChange(diffAssignment(after, before), before.assignment), after);
			t.deepEqual(applyAssignmentChange(diffAssignment(after)), after);
			before = after;
		}
	}), {seed: 1, numRuns: 60});
});

test('should encode a move in a large service in a small message', t => {
	const before = {assignment: initial, revision: 1};
	const change = diffAssignment({assignment: moved(initial, [{first: 1000, length: 60, owner: 7}]), revision: 2}, before);
	t.true(Buffer.byteLength(JSON.stringify(change)) < 700);
});

test('should preserve both addresses of an owner that has moved', t => {
	const draft = new AssignmentDraft(initial);
	const [first] = draft.ranges;
	draft.replaceOwner(first, {...incarnations[0], address: '10.2.64.200:8641'});
	const after = draft.result('write');
	t.deepEqual(after && decodeAssignment(encodeAssignment(after)), after);
});

const malformedDocuments = [
	{title: 'null instead of an object', text: 'null'},
	{title: 'no ranges', text: JSON.stringify({...JSON.parse(encodeAssignment(initial)) as Record<string, unknown>, ranges: undefined})},
	{title: 'an owner that is not listed', text: encodeAssignment(initial).replace(/"ranges":\[\[0,(?<last>\d+),0/v, '"ranges":[[0,$<last>,999')},
	{title: 'a gap between ranges', text: encodeAssignment({...initial, ranges: initial.ranges.slice(1)})},
	{title: 'a missing last range', text: encodeAssignment({...initial, ranges: initial.ranges.slice(0, -1)})},
];

for (const {title, text} of malformedDocuments) {
	test(`should reject an assignment with ${title}`, t => {
		t.throws(() => decodeAssignment(text), {instanceOf: MalformedDocumentError});
	});
}

test('should reject a difference that does not fit its base', t => {
	const after = {assignment: moved(initial, [{first: 1000, length: 60, owner: 7}]), revision: 2};
	const other = initialAssignment('service', incarnations.slice(0, 3));
	t.throws(() => applyAssignmentChange(diffAssignment(after, {assignment: initial, revision: 1}), other), {instanceOf: MalformedDocumentError});
});

test('should keep two addresses of one id and start apart', t => {
	const before = initialAssignment('service', [{id: 'i-1', bornAt: 1, address: '10.0.0.1:80'}]);
	const draft = new AssignmentDraft(before);
	const [range] = draft.ranges;
	if (range) {
		draft.replaceOwner(range, {id: 'i-1', bornAt: 1, address: '10.0.0.2:80'});
	}

	const assignment = draft.result('write') ?? before;
	t.deepEqual(decodeAssignment(encodeAssignment(assignment)), assignment);
});

test('should preserve unreleased ranges through encoding and through differences', t => {
	const before = {assignment: initial, revision: 1};
	const draft = new AssignmentDraft(initial);
	const [range] = draft.ranges;
	draft.replaceOwner(range, incarnations[1]);
	draft.finishMove(range, [incarnations[0]]);
	const after = {assignment: draft.result('write') ?? initial, revision: 2};
	t.is(after.assignment.unreleased.length, 1);
	t.deepEqual(decodeAssignment(encodeAssignment(after.assignment)), after.assignment);
	t.deepEqual(applyAssignmentChange(diffAssignment(after, before), before.assignment), after);
});

test('should read an assignment of an earlier version, which names no unreleased ranges', t => {
	t.false(encodeAssignment(initial).includes('unreleased'));
	t.deepEqual(decodeAssignment(encodeAssignment(initial)).unreleased, []);
});
