import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import test from 'ava';
import {OrderUnsentError} from '../../src/model/errors.js';
import type {KeyGrant} from '../../src/model/key-orders.js';
import {PlatformKeyOrders} from '../../src/platform/key-orders.js';

const network = '127.57';
const port = 7657;

/** Timeout of the orders in milliseconds; longer than the second after which the system tries to connect again. */
const timeoutMs = 2500;

/** Time for which the queue of connections stays full, in milliseconds. */
const openingMs = 300;

/** Time for which the event loop stalls in milliseconds. */
const stallMs = 60;

const answer = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';

type Kind = {name: string; send(orders: PlatformKeyOrders, address: string, mayBeSent?: () => boolean): Promise<unknown>};

const order: KeyGrant = {
	range: {first: 0, last: 9}, fence: 1, holdDurationMs: 1000, timeoutMs,
};

const kinds: Kind[] = [
	{
		name: 'grant', send: async (orders, address, mayBeSent) => orders.grant({id: 'target-0', bornAt: 1, address}, {...order, mayBeSent}),
	},
	{
		name: 'release', send: async (orders, address, mayBeSent) => orders.release({id: 'target-0', bornAt: 1, address}, {...order, mayBeSent}),
	},
];

/** Answers every order at once, unless the connection was closed. */
class Target {
	received = '';
	readonly sockets: Socket[] = [];
	private server: Server | undefined;

	async listen(ip: string): Promise<void> {
		this.server = createServer(socket => {
			this.sockets.push(socket);
			socket.on('data', data => {
				this.received += data.toString('latin1');
				socket.write(answer);
			});
			socket.on('error', () => {
				// An order that may not be sent resets its connection.
			});
		});
		await new Promise<void>(resolve => {
			this.server?.listen(port, ip, resolve);
		});
	}

	/** Closes the connections from this end, so that each waits for its caller to read the end. */
	endConnections(): void {
		for (const socket of this.sockets) {
			socket.end();
		}
	}

	get orderCount(): number {
		return this.received.split('POST ').length - 1;
	}

	/** Resolves once the orders have closed all connections, so that everything that was sent has been received. */
	async closeAfter(orders: PlatformKeyOrders): Promise<void> {
		// A connection becomes idle a turn after its answer.
		await nextTurn();
		orders.close();
		await new Promise<void>(resolve => {
			this.server?.close(() => {
				resolve();
			});
		});
	}
}

type Situation = {
	title: string;
	/** True if a connection is open and idle when the order is given. */
	hasConnection: boolean;
	/** Called right before the order is given. */
	before?(target: Target): void;
	/** Called right after the order was given, before the permission ends. */
	after?(): void;
};

const situations: Situation[] = [
	{title: 'its connection opens', hasConnection: false},
	{title: 'its open connection is checked', hasConnection: true},
	{
		title: 'another connection replaces the idle one that the target closes',
		hasConnection: true,
		before(target) {
			target.endConnections();
		},
	},
	{
		title: 'the event loop stalls and its connection opens',
		hasConnection: false,
		after() {
			const endsAt = performance.now() + stallMs;
			while (performance.now() < endsAt) {
				// Blocks the event loop.
			}
		},
	},
];

