import {createServer, type Server, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {Cancellation} from '../../src/model/cancellation.js';
import {OrderUnsentError} from '../../src/model/errors.js';
import {AttemptEnd} from '../../src/model/forwarding.js';
import {PlatformKeyOrders} from '../../src/platform/key-orders.js';
import {PlatformTargetProtocol} from '../../src/platform/target-protocol.js';
import {TargetTransport} from '../../src/transport/target-transport.js';
import {callerRequest} from '../../standins/caller-request.js';

const network = '127.58';
const port = 7658;
const timeoutMs = 1000;

const answer = 'HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nResponse-Seal: seal\r\nContent-Length: 0\r\n\r\n';

type Sender = {
	name: string;
	/** True if each call has a connection of its own, so that the end of an idle one does not affect it. */
	usesNewConnection?: boolean;
	create(): {send(address: string): Promise<AttemptEnd>; close(): void};
};

function createOrders(send: (orders: PlatformKeyOrders, address: string) => Promise<unknown>): ReturnType<Sender['create']> {
	const orders = new PlatformKeyOrders();
	return {
		async send(address) {
			try {
				await send(orders, address);
				return AttemptEnd.Answered;
			} catch (error) {
				return error instanceof OrderUnsentError ? AttemptEnd.NotSent : AttemptEnd.Ambiguous;
			}
		},
		close() {
			orders.close();
		},
	};
}

function createTransport(method: string): ReturnType<Sender['create']> {
	const transport = new TargetTransport(new PlatformTargetProtocol());
	return {
		async send(address) {
			const {end} = await transport.send(callerRequest('/records/1', {method}), {
				target: {id: 'target-0', address},
				timeoutMs,
				budgetMs: timeoutMs,
				connectionLimit: 1,
				cancellation: new Cancellation(),
				onStatement: () => undefined,
			});
			return end;
		},
		close() {
			transport.close();
		},
	};
}

const order = {range: {first: 0, last: 9}, fence: 1, timeoutMs};

const senders: Sender[] = [
	{name: 'grant', create: () => createOrders(async (orders, address) => orders.grant({id: 'target-0', bornAt: 1, address}, {...order, holdDurationMs: 1000}))},
	{name: 'release', usesNewConnection: true, create: () => createOrders(async (orders, address) => orders.release({id: 'target-0', bornAt: 1, address}, order))},
	{name: 'safe request', create: () => createTransport('GET')},
	{name: 'request that may run once', create: () => createTransport('POST')},
];

type Case = {
	title: string;
	/** Title for calls that have connections of their own. */
	newConnectionTitle: string;
	/** How a call ends that is made at the same moment. */
	expected: AttemptEnd;
	connectionCount: number;
	end(socket: Socket): void;
};

const ends: Case[] = [
	{
		title: 'receive the answer on another connection when the target closes the idle one as a',
		newConnectionTitle: 'receive the answer on another connection when the target closes the idle one as a',
		end(socket) {
			socket.end();
		},
		expected: AttemptEnd.Answered,
		connectionCount: 2,
	},
	{
		title: 'know that nothing was sent when the target resets the idle connection as a',
		newConnectionTitle: 'receive the answer on another connection when the target resets the idle one as a',
		end(socket) {
			socket.resetAndDestroy();
		},
		expected: AttemptEnd.NotSent,
		connectionCount: 1,
	},
];

async function listen(ip: string, sockets: Socket[]): Promise<Server> {
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('data', () => {
			socket.write(answer);
		});
		socket.on('error', () => undefined);
	});
	await new Promise<void>(resolve => {
		server.listen(port, ip, resolve);
	});
	return server;
}

const answeredAnew: Pick<Case, 'expected' | 'connectionCount'> = {expected: AttemptEnd.Answered, connectionCount: 2};

for (const [senderIndex, {name, usesNewConnection, create}] of senders.entries()) {
	for (const [endIndex, {title, newConnectionTitle, end, ...usual}] of ends.entries()) {
		const {expected, connectionCount} = usesNewConnection ? answeredAnew : usual;
		test(`should ${usesNewConnection ? newConnectionTitle : title} ${name} is given`, async t => {
			const ip = `${network}.${senderIndex + 1}.${endIndex + 1}`;
			const sockets: Socket[] = [];
			const server = await listen(ip, sockets);
			const sender = create();
			try {
				t.is(await sender.send(`${ip}:${port}`), AttemptEnd.Answered);
				// The connection becomes idle a turn after its answer.
				await nextTurn();
				end(sockets[0]);
				t.is(await sender.send(`${ip}:${port}`), expected);
				t.is(sockets.length, connectionCount);
			} finally {
				await nextTurn();
				sender.close();
				server.close();
			}
		});
	}
}
