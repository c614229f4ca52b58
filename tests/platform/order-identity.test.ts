import {createServer, type Server} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {
	FenceRejectedError, OrderUnsentError, TargetReplacedError, TargetUnavailableError,
} from '../../src/model/errors.js';
import type {KeyGrant} from '../../src/model/key-orders.js';
import {PlatformKeyOrders} from '../../src/platform/key-orders.js';
import {WireHeader, wirePaths} from '../../src/platform/wire.js';
import {MemoryCoordinationStore} from '../../standins/memory-coordination-store.js';
import {PlatformTargetServer} from '../../standins/platform-target-server.js';

const network = '127.56';
const port = 7656;
const expectedId = 'target-0';

const grant: KeyGrant = {
	range: {first: 0, last: 9}, fence: 1, holdDurationMs: 10_000, timeoutMs: 1000,
};

/** How an order ends. */
enum OrderEnd {
	Success = 'success',
	/** The answer is of another target. */
	Replaced = 'replaced',
	FenceRejected = 'fence_rejected',
	/** The order failed, and nothing is proved about the target. */
	Failed = 'failed',
}

type Sender = {name: string; send(orders: PlatformKeyOrders, address: string, id?: string): Promise<unknown>};

const senders: Sender[] = [
	{
		name: 'grant', send: async (orders, address, id = expectedId) => orders.grant({id, bornAt: 1, address}, grant),
	},
	{
		name: 'release', send: async (orders, address, id = expectedId) => orders.release({id, bornAt: 1, address}, grant),
	},
];

/** Subclasses come before the classes that they extend. */
const errorEnds = [
	{type: TargetReplacedError, end: OrderEnd.Replaced}, {type: FenceRejectedError, end: OrderEnd.FenceRejected}, {type: TargetUnavailableError, end: OrderEnd.Failed},
];

async function endOf(order: Promise<unknown>): Promise<OrderEnd> {
	try {
		await order;
		return OrderEnd.Success;
	} catch (error) {
		const found = errorEnds.find(({type}) => error instanceof type);
		if (!found) {
			throw error;
		}

		return found.end;
	}
}

type Case = {
	status: number;
	/** Id that the answer names. */
	id?: string;
	end: OrderEnd;
	/** End of a release, if it differs. */
	releaseEnd?: OrderEnd;
};

const cases: Case[] = [
	{status: 200, end: OrderEnd.Success},
	{status: 200, id: expectedId, end: OrderEnd.Success},
	{status: 200, id: 'target-1', end: OrderEnd.Replaced},
	{status: 421, id: 'target-1', end: OrderEnd.Replaced},
	{status: 421, end: OrderEnd.Replaced},
	{status: 421, id: expectedId, end: OrderEnd.Failed},
	{status: 409, end: OrderEnd.FenceRejected, releaseEnd: OrderEnd.Failed},
	{
		status: 409, id: expectedId, end: OrderEnd.FenceRejected, releaseEnd: OrderEnd.Failed,
	},
	{status: 409, id: 'target-1', end: OrderEnd.Replaced},
	{status: 400, end: OrderEnd.Failed},
	{status: 404, end: OrderEnd.Failed},
	{status: 405, end: OrderEnd.Failed},
	{status: 404, id: 'target-1', end: OrderEnd.Replaced},
	{status: 500, end: OrderEnd.Failed},
	{status: 503, end: OrderEnd.Failed},
];

async function listen(ip: string, {status, id}: Case, expectedTargets: unknown[]): Promise<Server> {
	const server = createServer((request, response) => {
		expectedTargets.push(request.headers[WireHeader.ExpectedTarget]);
		response.writeHead(status, id === undefined ? {} : {[WireHeader.Target]: id});
		response.end();
	});
	await new Promise<void>(resolve => {
		server.listen(port, ip, resolve);
	});
	return server;
}

for (const [index, answer] of cases.entries()) {
	for (const [senderIndex, {name, send}] of senders.entries()) {
		const {status, id, end, releaseEnd = end} = answer;
		const expected = name === 'release' ? releaseEnd : end;
		test(`should take an answer ${status} that names ${id ?? 'no target'} to a ${name} for ${expectedId} as ${expected}`, async t => {
			const ip = `${network}.${senderIndex + 1}.${index + 1}`;
			const expectedTargets: unknown[] = [];
			const server = await listen(ip, answer, expectedTargets);
			const orders = new PlatformKeyOrders();
			try {
				t.is(await endOf(send(orders, `${ip}:${port}`)), expected);
				t.deepEqual(expectedTargets, [expectedId]);
			} finally {
				orders.close();
				server.close();
			}
		});
	}
}

/** Ids that the key of an entry can hold and that no header can. */
const unusableIds = ['target\r\nconnection: close', 'target\u0000', 'target-\u{1F33F}'];

for (const [senderIndex, {name, send}] of senders.entries()) {
	for (const [index, id] of unusableIds.entries()) {
		test(`should report a target as unavailable instead of failing unexpectedly if a ${name} is for the id ${JSON.stringify(id)}`, async t => {
			const ip = `${network}.${senderIndex + 4}.${index + 1}`;
			const received: unknown[] = [];
			const server = await listen(ip, {status: 200, end: OrderEnd.Success}, received);
			const orders = new PlatformKeyOrders();
			try {
				await t.throwsAsync(send(orders, `${ip}:${port}`, id), {instanceOf: OrderUnsentError});
				t.deepEqual(received, []);
			} finally {
				orders.close();
				server.close();
			}
		});
	}

	test.serial(`should leave the keys of a target alone that has taken over the address of the one that a ${name} is for`, async t => {
		const target = new PlatformTargetServer({
			id: 'target-1',
			service: 'registry',
			ip: `${network}.3.1`,
			port,
			workMs: 0,
			isKeyed: true,
			onRun: () => undefined,
		}, new MemoryCoordinationStore());
		const held = {
			range: {first: 5, last: 5}, fence: 7, holdDurationMs: 10_000, timeoutMs: 0,
		};
		target.holder.grant(held, performance.now());
		await target.listen();
		const orders = new PlatformKeyOrders();
		try {
			t.is(await endOf(send(orders, target.holder.incarnation.address)), OrderEnd.Replaced);
			t.deepEqual([0, 5].map(key => target.holder.isHolding(key)), [false, true]);
		} finally {
			orders.close();
			target.close();
		}
	});
}

/** Time that a target works on the keys of a release before it answers, in milliseconds. */
const workMs = 100;

// OWNER: the second copy of a renewal's answer counted as the answer to the release behind it, and the keys went to another target too early.
test('should not take an extra answer to a grant for the answer to the release behind it', async t => {
	let hasEnded = false;
	const server = createServer((request, response) => {
		request.resume();
		if (request.url === wirePaths.grant) {
			response.end('{}');
			return;
		}

		request.socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'.repeat(Number(request.socket.bytesWritten > 0)));
		setTimeout(() => {
			hasEnded = true;
			response.setHeader(WireHeader.Handover, 'token');
			response.end('{}');
		}, workMs);
	});
	await new Promise<void>(resolve => {
		server.listen(port + 1, `${network}.1.9`, resolve);
	});
	const orders = new PlatformKeyOrders();
	const target = {id: expectedId, bornAt: 1, address: `${network}.1.9:${port + 1}`};
	await orders.grant(target, grant);
	// The connection is idle.
	await delay(workMs);
	t.is(await orders.release(target, grant), 'token');
	t.true(hasEnded);
	orders.close();
	server.close();
});
