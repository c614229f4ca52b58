import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {PassThrough, Writable} from 'node:stream';
import test from 'ava';
import {Cancellation} from '../../src/model/cancellation.js';
import {TargetState, type Target} from '../../src/model/fleet.js';
import {AttemptEnd, type CallerRequest} from '../../src/model/forwarding.js';
import type {TargetStatement} from '../../src/model/target-statement.js';
import {PlatformTargetProtocol} from '../../src/platform/target-protocol.js';
import {TargetTransport} from '../../src/transport/target-transport.js';

/** Repetitions of each case, because some depend on the timing of the last bytes and the end of the connection. */
const rounds = 60;

const requestId = 'attempt-1';
const seal = 'seal-1';

type Answer = {
	title: string;
	end: AttemptEnd;
	/** True if the request may run more than once. */
	isIdempotent?: boolean;
	status?: number;
	body?: string;
	/** Writes the answer after a request was read. */
	write(socket: Socket): void;
};

const head = (lines: string[]): string => `${['HTTP/1.1 200 OK', `Attempt-Id: ${requestId}`, `Response-Seal: ${seal}`, ...lines].join('\r\n')}\r\n\r\n`;

const answers: Answer[] = [
	{
		title: 'a complete answer with a length',
		write(socket) {
			socket.write(`${head(['Content-Length: 5'])}hello`);
		},
		end: AttemptEnd.Answered,
		status: 200,
		body: 'hello',
	},
	{
		title: 'a complete answer delimited by the end of the connection',
		write(socket) {
			socket.end(`${head(['Connection: close'])}hello`);
		},
		end: AttemptEnd.Answered,
		status: 200,
		body: 'hello',
	},
	{
		title: 'a reset during an answer without a length',
		write(socket) {
			socket.write(`${head(['Connection: close'])}hel`, () => {
				socket.resetAndDestroy();
			});
		},
		end: AttemptEnd.Ambiguous,
	},
	{
		title: 'an answer that is shorter than its length',
		write(socket) {
			socket.end(`${head(['Content-Length: 5', 'Connection: close'])}hel`);
		},
		end: AttemptEnd.Ambiguous,
	},
	{
		title: 'an answer to another request',
		write(socket) {
			socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n');
		},
		end: AttemptEnd.Ambiguous,
	},
	{
		title: 'a success without a seal',
		write(socket) {
			socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${requestId}\r\nContent-Length: 0\r\n\r\n`);
		},
		end: AttemptEnd.Ambiguous,
	},
	{
		title: 'bytes that are not HTTP',
		write(socket) {
			socket.write('\u0001\u0002garbage\r\n\r\n');
		},
		end: AttemptEnd.Ambiguous,
	},
	{
		title: 'a refusal',
		write(socket) {
			socket.write(`HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ${requestId}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
		},
		end: AttemptEnd.Refused,
		status: 503,
	},
	{
		title: 'a late refusal of another request',
		write(socket) {
			socket.write('HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: earlier\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n');
		},
		end: AttemptEnd.Ambiguous,
	},
	{
		title: 'a refusal without an attempt id',
		write(socket) {
			socket.write('HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n');
		},
		end: AttemptEnd.Ambiguous,
	},
	{
		title: 'a late misdirection of another request',
		write(socket) {
			socket.write('HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: earlier\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n');
		},
		end: AttemptEnd.Ambiguous,
	},
	{
		title: 'a misdirected request',
		write(socket) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: ${requestId}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
		},
		end: AttemptEnd.Misdirected,
		status: 421,
	},
];

