import {setImmediate as nextTurn} from 'node:timers/promises';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {
	SlotOutcomeKind, SlotRequests, type SlotDemand, type SlotOutcome,
} from '../../src/decisions/admission/slot-requests.js';
import {Cancellation} from '../../src/model/cancellation.js';
import {SlotDecision, SlotEnd, type SlotAnswer} from '../../src/model/slots.js';

const {Granted: granted, Queued: queued, Denied: denied} = SlotDecision;

/** What a coordinator answers to its first, second and further messages; nothing if undefined. */
type Script = ReadonlyArray<SlotDecision | undefined>;

/** Coordinators that answer by script, without a delay. Group 0 is coordinated by `first` and `second`, group 1 by `third`. */
class ScriptedCoordinators {
	readonly log: string[] = [];
	readonly lists: string[] = [];
	readonly loads = new Map<string, number>();
	readonly requests: SlotRequests;
	private readonly counts = new Map<string, number>();

	constructor(private readonly scripts: Record<string, Script>, groupCount = 1) {
		const groups = [
			{number: 0, targets: [{id: 'target-0'}, {id: 'target-1'}], coordinators: ['first', 'second']},
			{number: 1, targets: [{id: 'target-2'}, {id: 'target-3'}], coordinators: ['third']},
		].slice(0, groupCount);
		let draws = 0;
		this.requests = new SlotRequests({
			availabilityZone: 'zone',
			groups: {groupsOf: () => groups},
			link: {
				request: (coordinator, {number}) => {
					this.log.push(`ask ${coordinator}`);
					this.answer(coordinator, number);
				},
				release: (coordinator, {end}) => {
					this.log.push(`${end} ${coordinator}`);
				},
				confirm: (coordinator, numbers) => {
					this.lists.push(`${coordinator} ${numbers.length}`);
				},
				tick: () => undefined,
			},
			log: {record: () => undefined},
			// Each request draws group 0 and group 1, if there are both.
			random: () => (draws++ % 2) * 0.9,
		});
	}

	answer(daemon: string, number: number, decision = this.nextDecision(daemon)): void {
		if (decision !== undefined) {
			const answer: SlotAnswer = {
				daemon: 'own', number, decision, target: decision === granted ? 'target-0' : undefined, responseMs: 100, retryAfterMs: decision === denied ? 700 : 0, load: this.loads.get(daemon) ?? 1,
			};
			this.requests.receiveAnswer(daemon, answer);
		}
	}

	private nextDecision(daemon: string): SlotDecision | undefined {
		const count = this.counts.get(daemon) ?? 0;
		this.counts.set(daemon, count + 1);
		return this.scripts[daemon]?.[count];
	}
}

async function withClock(run: (tick: (requests: SlotRequests, ms: number) => Promise<void>) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['Date', 'performance']});
	try {
		await run(async (requests, ms) => {
			await nextTurn();
			for (let passedMs = 0; passedMs < ms; passedMs += 20) {
				clock.tick(20);
				requests.tick();
				// eslint-disable-next-line no-await-in-loop -- lets promises settle in each step.
				await nextTurn();
			}
		});
	} finally {
		clock.uninstall();
	}
}

function demand(changes: Partial<SlotDemand> = {}): SlotDemand {
	const now = performance.now();
	return {
		service: 'service', excluded: [], priority: 1, targetLatencyMs: 300, dueAt: now + 300, deadlineAt: now + 600, ...changes,
	};
}

type Case = {
	title: string;
	scripts: Record<string, Script>;
	kind: SlotOutcomeKind;
	afterMs: number;
	log: string[];
	leavesAfterMs?: number;
};

const cases: Case[] = [
	{
		title: 'get a slot at once', scripts: {first: [granted]}, kind: SlotOutcomeKind.Granted, afterMs: 0, log: ['ask first'],
	},
	{
		title: 'repeat a lost message', scripts: {first: [undefined, granted]}, kind: SlotOutcomeKind.Granted, afterMs: 40, log: ['ask first', 'ask first'],
	},
	{
		title: 'ask the second coordinator if the first has ended',
		scripts: {second: [granted]},
		kind: SlotOutcomeKind.Granted,
		afterMs: 80,
		log: ['ask first', 'ask first', 'unused first', 'ask second'],
	},
	{
		title: 'choose on its own if it is cut off from both',
		scripts: {},
		kind: SlotOutcomeKind.Uncoordinated,
		afterMs: 160,
		log: ['ask first', 'ask first', 'unused first', 'ask second', 'ask second', 'unused second'],
	},
	{
		title: 'get a lost grant by repeating a queued request',
		scripts: {first: [queued, queued, granted]},
		kind: SlotOutcomeKind.Granted,
		afterMs: 320,
		log: ['ask first', 'ask first', 'ask first'],
	},
	{
		title: 'leave a queue whose coordinator ended',
		scripts: {first: [queued], second: [granted]},
		kind: SlotOutcomeKind.Granted,
		afterMs: 240,
		log: ['ask first', 'ask first', 'ask first', 'unused first', 'ask second'],
	},
	{
		title: 'pass on a denial', scripts: {first: [denied]}, kind: SlotOutcomeKind.Denied, afterMs: 0, log: ['ask first'],
	},
	{
		title: 'leave the queue at the deadline',
		scripts: {first: [queued, queued, queued, queued, queued]},
		kind: SlotOutcomeKind.Denied,
		afterMs: 600,
		log: ['ask first', 'ask first', 'ask first', 'ask first', 'unused first'],
	},
	{
		title: 'leave the queue once the caller has left', scripts: {first: [queued]}, kind: SlotOutcomeKind.Denied, afterMs: 60, leavesAfterMs: 60, log: ['ask first', 'unused first'],
	},
];

