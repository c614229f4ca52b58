import test from 'ava';
import {ServerLimiter, type Waiter} from '../../src/decisions/server-limiter.js';
import {FifoQueue, PriorityQueue, type WaitQueue} from '../../src/decisions/wait-queue.js';
import {Priority} from '../../src/model/configuration.js';
import {type NotRunError, NotRunReason} from '../../src/model/errors.js';

type Arrival = {
	name: string;
	priority?: Priority;
	long?: boolean;
	expiresAt?: number;
};

class Queue {
	readonly admitted: string[] = [];
	readonly refused: Array<[string, NotRunReason]> = [];
	readonly limiter: ServerLimiter;

	constructor(concurrency: number, longConcurrency: number, waiting = 10, order: WaitQueue<Waiter> = new PriorityQueue<Waiter>()) {
		this.limiter = new ServerLimiter('s', {concurrency, longConcurrency, waiting}, order);
	}

	arrive({name, priority = Priority.Read, long = false, expiresAt = Infinity}: Arrival): void {
		this.limiter.enter({
			priority,
			long,
			arrivedAt: 0,
			expiresAt,
			admit: () => {
				this.admitted.push(name);
			},
			refuse: (error: NotRunError) => {
				this.refused.push([name, error.reason]);
			},
		}, 0);
	}
}

test('should serve instructions before reads, extracts and polls', t => {
	const queue = new Queue(1, 1);
	for (const [name, priority] of [['first', Priority.Poll], ['poll', Priority.Poll], ['extract', Priority.Extract], ['read', Priority.Read], ['instruction', Priority.Instruction]] as const) {
		queue.arrive({name, priority});
	}

	for (let served = 0; served < 4; served++) {
		queue.limiter.release(false, 1);
	}

	t.deepEqual(queue.admitted, ['first', 'instruction', 'read', 'extract', 'poll']);
});

test('should let short requests overtake long ones that wait for a long slot', t => {
	const queue = new Queue(2, 1);
	queue.arrive({name: 'long 1', long: true});
	queue.arrive({name: 'long 2', long: true});
	queue.arrive({name: 'short'});
	t.deepEqual(queue.admitted, ['long 1', 'short']);
});

test('should serve requests in order of arrival in the baseline', t => {
	const queue = new Queue(1, 1, 10, new FifoQueue<Waiter>());
	queue.arrive({name: 'a', priority: Priority.Poll});
	queue.arrive({name: 'b', priority: Priority.Poll});
	queue.arrive({name: 'c', priority: Priority.Instruction});
	queue.limiter.release(false, 1);
	queue.limiter.release(false, 1);
	t.deepEqual(queue.admitted, ['a', 'b', 'c']);
});

test('should shed the lowest priority when the queue is full', t => {
	const queue = new Queue(1, 1, 2);
	queue.arrive({name: 'running'});
	queue.arrive({name: 'poll', priority: Priority.Poll});
	queue.arrive({name: 'read'});
	queue.arrive({name: 'instruction', priority: Priority.Instruction});
	queue.arrive({name: 'late poll', priority: Priority.Poll});
	t.deepEqual(queue.refused, [['poll', NotRunReason.Shed], ['late poll', NotRunReason.QueueFull]]);
});

test('should refuse a request at once if it would miss its deadline in the queue', t => {
	const queue = new Queue(1, 1);
	queue.arrive({name: 'running'});
	queue.arrive({name: 'too late', expiresAt: 1});
	t.deepEqual(queue.refused, [['too late', NotRunReason.QueueTimeout]]);
});

test('should refuse a request that waited past its deadline', t => {
	const queue = new Queue(1, 1);
	queue.arrive({name: 'running'});
	queue.arrive({name: 'waiting', expiresAt: 100});
	queue.limiter.expire(100);
	t.deepEqual(queue.refused, [['waiting', NotRunReason.QueueTimeout]]);
});