/** REFUSED: statuses that tell callers that a request did not run, in answers of targets that did not say so. */
const refusals: Array<{status: number; headers?: string[]; isUnsealed?: boolean; isIdempotent?: boolean; end: AttemptEnd}> = [
	{status: 408, end: AttemptEnd.UnprovedRefusal},
	{status: 429, end: AttemptEnd.UnprovedRefusal},
	{status: 503, end: AttemptEnd.UnprovedRefusal},
	{status: 503, isUnsealed: true, end: AttemptEnd.UnprovedRefusal},
	{status: 503, headers: ['Retry-After: 0.1'], end: AttemptEnd.UnprovedRefusal},
	{status: 429, isUnsealed: true, end: AttemptEnd.Ambiguous},
	{status: 421, end: AttemptEnd.Misdirected},
	{status: 429, isIdempotent: true, end: AttemptEnd.Answered},
	{status: 503, isIdempotent: true, end: AttemptEnd.Answered},
	{
		status: 503, isUnsealed: true, isIdempotent: true, end: AttemptEnd.Answered,
	},
	{status: 503, headers: ['Not-Executed: 1'], end: AttemptEnd.Refused},
	{status: 429, headers: ['Not-Executed: 1'], end: AttemptEnd.Refused},
	{status: 400, headers: ['Not-Executed: 1'], end: AttemptEnd.Refused},
	{
		status: 503, headers: ['Not-Executed: 1'], isUnsealed: true, end: AttemptEnd.Refused,
	},
	// TWICE: a request that was answered with a status that counts as run must not be sent again.
	{status: 200, headers: ['Not-Executed: 1'], end: AttemptEnd.Ambiguous},
	{
		status: 200, headers: ['Not-Executed: 1'], isIdempotent: true, end: AttemptEnd.Ambiguous,
	},
	{status: 302, headers: ['Not-Executed: 1'], end: AttemptEnd.Ambiguous},
	{status: 500, headers: ['Not-Executed: 1'], end: AttemptEnd.Answered},
	{status: 504, headers: ['Not-Executed: 1'], end: AttemptEnd.Answered},
	{status: 500, end: AttemptEnd.Answered},
	{status: 504, end: AttemptEnd.Answered},
	{status: 404, end: AttemptEnd.Answered},
];

for (const {status, headers = [], isUnsealed = false, isIdempotent = false, end} of refusals) {
	const hasBody = end === AttemptEnd.Answered;
	answers.push({
		title: `the status ${status}${isUnsealed ? ' without a seal' : ''}${headers.map(text => ` with ${text}`).join('')} to a request that may run ${isIdempotent ? 'again' : 'only once'}`,
		write(socket) {
			const lines = [`HTTP/1.1 ${status} Status`, `Attempt-Id: ${requestId}`, ...(isUnsealed ? [] : [`Response-Seal: ${seal}`]), ...headers, 'Content-Length: 5'];
			socket.write(`${lines.join('\r\n')}\r\n\r\nhello`);
		},
		isIdempotent,
		end,
		...(end !== AttemptEnd.Ambiguous && {status}),
		...(hasBody && {body: 'hello'}),
	});
}

