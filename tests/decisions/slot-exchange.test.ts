import test from 'ava';
import {SlotExchange} from '../../src/decisions/admission/slot-exchange.js';
import {
	decodeSlotMessage, isSlotMessage, packAnswer, unpackAnswer, type SlotMessage,
} from '../../src/decisions/admission/slot-message.js';
import {MalformedDocumentError} from '../../src/model/errors.js';
import {
	SlotDecision, SlotEnd, type SlotAnswer, type SlotRelease, type SlotRequest,
} from '../../src/model/slots.js';

const request: SlotRequest = {
	number: 1_800_000_000_001, service: 'orders', target: undefined, group: 1, excluded: ['orders-3'], availabilityZone: 'zone-a', priority: 1, targetLatencyMs: 608, dueMs: -12, leftMs: 901,
};

const release: SlotRelease = {
	number: 1_800_000_000_001, service: 'orders', target: 'orders-7', end: SlotEnd.Answered, durationMs: 158, load: {
		running: 3, waiting: 1, slots: 3, slowness: 300,
	}, warmUpLeftMs: 2000,
};

const answer: Omit<SlotAnswer, 'daemon'> = {
	number: 1_800_000_000_001, decision: SlotDecision.Granted, target: 'orders-7', responseMs: 204, retryAfterMs: 0, load: 1.25,
};

/** Two daemons; `b` grants each request at once. Messages pass through JSON as in a datagram, once the turn has ended. */
function setUp() {
	const messages: SlotMessage[] = [];
	const seen: unknown[] = [];
	const deferred: Array<() => void> = [];
	const create = (daemon: string): SlotExchange => new SlotExchange({
		daemon,
		availabilityZone: 'zone-a',
		granter: {
			request(asking, received) {
				seen.push(received);
				return [{...answer, number: received.number, daemon: asking}];
			},
			release(_, received) {
				seen.push(received);
				return [];
			},
			confirm(_, numbers) {
				seen.push([...numbers]);
				return [];
			},
			advance: () => [],
		},
		findMember: name => ({
			daemon: name, availabilityZone: 'zone-a', ip: '10.0.0.1', port: 1, room: 1,
		}),
		send(message, members) {
			const text = JSON.stringify(message);
			messages.push(message);
			for (const {daemon: recipient} of members) {
				exchanges.get(recipient)?.receive(decodeSlotMessage(JSON.parse(text)), 0);
			}
		},
		defer(callback) {
			deferred.push(callback);
		},
		onAnswer(coordinator, received) {
			seen.push({coordinator, ...received});
		},
		onWarmUp(target, warmUpLeftMs) {
			seen.push(`${target} ${warmUpLeftMs}`);
		},
	});
	const exchanges = new Map(['a', 'b'].map(name => [name, create(name)]));
	const endTurn = (): void => {
		for (const callback of deferred.splice(0)) {
			callback();
		}
	};

	return {
		asking: exchanges.get('a')!, messages, seen, endTurn,
	};
}

test('should send all of a turn in one message and lose no field', t => {
	const {asking, messages, seen, endTurn} = setUp();
	asking.request('b', request, 0);
	asking.release('b', release, 0);
	asking.confirm('b', [request.number], 0);
	t.is(messages.length, 0);
	endTurn();
	t.is(messages.length, 1);
	endTurn();
	t.deepEqual(seen, [
		'orders-7 2000', release, request, [request.number], {coordinator: 'b', daemon: 'a', ...answer},
	]);
});

test('should transfer that a target is unknown, because the request then waits for its owner', t => {
	const denial = {
		...answer, daemon: 'a', decision: SlotDecision.Denied, target: undefined, isUnknownTarget: true,
	};
	const {slotAnswers = []} = decodeSlotMessage({slotsOf: 'b', availabilityZone: 'zone', slotAnswers: [packAnswer(denial)]});
	t.deepEqual(slotAnswers.map(part => unpackAnswer(part, 'a')), [denial]);
});

test('should call the coordinator of its own daemon directly', t => {
	const {asking, messages, seen, endTurn} = setUp();
	asking.request('a', request, 0);
	endTurn();
	t.deepEqual(seen, [request, {coordinator: 'a', daemon: 'a', ...answer}]);
	t.is(messages.length, 0);
});

test('should keep every message below the size of a datagram', t => {
	const {asking, messages, endTurn} = setUp();
	const name = 'x'.repeat(200);
	for (let number = 0; number < 100; number += 1) {
		asking.request('b', {
			...request, number, service: name, target: name, excluded: Array.from({length: 20}, () => name),
		}, 0);
	}

	asking.confirm('b', Array.from({length: 3500}, (_, index) => request.number + index), 0);
	endTurn();
	t.is(messages.flatMap(({slotRequests = []}) => slotRequests).length, 100);
	t.true(Math.max(...messages.map(message => JSON.stringify(message).length)) <= 60_000);
});

const head = {slotsOf: 'a', availabilityZone: 'zone-a'};
const malformed: unknown[] = [
	{...head, slotsOf: ''},
	{...head, slotRequests: [[-1, 'orders', null, [], 1, 600, 10, 900]]},
	{...head, slotRequests: [[1, 'orders', null, [], 1, 600, 10]]},
	{...head, slotRequests: [[1, 'orders', null, Array.from({length: 9}, () => 'x'), 1, 600, 10, 900]]},
	{...head, slotAnswers: [[1, 'given', 'orders-7', 100, 0, 1]]},
	{...head, slotAnswers: [[1, 'granted', 'orders-7', 1e300, 0, 1]]},
	{...head, slotReleases: [[1, 'orders', 'orders-7', 'answered', 100, [1, 2], null]]},
	{...head, openSlots: Array.from({length: 3501}, () => 1)},
];

for (const content of malformed) {
	test(`should reject a malformed message: ${JSON.stringify(content).slice(0, 120)}`, t => {
		t.true(isSlotMessage(content));
		t.throws(() => decodeSlotMessage(content), {instanceOf: MalformedDocumentError});
	});
}
