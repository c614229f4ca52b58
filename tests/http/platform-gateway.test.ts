import {Buffer} from 'node:buffer';
import type {Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {PassThrough, Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {Worker} from 'node:worker_threads';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {ServiceBroker, type Context} from 'moleculer';
import {OutcomeKind, type CallerRequest, type Outcome} from '../../src/model/forwarding.js';
import {readCallerHeaders} from '../../src/platform/target-protocol.js';
import type {CallerLimits} from '../../src/model/route-configuration.js';
import {OpenRequests} from '../../src/services/open-requests.js';
import {createPlatformGatewayService} from '../../src/services/platform-gateway-service.js';
import {waitUntil} from '../../standins/program-process.js';
import {
	exchange, get, openUnread, readAll,
} from '../../standins/raw-caller.js';

/** Delay of the test's dispatcher before it answers, in milliseconds. */
const answerMs = 20;

/** Delay of the test's dispatcher for paths that begin with /slow, in milliseconds. */
const slowAnswerMs = 100;

/** Answer that fits into the buffers of the kernel, and one that does not, in bytes. */
const answerBytes = {largest: 32_000_000, buffered: 200_000};

/** Time for the body of a request, in milliseconds. */
const slowBodyTimeoutMs = 400;

/** Interval at which the server looks for late bodies, and a margin, in milliseconds. */
const timeoutCheckMs = 700;

/** Largest body of a request; above the size that the gateway buffers, so that streamed bodies fit. */
const bodyLimitBytes = 100_000;

type Setup = {
	port: number;
	forwarded: Array<{path: string; isCancelled: boolean}>;
	outcomes: Outcome[];
	openRequests: OpenRequests;
	server: Server;
	bodies: Array<CallerRequest['body']>;
	/** Lets the dispatcher answer requests whose paths begin with /held. */
	release(): void;
	/** Drains the gateway and closes its listener, as the daemon does after the balancer has noticed that it is not ready. */
	stop(): Promise<void>;
	/** Closes the connections, as the daemon does once the last request has ended. */
	closeConnections(): Promise<void>;
};

/** Configuration as the gateway sees it. */
type ConfigurationState = {
	/** True if the limits can be confirmed as the newest. */
	areLimitsConfirmed: boolean;
	limits: CallerLimits | undefined;
	/** Limits that become active when a confirmation is requested. */
	newerLimits?: CallerLimits;
	/** Number of requested confirmations that succeed; unlimited by default. */
	confirmationCount?: number;
};

const limits: CallerLimits = {
	maxHeaderBytes: 2000, maxBodyBytes: bodyLimitBytes, headerTimeoutMs: 5000, idleTimeoutMs: 5000,
};

const defaultState: ConfigurationState = {areLimitsConfirmed: true, limits};

/** The path, followed by a `.` for each further byte that it asks for. */
function answerBody(path: string): Uint8Array {
	return Buffer.from(path.padEnd(Number(path.split('/')[2] ?? 0), '.'));
}

async function withGateway(t: ExecutionContext, run: (setup: Setup) => Promise<void>, configurationState = defaultState): Promise<void> {
	let activeLimits = configurationState.limits;
	let confirmationRequests = 0;
	const broker = new ServiceBroker({
		logger: false, internalServices: false, skipProcessEventRegistration: true, dependencyInterval: 1,
	});
	const forwarded: Setup['forwarded'] = [];
	const outcomes: Outcome[] = [];
	const bodies: Setup['bodies'] = [];
	let release: () => void = () => undefined;
	const held = new Promise<void>(resolve => {
		release = resolve;
	});
	broker.createService({
		name: 'dispatcher',
		actions: {
			async forward(context: Context<CallerRequest>): Promise<Outcome> {
				const {path, body, cancellation} = context.params;
				bodies.push(body);
				forwarded.push({path, isCancelled: cancellation.isCancelled});
				if (path.startsWith('/streamed')) {
					const stream = context.params.beginStream({status: 200, headers: {}});
					await pipeline(Readable.from([answerBody(path)]), stream);
					return {kind: OutcomeKind.Streamed};
				}

				if (body instanceof Readable && path.startsWith('/early')) {
					// The server answers before it has read the whole body.
					body.pipe(new PassThrough());
					if (path.endsWith('/broken')) {
						throw new TypeError('unexpected');
					}
				} else if (body instanceof Readable) {
					// Like the transport, adds no listener for errors of the body.
					body.pipe(new PassThrough()).resume();
					await new Promise(resolve => {
						body.once('close', resolve);
					});
				}

				await (path.startsWith('/held') ? held : delay(path.startsWith('/slow') ? slowAnswerMs : answerMs));
				await (path.endsWith('/later') && delay(slowAnswerMs));
				return {kind: OutcomeKind.Answered, answer: {status: 200, headers: {}}, body: answerBody(path)};
			},
		},
	});
	const openRequests = new OpenRequests();
	const service = broker.createService(createPlatformGatewayService({
		ip: '127.0.0.1',
		port: 0,
		log: {record: () => undefined},
		openRequests,
		readHeaders: readCallerHeaders,
		limits: () => activeLimits,
		async confirmLimits() {
			activeLimits = configurationState.newerLimits ?? activeLimits;
			confirmationRequests += 1;
			return configurationState.areLimitsConfirmed && confirmationRequests <= (configurationState.confirmationCount ?? Infinity);
		},
		onOutcome(_request, outcome) {
			outcomes.push(outcome);
		},
	}));
	await broker.start();
	const {gateway} = service as unknown as {gateway: {server: Server}};
	try {
		await run({
			port: (gateway.server.address() as AddressInfo).port, forwarded, release, outcomes, openRequests, server: gateway.server, bodies, async stop() {
				await broker.call('gateway.drain');
				await broker.call('gateway.closeListener');
			},
			async closeConnections() {
				await broker.call('gateway.closeConnections');
			},
		});
	} finally {
		await broker.stop();
	}

	t.pass();
}

const malformed: Array<{title: string; text: string; status: number; headerTimeoutMs?: number}> = [
	{title: 'two content lengths', text: 'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab', status: 400},
	{title: 'both a content length and chunked encoding', text: 'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n', status: 400},
	{title: 'a missing host header', text: 'GET /a HTTP/1.1\r\n\r\n', status: 400},
	{title: 'bytes that are not HTTP', text: '\u0001\u0002\u0003\r\n\r\n', status: 400},
	{title: 'headers that are too large', text: `GET /a HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(3000)}\r\n\r\n`, status: 431},
	{title: 'a body that is too large', text: `POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100001\r\n\r\n${'x'.repeat(101)}`, status: 413},
	{
		title: 'headers that are never completed', text: 'GET /a HTTP/1.1\r\nHost: h\r\n', status: 408, headerTimeoutMs: 300,
	},
];

for (const {
	title, text, status, headerTimeoutMs = limits.headerTimeoutMs,
} of malformed) {
	test(`should answer ${status} to ${title}, close the connection and forward nothing`, async t => {
		await withGateway(t, async ({port, forwarded}) => {
			const received = await exchange(port, text);
			t.regex(received, new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
			t.deepEqual(forwarded, []);
		}, {areLimitsConfirmed: true, limits: {...limits, headerTimeoutMs}});
	});
}

function chunked(bytes: number): string {
	return `POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${bytes.toString(16)}\r\n${'x'.repeat(bytes)}`;
}

const oversized: Array<{title: string; text: string; finalStatus: number}> = [
	{title: 'headers that are too large', text: `GET /a HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(17_000)}\r\n\r\n`, finalStatus: 431},
	{title: 'headers above the limit of the parser', text: `GET /a HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(70_000)}`, finalStatus: 431},
	{title: 'a body that is too large', text: 'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n', finalStatus: 413},
];

const configurationStates: Array<{title: string; state: ConfigurationState; isFinal: boolean}> = [
	{title: 'permanently when the limits are confirmed', state: {areLimitsConfirmed: true, limits}, isFinal: true},
	{title: 'temporarily when the limits are not confirmed', state: {areLimitsConfirmed: false, limits}, isFinal: false},
	{title: 'temporarily before the first configuration', state: {areLimitsConfirmed: false, limits: undefined}, isFinal: false},
	{
		title: 'temporarily when a newer configuration raises the limits',
		state: {areLimitsConfirmed: true, limits, newerLimits: {...limits, maxHeaderBytes: 100_000, maxBodyBytes: 3_000_000}},
		isFinal: false,
	},
];

for (const {title, text, finalStatus} of oversized) {
	for (const {title: condition, state, isFinal} of configurationStates) {
		test(`should refuse ${title} ${condition}`, async t => {
			await withGateway(t, async ({port, forwarded}) => {
				const received = await exchange(port, text);
				t.regex(received, new RegExp(String.raw`^HTTP/1\.1 ${isFinal ? finalStatus : 503} `, 'v'));
				t.is(/^retry-after: 0\.30\r$/imv.test(received), !isFinal);
				t.regex(received, /^connection: close\r$/imv);
				t.deepEqual(forwarded, []);
			}, state);
		});
	}
}

test('should return the outcome of the dispatcher when a chunked body exceeds a limit that may have been raised', async t => {
	await withGateway(t, async ({port}) => {
		t.regex(await exchange(port, `${chunked(bodyLimitBytes + 1)}\r\n0\r\n\r\n`), /^HTTP\/1\.1 200 [\s\S]*connection: close/iv);
	}, {areLimitsConfirmed: false, limits});
});

test('should not report a forwarded request as not run when the limits can no longer be confirmed', async t => {
	await withGateway(t, async ({port, forwarded}) => {
		t.regex(await exchange(port, `${chunked(bodyLimitBytes + 1)}\r\n0\r\n\r\n`), /^HTTP\/1\.1 413 /v);
		t.is(forwarded.length, 1);
	}, {areLimitsConfirmed: true, limits, confirmationCount: 1});
});

test('should answer 413 to a chunked body above the limit and continue serving', async t => {
	await withGateway(t, async ({port}) => {
		t.regex(await exchange(port, `${chunked(bodyLimitBytes + 1)}\r\n0\r\n\r\n`), /^HTTP\/1\.1 413 /v);
		t.regex(await exchange(port, 'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n', /\/1$/v), /^HTTP\/1\.1 200 /v);
	});
});

for (const bytes of [10, 70_000]) {
	test(`should continue serving after a caller aborts a chunked body after ${bytes} bytes`, async t => {
		await withGateway(t, async ({port}) => {
			const socket = connect(port, '127.0.0.1');
			await new Promise<void>(resolve => {
				socket.write(chunked(bytes), () => {
					resolve();
				});
			});
			await delay(answerMs);
			socket.resetAndDestroy();
			t.regex(await exchange(port, 'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n', /\/1$/v), /^HTTP\/1\.1 200 /v);
		});
	});
}

/** Node looks for late bodies only once the time for headers is over as well. */
const slowBodyState: ConfigurationState = {areLimitsConfirmed: true, limits: {...limits, headerTimeoutMs: slowBodyTimeoutMs}};

const malformedBodies = [
	{
		title: 'before anything was forwarded', path: '/a', bytes: 3, statuses: [400], forwardedCount: 0,
	},
	{
		title: 'while a target reads it', path: '/a', bytes: 70_000, statuses: [400], forwardedCount: 1,
	},
	{
		title: 'after the answer of a target', path: '/early', bytes: 70_000, statuses: [200], forwardedCount: 1,
	},
];

for (const {title, path, bytes, statuses, forwardedCount} of malformedBodies) {
	// Guards against requests that wait for ever for the rest of a body that cannot be read, and against two answers to one request.
	test(`should answer a request once whose chunked body is malformed ${title}`, async t => {
		await withGateway(t, async ({port, outcomes, openRequests, forwarded}) => {
			const socket = connect(port, '127.0.0.1');
			const ended = readAll(socket);
			socket.write(chunked(bytes).replace('/a', path));
			await waitUntil(() => path === '/early' ? outcomes.length === 1 : openRequests.count === 1 && forwarded.length === forwardedCount);
			socket.write('\r\nZZ\r\n');
			const {text} = await ended;
			t.deepEqual([...text.matchAll(/^HTTP\/1\.1 (?<status>\d+) /gmv)].map(({groups}) => Number(groups?.status)), statuses);
			await waitUntil(() => openRequests.count === 0);
		});
	});
}

const slowBodies = [
	{
		title: 'before anything was forwarded', path: '/a', bytes: 100, declaredBytes: 200, statuses: [408], forwardedCount: 0,
	},
	{
		title: 'while a target reads it', path: '/a', bytes: 70_000, declaredBytes: bodyLimitBytes, statuses: [200], forwardedCount: 1,
	},
	{
		title: 'after the answer of a target', path: '/early', bytes: 70_000, declaredBytes: bodyLimitBytes, statuses: [200], forwardedCount: 1,
	},
];

test('should not close a connection behind an earlier answer while a target has a request whose body is not sent in time', async t => {
	await withGateway(t, async ({port, server, openRequests, release}) => {
		const post = `POST /held/later HTTP/1.1\r\nHost: h\r\nContent-Length: ${bodyLimitBytes}\r\n\r\n${'x'.repeat(70_000)}`;
		const received = exchange(port, `${get('/held')}${post}`);
		await waitUntil(() => openRequests.count === 2);
		server.requestTimeout = slowBodyTimeoutMs;
		await delay(slowBodyTimeoutMs + timeoutCheckMs);
		release();
		const text = await received;
		t.is(text.match(/HTTP\/1\.1 200 /gv)?.length, 2);
		t.regex(text, /connection: close/v);
	}, slowBodyState);
});

for (const {title, path, bytes, declaredBytes, statuses, forwardedCount} of slowBodies) {
	// REFUSED: 408 promises that a request has not run; a request that a target has must not get one, and no request may wait for ever.
	test(`should end a request whose body is not sent in time ${title}`, async t => {
		await withGateway(t, async ({port, server, openRequests, forwarded}) => {
			const received = exchange(port, `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${declaredBytes}\r\n\r\n${'x'.repeat(bytes)}`);
			await waitUntil(() => openRequests.count === 1);
			// The gateway sets the timeout anew for each request.
			server.requestTimeout = slowBodyTimeoutMs;
			const text = await received;
			t.deepEqual([...text.matchAll(/^HTTP\/1\.1 (?<status>\d+) /gmv)].map(({groups}) => Number(groups?.status)), statuses);
			t.is(forwarded.length, forwardedCount);
			await waitUntil(() => openRequests.count === 0);
		}, slowBodyState);
	});
}

test('should buffer a small chunked body so that the request can be retried', async t => {
	await withGateway(t, async ({port, bodies}) => {
		await exchange(port, `${chunked(10)}\r\n0\r\n\r\n`, /\/a$/v);
		t.deepEqual(bodies.map(body => body instanceof Readable), [false]);
	});
});

const wholeRequest = 'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n';

async function waitUntilForwarded(forwarded: Setup['forwarded']): Promise<void> {
	while (forwarded.length === 0) {
		// eslint-disable-next-line no-await-in-loop -- waits for turns of the event loop.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

const stops: Array<{title: string; before: string; after: string}> = [
	{title: 'a request that is being forwarded', before: get('/held'), after: ''},
	{title: 'a partially read request', before: wholeRequest.slice(0, 10), after: wholeRequest.slice(10)},
	{title: 'a request on a newly accepted connection', before: '', after: wholeRequest},
	{title: 'a request with a partially read body', before: chunked(10), after: '\r\n0\r\n\r\n'},
];

for (const {title, before, after} of stops) {
	test(`should answer ${title} when the daemon stops`, async t => {
		await withGateway(t, async ({port, forwarded, release, stop}) => {
			const socket = connect(port, '127.0.0.1');
			let received = '';
			socket.on('data', data => {
				received += data.toString();
			});
			const closed = new Promise<void>(resolve => {
				socket.once('close', () => {
					resolve();
				});
			});
			socket.on('error', () => undefined);
			await new Promise<void>(resolve => {
				socket.once('connect', resolve);
			});
			socket.write(before);
			// The server has read what was sent once it has forwarded the request or served another connection.
			await (after === '' ? waitUntilForwarded(forwarded) : exchange(port, wholeRequest, /\/1$/v));
			await stop();
			release();
			socket.write(after);
			await closed;
			t.regex(received, /^HTTP\/1\.1 200 [\s\S]*connection: close/iv);
		});
	});
}

test('should answer pipelined requests in order', async t => {
	await withGateway(t, async ({port}) => {
		const received = await exchange(port, 'GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n', /\/2$/v);
		t.true(received.indexOf('/1') < received.indexOf('/2'));
		t.is(received.match(/HTTP\/1\.1 200/gv)?.length, 2);
	});
});

test('should answer a request before it refuses malformed bytes after it on the connection', async t => {
	await withGateway(t, async ({port}) => {
		const received = await exchange(port, 'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n\u0001\u0002\r\n\r\n');
		t.regex(received, /^HTTP\/1\.1 200 [\s\S]*\/1HTTP\/1\.1 400 /v);
	});
});

test('should not lose a pipelined answer that is ready before the one ahead of it when the daemon stops', async t => {
	await withGateway(t, async ({port, forwarded, stop}) => {
		const received = exchange(port, `${get('/slow')}${get('/fast')}`);
		await waitUntil(() => forwarded.length === 2);
		await stop();
		const text = await received;
		t.is(text.match(/HTTP\/1\.1 200/gv)?.length, 2);
	});
});

test('should not forward a request that arrives on an open connection when the daemon ends', async t => {
	await withGateway(t, async ({port, forwarded, outcomes, openRequests, stop, closeConnections}) => {
		const socket = await openUnread(port);
		const ended = readAll(socket);
		socket.write(`${get('/slow')}${get('/fast')}`);
		// The last answer is decided before answers close connections, so that this one stays open.
		await waitUntil(() => outcomes.length === 1);
		await stop();
		t.true(openRequests.count > 0);
		await waitUntil(() => openRequests.count === 0);
		await closeConnections();
		socket.write(get('/late'));
		const {text} = await ended;
		t.is(text.match(/HTTP\/1\.1 200/gv)?.length, 2);
		t.deepEqual(forwarded.map(({path}) => path).toSorted(), ['/fast', '/slow']);
	});
});

test('should not forward a request behind an answer that closes the connection', async t => {
	await withGateway(t, async ({port, forwarded, release, outcomes, stop}) => {
		const socket = await openUnread(port);
		socket.write(get(`/held/${answerBytes.largest}`));
		await waitUntil(() => forwarded.length === 1);
		await stop();
		release();
		await waitUntil(() => outcomes.length === 1);
		socket.write(get('/2'));
		const {text, error} = await readAll(socket);
		t.is(error, undefined);
		t.true(text.length > answerBytes.largest);
		t.is(forwarded.length, 1);
	});
});

test('should deliver the whole answer that closes the connection although the caller sends another request', async t => {
	await withGateway(t, async ({port, forwarded, release, outcomes, stop}) => {
		const socket = await openUnread(port);
		socket.write(get(`/held/${answerBytes.buffered}`));
		await waitUntil(() => forwarded.length === 1);
		await stop();
		release();
		await waitUntil(() => outcomes.length === 1);
		// The answer has been passed to the kernel.
		await delay(answerMs);
		socket.write(get('/2'));
		await delay(answerMs);
		const {text, error} = await readAll(socket);
		t.is(error, undefined);
		t.true(text.length > answerBytes.buffered);
	});
});

test('should not forward a request that arrives after the last one has ended, before the exit', async t => {
	await withGateway(t, async ({port, forwarded, stop, closeConnections}) => {
		const socket = await openUnread(port);
		// The server has accepted the connection once it has served a later one.
		await exchange(port, get('/1'), /\/1$/v);
		await stop();
		await closeConnections();
		socket.write(get('/2'));
		await readAll(socket);
		t.deepEqual(forwarded.map(({path}) => path), ['/1']);
	});
});

test('should count a request as open until its whole answer was passed to the kernel', async t => {
	await withGateway(t, async ({port, outcomes, openRequests}) => {
		const socket = await openUnread(port);
		socket.write(get(`/1/${answerBytes.largest}`));
		await waitUntil(() => outcomes.length === 1);
		t.is(openRequests.count, 1);
		socket.resume();
		await waitUntil(() => openRequests.count === 0);
		t.is(openRequests.count, 0);
		socket.destroy();
	});
});

test('should cancel the request of a caller that disconnected while its connection waited to be accepted', async t => {
	await withGateway(t, async ({port, forwarded, outcomes}) => {
		const shared = new Int32Array(new SharedArrayBuffer(4));
		const client = new Worker(String.raw`
			const {workerData} = require('node:worker_threads');
			const socket = require('node:net').connect(workerData.port, '127.0.0.1', () => {
				socket.end('GET /late HTTP/1.1\r\nHost: h\r\n\r\n', () => {
					Atomics.store(workerData.shared, 0, 1);
					Atomics.notify(workerData.shared, 0);
				});
			});
			socket.on('error', () => {});
		`, {eval: true, workerData: {port, shared}});
		const ended = new Promise(resolve => {
			client.once('exit', resolve);
		});
		// Blocks the event loop until the caller has disconnected.
		Atomics.wait(shared, 0, 0);
		await ended;
		for (let turn = 0; turn < 100 && forwarded.length === 0; turn += 1) {
			// eslint-disable-next-line no-await-in-loop -- waits for turns of the event loop.
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		t.deepEqual(forwarded, [{path: '/late', isCancelled: true}]);
		t.true(outcomes.length <= 1);
	});
});

test('should answer a request that was forwarded behind one whose headers exceed the limit', async t => {
	await withGateway(t, async ({port, forwarded}) => {
		const socket = await openUnread(port);
		// Both requests are in one segment; the second one is valid.
		socket.write(`GET /a HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(3000)}\r\n\r\n${get('/b')}`);
		const {text} = await readAll(socket);
		const answers = text.match(/HTTP\/1\.1 \d{3}/gv) ?? [];
		t.is(answers.length, 1 + forwarded.length, `answers ${answers.join(', ')}; forwarded ${forwarded.map(({path}) => path).join(', ')}`);
	});
});

test('should deliver a whole answer on a kept connection that is closed as idle while another request crosses', async t => {
	await withGateway(t, async ({port, forwarded, openRequests, stop}) => {
		const socket = await openUnread(port);
		socket.write(get(`/1/${answerBytes.buffered}`));
		await waitUntil(() => forwarded.length === 1 && openRequests.count === 0);
		await stop();
		socket.write(get('/2'));
		await delay(answerMs);
		const {text, error} = await readAll(socket);
		t.is(error, undefined);
		t.true(text.length > answerBytes.buffered, `${text.length} bytes`);
	});
});

/** Time after which idle connections and incomplete headers time out, in milliseconds. */
const shortTimeoutMs = 300;

/**
 * Time by which the gateway has begun to close the connection, in milliseconds: it checks headers twice a second, and Node's server
 * waits a second longer than the idle timeout.
 */
const closeLimitMs = 5000;

const partialHead = 'GET /2 HTTP/1.1\r\nHost: h\r\n';

const closes: Array<{title: string; first: string; next: string; expected: RegExp}> = [
	{
		title: 'the idle timeout', first: '', next: get('/2'), expected: /^HTTP\/1\.1 200 [^.]*\/1\/\d+\.+$/v,
	},
	{
		title: 'bytes that are not HTTP', first: '\u0001\u0002\r\n\r\n', next: get('/2'), expected: /^HTTP\/1\.1 200 [^.]*\/1\/\d+\.+HTTP\/1\.1 400 /v,
	},
	{
		title: 'headers that are not completed in time', first: partialHead, next: `\r\n${get('/3')}`, expected: /^HTTP\/1\.1 200 [^.]*\/1\/\d+\.+HTTP\/1\.1 408 /v,
	},
];

for (const {title, first, next, expected} of closes) {
	test(`should deliver a whole answer on a connection that is closed because of ${title} while more bytes arrive`, async t => {
		await withGateway(t, async ({port, forwarded, outcomes, openRequests}) => {
			const socket = await openUnread(port);
			socket.write(`${get(`/1/${answerBytes.buffered}`)}${first}`);
			await waitUntil(() => outcomes.length === 1);
			const giveUpAt = performance.now() + closeLimitMs;
			// The connection is being closed: its only open request has its answer.
			await waitUntil(() => (openRequests.count > 0 && openRequests.recordCut({record: () => undefined}) === 0) || performance.now() > giveUpAt);
			t.true(performance.now() < giveUpAt, 'the connection is being closed');
			socket.write(next);
			await delay(answerMs);
			socket.write(next);
			await delay(answerMs);
			const {text, error} = await readAll(socket);
			t.is(error, undefined);
			t.true(text.length > answerBytes.buffered, `${text.length} bytes`);
			t.regex(text, expected);
			t.deepEqual(forwarded.map(({path}) => path), [`/1/${answerBytes.buffered}`]);
		}, {areLimitsConfirmed: true, limits: {...limits, headerTimeoutMs: shortTimeoutMs, idleTimeoutMs: shortTimeoutMs}});
	});
}

test('should answer all requests in order before it refuses malformed bytes behind them, to a caller that reads slowly', async t => {
	await withGateway(t, async ({port, outcomes}) => {
		const socket = await openUnread(port);
		socket.write(`${get(`/1/${answerBytes.largest}`)}${get('/2')}\u0001\u0002\r\n\r\n`);
		await waitUntil(() => outcomes.length === 2);
		await delay(answerMs);
		const {text, error} = await readAll(socket);
		t.is(error, undefined);
		t.deepEqual(text.match(/HTTP\/1\.1 \d{3}/gv), ['HTTP/1.1 200', 'HTTP/1.1 200', 'HTTP/1.1 400']);
	});
});

/** Pipelined answers that together exceed the limit on answers that wait for an earlier one, in bytes. */
const waitingAnswerBytes = 200_000;

const behindWaiting: Array<{title: string; requests: string}> = [
	{title: 'a request', requests: get('/late')},
	{title: 'thousands of requests', requests: get('/late').repeat(3000)},
	{title: 'malformed bytes', requests: '\u0001\u0002\r\n\r\n'},
];

for (const {title, requests} of behindWaiting) {
	test(`should not forward ${title} behind more answers than may wait for an earlier one, and deliver these`, async t => {
		await withGateway(t, async ({port, forwarded, outcomes, release}) => {
			const socket = await openUnread(port);
			const received = readAll(socket);
			socket.write(`${get('/held')}${get(`/1/${waitingAnswerBytes}`)}${get(`/2/${waitingAnswerBytes}`)}`);
			await waitUntil(() => outcomes.length === 2);
			socket.write(requests);
			await delay(answerMs);
			release();
			const {text, error} = await received;
			t.is(error, undefined);
			t.is(text.match(/HTTP\/1\.1 200/gv)?.length, 3);
			t.true(text.length > 2 * waitingAnswerBytes);
			t.regex(text, /connection: close|HTTP\/1\.1 400/iv);
			t.deepEqual(forwarded.map(({path}) => path).toSorted(), [`/1/${waitingAnswerBytes}`, `/2/${waitingAnswerBytes}`, '/held']);
		});
	});
}

test('should deliver streamed answers that wait for an earlier one in order and whole', async t => {
	await withGateway(t, async ({port, forwarded, release}) => {
		const received = exchange(port, `${get('/held')}${get(`/streamed/${answerBytes.largest}`)}${get('/3')}`, /\/3$/v);
		await waitUntil(() => forwarded.length === 3);
		await delay(answerMs);
		release();
		const text = await received;
		t.true(text.indexOf('/held') < text.indexOf('/streamed'));
		t.is(text.match(/HTTP\/1\.1 200/gv)?.length, 3);
		t.true(text.length > answerBytes.largest);
	});
});

const unreadBodies: Array<{title: string; path: string; status: number}> = [
	{title: 'that was answered early', path: '/early', status: 200},
	{title: 'whose request failed unexpectedly', path: '/early/broken', status: 502},
];

for (const {title, path, status} of unreadBodies) {
	test(`should read the next request on a connection whose caller still sends a body ${title}`, async t => {
		await withGateway(t, async ({port}) => {
			const body = 'x'.repeat(answerBytes.largest);
			const received = await exchange(port, `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}${get('/2')}`, /\/2$/v);
			t.deepEqual(received.match(/HTTP\/1\.1 \d+/gv), [`HTTP/1.1 ${status}`, 'HTTP/1.1 200']);
		}, {areLimitsConfirmed: true, limits: {...limits, maxBodyBytes: answerBytes.largest}});
	});
}
