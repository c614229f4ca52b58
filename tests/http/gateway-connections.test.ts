import {Buffer} from 'node:buffer';
import type {AddressInfo, Server, Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {ServiceBroker, type Context} from 'moleculer';
import {OutcomeKind, type Outcome} from '../../src/decisions/outcome.js';
import type {RoutedRequest} from '../../src/model/request.js';
import {createGatewayService} from '../../src/services/gateway-service.js';
import {OpenRequests} from '../../src/services/open-requests.js';
import {waitUntil} from '../../standins/program-process.js';
import {
	exchange, get, openUnread, readAll,
} from '../../standins/raw-caller.js';

/** Delay of the test's dispatcher before it answers, in milliseconds. */
const answerMs = 20;

/** Delay of the test's dispatcher for paths that begin with /slow, in milliseconds. */
const slowAnswerMs = 100;

/**
 * Sizes in bytes: an answer that does not fit into the buffers of the kernel, one that does, and the end of an answer that does
 * although its caller has received none of it.
 */
const answerBytes = {largest: 32_000_000, buffered: 200_000, inKernel: 3_000_000};

type Setup = {
	port: number;
	/** Paths of the requests that were dispatched, and of those whose outcome is decided. */
	dispatched: string[];
	answered: string[];
	openRequests: OpenRequests;
	/** Answers close their connections from now on. */
	drain(): Promise<void>;
	/** Closes the listener and idle connections, as the daemon does after the balancer has noticed that it is not ready. */
	closeListener(): Promise<void>;
	/** Closes the connections, as the daemon does once the last request has ended. */
	closeConnections(): Promise<void>;
};

/** The path, followed by a `.` for each further byte that it asks for. */
function answerBody(path: string): Uint8Array {
	return Buffer.from(path.padEnd(Number(path.split('/')[2] ?? 0), '.'));
}

async function withGateway(t: ExecutionContext, run: (setup: Setup) => Promise<void>): Promise<void> {
	const broker = new ServiceBroker({
		logger: false, transporter: null, internalServices: false, skipProcessEventRegistration: true, dependencyInterval: 1,
	});
	const dispatched: string[] = [];
	const answered: string[] = [];
	broker.createService({
		name: 'dispatcher',
		actions: {
			match: () => ({service: {maxBodyBytes: 100}, requestClass: {deadlineMs: 5000}}),
			isReady: () => true,
			async dispatch(context: Context<RoutedRequest>): Promise<Outcome> {
				const {path, responder} = context.params;
				dispatched.push(path);
				await delay(path.startsWith('/slow') ? slowAnswerMs : answerMs);
				responder.start(200, {}).end(answerBody(path));
				answered.push(path);
				return {kind: OutcomeKind.Answered, status: 200};
			},
		},
	});
	const openRequests = new OpenRequests();
	const service = broker.createService(createGatewayService({
		host: '127.0.0.1', port: 0, peerSecret: 'secret', openRequests,
	}, {judge: denial => denial}));
	await broker.start();
	const {server} = service as unknown as {server: Server & {closeAllConnections(): void}};
	try {
		await run({
			port: (server.address() as AddressInfo).port,
			dispatched,
			answered,
			openRequests,
			async drain() {
				await broker.call('gateway.drain');
			},
			async closeListener() {
				await broker.call('gateway.closeListener');
			},
			async closeConnections() {
				await broker.call('gateway.closeConnections');
			},
		});
	} finally {
		server.closeAllConnections();
		await broker.stop();
	}

	t.pass();
}

/** Number of answers with status 200 in what was received. */
function answerCount(text: string): number {
	return text.match(/HTTP\/1\.1 200/gv)?.length ?? 0;
}

test('should answer pipelined requests in order', async t => {
	await withGateway(t, async ({port}) => {
		const received = await exchange(port, `${get('/slow')}${get('/fast')}`, /\/fast\r\n/v);
		t.true(received.indexOf('/slow') < received.indexOf('/fast'));
		t.is(answerCount(received), 2);
	});
});

const drainMoments: Array<{title: string; before: boolean}> = [
	{title: 'that are under way when the daemon stops', before: false},
	{title: 'that are sent while the daemon stops', before: true},
];

for (const {title, before} of drainMoments) {
	test(`should not lose a pipelined answer behind one that closes the connection, of requests ${title}`, async t => {
		await withGateway(t, async ({port, dispatched, drain, closeListener}) => {
			if (before) {
				await drain();
			}

			const received = exchange(port, `${get('/slow')}${get('/fast')}`);
			await waitUntil(() => dispatched.length === 2);
			await drain();
			await closeListener();
			const text = await received;
			t.is(answerCount(text), dispatched.length);
		});
	});
}

test('should not dispatch a request behind an answer that closes the connection', async t => {
	await withGateway(t, async ({port, dispatched, answered, drain}) => {
		await drain();
		const socket = await openUnread(port);
		socket.write(get(`/1/${answerBytes.largest}`));
		await waitUntil(() => answered.length === 1);
		socket.write(get('/2'));
		const {text, error} = await readAll(socket);
		t.is(error, undefined);
		t.true(text.length > answerBytes.largest, `${text.length} bytes`);
		t.deepEqual(dispatched, [`/1/${answerBytes.largest}`]);
	});
});

test('should deliver the whole answer that closes the connection although the caller sends another request', async t => {
	await withGateway(t, async ({port, answered, drain}) => {
		await drain();
		const socket = await openUnread(port);
		socket.write(get(`/1/${answerBytes.buffered}`));
		await waitUntil(() => answered.length === 1);
		// The answer has been passed to the kernel.
		await delay(answerMs);
		socket.write(get('/2'));
		await delay(answerMs);
		const {text, error} = await readAll(socket);
		t.is(error, undefined);
		t.true(text.length > answerBytes.buffered, `${text.length} bytes`);
	});
});

test('should deliver a whole answer on a kept connection that is closed as idle while another request crosses', async t => {
	await withGateway(t, async ({port, answered, drain, closeListener}) => {
		const socket = await openUnread(port);
		socket.write(get(`/1/${answerBytes.buffered}`));
		await waitUntil(() => answered.length === 1);
		// The answer has been passed to the kernel.
		await delay(answerMs);
		await drain();
		await closeListener();
		socket.write(get('/2'));
		await delay(answerMs);
		const {text, error} = await readAll(socket);
		t.is(error, undefined);
		t.true(text.length > answerBytes.buffered, `${text.length} bytes`);
	});
});

/** Reads until the given number of bytes was received, and then no longer. */
async function readSome(socket: Socket, bytes: number): Promise<void> {
	return new Promise(resolve => {
		const onData = (): void => {
			if (socket.bytesRead >= bytes) {
				socket.pause();
				socket.off('data', onData);
				resolve();
			}
		};

		socket.on('data', onData);
		socket.resume();
	});
}

const slowReaders: Array<{title: string; hasNextRequest: boolean}> = [
	{title: 'a caller that reads slowly across the stop', hasNextRequest: false},
	{title: 'a caller that reads slowly across the stop and sends another request', hasNextRequest: true},
];

for (const {title, hasNextRequest} of slowReaders) {
	test(`should deliver a whole answer to ${title}`, async t => {
		await withGateway(t, async ({port, dispatched, answered, openRequests, drain, closeListener, closeConnections}) => {
			const socket = await openUnread(port);
			socket.write(get(`/1/${answerBytes.largest}`));
			await waitUntil(() => answered.length === 1);
			await drain();
			await closeListener();
			await delay(answerMs);
			await readSome(socket, answerBytes.largest - answerBytes.inKernel);
			const readBytes = socket.bytesRead;
			// The rest is passed to the kernel, or the daemon waits for the caller to close the connection.
			await delay(slowAnswerMs);
			if (openRequests.count === 0) {
				await closeConnections();
			}

			if (hasNextRequest) {
				socket.write(get('/2'));
				await delay(answerMs);
			}

			const rest = readAll(socket);
			await waitUntil(() => openRequests.count === 0);
			await closeConnections();
			const {text, error} = await rest;
			t.is(error, undefined);
			t.true(readBytes + text.length > answerBytes.largest, `${readBytes} and ${text.length} bytes`);
			t.deepEqual(dispatched, [`/1/${answerBytes.largest}`]);
		});
	});
}

const malformed: Array<{title: string; bytes: string}> = [
	{title: 'bytes that are not HTTP', bytes: '\u0001\u0002\r\n\r\n'},
	{title: 'two content lengths', bytes: 'POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab'},
];

for (const {title, bytes} of malformed) {
	test(`should answer a request before it refuses ${title} behind it on the connection`, async t => {
		await withGateway(t, async ({port, dispatched}) => {
			const received = await exchange(port, `${get('/1')}${bytes}`);
			t.deepEqual(dispatched, ['/1']);
			t.regex(received, /^HTTP\/1\.1 200 [\s\S]*HTTP\/1\.1 400 /v);
		});
	});
}

test('should answer a request on a connection that was accepted before the listener closed', async t => {
	await withGateway(t, async ({port, drain, closeListener}) => {
		const socket = await openUnread(port);
		// The server has accepted the connection once it has served a later one.
		await exchange(port, get('/1'), /\/1\r\n/v);
		await drain();
		await closeListener();
		socket.write(get('/2'));
		const {text} = await readAll(socket);
		t.is(answerCount(text), 1);
	});
});

test('should count a request as open until its whole answer was passed to the kernel', async t => {
	await withGateway(t, async ({port, answered, openRequests}) => {
		const socket = await openUnread(port);
		socket.write(get(`/1/${answerBytes.largest}`));
		await waitUntil(() => answered.length === 1);
		await delay(answerMs);
		t.is(openRequests.count, 1);
		socket.resume();
		await waitUntil(() => openRequests.count === 0);
		socket.destroy();
	});
});

test('should not dispatch a request that arrives after the last one has ended, before the exit', async t => {
	await withGateway(t, async ({port, dispatched, drain, closeListener, closeConnections}) => {
		const socket = await openUnread(port);
		// The server has accepted the connection once it has served a later one.
		await exchange(port, get('/1'), /\/1\r\n/v);
		await drain();
		await closeListener();
		await closeConnections();
		socket.write(get('/2'));
		await readAll(socket);
		t.deepEqual(dispatched, ['/1']);
	});
});
