import test from 'ava';
import {statedLateness} from '../../standins/late-orders.js';
import {HoldLedger, type HoldRecord} from '../../soak/hold-ledger.js';
import {RequestChecks} from '../../soak/request-checks.js';
import {
	AnswerEnd, Part, Rule, RunEnd, Trace, type Disturbance, type RequestRecord, type RunRecord, type Stop, type Violation,
} from '../../soak/trace.js';
import {RouteName} from '../../soak/traffic.js';

const graceMs = 6000;

const served: RequestRecord = {
	id: 'a', daemon: 0, route: RouteName.Orders, budgetMs: 3000, isBehindAnother: false,
	sentAt: 10_000, lastByteAt: 10_000, end: AnswerEnd.Whole, endedAt: 10_500, status: 200, isSealValid: true, answerId: 'a',
};
const lost: Partial<RequestRecord> = {
	end: AnswerEnd.Closed, status: undefined, isSealValid: undefined, answerId: undefined,
};
const answered: RunRecord = {
	requestId: 'a', target: 2, holder: 'target-2#1', daemon: 0, key: undefined, startedAt: 10_100, endedAt: 10_400, end: RunEnd.Answered,
};
const brokenOff: RunRecord = {...answered, endedAt: 10_500, end: RunEnd.BrokenOff};
const stop: Stop = {daemon: 0, signalledAt: 9800, exitedAt: 10_500};

function disturbance(changes: Partial<Disturbance>): Disturbance {
	return {
		part: Part.Daemon, daemon: 0, target: undefined, from: 8000, to: 8500, isHealing: false, detail: 'planted', ...changes,
	};
}

type RequestCase = {
	name: string;
	request?: Partial<RequestRecord>;
	runs?: RunRecord[];
	stops?: Stop[];
	disturbances?: Disturbance[];
	expected: Rule[];
};

const refusal: Partial<RequestRecord> = {status: 503, isSealValid: undefined, answerId: undefined};

const requestCases: RequestCase[] = [
	{name: 'a served request', runs: [answered], expected: []},
	{
		name: 'a request that ran and whose connection was closed', request: lost, runs: [brokenOff], expected: [Rule.Lost],
	},
	{
		name: 'the same around a stop', request: lost, runs: [answered], stops: [stop], expected: [Rule.Lost],
	},
	{
		name: 'the same near a disturbance of the store, without a key', request: lost, runs: [answered], disturbances: [disturbance({part: Part.Store, daemon: undefined})], expected: [Rule.Lost],
	},
	{
		name: 'the same near a disturbance of another daemon', request: lost, runs: [answered], disturbances: [disturbance({daemon: 1})], expected: [Rule.Lost],
	},
	{
		name: 'the same near a disturbance of another target', request: lost, runs: [answered], disturbances: [disturbance({part: Part.Target, daemon: undefined, target: 1})], expected: [Rule.Lost],
	},
	{
		name: 'the same long after a disturbance', request: lost, runs: [answered], disturbances: [disturbance({from: 6000, to: 6900})], expected: [Rule.Lost],
	},
	{
		name: 'a loss near a kill of its daemon', request: lost, runs: [brokenOff], disturbances: [disturbance({})], expected: [],
	},
	{
		name: 'a loss at a target that ends', request: lost, runs: [{...brokenOff, end: RunEnd.Failed}], expected: [],
	},
	{
		name: 'a loss near a harm of its link', request: lost, runs: [brokenOff], disturbances: [disturbance({part: Part.Link, target: 2})], expected: [],
	},
	{
		name: 'a loss with a key near a disturbance of the store',
		request: {...lost, route: RouteName.Lookup},
		runs: [brokenOff],
		disturbances: [disturbance({part: Part.Store, daemon: undefined})],
		expected: [],
	},
	{
		name: 'a loss at the deadline', request: {...lost, budgetMs: 500}, runs: [brokenOff], expected: [],
	},
	{
		name: 'a close that a request crosses', request: {...lost, endedAt: 10_100}, expected: [],
	},
	{name: 'a close long after a request that was not passed on', request: lost, expected: [Rule.Lost]},
	{name: 'the same for a request behind another', request: {...lost, isBehindAnother: true}, expected: []},
	{
		name: 'a request behind another that was passed on', request: {...lost, isBehindAnother: true}, runs: [answered], expected: [Rule.Lost],
	},
	{
		name: 'an answer in the place of one that was broken off at a stop', request: {...refusal, status: 502}, runs: [brokenOff], stops: [stop], expected: [Rule.Lost],
	},
	{
		name: 'a target at work in the last sixth of the grace period',
		request: {...lost, budgetMs: 8000, endedAt: 12_000},
		runs: [{...brokenOff, endedAt: 12_000}],
		stops: [{daemon: 0, signalledAt: 7000, exitedAt: 12_000}],
		expected: [],
	},
	{
		name: 'an instruction that ran twice', runs: [answered, {...answered, holder: 'target-5#1'}], expected: [Rule.Twice],
	},
	{
		name: 'a safe request that ran twice', request: {route: RouteName.Status}, runs: [answered, answered], expected: [],
	},
	{
		name: 'a refusal of an instruction that ran', request: refusal, runs: [answered], expected: [Rule.Refused],
	},
	{name: 'a refusal of an instruction that did not run', request: refusal, expected: []},
	{
		name: 'a success without a seal', request: {isSealValid: undefined}, runs: [answered], expected: [Rule.Mixed],
	},
	{
		name: 'a success whose body does not match its seal', request: {isSealValid: false}, runs: [answered], expected: [Rule.Mixed],
	},
	{
		name: 'the answer to another request', request: {answerId: 'b'}, runs: [answered], expected: [Rule.Mixed],
	},
];

