import {createServer, type Server, type Socket} from 'node:net';
import test from 'ava';
import {OrderUnsentError, TargetUnavailableError} from '../../src/model/errors.js';
import type {KeyGrant} from '../../src/model/key-orders.js';
import {PlatformKeyOrders} from '../../src/platform/key-orders.js';

const ip = '127.50.3.1';

type Case = {
	title: string;
	wasSent: boolean;
	/** Handles a connection; absent if the target does not listen. */
	accept?(socket: Socket): void;
};

const cases: Case[] = [
	{title: 'a target that refuses connections', wasSent: false},
	{
		title: 'a target that does not answer',
		accept(socket) {
			socket.resume();
		},
		wasSent: true,
	},
	{
		title: 'a target that resets the connection',
		accept(socket) {
			socket.once('data', () => {
				socket.resetAndDestroy();
			});
		},
		wasSent: true,
	},
];

const grant: KeyGrant = {
	range: {first: 0, last: 9}, fence: 1, holdDurationMs: 1000, timeoutMs: 200,
};

async function listen(accept: (socket: Socket) => void, port: number): Promise<Server> {
	const server = createServer(accept);
	await new Promise<void>(resolve => {
		server.listen(port, ip, resolve);
	});
	return server;
}

for (const [index, {title, accept, wasSent}] of cases.entries()) {
	test(`should tell whether a failed order was sent, for ${title}`, async t => {
		const port = 7650 + index;
		const sockets: Socket[] = [];
		const server = accept && await listen(socket => {
			sockets.push(socket);
			socket.on('error', () => {
				// The order was reset.
			});
			accept(socket);
		}, port);
		const orders = new PlatformKeyOrders();
		const error = await t.throwsAsync(orders.grant({id: 'target-1', bornAt: 1, address: `${ip}:${port}`}, grant), {instanceOf: TargetUnavailableError});
		t.is(!(error instanceof OrderUnsentError), wasSent);
		orders.close();
		server?.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
}

test('should reset the connection of an order that timed out, because its bytes could still be delivered', async t => {
	const port = 7659;
	const ends: string[] = [];
	const server = await listen(socket => {
		socket.resume();
		socket.once('end', () => {
			ends.push('end');
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			ends.push(error.code ?? '');
		});
	}, port);
	const orders = new PlatformKeyOrders();
	await t.throwsAsync(orders.grant({id: 'target-1', bornAt: 1, address: `${ip}:${port}`}, grant), {instanceOf: TargetUnavailableError});
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	orders.close();
	t.deepEqual(ends, ['ECONNRESET']);
});

test('should not send an order that is no longer allowed once its connection is open', async t => {
	const port = 7658;
	let received = '';
	const server = await listen(socket => {
		socket.on('data', data => {
			received += data.toString('latin1');
		});
		socket.on('error', () => {
			// The connection was reset.
		});
	}, port);
	const orders = new PlatformKeyOrders();
	const order = {...grant, mayBeSent: () => false};
	await t.throwsAsync(orders.grant({id: 'target-1', bornAt: 1, address: `${ip}:${port}`}, order), {instanceOf: OrderUnsentError});
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	orders.close();
	t.is(received, '');
});
