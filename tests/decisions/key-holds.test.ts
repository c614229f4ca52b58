import test from 'ava';
import {GrantOutcome, KeyHolds} from '../../src/decisions/ownership/key-holds.js';
import {HoldPolicy} from '../../src/decisions/ownership/hold-policy.js';
import type {KeyRange} from '../../src/model/key-ownership.js';

const holdMs = 1000;
const policy = new HoldPolicy({holdLimitMs: 10_000, thawSlackMs: 300});
const whole: KeyRange = {first: 0, last: 99};
const left: KeyRange = {first: 0, last: 49};
const right: KeyRange = {first: 50, last: 99};

type Case = {
	title: string;
	/** Range that is asked about; all keys of the case if absent. */
	range?: KeyRange;
	expected: {outcome: GrantOutcome; arrivesBy: number} | undefined;
	/** What happens, starting at 0; the leader took over at 0. */
	record(holds: KeyHolds): void;
};

/** Orders for all keys that make grants of earlier leaders void. */
function answerFirst(holds: KeyHolds): void {
	holds.recordAnswer(holds.add(whole, 1, holdMs, 0), 10);
}

const cases: Case[] = [
	{
		title: 'assume a hold of an earlier leader before the first answer',
		record() {
			// Nothing is known.
		},
		expected: {outcome: GrantOutcome.Inherited, arrivesBy: 2000},
	},
	{
		title: 'assume a hold of an earlier leader for keys of which only a part was answered',
		record(holds) {
			holds.recordAnswer(holds.add(left, 1, holdMs, 0), 10);
		},
		expected: {outcome: GrantOutcome.Inherited, arrivesBy: 2000},
	},
	{
		title: 'assume no hold of an earlier leader for the part that was answered',
		record(holds) {
			holds.recordAnswer(holds.add(left, 1, holdMs, 0), 10);
		},
		range: {first: 10, last: 20},
		expected: {outcome: GrantOutcome.Answered, arrivesBy: 10},
	},
	{
		title: 'count an answered grant from its answer',
		record: answerFirst,
		expected: {outcome: GrantOutcome.Answered, arrivesBy: 10},
	},
	{
		title: 'wait for a grant in flight',
		record(holds) {
			answerFirst(holds);
			holds.add(right, 1, holdMs, 700);
		},
		expected: {outcome: GrantOutcome.Pending, arrivesBy: Infinity},
	},
	{
		title: 'let an unanswered grant arrive after its timeout',
		record(holds) {
			answerFirst(holds);
			holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 1000);
		},
		expected: {outcome: GrantOutcome.Unanswered, arrivesBy: 2700},
	},
	{
		title: 'let a grant whose connection was reset arrive as late as one that timed out',
		record(holds) {
			answerFirst(holds);
			holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 705);
		},
		expected: {outcome: GrantOutcome.Unanswered, arrivesBy: 2700},
	},
	{
		title: 'count the late arrival from the failure if the leader was busy before it sent the grant',
		record(holds) {
			answerFirst(holds);
			holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 3000);
		},
		expected: {outcome: GrantOutcome.Unanswered, arrivesBy: 4700},
	},
	{
		title: 'ignore a grant that was not sent',
		record(holds) {
			answerFirst(holds);
			holds.discard(holds.add(whole, 1, holdMs, 700));
		},
		expected: {outcome: GrantOutcome.Answered, arrivesBy: 10},
	},
	{
		title: 'keep an unanswered grant when a later one with the same token is answered',
		record(holds) {
			answerFirst(holds);
			holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 1000);
			holds.recordAnswer(holds.add(whole, 1, holdMs, 1100), 1110);
		},
		expected: {outcome: GrantOutcome.Unanswered, arrivesBy: 2700},
	},
	{
		title: 'void an unanswered grant when one with a higher token is answered',
		record(holds) {
			answerFirst(holds);
			holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 1000);
			holds.recordAnswer(holds.add(whole, 2, holdMs, 1100), 1110);
		},
		expected: {outcome: GrantOutcome.Answered, arrivesBy: 1110},
	},
	{
		title: 'keep a longer hold when a shorter renewal is answered',
		record(holds) {
			holds.recordAnswer(holds.add(whole, 1, 10_000, 0), 10);
			holds.recordAnswer(holds.add(whole, 1, holdMs, 700), 710);
		},
		expected: {outcome: GrantOutcome.Answered, arrivesBy: 10},
	},
	{
		title: 'not take the answer for a part for the whole',
		record(holds) {
			answerFirst(holds);
			holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 1000);
			holds.recordRelease(left, 2);
		},
		expected: {outcome: GrantOutcome.Unanswered, arrivesBy: 2700},
	},
	{
		title: 'clear the part that was released',
		record(holds) {
			answerFirst(holds);
			holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 1000);
			holds.recordRelease(left, 2);
		},
		range: left,
		expected: undefined,
	},
	{
		title: 'clear the whole once each part was released',
		record(holds) {
			answerFirst(holds);
			holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 1000);
			holds.recordRelease(left, 2);
			holds.recordRelease(right, 2);
		},
		expected: undefined,
	},
];