for (const {name, request, runs = [], stops = [], disturbances = [], expected} of requestCases) {
	test(`should report ${expected.join(', ') || 'nothing'} for ${name}`, t => {
		const trace = new Trace();
		trace.stops.push(...stops);
		trace.disturbances.push(...disturbances);
		for (const run of runs) {
			trace.addRun(run);
		}

		t.deepEqual(new RequestChecks(trace, graceMs).check({...served, ...request}).map(({rule}) => rule), expected);
	});
}

test('should report a run that no caller asked for', t => {
	const trace = new Trace();
	trace.addRun(answered);
	t.deepEqual(new RequestChecks(trace, graceMs).checkUnasked().map(({rule}) => rule), [Rule.Unasked]);
});

const first: Omit<HoldRecord, 'to'> = {
	holder: 'target-0#1', target: 0, daemon: 0, first: 0, last: 99, fence: 1, latenessMs: 0, arrivedAt: 10_000, from: 10_000, expiresAt: 12_000,
};
const second: Omit<HoldRecord, 'to'> = {
	...first, holder: 'target-1#1', target: 1, fence: 2, arrivedAt: 11_800, from: 11_800, expiresAt: 13_800,
};

function runOf({holder, target}: Omit<HoldRecord, 'to'>, startedAt: number, key = 50): RunRecord {
	return {
		...answered, requestId: `${holder}-${startedAt}`, holder, target, key, startedAt,
	};
}

type HoldCase = {
	name: string;
	disturbances?: Disturbance[];
	/** Beginning of the only expected violation. */
	expected: RegExp | undefined;
	/** Beginning of the only expected overlap that is excused. */
	excused?: RegExp;
	isStrict?: boolean;
	play(ledger: HoldLedger): void;
};

function playBoth(ledger: HoldLedger, later = second, runs: RunRecord[] = []): void {
	ledger.recordGrant(first);
	ledger.recordGrant(later);
	for (const run of runs) {
		ledger.recordRunStart(run);
	}
}

const bothBegin = [runOf(first, 11_850), runOf(second, 11_900)];
const early = {...second, arrivedAt: 11_000, from: 11_000};
/** Carried out late, by the least lateness of `fleetbench kinds`, applied_late; its time counts from its arrival. */
const latePart = {
	...second, latenessMs: statedLateness.shortestMs, arrivedAt: 9000, from: 11_000, expiresAt: 12_000,
};

/** A key is granted to another target while work on it goes on after its release. */
function playWork(ledger: HoldLedger): void {
	ledger.recordGrant(first);
	ledger.recordRunStart(runOf(first, 10_900));
	ledger.recordRelease(first.holder, {first: 0, last: 99}, 11_000);
	ledger.recordGrant(early);
}

