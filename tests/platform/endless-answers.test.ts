import {Writable} from 'node:stream';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {Cancellation} from '../../src/model/cancellation.js';
import {AttemptEnd, type AttemptResult, type CallerRequest} from '../../src/model/forwarding.js';
import {PlatformTargetProtocol} from '../../src/platform/target-protocol.js';
import {ConnectionPool} from '../../src/transport/connection-pool.js';
import {callJson, CallFailure} from '../../src/transport/json-call.js';
import {TargetTransport} from '../../src/transport/target-transport.js';

/** Timeout of calls in milliseconds. Every call is expected to fail. */
const callTimeoutMs = 300;

/** Time for the buffers of a stream that nobody reads to fill up, in milliseconds. */
const bufferFillMs = 50;

/** Limit on the bytes that a target can send before backpressure stops it: the buffered answer and the buffers of two sockets. */
const maxSentBytes = 16_777_216;

const requestId = 'attempt-1';
const success = `HTTP/1.1 200 OK\r\nAttempt-Id: ${requestId}\r\nResponse-Seal: s\r\n`;
const refusal = `HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ${requestId}\r\nNot-Executed: 1\r\n`;
const misdirection = `HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: ${requestId}\r\nInstance-Id: other\r\n`;
const block = 'x'.repeat(16_384);

type EndlessAnswer = {
	title: string;
	start: string;
	/** Written repeatedly until the connection is closed. */
	repeated: string;
	end: AttemptEnd;
};

const answers: EndlessAnswer[] = [
	{
		title: 'a status line', start: 'HTTP/1.1 200 ', repeated: block, end: AttemptEnd.Ambiguous,
	},
	{
		title: 'a header', start: `${success}X-Long: `, repeated: block, end: AttemptEnd.Ambiguous,
	},
	{
		title: 'the list of headers', start: success, repeated: 'X-More: value\r\n'.repeat(500), end: AttemptEnd.Ambiguous,
	},
	{
		title: 'a sequence of provisional answers', start: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100), end: AttemptEnd.Ambiguous,
	},
	{
		title: 'a sequence of bytes that are not HTTP', start: '', repeated: '\u0001'.repeat(1000), end: AttemptEnd.Ambiguous,
	},
	{
		title: 'a body without a length', start: `${success}Connection: close\r\n\r\n`, repeated: block, end: AttemptEnd.Streamed,
	},
	{
		title: 'a body with a huge length', start: `${success}Content-Length: 900000000000\r\n\r\n`, repeated: block, end: AttemptEnd.Streamed,
	},
	{
		title: 'a sequence of chunks', start: `${success}Transfer-Encoding: chunked\r\n\r\n`, repeated: `4000\r\n${block}\r\n`, end: AttemptEnd.Streamed,
	},
	{
		title: 'the size of a chunk', start: `${success}Transfer-Encoding: chunked\r\n\r\n`, repeated: '0'.repeat(1000), end: AttemptEnd.Ambiguous,
	},
	{
		title: 'the extension of a chunk', start: `${success}Transfer-Encoding: chunked\r\n\r\n5;a=`, repeated: block, end: AttemptEnd.Ambiguous,
	},
	{
		title: 'the list of trailers', start: `${success}Transfer-Encoding: chunked\r\n\r\n0\r\n`, repeated: 'X-More: value\r\n'.repeat(500), end: AttemptEnd.Ambiguous,
	},
	{
		title: 'the body of a refusal', start: `${refusal}Transfer-Encoding: chunked\r\n\r\n`, repeated: `4000\r\n${block}\r\n`, end: AttemptEnd.Refused,
	},
	{
		title: 'the body of a misdirection', start: `${misdirection}Connection: close\r\n\r\n`, repeated: block, end: AttemptEnd.Misdirected,
	},
];

type EndlessTarget = {
	address: string;
	/** Settles when the target has sent more bytes than the limit. */
	exceeded: Promise<void>;
	/** Settles when the peer has closed the connection. */
	closed: Promise<void>;
	/** Bytes handed over to the operating system. */
	sentBytes(): number;
	close(): void;
};

