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

type Exchanged = {
	request: RoutedRequest;
	attempt: Attempt;
	aborts: () => number;
};

function exchange(port: number, changes: Partial<Attempt> = {}): Exchanged {
	let aborts = 0;
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
				aborts += 1;
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
	return {request, attempt, aborts: () => aborts};
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
	aborts?: number;
};

const cases: Case[] = [
	{
		title: 'complete a whole answer', handler: endWith('whole'), end: AttemptEnd.Completed,
	},
	{
		title: 'cut the caller off when the answer breaks off',
		handler(response) {
			response.writeHead(200, {'content-length': '100'});
			response.write('part');
			setTimeout(() => {
				response.destroy();
			}, 20);
		},
		end: AttemptEnd.Truncated,
		aborts: 1,
	},
	{
		title: 'tell that a request without an answer may have run', handler: destroy, end: AttemptEnd.Ambiguous,
	},
	{
		title: 'believe a server that did not run the request',
		handler(response) {
			response.writeHead(409, {'eelgrasswheel-outcome': 'not-run', 'eelgrasswheel-reason': 'fenced'});
			response.end();
		},
		end: AttemptEnd.NotRun,
		reason: NotRunReason.Fenced,
	},
	{
		title: 'write nothing when the guard stops it',
		handler: endWith(''),
		attempt: {guard: () => NotRunReason.NoRouteLease}, end: AttemptEnd.NotRun, reason: NotRunReason.NoRouteLease,
	},
	{
		title: 'give up at the deadline', handler: () => undefined, attempt: {timeoutMs: 50}, end: AttemptEnd.Ambiguous,
	},
	{
		title: 'not take another daemon\'s unknown outcome for an answer',
		handler(response) {
			response.writeHead(504, {'eelgrasswheel-outcome': 'unknown'});
			response.end('{}');
		},
		end: AttemptEnd.Ambiguous,
	},
];

for (const {title, handler, attempt: changes, end, reason, aborts = 0} of cases) {
	test(`should ${title}`, async t => {
		const {server, port} = await listen(handler);
		const transport = new HttpTransport();
		const exchanged = exchange(port, changes);
		const result = await transport.send(exchanged.request, exchanged.attempt);
		t.is(result.end, end);
		t.is(result.reason, reason);
		t.is(exchanged.aborts(), aborts);
		server.closeAllConnections();
		server.close();
	});
}

test('should tell that a refused connection ran nothing', async t => {
	const exchanged = exchange(await freePort());
	const result = await new HttpTransport().send(exchanged.request, exchanged.attempt);
	t.deepEqual([result.end, result.reason, result.refused], [AttemptEnd.NotRun, NotRunReason.Connect, true]);
});

test('should ask the guard only when the connection is open', async t => {
	const {server, port} = await listen(endWith(''));
	let asked = 0;
	const exchanged = exchange(port, {
		guard() {
			asked += 1;
			return undefined;
		},
	});
	const sent = new HttpTransport().send(exchanged.request, exchanged.attempt);
	t.is(asked, 0);
	await sent;
	t.is(asked, 1);
	server.closeAllConnections();
	server.close();
});
