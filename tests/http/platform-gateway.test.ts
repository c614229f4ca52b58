import {connect, type AddressInfo, type Server} from 'node:net';
import {PassThrough, Readable} from 'node:stream';
import {Worker} from 'node:worker_threads';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {ServiceBroker, type Context} from 'moleculer';
import {OutcomeKind, type CallerRequest, type Outcome} from '../../src/model/forwarding.js';
import {readCallerHeaders} from '../../src/platform/target-protocol.js';
import type {CallerLimits} from '../../src/model/route-configuration.js';
import {createPlatformGatewayService} from '../../src/services/platform-gateway-service.js';

/** Time in which the dispatcher of the test answers, in milliseconds. */
const answerMs = 20;

/** Largest body of a request; one that is larger than the gateway keeps whole has to fit. */
const bodyLimitBytes = 100_000;

type Setup = {
	port: number;
	forwarded: Array<{path: string; isCancelled: boolean}>;
	outcomes: Outcome[];
	bodies: Array<CallerRequest['body']>;
	/** Stops as the daemon does once the balancer has noticed. */
	stop(): Promise<void>;
};

/** What the gateway knows of the configuration. */
type Knowledge = {
	/** True if there is evidence that the configuration is the newest one. */
	isProved: boolean;
	limits: CallerLimits | undefined;
	/** Limits that are in force once evidence was asked for. */
	newerLimits?: CallerLimits;
	/** Questions for evidence after which there is none any more. */
	provedQuestions?: number;
};

const limits: CallerLimits = {
	maxHeaderBytes: 2000, maxBodyBytes: bodyLimitBytes, headerTimeoutMs: 300, idleTimeoutMs: 5000,
};

const usualKnowledge: Knowledge = {isProved: true, limits};

async function withGateway(t: ExecutionContext, play: (setup: Setup) => Promise<void>, knowledge = usualKnowledge): Promise<void> {
	let limitsInForce = knowledge.limits;
	let questions = 0;
	const broker = new ServiceBroker({
		logger: false, internalServices: false, skipProcessEventRegistration: true, dependencyInterval: 1,
	});
	const forwarded: Setup['forwarded'] = [];
	const outcomes: Outcome[] = [];
	const bodies: Setup['bodies'] = [];
	broker.createService({
		name: 'dispatcher',
		actions: {
			async forward(context: Context<CallerRequest>): Promise<Outcome> {
				const {path, body, cancellation} = context.params;
				bodies.push(body);
				forwarded.push({path, isCancelled: cancellation.isCancelled});
				if (body instanceof Readable) {
					// As the transport does: nothing here listens to errors of the body.
					body.pipe(new PassThrough()).resume();
					await new Promise(resolve => {
						body.once('close', resolve);
					});
				}

				await new Promise(resolve => {
					setTimeout(resolve, answerMs);
				});
				return {kind: OutcomeKind.Answered, answer: {status: 200, headers: {}}, body: new TextEncoder().encode(context.params.path)};
			},
		},
	});
	const service = broker.createService(createPlatformGatewayService({
		ip: '127.0.0.1',
		port: 0,
		log: {record: () => undefined},
		readHeaders: readCallerHeaders,
		limits: () => limitsInForce,
		async proveConfiguration() {
			limitsInForce = knowledge.newerLimits ?? limitsInForce;
			questions += 1;
			return knowledge.isProved && questions <= (knowledge.provedQuestions ?? Infinity);
		},
		onOutcome(_request, outcome) {
			outcomes.push(outcome);
		},
	}));
	await broker.start();
	const {gateway} = service as unknown as {gateway: {server: Server}};
	try {
		await play({
			port: (gateway.server.address() as AddressInfo).port, forwarded, outcomes, bodies, async stop() {
				await broker.call('gateway.drain');
				await broker.call('gateway.closeListener');
			},
		});
	} finally {
		await broker.stop();
	}

	t.pass();
}

/** Sends bytes and returns what came until the connection ended, or until the wanted text was seen. */
async function exchange(port: number, text: string, until?: RegExp): Promise<string> {
	return new Promise((resolve, reject) => {
		let received = '';
		const socket = connect(port, '127.0.0.1', () => {
			socket.write(text);
		});
		socket.on('data', data => {
			received += data.toString();
			if (until?.test(received)) {
				socket.destroy();
			}
		});
		socket.on('error', reject);
		socket.on('close', () => {
			resolve(received);
		});
	});
}

const malformed: Array<{title: string; text: string; status: number}> = [
	{title: 'two lengths', text: 'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab', status: 400},
	{title: 'a length and chunks together', text: 'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n', status: 400},
	{title: 'no host', text: 'GET /a HTTP/1.1\r\n\r\n', status: 400},
	{title: 'bytes that are no request', text: '\u0001\u0002\u0003\r\n\r\n', status: 400},
	{title: 'headers that are too large', text: `GET /a HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(3000)}\r\n\r\n`, status: 431},
	{title: 'a body that is too large', text: `POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100001\r\n\r\n${'x'.repeat(101)}`, status: 413},
	{title: 'headers that never end', text: 'GET /a HTTP/1.1\r\nHost: h\r\n', status: 408},
];

