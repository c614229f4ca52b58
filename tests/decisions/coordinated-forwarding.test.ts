import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {attemptTimeoutMs} from '../../src/decisions/admission/attempt-timeout.js';
import {CoordinationPolicy} from '../../src/decisions/admission/coordination-policy.js';
import {SlotRequests} from '../../src/decisions/admission/slot-requests.js';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {Forwarder} from '../../src/decisions/forwarding/forwarder.js';
import {TargetLoads} from '../../src/decisions/forwarding/target-loads.js';
import {initialAssignment} from '../../src/decisions/ownership/assignment-draft.js';
import {currentMoment} from '../../src/decisions/ownership/moment.js';
import {TargetState, type Target} from '../../src/model/fleet.js';
import {
	AttemptEnd, OutcomeKind, OutcomeReason, type Attempt, type AttemptResult,
} from '../../src/model/forwarding.js';
import type {Route} from '../../src/model/route-configuration.js';
import {
	SlotDecision, SlotEnd, type SlotRelease, type SlotRequest,
} from '../../src/model/slots.js';
import type {TargetStatement} from '../../src/model/target-statement.js';
import {callerRequest} from '../../standins/caller-request.js';
import {createLonePermits} from '../../standins/lone-permits.js';

const routeFields = {
	host: 'host', timeoutMs: 1000, targetLatencyMs: 300, priority: 1, maxAttempts: 2,
};

const routes: Route[] = [
	{
		...routeFields, name: 'read', prefix: '/read/', shares: [{service: 'plain', weight: 1}], isIdempotent: true,
	},
	{
		...routeFields, name: 'order', prefix: '/order/', shares: [{service: 'plain', weight: 1}], isIdempotent: false,
	},
	{
		...routeFields, name: 'record', prefix: '/record/', shares: [{service: 'keyed', weight: 1}], isIdempotent: true,
	},
];

/** What the coordinator does with a request: grants a target, denies, does not know the target, queues until the given time, or stays silent. */
type Decision = {grant: string; afterMs?: number} | 'deny' | 'unknown' | 'silence';

type Step = AttemptResult & {
	afterMs: number;
	statement?: Partial<TargetStatement>;
	/** Time between the head and the end of the answer, in milliseconds. */
	bodyMs?: number;
};