for (const {title, scripts, kind, afterMs, log, leavesAfterMs = 1000} of cases) {
	test.serial(`should ${title}`, async t => {
		await withClock(async tick => {
			const coordinators = new ScriptedCoordinators(scripts);
			const cancellation = new Cancellation();
			const startedAt = performance.now();
			const settled = coordinators.requests.acquire(demand(), cancellation).then(outcome => ({kind: outcome.kind, afterMs: performance.now() - startedAt}));
			await tick(coordinators.requests, leavesAfterMs);
			cancellation.cancel();
			await tick(coordinators.requests, 1000);
			t.deepEqual({...await settled, log: coordinators.log}, {kind, afterMs, log});
		});
	});
}

test.serial('should skip a coordinator that did not answer for 500 ms', async t => {
	await withClock(async tick => {
		const {requests, log} = new ScriptedCoordinators({second: [granted, granted], first: [undefined, undefined, granted]});
		const acquire = async (): Promise<SlotOutcome> => requests.acquire(demand(), new Cancellation());
		const slow = acquire();
		await tick(requests, 100);
		await slow;
		log.length = 0;
		await acquire();
		await tick(requests, 500);
		await acquire();
		t.deepEqual(log, ['ask second', 'ask first']);
	});
});

test.serial('should name open requests to coordinators, and twice that there are none, because a release may be lost', async t => {
	await withClock(async tick => {
		const {requests, lists, log} = new ScriptedCoordinators({first: [granted, ...Array.from({length: 10}, () => queued)]});
		const outcome = await requests.acquire(demand(), new Cancellation());
		const cancellation = new Cancellation();
		void requests.acquire(demand({deadlineAt: performance.now() + 5000}), cancellation);
		await tick(requests, 960);
		t.deepEqual(lists, [], 'lists four times a second would be more messages than the requests');
		await tick(requests, 60);
		cancellation.cancel();
		await tick(requests, 1020);
		if (outcome.kind === SlotOutcomeKind.Granted) {
			requests.release(outcome.grant.number, {end: SlotEnd.Answered});
			requests.release(outcome.grant.number, {end: SlotEnd.Answered});
		}

		await tick(requests, 4000);
		t.deepEqual(lists, ['first 2', 'first 1', 'first 0', 'first 0']);
		t.deepEqual(log.slice(-2), ['unused first', 'answered first']);
	});
});

test.serial('should not skip a coordinator after a stall of its own, because the answer has not been read yet', t => {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['Date', 'performance']});
	try {
		const {requests, log} = new ScriptedCoordinators({});
		requests.tick();
		void requests.acquire(demand({deadlineAt: performance.now() + 5000}), new Cancellation());
		clock.tick(20);
		requests.tick();
		clock.tick(400);
		requests.tick();
		t.deepEqual(log, ['ask first']);
		clock.tick(60);
		requests.tick();
		t.deepEqual(log, ['ask first', 'unused first', 'ask second']);
	} finally {
		clock.uninstall();
	}
});

test.serial('should ask the group that last reported the lower load, and ignore reports older than 500 ms', async t => {
	await withClock(async tick => {
		const coordinators = new ScriptedCoordinators({first: [granted, granted, granted, granted], third: [granted, granted, granted]}, 2);
		const {requests, log, loads} = coordinators;
		loads.set('first', 2).set('third', 3);
		for (let count = 0; count < 3; count += 1) {
			// eslint-disable-next-line no-await-in-loop -- one request after the other.
			await requests.acquire(demand(), new Cancellation());
		}

		await tick(requests, 520);
		await requests.acquire(demand(), new Cancellation());
		t.deepEqual(log, ['ask first', 'ask third', 'ask first', 'ask first']);
	});
});

test.serial('should ask the group of the owner of a key, whatever its load, and accept no other target', async t => {
	await withClock(async tick => {
		const {requests, log} = new ScriptedCoordinators({third: [granted, granted]}, 2);
		const outcome = requests.acquire(demand({target: 'target-3'}), new Cancellation());
		await tick(requests, 200);
		const {kind} = await outcome;
		t.deepEqual({kind, log}, {kind: SlotOutcomeKind.Uncoordinated, log: ['ask third', 'ask third', 'unused third']});
	});
});
