import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {PassThrough} from 'node:stream';
import test from 'ava';
import {Cancellation} from '../../src/model/cancellation.js';
import {serviceSchema} from '../../src/model/configuration.js';
import {NotRunReason} from '../../src/model/errors.js';
import {AttemptEnd, type Attempt, type RoutedRequest} from '../../src/model/request.js';
import {HttpTransport} from '../../src/targets/http-transport.js';
import {freePort} from './deployment.js';

const service = serviceSchema.parse({
	name: 'registry', customer: 'c', pathPrefix: '/', divided: false, classes: [{
		name: 'read', methods: ['GET'], priority: 'read', deadlineMs: 1000, idempotent: true,
	}],
});

type ExchangeFixture = {
	request: RoutedRequest;
	attempt: Attempt;
	abortCount: () => number;
};

function createExchange(port: number, changes: Partial<Attempt> = {}): ExchangeFixture {
	let abortCount = 0;
	const request: RoutedRequest = {
		service,
		requestClass: service.classes[0],
		key: undefined,
		instructionId: undefined,
		method: 'GET',
		path: '/',
		headers: [],
		body: undefined,
		isForwarded: false,
		receivedAt: performance.now(),
		deadlineAt: performance.now() + 5000,
		cancellation: new Cancellation(),
		responder: {
			start: () => new PassThrough().resume(),
			abort() {
				abortCount += 1;
			},
		},
	};
	const attempt: Attempt = {
		server: {id: 's', address: `127.0.0.1:${port}`},
		headers: [],
		shard: undefined,
		epoch: undefined,
		startByMs: Date.now() + 5000,
		connectionLimit: 1,
		timeoutMs: 5000,
		guard: () => undefined,
		cancellation: new Cancellation(),
		...changes,
	};
	return {request, attempt, abortCount: () => abortCount};
}

async function listen(handler: (response: ServerResponse) => void): Promise<{server: Server; port: number}> {
	const server = createServer((_request, response) => {
		handler(response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {server, port: (server.address() as AddressInfo).port};
}

function endWith(text: string): (response: ServerResponse) => void {
	return response => {
		response.end(text);
	};
}

function destroy(response: ServerResponse): void {
	response.destroy();
}

type Case = {
	title: string;
	handler: (response: ServerResponse) => void;
	attempt?: Partial<Attempt>;
	end: AttemptEnd;
	reason?: NotRunReason;
	abortCount?: number;
};

const cases: Case[] = [
	{
		title: 'forward a complete answer', handler: endWith('whole'), end: AttemptEnd.Completed,
	},
	{
		title: 'abort the caller\'s answer if the server\'s answer is incomplete',
		handler(response) {
			response.writeHead(200, {'content-length': '100'});
			response.write('part');
			setTimeout(() => {
				response.destroy();
			}, 20);
		},
		end: AttemptEnd.Truncated,
		abortCount: 1,
	},
	{
		title: 'report that a request without an answer may have run', handler: destroy, end: AttemptEnd.Ambiguous,
	},
	{
		title: 'accept the answer of a server that it did not run the request',
		handler(response) {
			response.writeHead(409, {'eelgrasswheel-outcome': 'not-run', 'eelgrasswheel-reason': 'fenced'});
			response.end();
		},
		end: AttemptEnd.NotRun,
		reason: NotRunReason.Fenced,
	},
	{
		// REFUSED: callers of this interface get the promise as an outcome, so that a server's status promises nothing.
		title: 'forward a failure of a server that did not say that it has not run the request',
		handler(response) {
			response.writeHead(503, {'retry-after': '1'});
			response.end('failed');
		},
		end: AttemptEnd.Completed,
	},
	{
		title: 'write nothing if the guard refuses the request',
		handler: endWith(''),
		attempt: {guard: () => NotRunReason.NoRouteLease}, end: AttemptEnd.NotRun, reason: NotRunReason.NoRouteLease,
	},
	{
		title: 'end as ambiguous at the deadline', handler: () => undefined, attempt: {timeoutMs: 50}, end: AttemptEnd.Ambiguous,
	},
	{
		title: 'not treat an unknown outcome reported by another daemon as an answer',
		handler(response) {
			response.writeHead(504, {'eelgrasswheel-outcome': 'unknown'});
			response.end('{}');
		},
		end: AttemptEnd.Ambiguous,
	},
];

for (const {title, handler, attempt: changes, end, reason, abortCount = 0} of cases) {
	test(`should ${title}`, async t => {
		const {server, port} = await listen(handler);
		const transport = new HttpTransport();
		const exchanged = createExchange(port, changes);
		const result = await transport.send(exchanged.request, exchanged.attempt);
		t.is(result.end, end);
		t.is(result.reason, reason);
		t.is(exchanged.abortCount(), abortCount);
		server.closeAllConnections();
		server.close();
	});
}

test('should report that a request did not run if the connection was refused', async t => {
	const exchanged = createExchange(await freePort());
	const result = await new HttpTransport().send(exchanged.request, exchanged.attempt);
	t.deepEqual([result.end, result.reason, result.refused], [AttemptEnd.NotRun, NotRunReason.Connect, true]);
});

test('should call the guard only when the connection is open', async t => {
	const {server, port} = await listen(endWith(''));
	let guardCalls = 0;
	const exchanged = createExchange(port, {
		guard() {
			guardCalls += 1;
			return undefined;
		},
	});
	const sent = new HttpTransport().send(exchanged.request, exchanged.attempt);
	t.is(guardCalls, 0);
	await sent;
	t.is(guardCalls, 1);
	server.closeAllConnections();
	server.close();
});

const retryDelays = [
	{value: '2', expectedMs: 2000},
	{value: '0.5', expectedMs: 500},
	{value: 'Wed, 21 Oct 2099 07:28:00 GMT', expectedMs: 1000},
	{value: 'NaN', expectedMs: 1000},
	{value: '-3', expectedMs: 1000},
];

for (const {value, expectedMs} of retryDelays) {
	test(`should name ${expectedMs} ms until a retry after a refusal with the delay "${value}"`, async t => {
		const {server, port} = await listen(response => {
			response.writeHead(503, {'eelgrasswheel-outcome': 'not-run', 'retry-after': value});
			response.end();
		});
		const exchanged = createExchange(port);
		const result = await new HttpTransport().send(exchanged.request, exchanged.attempt);
		t.is(result.retryAfterMs, expectedMs);
		server.closeAllConnections();
		server.close();
	});
}

test('should not take over the statement of an outcome from a server that answers with a refusal status', async t => {
	const {server, port} = await listen(response => {
		response.writeHead(503, {'eelgrasswheel-outcome': 'done', 'retry-after': '1'});
		response.end('failed');
	});
	const exchanged = createExchange(port);
	const begun: Array<{status: number; headers: Record<string, string | string[]>}> = [];
	exchanged.request.responder.start = (status, headers) => {
		begun.push({status, headers});
		return new PassThrough().resume();
	};

	const {end} = await new HttpTransport().send(exchanged.request, exchanged.attempt);
	t.is(end, AttemptEnd.Completed);
	t.is(begun[0]?.status, 503);
	t.false('eelgrasswheel-outcome' in (begun[0]?.headers ?? {}));
	server.closeAllConnections();
	server.close();
});