const answered: Step = {
	end: AttemptEnd.Answered, answer: {status: 200, headers: {}}, body: new Uint8Array([1]), afterMs: 100,
};
const wait = async (durationMs: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

/** True if the attempt may be given up before its answer begins. */
const isGivenUp = async ({mayGiveUp}: Attempt, answerMs: number): Promise<boolean> => new Promise(resolve => {
	setTimeout(resolve, answerMs, false);
	const permission = mayGiveUp?.() ?? Promise.resolve(true);
	void permission.then(isPermitted => {
		if (isPermitted) {
			resolve(true);
		}
	});
});

const silent: Step = {end: AttemptEnd.Ambiguous, isTimeout: true, afterMs: Infinity};

type Case = {
	title: string;
	path: string;
	decisions: Decision[];
	steps?: Step[];
	/** Warm-up time of plain-0 and of the owner of all keys, in milliseconds. */
	warmUpLeftMs?: number;
	leavesAfterMs?: number;
	retryReserve?: number;
	kind: OutcomeKind;
	reason?: OutcomeReason;
	retryAfterMs?: number;
	/** Targets of the attempts with their timeouts. */
	attempts: string[];
	/** Ends that were reported to the coordinator. */
	ends: SlotEnd[];
	/** Runs while the request waits. */
	whileWaiting?(view: FleetView, forwarder: Forwarder): void;
};

function createTarget(id: string, service: string, warmUpLeftMs: number): Target {
	return {
		id, bornAt: 1, address: `${id}:1`, service, availabilityZone: 'zone', softwareVersion: 'v1', slots: 3, state: TargetState.Ready, warmUpLeftMs,
	};
}

function setUp({decisions, steps = [], warmUpLeftMs = 0, retryReserve = 60}: Case) {
	const view = new FleetView();
	view.applyConfiguration({
		version: 1,
		routes,
		services: new Map(['plain', 'keyed'].map(name => [name, {
			name, healthPath: '/health', maxConnections: 100, isKeyed: name === 'keyed', keyWarmUpMs: 0, warmUpPerS: 5,
		}])),
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		hasUnknownRoutes: false,
		hasUnknownLimits: false,
		faults: [],
	});
	view.freshness.confirm(currentMoment());
	const owner = createTarget('keyed-0', 'keyed', warmUpLeftMs);
	for (const target of [createTarget('plain-0', 'plain', warmUpLeftMs), createTarget('plain-1', 'plain', 0), owner]) {
		view.applyTarget(target);
	}

	view.applyAssignment({assignment: initialAssignment('keyed', [owner]), revision: 1});
	const attempts: Attempt[] = [];
	const asked: SlotRequest[] = [];
	const releases: SlotRelease[] = [];
	const answer = (number: number, decision: SlotDecision, target?: string, isUnknownTarget?: boolean): void => {
		requests.receiveAnswer('coordinator', {
			daemon: 'own', number, decision, target, responseMs: 100, retryAfterMs: 700, load: 1, isUnknownTarget,
		});
	};

	const requests = new SlotRequests({
		availabilityZone: 'zone',
		groups: {
			groupsOf: service => [{
				number: 0, targets: view.readyTargets(service), coordinators: ['coordinator'],
			}],
		},
		link: {
			request(_, request) {
				const isRepeated = asked.some(({number}) => number === request.number);
				const decision = decisions[asked.length];
				asked.push(request);
				if (isRepeated || decision === undefined || decision === 'silence') {
					return;
				}

				if (decision === 'deny' || decision === 'unknown') {
					answer(request.number, SlotDecision.Denied, undefined, decision === 'unknown');
				} else if (decision.afterMs === undefined) {
					answer(request.number, SlotDecision.Granted, decision.grant);
				} else {
					answer(request.number, SlotDecision.Queued);
					setTimeout(answer, decision.afterMs, request.number, SlotDecision.Granted, decision.grant);
				}
			},
			release(_, release) {
				releases.push(release);
			},
			confirm: () => undefined,
			tick: () => undefined,
		},
		log: {record: () => undefined},
		random: () => 0,
	});
	const forwarder = new Forwarder({
		availabilityZone: 'zone',
		view,
		loads: new TargetLoads(),
		...createLonePermits({record: () => undefined}),
		coordination: {policy: new CoordinationPolicy(), requests},
		transport: {
			async send(_, attempt) {
				const step = steps[attempts.length] ?? answered;
				attempts.push(attempt);
				await wait(Math.min(step.afterMs, attempt.timeoutMs));
				const lateMs = Math.min(step.afterMs, attempt.budgetMs) - attempt.timeoutMs;
				if (lateMs > 0 && await isGivenUp(attempt, lateMs)) {
					return {...silent, isGivenUp: true};
				}

				if (step.statement) {
					attempt.onStatement({
						limitPerS: undefined, unreadableLimit: undefined, isLeaving: false, pauseMs: undefined, hasRun: true, ...step.statement,
					});
				}

				if (step.bodyMs !== undefined) {
					await wait(step.bodyMs);
				}

				return step;
			},
		},
		log: {record: () => undefined},
		retryRatio: 0.2,
		retryReserve,
		random: () => 0.5,
		recordKey: () => undefined,
	});
	return {
		forwarder, view, attempts, asked, releases,
	};
}

const cases: Case[] = [
	{
		title: 'send to the granted target',
		path: '/read/a',
		decisions: [{grant: 'plain-1'}],
		kind: OutcomeKind.Answered,
		attempts: ['plain-1 300 800'],
		ends: [SlotEnd.Answered],
	},
	{
		title: 'let an order that must not run twice wait until its deadline',
		path: '/order/a',
		decisions: [{grant: 'plain-1'}],
		steps: [silent],
		kind: OutcomeKind.TimedOut,
		reason: OutcomeReason.Timeout,
		attempts: ['plain-1 800 800'],
		ends: [SlotEnd.Silent],
	},
	{
		title: 'end the slot of an order whose target refuses without proof as failed',
		path: '/order/a',
		decisions: [{grant: 'plain-0'}],
		steps: [{end: AttemptEnd.UnprovedRefusal, answer: {status: 429, headers: {}}, afterMs: 100}],
		kind: OutcomeKind.Unknown,
		reason: OutcomeReason.RefusalUnproved,
		attempts: ['plain-0 800 800'],
		ends: [SlotEnd.Failed],
	},
	{
		title: 'send to the owner of the key',
		path: '/record/a',
		decisions: [{grant: 'keyed-0'}],
		kind: OutcomeKind.Answered,
		attempts: ['keyed-0 300 800'],
		ends: [SlotEnd.Answered],
	},
	{
		title: 'refuse with the delay of a denial',
		path: '/read/a',
		decisions: ['deny'],
		kind: OutcomeKind.NotRun,
		reason: OutcomeReason.Overloaded,
		retryAfterMs: 700,
		attempts: [],
		ends: [],
	},
	{
		title: 'wait for another owner if the coordinator does not know the target',
		path: '/record/a',
		decisions: ['unknown', {grant: 'keyed-1'}],
		whileWaiting(view) {
			const owner = createTarget('keyed-1', 'keyed', 0);
			view.applyTarget(owner);
			view.applyAssignment({assignment: initialAssignment('keyed', [owner]), revision: 2});
		},
		kind: OutcomeKind.Answered,
		attempts: ['keyed-1 300 740'],
		ends: [SlotEnd.Answered],
	},
	{
		title: 'give up like at a moving key if no other owner follows after the coordinator did not know the target',
		path: '/record/a',
		decisions: ['unknown'],
		kind: OutcomeKind.NotRun,
		reason: OutcomeReason.KeyMoving,
		retryAfterMs: 100,
		attempts: [],
		ends: [],
	},
	{
		title: 'not claim that a request did not run if a denial follows a silent attempt',
		path: '/read/a',
		decisions: [{grant: 'plain-1'}, 'deny'],
		steps: [silent],
		kind: OutcomeKind.TimedOut,
		reason: OutcomeReason.Timeout,
		attempts: ['plain-1 300 800'],
		ends: [SlotEnd.Silent],
	},
	{
		title: 'repeat a silent attempt at another target',
		path: '/read/a',
		decisions: [{grant: 'plain-1'}, {grant: 'plain-0'}],
		steps: [silent],
		kind: OutcomeKind.Answered,
		attempts: ['plain-1 300 800', 'plain-0 500 500'],
		ends: [SlotEnd.Silent, SlotEnd.Answered],
	},
	{
		title: 'wait until the deadline without a retry in the budget',
		path: '/read/a',
		decisions: [{grant: 'plain-1'}],
		steps: [silent],
		retryReserve: 0,
		kind: OutcomeKind.TimedOut,
		reason: OutcomeReason.Timeout,
		attempts: ['plain-1 800 800'],
		ends: [SlotEnd.Silent],
	},
	{
		title: 'go on with a silent attempt if the coordinator denies another one',
		path: '/record/a',
		decisions: [{grant: 'keyed-0'}, 'deny'],
		steps: [{...answered, afterMs: 700}],
		kind: OutcomeKind.Answered,
		attempts: ['keyed-0 300 800'],
		ends: [SlotEnd.Answered],
	},
	{
		title: 'give the slot of another attempt back if the present one is answered while it waits',
		path: '/record/a',
		decisions: [{grant: 'keyed-0'}, {grant: 'keyed-0', afterMs: 200}],
		steps: [{...answered, afterMs: 400}],
		kind: OutcomeKind.Answered,
		attempts: ['keyed-0 300 800'],
		ends: [SlotEnd.Unused, SlotEnd.Answered],
	},
	// LOST: after SIGTERM, a request at which its target was at work was broken off and answered with 502.
	{
		title: 'not break off a request at which its target is at work once the daemon stops',
		path: '/record/a',
		decisions: [{grant: 'keyed-0'}],
		steps: [{...answered, afterMs: 700}],
		whileWaiting(_, forwarder) {
			forwarder.endAt(performance.now() + 5000);
		},
		kind: OutcomeKind.Answered,
		attempts: ['keyed-0 300 800'],
		ends: [SlotEnd.Answered],
	},
	{
		title: 'send nothing if the caller leaves while the request waits',
		path: '/order/a',
		decisions: [{grant: 'plain-1', afterMs: 100}],
		leavesAfterMs: 60,
		kind: OutcomeKind.Abandoned,
		reason: OutcomeReason.CallerLeft,
		attempts: [],
		ends: [SlotEnd.Unused],
	},
	{
		title: 'return a slot of a target that left meanwhile',
		path: '/read/a',
		decisions: [{grant: 'plain-1', afterMs: 100}, {grant: 'plain-0'}],
		whileWaiting(view) {
			view.removeTarget('plain-1');
		},
		kind: OutcomeKind.Answered,
		attempts: ['plain-0 300 700'],
		ends: [SlotEnd.Unused, SlotEnd.Answered],
	},
	{
		title: 'return the slot of an owner whose key moved meanwhile',
		path: '/record/a',
		decisions: [{grant: 'keyed-0', afterMs: 100}, {grant: 'keyed-1'}],
		whileWaiting(view) {
			const next = createTarget('keyed-1', 'keyed', 0);
			view.applyTarget(next);
			view.applyAssignment({assignment: initialAssignment('keyed', [next]), revision: 2});
		},
		kind: OutcomeKind.Answered,
		attempts: ['keyed-1 300 700'],
		ends: [SlotEnd.Unused, SlotEnd.Answered],
	},
	{
		title: 'send to a cold target that is granted',
		path: '/read/a',
		decisions: [{grant: 'plain-0'}],
		warmUpLeftMs: 3000,
		kind: OutcomeKind.Answered,
		attempts: ['plain-0 300 800'],
		ends: [SlotEnd.Answered],
	},
	{
		title: 'choose a warm target on its own',
		path: '/read/a',
		decisions: ['silence'],
		warmUpLeftMs: 3000,
		kind: OutcomeKind.Answered,
		attempts: ['plain-1 360 720'],
		ends: [SlotEnd.Unused],
	},
	{
		title: 'send nothing to a cold owner on its own',
		path: '/record/a',
		decisions: ['silence'],
		warmUpLeftMs: 3000,
		kind: OutcomeKind.NotRun,
		reason: OutcomeReason.Overloaded,
		retryAfterMs: 300,
		attempts: [],
		ends: [SlotEnd.Unused],
	},
];

for (const expected of cases) {
	test.serial(`should ${expected.title}`, async t => {
		const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
		try {
			const {forwarder, view, attempts, releases} = setUp(expected);
			setInterval(() => {
				forwarder.tick();
			}, 20);
			const request = callerRequest(expected.path);
			const outcome = forwarder.forward(request);
			await clock.tickAsync(expected.leavesAfterMs ?? 60);
			if (expected.leavesAfterMs !== undefined) {
				request.cancellation.cancel();
			}

			expected.whileWaiting?.(view, forwarder);
			await clock.tickAsync(2000);
			const {kind, reason, retryAfterMs} = await outcome;
			t.like({kind, reason, retryAfterMs}, {kind: expected.kind, reason: expected.reason, ...(expected.retryAfterMs !== undefined && {retryAfterMs: expected.retryAfterMs})});
			t.deepEqual(attempts.map(({target, timeoutMs, budgetMs}) => `${target.id} ${Math.round(timeoutMs)} ${Math.round(budgetMs)}`), expected.attempts);
			t.deepEqual(releases.map(({end}) => end), expected.ends);
		} finally {
			clock.uninstall();
		}
	});
}

// Guards against requests that were broken off for a retry that the budget no longer allowed.
test.serial('should go on with a silent attempt if the retry budget is spent by the time it would be given up', async t => {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
	try {
		const {forwarder, attempts} = setUp({
			...cases[0], decisions: Array.from({length: 3}, () => ({grant: 'plain-1'})), steps: [silent, {...answered, afterMs: 600}], retryReserve: 15,
		});
		const outcomes = Promise.all(['/read/a', '/read/b'].map(async path => forwarder.forward(callerRequest(path))));
		await clock.tickAsync(1000);
		const kinds = Array.from(await outcomes, ({kind}) => kind);
		t.deepEqual(kinds, [OutcomeKind.Answered, OutcomeKind.Answered]);
		t.is(attempts.length, 3, 'only one of them is repeated');
	} finally {
		clock.uninstall();
	}
});

test.serial('should report no outdated load and warm-up time when a streamed answer ends, because its caller may read for long', async t => {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
	try {
		const load = {
			running: 2, waiting: 0, slots: 3, slowness: 300,
		};
		const expectations = [
			{bodyMs: 40, load, warmUpLeftMs: 160},
			{bodyMs: 60, load: undefined, warmUpLeftMs: 140},
			{bodyMs: 400, load: undefined, warmUpLeftMs: 0},
		];
		for (const {bodyMs, ...expected} of expectations) {
			const {forwarder, releases} = setUp({
				...cases[0], steps: [{
					end: AttemptEnd.Streamed, answer: {status: 200, headers: {}}, afterMs: 100, bodyMs, statement: {load, warmUpLeftMs: 200},
				}],
			});
			const outcome = forwarder.forward(callerRequest('/read/a'));
			// eslint-disable-next-line no-await-in-loop -- one case after the other on one clock.
			await clock.tickAsync(600);
			// eslint-disable-next-line no-await-in-loop -- as above.
			await outcome;
			t.like(releases[0], {durationMs: 100, ...expected});
		}
	} finally {
		clock.uninstall();
	}
});

test.serial('should report time, load and warm-up of the target, and treat it as cold from then on', async t => {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
	try {
		const load = {
			running: 2, waiting: 0, slots: 3, slowness: 300,
		};
		const {forwarder, view, releases, asked} = setUp({...cases[0], steps: [{...answered, statement: {load, warmUpLeftMs: 2500}}]});
		const outcome = forwarder.forward(callerRequest('/read/a'));
		await clock.tickAsync(200);
		await outcome;
		t.like(releases[0], {
			target: 'plain-1', end: SlotEnd.Answered, durationMs: 100, load, warmUpLeftMs: 2500,
		});
		t.like(asked[0], {
			service: 'plain', excluded: [], priority: 1, targetLatencyMs: 300, dueMs: 300, leftMs: 800,
		});
		t.is(view.warmUpLeft('plain-1'), 2400);
	} finally {
		clock.uninstall();
	}
});

for (const {title, counts, isCoordinated} of [
	{title: 'one route', counts: [['a', 0, 300]], isCoordinated: false},
	{title: 'two routes of one priority', counts: [['a', 1, 100], ['b', 1, 100]], isCoordinated: false},
	{title: 'two priorities', counts: [['a', 0, 20], ['b', 1, 180]], isCoordinated: true},
	{title: 'a second priority with less than a tenth', counts: [['a', 0, 19], ['b', 1, 181]], isCoordinated: false},
	{title: 'a second priority that has had no requests for long', counts: [['a', 0, 100], ['b', 1, 181]], isCoordinated: false},
] as Array<{title: string; counts: Array<[string, number, number]>; isCoordinated: boolean}>) {
	test(`should decide whether a service is coordinated for ${title}`, t => {
		const policy = new CoordinationPolicy();
		for (const [name, priority, count] of counts) {
			for (let index = 0; index < count; index += 1) {
				policy.recordRequest('plain', {...routes[0], name, priority});
			}
		}

		const service = {
			name: 'plain', healthPath: '/', maxConnections: 1, isKeyed: false, keyWarmUpMs: 0,
		};
		t.is(policy.isCoordinated(service), isCoordinated);
		t.true(policy.isCoordinated({...service, warmUpPerS: 5.4}));
	});
}

for (const [responseMs, leftMs, mayRepeat, expected] of [
	[100, 1000, true, 300],
	[50, 1000, true, 250],
	[400, 1000, true, 580],
	[400, 660, true, undefined],
	[100, 1000, false, undefined],
] as Array<[number, number, boolean, number | undefined]>) {
	test(`should give an attempt up after ${expected} ms with ${responseMs} ms estimated, ${leftMs} ms left and repeatable ${mayRepeat}`, t => {
		t.is(attemptTimeoutMs({responseMs, leftMs, mayRepeat}), expected);
	});
}