async function listen({start, repeated}: Pick<EndlessAnswer, 'start' | 'repeated'>): Promise<EndlessTarget> {
	const sockets: Socket[] = [];
	const closed = deferred();
	const exceeded = deferred();
	const sentBytes = (): number => sockets.reduce((sum, {bytesWritten, writableLength}) => sum + bytesWritten - writableLength, 0);
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.on('close', closed.resolve);
		socket.once('data', () => {
			socket.write(start);
			const writeOn = (): void => {
				if (sentBytes() > maxSentBytes) {
					exceeded.resolve();
				}

				if (!socket.destroyed && socket.write(repeated)) {
					setImmediate(writeOn);
				}
			};

			socket.on('drain', writeOn);
			writeOn();
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		sentBytes,
		closed: closed.promise,
		exceeded: exceeded.promise,
		close() {
			server.close();
		},
	};
}

function deferred(): {promise: Promise<void>; resolve(): void} {
	let resolve = (): void => undefined;
	const promise = new Promise<void>(settle => {
		resolve = settle;
	});
	return {
		promise,
		resolve() {
			resolve();
		},
	};
}

type SlowCaller = CallerRequest & {streamStarted: Promise<void>; isAborted(): boolean};

/** A caller that never reads its answer. */
function slowCaller(): SlowCaller {
	let isAborted = false;
	const streamStarted = deferred();
	return {
		method: 'GET',
		path: '/a',
		host: 'h',
		headers: ['Host', 'h', 'Attempt-Id', requestId],
		requestId,
		key: undefined,
		budgetMs: undefined,
		receivedAt: 0,
		body: undefined,
		cancellation: new Cancellation(),
		beginStream() {
			streamStarted.resolve();
			return new Writable({
				write() {
					// Never calls back, so that the stream stays full.
				},
			});
		},
		abortStream() {
			isAborted = true;
		},
		isAborted: () => isAborted,
		streamStarted: streamStarted.promise,
	};
}

/** Sends a request and cancels it when the target has sent too much or the buffers of the stream are full. */
async function send(transport: TargetTransport, target: EndlessTarget, request: SlowCaller): Promise<AttemptResult> {
	const cancellation = new Cancellation();
	const buffersFull = request.streamStarted.then(async () => delay(bufferFillMs));
	void Promise.race([target.exceeded, buffersFull]).then(() => {
		cancellation.cancel();
	});
	return transport.send(request, {
		target: {id: 'target', address: target.address},
		budgetMs: 1000,
		timeoutMs: 50_000,
		cancellation,
		connectionLimit: 4,
		onStatement: () => undefined,
	});
}

for (const answer of answers) {
	test.serial(`should end an exchange as ${answer.end} if ${answer.title} is endless`, async t => {
		const target = await listen(answer);
		const transport = new TargetTransport(new PlatformTargetProtocol());
		const request = slowCaller();
		const result = await send(transport, target, request);
		await target.closed;
		t.is(result.end, answer.end);
		t.is(request.isAborted(), answer.end === AttemptEnd.Streamed);
		t.true(answer.end !== AttemptEnd.Streamed || target.sentBytes() < maxSentBytes);
		t.is(transport.pool.idleCount(target.address), 0);
		transport.close();
		target.close();
	});

	test.serial(`should fail a call if ${answer.title} is endless`, async t => {
		const target = await listen(answer);
		const pool = new ConnectionPool();
		await t.throwsAsync(callJson(pool, target.address, {method: 'GET', path: '/health', timeoutMs: callTimeoutMs}), {instanceOf: CallFailure});
		await target.closed;
		t.is(pool.idleCount(target.address), 0);
		pool.close();
		target.close();
	});
}

test.serial('should limit the buffered bytes while many targets send endless answers', async t => {
	const count = 64;
	const targets = await Promise.all(Array.from({length: count}, async () => listen(answers.find(({title}) => title === 'a sequence of chunks')!)));
	const transport = new TargetTransport(new PlatformTargetProtocol());
	const results = await Promise.all(targets.map(async target => send(transport, target, slowCaller())));
	t.true(results.every(({end}) => end === AttemptEnd.Streamed));
	t.true(targets.reduce((sum, target) => sum + target.sentBytes(), 0) < count * maxSentBytes);
	transport.close();
	for (const target of targets) {
		target.close();
	}
});