const holdCases: HoldCase[] = [
	{
		name: 'keys that change hands after a release', expected: undefined, play(ledger) {
			ledger.recordGrant(first);
			ledger.recordRelease(first.holder, {first: 0, last: 99}, 11_000);
			ledger.recordGrant(early);
			ledger.recordRunStart(runOf(early, 11_100));
		},
	},
	{
		name: 'keys that change hands after the end of a target', expected: undefined, play(ledger) {
			ledger.recordGrant(first);
			ledger.recordEnd(first.holder, 11_000);
			ledger.recordGrant(early);
		},
	},
	{
		name: 'a short overlap without requests', expected: undefined, play(ledger) {
			playBoth(ledger);
		},
	},
	{
		name: 'two holders that begin requests', expected: /^both began requests on keys 0 to 99/v, play(ledger) {
			playBoth(ledger, second, bothBegin);
		},
	},
	{
		name: 'two holders of which one begins requests', expected: undefined, play(ledger) {
			playBoth(ledger, second, bothBegin.slice(1));
		},
	},
	{
		name: 'requests on keys that only one of them holds', expected: undefined, play(ledger) {
			ledger.recordGrant(first);
			ledger.recordGrant({...second, first: 90, last: 200});
			ledger.recordRunStart(runOf(first, 11_850));
			ledger.recordRunStart(runOf(second, 11_900, 150));
		},
	},
	{
		name: 'two holders for over half a second', expected: /^keys 0 to 99 held by both for 1000 ms/v, play(ledger) {
			playBoth(ledger, early);
		},
	},
	{
		name: 'a release of a part', expected: /^keys 50 to 99 held by both/v, play(ledger) {
			ledger.recordGrant(first);
			ledger.recordRelease(first.holder, {first: 0, last: 49}, 10_500);
			ledger.recordGrant(early);
		},
	},
	{
		name: 'renewals that add up to over half a second', expected: /^keys 0 to 99 held by both for 800 ms/v, play(ledger) {
			ledger.recordGrant(first);
			ledger.recordGrant({...second, expiresAt: 12_200});
			ledger.recordGrant({
				...first, arrivedAt: 11_900, from: 11_900, expiresAt: 12_600,
			});
			ledger.recordGrant({
				...second, arrivedAt: 12_100, from: 12_100, expiresAt: 13_000,
			});
		},
	},
	{
		name: 'a grant within the slack after a thaw of its sender',
		disturbances: [disturbance({to: 11_600, isHealing: true})],
		expected: undefined,
		play(ledger) {
			playBoth(ledger, second, bothBegin);
		},
	},
	{
		name: 'a grant later than the slack after a thaw',
		disturbances: [disturbance({to: 11_400, isHealing: true})],
		expected: /^both began requests/v,
		play(ledger) {
			playBoth(ledger, second, bothBegin);
		},
	},
	{
		name: 'a grant that was held up on its way, without requests',
		disturbances: [disturbance({
			part: Part.Link, target: 1, to: 10_600, isHealing: true,
		})],
		expected: undefined,
		excused: /^keys 0 to 99 held by both for 1000 ms; target-0#1 by daemon 0 with fence 1, 0 ms late/v,
		play(ledger) {
			playBoth(ledger, early);
		},
	},
	{
		name: 'a grant that was held up on its way, with requests',
		disturbances: [disturbance({
			part: Part.Link, target: 1, to: 10_600, isHealing: true,
		})],
		expected: /^both began requests on keys 0 to 99/v,
		play(ledger) {
			playBoth(ledger, early, bothBegin);
		},
	},
	{
		name: 'a grant long after a link was harmed',
		disturbances: [disturbance({
			part: Part.Link, target: 1, from: 7000, to: 7900, isHealing: true,
		})],
		expected: /^keys 0 to 99 held by both for 1000 ms/v,
		play(ledger) {
			playBoth(ledger, early);
		},
	},
	{
		name: 'a grant within the slack after a thaw of its sender, without requests',
		disturbances: [disturbance({to: 10_800, isHealing: true})],
		expected: /^keys 0 to 99 held by both for 1000 ms/v,
		play(ledger) {
			playBoth(ledger, early);
		},
	},
	{
		name: 'a grant that is taken late, without requests',
		expected: undefined,
		excused: /^keys 0 to 99 held by both for 1000 ms; target-0#1 by daemon 0 with fence 1, 0 ms late.*target-1#1 by daemon 0 with fence 2, 2000 ms late/v,
		play(ledger) {
			playBoth(ledger, latePart);
		},
	},
	{
		name: 'a grant that is taken late, checked strictly', isStrict: true, expected: /^keys 0 to 99 held by both for 1000 ms/v, play(ledger) {
			playBoth(ledger, latePart);
		},
	},
	{
		name: 'a grant that is taken late, with requests', expected: /^both began requests on keys 0 to 99/v, play(ledger) {
			playBoth(ledger, latePart, bothBegin);
		},
	},
	{
		name: 'a grant that is taken late under a fence that another target has surpassed',
		expected: /^target-0#1 takes keys 0 to 99 with fence 1; target-1#1 had fence 2/v,
		play(ledger) {
			ledger.recordGrant(second);
			ledger.recordGrant({
				...first, latenessMs: 8000, arrivedAt: 14_000, from: 14_000, expiresAt: 16_000,
			});
		},
	},
	{
		name: 'a late grant under such a fence that has run out when it is carried out', expected: undefined, play(ledger) {
			ledger.recordGrant(second);
			ledger.recordGrant({
				...first, latenessMs: 8000, arrivedAt: 6000, from: 14_000, expiresAt: 8000,
			});
		},
	},
	{
		name: 'a grant after a thaw of its sender while a released key is still worked on',
		disturbances: [disturbance({to: 10_900, isHealing: true})],
		expected: /^target-1#1 is granted key 50 while/v,
		play: playWork,
	},
	{
		name: 'a grant that was held up on its way while a released key is still worked on',
		disturbances: [disturbance({
			part: Part.Link, target: 1, to: 10_900, isHealing: true,
		})],
		expected: undefined,
		play: playWork,
	},
	{
		name: 'a hold that a late renewal replaces before its end', expected: undefined, play(ledger) {
			ledger.recordGrant({...first, expiresAt: 20_000});
			ledger.recordGrant({
				...first, latenessMs: 3000, arrivedAt: 8000, from: 11_000, expiresAt: 10_000,
			});
			ledger.recordGrant({...second, arrivedAt: 11_000, from: 11_000});
		},
	},
	{
		name: 'an overlap before a late renewal replaces the hold', expected: /^keys 0 to 99 held by both for 1000 ms/v, play(ledger) {
			ledger.recordGrant({...first, expiresAt: 20_000});
			ledger.recordGrant(early);
			ledger.recordGrant({
				...first, latenessMs: 2000, arrivedAt: 10_000, from: 12_000, expiresAt: 12_000,
			});
		},
	},
	{
		name: 'the keys of a hold that a renewal of a part does not replace', expected: /^keys 50 to 99 held by both for 1000 ms/v, play(ledger) {
			ledger.recordGrant(first);
			ledger.recordGrant({
				...first, last: 49, arrivedAt: 10_500, from: 10_500, expiresAt: 10_600,
			});
			ledger.recordGrant(early);
		},
	},
	{
		name: 'a grant that was delayed within the limit',
		disturbances: [disturbance({part: Part.Link, target: 1, to: 10_600})],
		expected: /^keys 0 to 99 held by both/v,
		play(ledger) {
			playBoth(ledger, early);
		},
	},
	{
		name: 'a fence that does not rise', expected: /^target-1#1 takes keys 0 to 99 with fence 1/v, play(ledger) {
			ledger.recordGrant({...first, expiresAt: 11_000});
			ledger.recordGrant({...second, fence: 1});
		},
	},
	{
		name: 'a renewal that reaches the next life of a target', expected: undefined, play(ledger) {
			ledger.recordGrant({...first, expiresAt: 11_000});
			ledger.recordEnd(first.holder, 10_500);
			ledger.recordGrant({
				...second, holder: 'target-0#2', target: 0, fence: 1,
			});
		},
	},
	{
		name: 'a grant while a released key is still worked on', expected: /^target-1#1 is granted key 50 while/v, play: playWork,
	},
];

for (const {name, play, disturbances = [], expected, excused, isStrict} of holdCases) {
	test(`should report ${expected ? 'OWNER' : 'nothing'} for ${name}`, t => {
		const trace = new Trace();
		trace.disturbances.push(...disturbances);
		const violations: Violation[] = [];
		const ledger = new HoldLedger(trace, violation => {
			violations.push(violation);
		}, isStrict);
		play(ledger);
		ledger.check(20_000);
		t.deepEqual(violations.map(({rule}) => rule), expected ? [Rule.Owner] : []);
		t.regex(violations[0]?.detail ?? '', expected ?? /^$/v);
		t.regex(ledger.excusedOverlaps.join('\n'), excused ?? /^$/v);
	});
}