for (const [kindIndex, {name, send}] of kinds.entries()) {
	for (const [index, {title, hasConnection, before, after}] of situations.entries()) {
		for (const isRevoked of [true, false]) {
			test(`should ask right before the first byte whether a ${name} may be sent, while ${title}: ${isRevoked ? 'no longer' : 'still'} allowed`, async t => {
				const ip = `${network}.${kindIndex + 1}.${(index * 2) + Number(isRevoked) + 1}`;
				const target = new Target();
				await target.listen(ip);
				const orders = new PlatformKeyOrders();
				t.teardown(async () => target.closeAfter(orders));
				if (hasConnection) {
					await send(orders, `${ip}:${port}`);
					// The connection becomes idle a turn after its answer.
					await nextTurn();
				}

				const earlierCount = target.orderCount;
				let isAllowed = true;
				let questions = 0;
				before?.(target);
				const sent = send(orders, `${ip}:${port}`, () => {
					questions += 1;
					return isAllowed;
				});
				after?.();
				isAllowed = !isRevoked;
				await (isRevoked ? t.throwsAsync(sent, {instanceOf: OrderUnsentError}) : t.notThrowsAsync(sent));
				await target.closeAfter(orders);
				t.is(questions, 1);
				t.is(target.orderCount - earlierCount, Number(!isRevoked));
			});
		}
	}

	test(`should not send a ${name} that was not allowed when it was given, on an open connection`, async t => {
		const ip = `${network}.${kindIndex + 1}.100`;
		const target = new Target();
		await target.listen(ip);
		const orders = new PlatformKeyOrders();
		await send(orders, `${ip}:${port}`);
		await t.throwsAsync(send(orders, `${ip}:${port}`, () => false), {instanceOf: OrderUnsentError});
		await target.closeAfter(orders);
		t.is(target.orderCount, 1);
	});
}

/** A listener whose queue of connections is full, so that another one opens a second or more after it is emptied. */
class FullListener {
	private readonly shared = new Int32Array(new SharedArrayBuffer(4));
	private readonly worker: Worker;

	constructor(ip: string) {
		this.worker = new Worker(String.raw`
			const {parentPort, workerData: {ip, port, shared, answer}} = require('node:worker_threads');
			let received = '';
			const server = require('node:net').createServer(socket => {
				socket.on('data', data => {
					received += data.toString('latin1');
					socket.write(answer);
				});
				socket.on('error', () => {});
			});
			parentPort.on('message', () => {
				parentPort.postMessage(received);
				server.close();
				parentPort.close();
			});
			server.listen({host: ip, port, backlog: 1}, () => {
				parentPort.postMessage('listening');
				setImmediate(() => {
					Atomics.wait(shared, 0, 0);
				});
			});
		`, {
			eval: true, workerData: {
				ip, port, shared: this.shared, answer,
			},
		});
	}

	async message(): Promise<unknown> {
		return new Promise(resolve => {
			this.worker.once('message', resolve);
		});
	}

	/** Accepts the connections from now on. */
	resume(): void {
		Atomics.store(this.shared, 0, 1);
		Atomics.notify(this.shared, 0);
	}

	/** Returns what was received. */
	async end(): Promise<unknown> {
		const received = this.message();
		this.worker.postMessage('end');
		return received;
	}
}

async function open(ip: string): Promise<Socket> {
	return new Promise((resolve, reject) => {
		const socket = connect(port, ip, () => {
			resolve(socket);
		});
		socket.once('error', reject);
	});
}

for (const [kindIndex, {name, send}] of kinds.entries()) {
	for (const isRevoked of [true, false]) {
		test(`should ask only when the connection has opened late whether a ${name} may be sent: ${isRevoked ? 'no longer' : 'still'} allowed`, async t => {
			const ip = `${network}.${kindIndex + 3}.${Number(isRevoked) + 1}`;
			const listener = new FullListener(ip);
			await listener.message();
			const fillers = await Promise.all([open(ip), open(ip)]);
			const orders = new PlatformKeyOrders();
			const questions: number[] = [];
			let isAllowed = true;
			const givenAt = performance.now();
			const sent = send(orders, `${ip}:${port}`, () => {
				questions.push(performance.now() - givenAt);
				return isAllowed;
			});
			setTimeout(() => {
				isAllowed = !isRevoked;
				listener.resume();
			}, openingMs);
			await (isRevoked ? t.throwsAsync(sent, {instanceOf: OrderUnsentError}) : t.notThrowsAsync(sent));
			await nextTurn();
			orders.close();
			for (const socket of fillers) {
				socket.destroy();
			}

			const received = await listener.end();
			t.is(questions.length, 1);
			t.true((questions[0] ?? 0) > openingMs, `asked after ${questions[0]} ms`);
			t.is(String(received).split('POST ').length - 1, Number(!isRevoked));
		});
	}
}