for (const {title, record, range = whole, expected} of cases) {
	test(`should ${title}`, t => {
		const holds = new KeyHolds(policy, 0);
		record(holds);
		const evidence = holds.evidenceFor(range);
		t.deepEqual(evidence && {outcome: evidence.outcome, arrivesBy: evidence.arrivesBy}, expected);
	});
}

const freedomCases: Array<{title: string; isFree: boolean; now: number; record(holds: KeyHolds): void}> = [
	{
		title: 'not call keys free that an earlier leader may have granted, however long ago', isFree: false, now: 1_000_000,
		record() {
			// Nothing is known.
		},
	},
	{
		title: 'call keys free once an answered grant has expired', isFree: true, now: 10 + (1.02 * holdMs) + 61, record: answerFirst,
	},
	{
		title: 'not call keys free before an answered grant has expired', isFree: false, now: 1000, record: answerFirst,
	},
	{
		title: 'not call keys free while a grant may be carried out that got no answer, however long ago', isFree: false, now: 1_000_000,
		record(holds) {
			answerFirst(holds);
			holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 1000);
			holds.recordAnswer(holds.add(whole, 1, holdMs, 1100), 1110);
		},
	},
	{
		title: 'call keys free once a release was answered', isFree: true, now: 1200,
		record(holds) {
			answerFirst(holds);
			holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 1000);
			holds.recordRelease(whole, 2);
		},
	},
];

for (const {title, isFree, now, record} of freedomCases) {
	test(`should ${title}`, t => {
		const holds = new KeyHolds(policy, 0);
		record(holds);
		t.is(holds.isFree(whole, now), isFree);
	});
}

test('should wait longer for a target that answers other calls than for a silent one', t => {
	const holds = new KeyHolds(policy, 0);
	answerFirst(holds);
	holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 1000);
	const evidence = holds.evidenceFor(whole, true);
	t.is(evidence?.expiresBy, 2700 + (1.02 * holdMs) + 60);
	t.is(evidence?.lateExpiresBy, 12_700 + (1.02 * holdMs) + 60);
});

test('should not send a grant that waits for its connection once its keys were released', t => {
	const holds = new KeyHolds(policy, 0);
	const grant = holds.add(whole, 1, holdMs, 0);
	t.false(grant.isSuperseded);
	holds.recordRelease(left, 2);
	t.true(grant.isSuperseded);
});

test('should count a hold with a slow clock from the latest arrival', t => {
	const holds = new KeyHolds(policy, 0);
	answerFirst(holds);
	t.is(holds.evidenceFor(whole)?.expiresBy, 10 + (1.02 * holdMs) + 60);
});

test('should not keep more grants than may be in force', t => {
	const holds = new KeyHolds(policy, 0);
	for (let now = 0; now < 100_000; now += 700) {
		holds.recordAnswer(holds.add(whole, 1, holdMs, now), now + 10);
	}

	t.is(holds.size, 1);
});

test('should not call keys free because an unanswered grant was forgotten when a later one was sent', t => {
	const holds = new KeyHolds(policy, 0);
	answerFirst(holds);
	holds.recordTimeout(holds.add(whole, 1, holdMs, 700), 1000);
	holds.recordAnswer(holds.add(whole, 1, holdMs, 40_000), 40_010);
	t.false(holds.isFree(whole, 42_000));
});

test('should remember one of many unanswered grants of the same keys', t => {
	const holds = new KeyHolds(policy, 0);
	answerFirst(holds);
	for (let now = 700; now < 1_000_000; now += 700) {
		holds.recordTimeout(holds.add(whole, 1, holdMs, now), now + 300);
	}

	t.true(holds.size < 60);
	holds.recordAnswer(holds.add(whole, 1, holdMs, 2_000_000), 2_000_010);
	t.is(holds.size, 2);
	t.false(holds.isFree(whole, 3_000_000));
});