async function listen(onRequest: (socket: Socket, text: string) => void): Promise<Server> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', data => {
			onRequest(socket, data.toString());
		});
	});
	return new Promise(resolve => {
		server.listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

function targetOf(server: Server): Target {
	const {port} = server.address() as AddressInfo;
	return {
		id: 'target-1', bornAt: 1, address: `127.0.0.1:${port}`, service: 'service', availabilityZone: 'zone', softwareVersion: 'v1', slots: 3, state: TargetState.Ready, warmUpLeftMs: 0,
	};
}

function callerRequest(overrides: Partial<CallerRequest> = {}): CallerRequest {
	return {
		method: 'GET',
		path: '/a/b',
		host: 'host.example',
		headers: ['Host', 'host.example', 'Attempt-Id', requestId],
		requestId,
		key: undefined,
		budgetMs: 1000,
		receivedAt: 0,
		body: undefined,
		cancellation: new Cancellation(),
		beginStream() {
			throw new Error('Unexpected call: the answer fits into the buffer.');
		},
		abortStream() {
			throw new Error('Unexpected call: nothing was streamed.');
		},
		...overrides,
	};
}

for (const {title, write, isIdempotent = false, end, status, body} of answers) {
	test(`should end as ${end} after ${title}`, async t => {
		const server = await listen(socket => {
			write(socket);
		});
		const transport = new TargetTransport(new PlatformTargetProtocol());
		for (let round = 0; round < rounds; round += 1) {
			// eslint-disable-next-line no-await-in-loop -- sequential rounds.
			const result = await transport.send(callerRequest(), {
				target: targetOf(server), budgetMs: 1000, timeoutMs: 20_000, cancellation: new Cancellation(), connectionLimit: 4, isIdempotent, onStatement: () => undefined,
			});
			t.is(result.end, end);
			t.is(result.answer?.status, status);
			t.is(result.body && Buffer.from(result.body).toString(), body);
		}

		transport.close();
		server.close();
	});
}

test('should forward the request unchanged, with the remaining time budget and the expected target', async t => {
	let text = '';
	const server = await listen((socket, received) => {
		text += received;
		socket.write(`${head(['Content-Length: 0'])}`);
	});
	const transport = new TargetTransport(new PlatformTargetProtocol());
	await transport.send(callerRequest({method: 'POST', body: Buffer.from('payload')}), {
		target: targetOf(server), budgetMs: 321.7, timeoutMs: 20_000, cancellation: new Cancellation(), connectionLimit: 4, onStatement: () => undefined,
	});
	transport.close();
	server.close();
	t.regex(text, /^POST \/a\/b HTTP\/1\.1\r\n/v);
	t.regex(text, /time-budget-ms: 321\r\n/iv);
	t.regex(text, /target-instance: target-1\r\n/iv);
	t.regex(text, /attempt-id: attempt-1\r\n/iv);
	t.regex(text, /content-length: 7\r\n/iv);
	t.regex(text, /\r\n\r\npayload$/v);
});

test('should report that nothing was sent if the connection cannot be opened', async t => {
	const server = await listen(() => undefined);
	const target = targetOf(server);
	await new Promise(resolve => {
		server.close(resolve);
	});
	const transport = new TargetTransport(new PlatformTargetProtocol());
	const result = await transport.send(callerRequest(), {
		target, budgetMs: 1000, timeoutMs: 20_000, cancellation: new Cancellation(), connectionLimit: 4, onStatement: () => undefined,
	});
	t.is(result.end, AttemptEnd.NotSent);
});

test('should not send a request that may no longer be sent when the connection is open', async t => {
	let text = '';
	const server = await listen((_socket, received) => {
		text += received;
	});
	const transport = new TargetTransport(new PlatformTargetProtocol());
	const result = await transport.send(callerRequest(), {
		target: targetOf(server), budgetMs: 1000, timeoutMs: 1000, cancellation: new Cancellation(), connectionLimit: 4, mayBeSent: () => false, onStatement: () => undefined,
	});
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	transport.close();
	server.close();
	t.is(result.end, AttemptEnd.NotSent);
	t.is(text, '');
});

test('should not send a request whose caller disconnects while the connection is being opened', async t => {
	let text = '';
	const server = await listen((_socket, received) => {
		text += received;
	});
	const transport = new TargetTransport(new PlatformTargetProtocol());
	const cancellation = new Cancellation();
	// A request that must not be repeated continues after its caller disconnects, but this one was not sent yet.
	const sending = transport.send(callerRequest({cancellation}), {
		target: targetOf(server), budgetMs: 1000, timeoutMs: 20_000, cancellation: new Cancellation(), connectionLimit: 4, onStatement: () => undefined,
	});
	cancellation.cancel();
	const result = await sending;
	transport.close();
	server.close();
	t.is(result.end, AttemptEnd.NotSent);
	t.is(text, '');
});

test('should fail a request whose body is incomplete, without sending the final chunk', async t => {
	let text = '';
	const server = await listen((_socket, received) => {
		text += received;
	});
	const transport = new TargetTransport(new PlatformTargetProtocol());
	const body = new PassThrough();
	body.on('error', () => undefined);
	const sending = transport.send(callerRequest({method: 'POST', body}), {
		target: targetOf(server), budgetMs: 1000, timeoutMs: 20_000, cancellation: new Cancellation(), connectionLimit: 4, onStatement: () => undefined,
	});
	body.write('part');
	while (!text.includes('part')) {
		// eslint-disable-next-line no-await-in-loop -- polling.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	body.destroy(new Error('The caller disconnected.'));
	const result = await sending;
	transport.close();
	server.close();
	t.is(result.end, AttemptEnd.Ambiguous);
	t.notRegex(text, /\r\n0\r\n/v);
});

const brokenStreams = [
	{title: 'a reset', headers: ['Connection: close'], isReset: true},
	{title: 'its cancellation', headers: ['Connection: close'], isReset: false},
	{title: 'its cancellation, with a content length', headers: ['Content-Length: 9000000'], isReset: false},
];

for (const {title, headers, isReset} of brokenStreams) {
	test(`should abort a paused answer without an uncaught error after ${title}`, async t => {
		const server = await listen(socket => {
			socket.write(`${head(headers)}${'x'.repeat(2_000_000)}`);
		});
		const sockets: Socket[] = [];
		server.on('connection', socket => {
			sockets.push(socket);
		});
		const transport = new TargetTransport(new PlatformTargetProtocol());
		const cancellation = new Cancellation();
		let isAborted = false;
		const result = await transport.send(callerRequest({
			beginStream() {
				setTimeout(() => {
					if (isReset) {
						sockets[0]?.resetAndDestroy();
					} else {
						cancellation.cancel();
					}
				}, 50);
				return new Writable({
					write() {
						// Never calls back, so that the answer stays paused.
					},
				});
			},
			abortStream() {
				isAborted = true;
			},
		}), {
			target: targetOf(server), budgetMs: 1000, timeoutMs: 1000, cancellation, connectionLimit: 4, onStatement: () => undefined,
		});
		t.is(result.end, AttemptEnd.Streamed);
		t.true(isAborted);
		transport.close();
		server.close();
	});
}

test('should not take an earlier refusal of the same request, written again, for the answer to a later attempt', async t => {
	let runCount = 0;
	const refusal = `HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ${requestId}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
	const refusedOn = new Set<Socket>();
	const server = await listen(socket => {
		const isRun = runCount > 0 || refusedOn.size > 1 || refusedOn.has(socket);
		if (isRun) {
			runCount += 1;
		}

		if (refusedOn.has(socket) || !isRun) {
			refusedOn.add(socket);
			socket.write(refusal);
			return;
		}

		socket.write(head(['Content-Length: 0']));
	});
	const transport = new TargetTransport(new PlatformTargetProtocol());
	const attempt = async (): Promise<AttemptEnd> => {
		const {end} = await transport.send(callerRequest(), {
			target: targetOf(server), budgetMs: 1000, timeoutMs: 20_000, cancellation: new Cancellation(), connectionLimit: 4, onStatement: () => undefined,
		});
		// The connection is released a turn later.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		return end;
	};

	const ends = [await attempt(), await attempt(), await attempt()];
	transport.close();
	server.close();
	t.deepEqual(ends, [AttemptEnd.Refused, AttemptEnd.Refused, AttemptEnd.Answered]);
	t.is(runCount, 1);
});

const framings = [
	{title: 'with a length', text: `${head(['Content-Length: 5'])}hello`},
	{title: 'in chunks', text: `${head(['Transfer-Encoding: chunked'])}5\r\nhello\r\n0\r\n\r\n`},
	{title: 'in chunks with a trailer', text: `${head(['Transfer-Encoding: chunked', 'Trailer: x'])}5\r\nhello\r\n0\r\nx: 1\r\n\r\n`},
	{title: 'with a length of several digits', text: `${head(['Content-Length: 12', 'Connection: close'])}hello, world`},
	{title: 'that ends with the connection', text: `${head(['Connection: close'])}hello`, isBodyOpen: true},
];

const connectionStates = [
	{state: 'a new connection', earlier: 0},
	{state: 'a kept connection', earlier: 1},
];

for (const {title, text, isBodyOpen} of framings) {
	for (const {state, earlier} of connectionStates) {
		test(`should not take an answer ${title} on ${state} for complete wherever it is cut`, async t => {
			const cutEnd = isBodyOpen ? text.indexOf('\r\n\r\n') + 4 : text.length;
			for (let cut = 0; cut < cutEnd; cut += 1) {
				let requestCount = 0;
				// eslint-disable-next-line no-await-in-loop -- one cut after another.
				const server = await listen(socket => {
					requestCount += 1;
					if (requestCount <= earlier) {
						socket.write(`${head(['Content-Length: 5'])}hello`);
					} else {
						socket.end(text.slice(0, cut));
					}
				});
				const transport = new TargetTransport(new PlatformTargetProtocol());
				const ends: AttemptEnd[] = [];
				while (ends.length <= earlier) {
					// eslint-disable-next-line no-await-in-loop -- see above.
					const {end} = await transport.send(callerRequest({requestId}), {
						target: targetOf(server), budgetMs: 1000, timeoutMs: 20_000, cancellation: new Cancellation(), connectionLimit: 4, onStatement: () => undefined,
					});
					ends.push(end);
					// eslint-disable-next-line no-await-in-loop -- the connection is released a turn later.
					await new Promise(resolve => {
						setImmediate(resolve);
					});
				}

				t.is(ends.at(-1), AttemptEnd.Ambiguous, `cut after ${cut} bytes`);
				transport.close();
				server.close();
			}
		});
	}
}

test('should not take an informational answer for a final one if the connection ends after it', async t => {
	const server = await listen(socket => {
		socket.end('HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n');
	});
	const transport = new TargetTransport(new PlatformTargetProtocol());
	const {end} = await transport.send(callerRequest(), {
		target: targetOf(server), budgetMs: 1000, timeoutMs: 20_000, cancellation: new Cancellation(), connectionLimit: 4, onStatement: () => undefined,
	});
	transport.close();
	server.close();
	t.is(end, AttemptEnd.Ambiguous);
});

type TimeoutCase = {
	title: string;
	mayGiveUp: boolean;
	/** When the head and the rest of the answer are written, in milliseconds. */
	headMs: number;
	restMs: number;
	end: AttemptEnd;
	/** When the attempt ends at the earliest, in milliseconds. */
	endsAfterMs: number;
};

const timeouts: TimeoutCase[] = [
	{
		title: 'give up a silent attempt when its time is up', mayGiveUp: true, headMs: 1200, restMs: 1200, end: AttemptEnd.Ambiguous, endsAfterMs: 390,
	},
	{
		title: 'go on with a silent attempt that may not be given up', mayGiveUp: false, headMs: 900, restMs: 900, end: AttemptEnd.Answered, endsAfterMs: 890,
	},
	{
		title: 'go on with an attempt whose answer has begun', mayGiveUp: true, headMs: 0, restMs: 900, end: AttemptEnd.Answered, endsAfterMs: 890,
	},
	{
		title: 'give up an attempt at its deadline', mayGiveUp: false, headMs: 5000, restMs: 5000, end: AttemptEnd.Ambiguous, endsAfterMs: 1490,
	},
];

for (const {title, mayGiveUp, headMs, restMs, end, endsAfterMs} of timeouts) {
	// Guards against answers that are broken off although no other attempt can follow, or although they have begun.
	test.serial(`should ${title}`, async t => {
		const server = await listen(socket => {
			setTimeout(() => {
				socket.write(head(['Content-Length: 5']));
			}, headMs);
			setTimeout(() => {
				socket.write('hello');
			}, restMs);
		});
		const transport = new TargetTransport(new PlatformTargetProtocol());
		const startedAt = performance.now();
		const result = await transport.send(callerRequest(), {
			target: targetOf(server), budgetMs: 1500, timeoutMs: 400, mayGiveUp: async () => mayGiveUp, cancellation: new Cancellation(), connectionLimit: 4, onStatement: () => undefined,
		});
		const durationMs = performance.now() - startedAt;
		transport.close();
		server.close();
		t.is(result.end, end);
		t.true(durationMs >= endsAfterMs, `${durationMs} ms`);
	});
}

const endings = [
	{title: 'fail a request at a silent target', answer: '', end: AttemptEnd.Ambiguous},
	{title: 'fail a request whose answer is incomplete and has not begun', answer: `${head(['Content-Length: 9000000'])}part`, end: AttemptEnd.Ambiguous},
	{
		title: 'report an unproved refusal whose body is incomplete as one', answer: `${head(['Content-Length: 9000']).replace('200 OK', '503 Unavailable')}part`, end: AttemptEnd.UnprovedRefusal,
	},
	{title: 'complete a streamed answer', answer: `${head(['Content-Length: 500000'])}${'x'.repeat(400_000)}`, end: AttemptEnd.Streamed},
];

for (const {title, answer, end} of endings) {
	test(`should ${title} at the end of a stop`, async t => {
		let isAborted = false;
		let bytes = 0;
		const server = await listen(socket => {
			socket.write(answer);
			setTimeout(() => {
				ending.cancel();
				setTimeout(() => {
					socket.write('x'.repeat(100_000));
				}, 50);
			}, 100);
		});
		const ending = new Cancellation();
		const transport = new TargetTransport(new PlatformTargetProtocol());
		const result = await transport.send(callerRequest({
			beginStream: () => new Writable({
				write(chunk: Uint8Array, _encoding, callback) {
					bytes += chunk.length;
					callback();
				},
			}),
			abortStream() {
				isAborted = true;
			},
		}), {
			target: targetOf(server), budgetMs: 1000, timeoutMs: 5000, cancellation: new Cancellation(), ending, connectionLimit: 4, onStatement: () => undefined,
		});
		transport.close();
		server.close();
		t.is(result.end, end);
		t.false(isAborted);
		t.is(bytes, end === AttemptEnd.Streamed ? 500_000 : 0);
	});
}

const discardedBodies = [
	{title: 'keep the connection of an unproved refusal with a short body', bytes: 1000, connectionCount: 1},
	{title: 'close the connection of an unproved refusal with a long body before its end', bytes: 9_000_000, connectionCount: 3},
];

for (const {title, bytes, connectionCount} of discardedBodies) {
	test(`should ${title}, and read what the target says of itself`, async t => {
		let connections = 0;
		let wholeBodies = 0;
		const server = await listen((socket, text) => {
			const [id = ''] = /attempt-\d/v.exec(text) ?? [];
			socket.write(head([`Content-Length: ${bytes}`, 'Server-Limit: 7', 'Server-Leaving: 1', 'Retry-After: 2']).replace('200 OK', '503 Unavailable').replace(requestId, id));
			socket.write('x'.repeat(bytes), error => {
				wholeBodies += error ?? socket.destroyed ? 0 : 1;
			});
		});
		server.on('connection', () => {
			connections += 1;
		});
		const transport = new TargetTransport(new PlatformTargetProtocol());
		const statements: TargetStatement[] = [];
		for (let round = 0; round < 3; round += 1) {
			// eslint-disable-next-line no-await-in-loop -- one attempt after another.
			const {end} = await transport.send(callerRequest({requestId: `attempt-${round}`, headers: ['Attempt-Id', `attempt-${round}`]}), {
				target: targetOf(server), budgetMs: 1000, timeoutMs: 20_000, cancellation: new Cancellation(), connectionLimit: 4, onStatement(statement) {
					statements.push(statement);
				},
			});
			t.is(end, AttemptEnd.UnprovedRefusal);
			// eslint-disable-next-line no-await-in-loop -- the connection is released a turn later.
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		t.is(connections, connectionCount);
		t.is(wholeBodies, bytes > 1_000_000 ? 0 : 3);
		t.deepEqual(statements, Array.from({length: 3}, () => ({
			limitPerS: 7, unreadableLimit: undefined, isLeaving: true, pauseMs: 2000, hasRun: true,
		})));
		transport.close();
		server.close();
	});
}

const slowRefusals = [
	{
		title: 'a refusal', line: '503 Unavailable', header: 'Not-Executed: 1', end: AttemptEnd.Refused,
	},
	{
		title: 'a misdirection', line: '421 Misdirected', header: 'Not-Executed: 1', end: AttemptEnd.Misdirected,
	},
	{
		title: 'an unproved refusal', line: '503 Unavailable', header: 'Server-Limit: 7', end: AttemptEnd.UnprovedRefusal,
	},
];

for (const {title, line, header, end} of slowRefusals) {
	// Guards against requests that wait until their deadline for a body that is not forwarded.
	test(`should not wait for a late body behind the head of ${title}`, async t => {
		const sockets: Socket[] = [];
		const server = await listen(socket => {
			sockets.push(socket);
			socket.write(`${head([header, 'Content-Length: 10']).replace('200 OK', line)}part`);
		});
		const transport = new TargetTransport(new PlatformTargetProtocol());
		const startedAt = performance.now();
		const result = await transport.send(callerRequest(), {
			target: targetOf(server), budgetMs: 5000, timeoutMs: 5000, cancellation: new Cancellation(), connectionLimit: 4, onStatement: () => undefined,
		});
		t.is(result.end, end);
		t.true(performance.now() - startedAt < 1000);
		transport.close();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
}