for (const {title, text, status} of malformed) {
	test(`should answer ${status} to ${title}, close the connection and send nothing on`, async t => {
		await withGateway(t, async ({port, forwarded}) => {
			const received = await exchange(port, text);
			t.regex(received, new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
			t.deepEqual(forwarded, []);
		});
	});
}

function chunked(bytes: number): string {
	return `POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${bytes.toString(16)}\r\n${'x'.repeat(bytes)}`;
}

const oversized: Array<{title: string; text: string; finalStatus: number}> = [
	{title: 'headers that are too large', text: `GET /a HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(17_000)}\r\n\r\n`, finalStatus: 431},
	{title: 'headers beyond what the parser takes', text: `GET /a HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(70_000)}`, finalStatus: 431},
	{title: 'a body that is too large', text: 'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n', finalStatus: 413},
];

const knowledges: Array<{title: string; knowledge: Knowledge; isFinal: boolean}> = [
	{title: 'for good with evidence for the limits', knowledge: {isProved: true, limits}, isFinal: true},
	{title: 'for a moment without evidence', knowledge: {isProved: false, limits}, isFinal: false},
	{title: 'for a moment before the first configuration', knowledge: {isProved: false, limits: undefined}, isFinal: false},
	{
		title: 'for a moment when a newer configuration raises the limits',
		knowledge: {isProved: true, limits, newerLimits: {...limits, maxHeaderBytes: 100_000, maxBodyBytes: 3_000_000}},
		isFinal: false,
	},
];

for (const {title, text, finalStatus} of oversized) {
	for (const {title: knownTitle, knowledge, isFinal} of knowledges) {
		test(`should refuse ${title} ${knownTitle}`, async t => {
			await withGateway(t, async ({port, forwarded}) => {
				const received = await exchange(port, text);
				t.regex(received, new RegExp(String.raw`^HTTP/1\.1 ${isFinal ? finalStatus : 503} `, 'v'));
				t.is(/^retry-after: 0\.30\r$/imv.test(received), !isFinal);
				t.regex(received, /^connection: close\r$/imv);
				t.deepEqual(forwarded, []);
			}, knowledge);
		});
	}
}

test('should leave the answer to the dispatcher when chunks exceed a limit that may have been raised', async t => {
	await withGateway(t, async ({port}) => {
		t.regex(await exchange(port, `${chunked(bodyLimitBytes + 1)}\r\n0\r\n\r\n`), /^HTTP\/1\.1 200 [\s\S]*connection: close/iv);
	}, {isProved: false, limits});
});

test('should not promise that a request did not run which was passed on, though the evidence ends meanwhile', async t => {
	await withGateway(t, async ({port, forwarded}) => {
		t.regex(await exchange(port, `${chunked(bodyLimitBytes + 1)}\r\n0\r\n\r\n`), /^HTTP\/1\.1 413 /v);
		t.is(forwarded.length, 1);
	}, {isProved: true, limits, provedQuestions: 1});
});

test('should answer 413 to chunks beyond the limit and go on serving', async t => {
	await withGateway(t, async ({port}) => {
		t.regex(await exchange(port, `${chunked(bodyLimitBytes + 1)}\r\n0\r\n\r\n`), /^HTTP\/1\.1 413 /v);
		t.regex(await exchange(port, 'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n', /\/1$/v), /^HTTP\/1\.1 200 /v);
	});
});

for (const bytes of [10, 70_000]) {
	test(`should go on serving after a caller broke off a body of chunks after ${bytes} bytes`, async t => {
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

test('should hold a small body of chunks, so that it can be sent again', async t => {
	await withGateway(t, async ({port, bodies}) => {
		await exchange(port, `${chunked(10)}\r\n0\r\n\r\n`, /\/a$/v);
		t.deepEqual(bodies.map(body => body instanceof Readable), [false]);
	});
});

const whole = 'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n';

async function untilForwarded(forwarded: Setup['forwarded']): Promise<void> {
	while (forwarded.length === 0) {
		// eslint-disable-next-line no-await-in-loop -- turns of the loop.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

const stops: Array<{title: string; before: string; after: string}> = [
	{title: 'a request that is being forwarded', before: whole, after: ''},
	{title: 'a request of which a part was read', before: whole.slice(0, 10), after: whole.slice(10)},
	{title: 'a request on a connection that was just accepted', before: '', after: whole},
	{title: 'a body of which a part was read', before: chunked(10), after: '\r\n0\r\n\r\n'},
];

for (const {title, before, after} of stops) {
	test(`should answer ${title} when the daemon stops`, async t => {
		await withGateway(t, async ({port, forwarded, stop}) => {
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
			// The server has read what was sent once the request was forwarded, or another connection was served.
			await (before === whole ? untilForwarded(forwarded) : exchange(port, whole, /\/1$/v));
			await stop();
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

test('should answer a request before it refuses what follows on the connection', async t => {
	await withGateway(t, async ({port}) => {
		const received = await exchange(port, 'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n\u0001\u0002\r\n\r\n');
		t.regex(received, /^HTTP\/1\.1 200 [\s\S]*\/1HTTP\/1\.1 400 /v);
	});
});

test('should know that a caller left while its connection waited to be accepted', async t => {
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
		// The loop stands still until the caller has left.
		Atomics.wait(shared, 0, 0);
		await ended;
		for (let turn = 0; turn < 100 && forwarded.length === 0; turn += 1) {
			// eslint-disable-next-line no-await-in-loop -- turns of the loop.
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		t.deepEqual(forwarded, [{path: '/late', isCancelled: true}]);
		t.true(outcomes.length <= 1);
	});
});
