import {Buffer} from 'node:buffer';
import type {AddressInfo, Server} from 'node:net';
import {PassThrough, Readable, Writable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {ServiceBroker, type Context} from 'moleculer';
import {Cancellation} from '../../src/model/cancellation.js';
import {
	AttemptEnd, OutcomeKind, OutcomeReason, type CallerRequest, type Outcome, type RelayResult,
} from '../../src/model/forwarding.js';
import {
	PeerRelayTransport, readRelayedHeaders, relayAnswerHeaders, RelayHeader,
} from '../../src/platform/relay.js';
import {WireHeader} from '../../src/platform/wire.js';
import {initialLimits} from '../../src/model/route-configuration.js';
import {OpenRequests} from '../../src/services/open-requests.js';
import {createPlatformGatewayService} from '../../src/services/platform-gateway-service.js';
import {callerRequest} from '../../standins/caller-request.js';

const requestId = 'request-1';
const seal = {[WireHeader.RequestId]: requestId, [WireHeader.Seal]: 'seal'};

/** Forwards a request at the peer. */
type Forward = (request: CallerRequest) => Promise<Outcome>;

type Setup = {
	broker: ServiceBroker;
	/** Relays a request that may run more than once unless it is said not to. */
	relay(request: CallerRequest, ending?: Cancellation, isIdempotent?: boolean): Promise<RelayResult>;
};

/** Creates a request with the headers that every request has. */
function identifiedRequest(changes: Partial<CallerRequest> = {}): CallerRequest {
	return callerRequest('/a/x', {headers: ['Host', 'host', 'Attempt-Id', requestId], ...changes});
}

/** Runs the listener of a peer that forwards relayed requests in this way. */
async function withPeer(forward: Forward, run: (setup: Setup) => Promise<void>): Promise<void> {
	const broker = new ServiceBroker({
		logger: false, internalServices: false, skipProcessEventRegistration: true, dependencyInterval: 1,
	});
	broker.createService({
		name: 'dispatcher', actions: {forward: async (context: Context<CallerRequest>) => forward(context.params)},
	});
	const limits = (): typeof initialLimits => initialLimits;
	const service = broker.createService(createPlatformGatewayService({
		ip: '127.0.0.1',
		port: 0,
		log: {record: () => undefined},
		openRequests: new OpenRequests(),
		readHeaders: readRelayedHeaders,
		outcomeHeaders: relayAnswerHeaders,
		limits,
		confirmLimits: async () => true,
		onOutcome: () => undefined,
	}));
	await broker.start();
	const {gateway: {server}} = service as unknown as {gateway: {server: Server}};
	const {port} = server.address() as AddressInfo;
	const transport = new PeerRelayTransport('daemon-1');
	try {
		await run({
			broker, relay: async (request, ending = new Cancellation(), isIdempotent = true) => transport.relay(request, {
				peer: {
					daemon: 'daemon-2', availabilityZone: 'zone', ip: '127.0.0.1', port, room: 1,
				},
				deliveredAttempts: 1, budgetMs: 700, timeoutMs: 800, cancellation: request.cancellation, ending, isIdempotent,
			}),
		});
	} finally {
		transport.close();
		await broker.stop();
	}
}

const outcomes: Array<{title: string; outcome: Outcome; expected: Partial<RelayResult>}> = [
	{
		title: 'an answer of a target', outcome: {
			kind: OutcomeKind.Answered, answer: {status: 200, headers: seal}, body: Buffer.from('body'), deliveredAttempts: 2,
		}, expected: {end: AttemptEnd.Answered, answer: {status: 200, headers: seal}, deliveredAttempts: 2},
	},
	{
		title: 'a failure that a target answered', outcome: {
			kind: OutcomeKind.Answered, answer: {status: 503, headers: seal}, body: Buffer.from('full'), deliveredAttempts: 2,
		}, expected: {end: AttemptEnd.Answered, answer: {status: 503, headers: seal}, deliveredAttempts: 2},
	},
	{
		title: 'a refusal', outcome: {
			kind: OutcomeKind.NotRun, reason: OutcomeReason.Overloaded, retryAfterMs: 250, deliveredAttempts: 3,
		}, expected: {end: AttemptEnd.Refused, retryAfterMs: 250, deliveredAttempts: 3},
	},
	{
		title: 'a refusal of a peer that is cut off as well', outcome: {kind: OutcomeKind.NotRun, reason: OutcomeReason.TargetsUnreachable, retryAfterMs: 100},
		expected: {end: AttemptEnd.Misdirected, deliveredAttempts: 1},
	},
	{
		title: 'a refusal of a peer that stops', outcome: {kind: OutcomeKind.NotRun, reason: OutcomeReason.DaemonStopping, retryAfterMs: 100},
		expected: {end: AttemptEnd.Misdirected, deliveredAttempts: 1},
	},
	{
		title: 'no route at the peer', outcome: {kind: OutcomeKind.NoRoute, reason: OutcomeReason.NoRoute}, expected: {end: AttemptEnd.Misdirected},
	},
	{
		title: 'an unknown outcome', outcome: {kind: OutcomeKind.Unknown, reason: OutcomeReason.AnswerLost}, expected: {end: AttemptEnd.Ambiguous},
	},
	{
		title: 'a refusal of a target without proof', outcome: {kind: OutcomeKind.Unknown, reason: OutcomeReason.RefusalUnproved}, expected: {end: AttemptEnd.UnprovedRefusal},
	},
	{
		title: 'an expired time budget', outcome: {kind: OutcomeKind.TimedOut, reason: OutcomeReason.Timeout}, expected: {end: AttemptEnd.Ambiguous},
	},
	{
		title: 'a connection that the peer closes', outcome: {kind: OutcomeKind.Abandoned, reason: OutcomeReason.CallerLeft}, expected: {end: AttemptEnd.Ambiguous},
	},
];

for (const {title, outcome, expected} of outcomes) {
	test(`should translate the outcome at the peer: ${title}`, async t => {
		await withPeer(async () => outcome, async ({relay}) => {
			const result = await relay(identifiedRequest());
			t.like(result, expected);
			t.is(result.body?.toString(), outcome.body?.toString());
		});
	});
}

const unprovedRefusals: Array<{title: string; forward: Forward}> = [408, 429, 503].flatMap(status => [
	{
		title: `the status ${status} of a target`,
		forward: async () => ({
			kind: OutcomeKind.Answered, answer: {status, headers: seal}, body: Buffer.from('failed'), deliveredAttempts: 2,
		}),
	},
	{
		title: `the status ${status} of a target, streamed`,
		async forward(request) {
			request.beginStream({status, headers: seal}).end(Buffer.alloc(400_000));
			return {kind: OutcomeKind.Streamed};
		},
	},
]);

for (const {title, forward} of unprovedRefusals) {
	// REFUSED: a peer of an earlier version passes such an answer on, which the relaying daemon passed on to its caller.
	test(`should not pass on as a promise what a peer passed on: ${title}`, async t => {
		await withPeer(forward, async ({relay}) => {
			const {end, body} = await relay(identifiedRequest(), undefined, false);
			t.is(end, AttemptEnd.UnprovedRefusal);
			t.is(body, undefined);
		});
	});
}

test('should report an answer without its id or without an outcome as ambiguous', async t => {
	const wrongId: Outcome = {kind: OutcomeKind.Answered, answer: {status: 200, headers: {...seal, [WireHeader.RequestId]: 'request-0'}}, body: new Uint8Array()};
	const noOutcome: Outcome = {kind: OutcomeKind.Answered, answer: {status: 503, headers: {...seal, [RelayHeader.Outcome]: ''}}, body: new Uint8Array()};
	for (const outcome of [wrongId, noOutcome]) {
		// eslint-disable-next-line no-await-in-loop -- one after another.
		await withPeer(async () => outcome, async ({relay}) => {
			const {end} = await relay(identifiedRequest());
			t.is(end, AttemptEnd.Ambiguous);
		});
	}
});

test('should pass the request on unchanged, with its origin and the time that is left', async t => {
	const received: CallerRequest[] = [];
	const answer: Outcome = {kind: OutcomeKind.Answered, answer: {status: 200, headers: seal}, body: new Uint8Array()};
	await withPeer(async request => {
		received.push(request);
		return answer;
	}, async ({relay}) => {
		await relay(callerRequest('/a/x?y=1', {
			method: 'POST',
			headers: ['Host', 'host', 'Attempt-Id', requestId, 'Shard-Key', '7', 'X-Own', 'value', RelayHeader.Attempts, '9'],
			body: Buffer.from('order'),
		}));
	});
	const [{
		method, path, host, headers, key, budgetMs, relay, body,
	}] = received as [CallerRequest];
	t.deepEqual({
		method, path, host, key, budgetMs, relay, body: Buffer.from(body as Uint8Array).toString(),
	}, {
		method: 'POST', path: '/a/x?y=1', host: 'host', key: 7, budgetMs: 700, relay: {daemon: 'daemon-1', deliveredAttempts: 1}, body: 'order',
	});
	t.deepEqual(headers.filter(name => name.startsWith('eelgrasswheel')), []);
	t.is(headers[headers.indexOf('X-Own') + 1], 'value');
});

/** Larger than what is buffered. */
const largeBytes = 600_000;

for (const isComplete of [true, false]) {
	test(`should stream a large body to the peer and a large answer back, and ${isComplete ? 'complete it' : 'abort it if the peer does'}`, async t => {
		let bodyBytes = 0;
		const chunks: Uint8Array[] = [];
		let isAborted = false;
		await withPeer(async ({body, beginStream, abortStream}) => {
			for await (const chunk of body as Readable) {
				bodyBytes += (chunk as Uint8Array).length;
			}

			const sink = beginStream({status: 200, headers: {...seal, 'content-length': String(largeBytes)}});
			sink.write(Buffer.alloc(largeBytes - 1));
			if (!isComplete) {
				await delay(50);
				abortStream();
				return {kind: OutcomeKind.Streamed};
			}

			sink.end(Buffer.alloc(1));
			return {kind: OutcomeKind.Streamed};
		}, async ({relay}) => {
			const result = await relay(identifiedRequest({
				method: 'POST',
				body: Readable.from([Buffer.alloc(largeBytes)]),
				beginStream: () => new Writable({
					write(chunk: Uint8Array, _encoding, callback) {
						chunks.push(chunk);
						callback();
					},
				}),
				abortStream() {
					isAborted = true;
				},
			}));
			t.is(result.end, AttemptEnd.Streamed);
		});
		t.is(bodyBytes, largeBytes);
		t.is(isAborted, !isComplete);
		t.is(Buffer.concat(chunks).length, isComplete ? largeBytes : largeBytes - 1);
	});
}

test('should cancel the request at the peer when the caller leaves', async t => {
	const cancellation = new Cancellation();
	let cancelledAfterMs = Infinity;
	await withPeer(async request => new Promise(resolve => {
		const startedAt = performance.now();
		request.cancellation.subscribe(() => {
			cancelledAfterMs = performance.now() - startedAt;
			resolve({kind: OutcomeKind.Abandoned});
		});
		setTimeout(() => {
			cancellation.cancel();
		}, 50);
	}), async ({relay}) => {
		const {end} = await relay(identifiedRequest({cancellation}));
		t.is(end, AttemptEnd.Ambiguous);
		await delay(100);
	});
	// Half a second is the bound for work that nobody waits for.
	t.true(cancelledAfterMs < 500, `${cancelledAfterMs} ms`);
});

/** Streams an answer that its reader does not take. */
function answerWithoutEnd({beginStream}: CallerRequest): void {
	Readable.from(Array.from({length: 1000}, () => Buffer.alloc(largeBytes))).pipe(beginStream({status: 200, headers: seal}));
}

const leavings: Array<{title: string; body?: () => Readable; begin?: (request: CallerRequest) => void; end: AttemptEnd}> = [
	{title: 'during an upload that the peer has received and not read', body: () => Readable.from([Buffer.alloc(largeBytes)]), end: AttemptEnd.Ambiguous},
	{
		title: 'in the middle of an upload that the peer does not read', end: AttemptEnd.Ambiguous, body() {
			const body = new PassThrough();
			body.write(Buffer.alloc(largeBytes));
			return body;
		},
	},
	{title: 'while it does not read a streamed answer', begin: answerWithoutEnd, end: AttemptEnd.Streamed},
];

for (const {title, body, begin, end: expectedEnd} of leavings) {
	// GONE: a peer that does not read its connection did not notice that the daemon before it had given up the request.
	test(`should cancel the request at the peer when the caller leaves ${title}`, async t => {
		const cancellation = new Cancellation();
		let leftAt = 0;
		let cancelledAt = Infinity;
		await withPeer(async request => new Promise(resolve => {
			request.cancellation.subscribe(() => {
				cancelledAt = performance.now();
				resolve({kind: OutcomeKind.Abandoned});
			});
			begin?.(request);
			setTimeout(() => {
				leftAt = performance.now();
				cancellation.cancel();
			}, 100);
		}), async ({relay}) => {
			const {end} = await relay(identifiedRequest({
				method: body ? 'POST' : 'GET', body: body?.(), cancellation, beginStream: () => new Writable({
					write() {
						// Never calls back, so that the stream stays full.
					},
				}),
			}));
			t.is(end, expectedEnd);
			await delay(500);
		});
		// Half a second is the bound for work that nobody waits for.
		t.true(cancelledAt - leftAt < 500, `${cancelledAt - leftAt} ms`);
	});
}

test('should report a request as not sent if the peer does not listen', async t => {
	await withPeer(async () => ({kind: OutcomeKind.Unknown}), async ({relay, broker}) => {
		await broker.call('gateway.closeListener');
		const {end} = await relay(identifiedRequest());
		t.is(end, AttemptEnd.NotSent);
	});
});

/** Outcome of a request that nothing ends. */
const unanswered = new Promise<Outcome>(() => {
	// Stays pending.
});

// LOST: the end of a stop left relayed requests without an answer.
test('should end a relayed request at the end of a stop of either daemon', async t => {
	await withPeer(async () => unanswered, async ({relay}) => {
		const ending = new Cancellation();
		const result = relay(identifiedRequest(), ending);
		await delay(50);
		ending.cancel();
		const {end} = await result;
		t.is(end, AttemptEnd.Ambiguous);
	});
	await withPeer(async () => unanswered, async ({broker, relay}) => {
		const body = new PassThrough();
		body.write('incomplete');
		const result = relay(identifiedRequest({method: 'POST', body}));
		await delay(50);
		await broker.call('gateway.endRequests');
		const {end} = await result;
		t.is(end, AttemptEnd.Misdirected);
	});
});
