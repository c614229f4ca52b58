/** REFUSED: callers were told by a target's status that a request had not run, repeated it, and it ran twice. */
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {isRefusalStatus} from '../../src/model/forwarding.js';
import {LogEvent, type LogFields} from '../../src/model/events.js';
import {PlatformDeployment, type DeploymentAnswer, type DeploymentOptions} from '../../standins/platform-deployment.js';
import {platformPorts} from '../../standins/platform-settings.js';
import type {RunFailure} from '../../standins/platform-target-server.js';
import {exchange} from '../../standins/raw-caller.js';
import {LinkCut} from '../../standins/target-links.js';

/** Time that a request takes at its target, in milliseconds. */
const workMs = 5;

const budgetMs = 5000;

/** Requests of each case. */
const requestCount = 3;

/** Body of an answer that is streamed, in bytes; larger than those that are buffered. */
const streamedBytes = 400_000;

/** A request's body that is streamed, because it is larger than those that are buffered. */
const longBody = 'x'.repeat(500_000);

/** Characters of an answer that a failed check shows. */
const shownCharacters = 60;

type Setup = {
	deployment: PlatformDeployment;
	/** Number of runs by request. */
	runs: Map<string, number>;
	lines: Array<{event: LogEvent; fields: LogFields}>;
	/** Sends a request and returns its answer with the number of its runs. */
	send(daemon?: number, body?: string): Promise<Partial<DeploymentAnswer> & {runCount: number; requestId: string}>;
	fail(failure: RunFailure | undefined): void;
};

async function withDeployment(options: Pick<DeploymentOptions, 'network' | 'kind'> & Partial<DeploymentOptions>, run: (setup: Setup) => Promise<void>): Promise<void> {
	const runs = new Map<string, number>();
	const lines: Setup['lines'] = [];
	const deployment = new PlatformDeployment({
		daemonCount: 1, targetCount: 3, isKeyed: false, workMs, shutdownGraceS: 2, ...options,
		log: {
			record(event, fields) {
				lines.push({event, fields});
			},
		},
		onRun(_target, requestId) {
			runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
		},
	});
	await deployment.start();
	try {
		await run({
			deployment,
			runs,
			lines,
			async send(daemon = 0, body = '{}') {
				const requestId = deployment.nextRequestId();
				const answer = await deployment.send(daemon, budgetMs, requestId, body);
				return {...answer, requestId, runCount: runs.get(requestId) ?? 0};
			},
			fail(failure) {
				for (const target of deployment.targets) {
					target.failure = failure;
				}
			},
		});
	} finally {
		await deployment.stop();
	}
}

type Case = {
	title: string;
	failure: RunFailure;
	/** True if the body of the request is streamed. */
	isLong?: boolean;
	/** Why the outcome is unknown, if an unsealed answer counts as none. */
	otherReason?: string;
};

const cases: Case[] = [
	{title: 'with a seal', failure: {status: 503}},
	{title: 'without a seal', failure: {status: 503, isSealed: false}},
	{title: 'with a delay until a retry', failure: {status: 503, headers: {'retry-after': '0.01'}}},
	{title: 'with a streamed body of a known length', failure: {status: 503, bodyBytes: streamedBytes}},
	{title: 'with a streamed body in chunks', failure: {status: 503, bodyBytes: streamedBytes, isChunked: true}},
	{title: 'with a short body in chunks', failure: {status: 503, isChunked: true}},
	{title: 'without a body', failure: {status: 503, bodyBytes: 0}},
	{title: 'after a longer time', failure: {status: 503, delayMs: 200}},
	{title: 'to a streamed request body', failure: {status: 503}, isLong: true},
	{title: 'before the end of the request body', failure: {status: 503, isEarly: true}, isLong: true},
	{title: 'before the end of the request body, with a streamed body', failure: {status: 503, isEarly: true, bodyBytes: streamedBytes}, isLong: true},
	{title: 'before the end of the request body, without a seal', failure: {status: 503, isEarly: true, isSealed: false}, isLong: true},
	{title: 'with a seal', failure: {status: 408}},
	{title: 'without a seal', failure: {status: 408, isSealed: false}, otherReason: 'attempts_used'},
	{title: 'with a seal', failure: {status: 429}},
	{title: 'without a seal', failure: {status: 429, isSealed: false}, otherReason: 'attempts_used'},
	{title: 'with a streamed body', failure: {status: 429, bodyBytes: streamedBytes}},
	{title: 'before the end of the request body', failure: {status: 429, isEarly: true}, isLong: true},
];

const services = [
	{title: 'an undivided service', network: '127.65', isKeyed: false},
	{title: 'a keyed service', network: '127.66', isKeyed: true},
];

function describe({title, failure}: Case): string {
	return `${failure.status} ${title}`;
}

/** What the caller of each request got, with what the log says of it. */
async function play({send, fail, lines}: Setup, failureCase: Case): Promise<unknown[]> {
	const {failure, isLong = false} = failureCase;
	fail(failure);
	lines.length = 0;
	const results: unknown[] = [];
	for (let count = 0; count < requestCount; count += 1) {
		// eslint-disable-next-line no-await-in-loop -- one request after another, so that no target refuses one.
		const {status, isSealed, text, runCount, requestId} = await send(0, isLong ? longBody : undefined);
		const line = lines.find(({event, fields}) => event === LogEvent.RefusalUnproved && fields.request === requestId);
		results.push({
			title: describe(failureCase),
			status,
			isSealed,
			text: text?.slice(0, shownCharacters),
			runCount,
			logged: line && {status: line.fields.status, isSealed: line.fields.isSealed, isWithheld: line.fields.isWithheld},
		});
		// eslint-disable-next-line no-await-in-loop -- the target may want no requests for a moment.
		await delay(20);
	}

	return results;
}

function expected(failureCase: Case): unknown[] {
	const {failure: {status, isSealed = true}, otherReason} = failureCase;
	const result = {
		title: describe(failureCase),
		status: 502,
		isSealed: false,
		text: `${JSON.stringify({error: otherReason ?? 'refusal_unproved'})}\n`,
		runCount: 1,
		logged: otherReason === undefined ? {status, isSealed, isWithheld: true} : undefined,
	};
	return Array.from({length: requestCount}, () => result);
}

for (const {title, network, isKeyed} of services) {
	test(`should not tell callers of ${title} that a request has not run because its target answers so after the run`, async t => {
		await withDeployment({network, kind: 'unsafe', isKeyed}, async setup => {
			const results: unknown[] = [];
			for (const failureCase of cases) {
				// eslint-disable-next-line no-await-in-loop -- one case after another.
				results.push(...await play(setup, failureCase));
			}

			t.deepEqual(results, cases.flatMap(failureCase => expected(failureCase)));

			setup.fail(undefined);
			t.like(await setup.send(), {status: 200, isSealed: true, runCount: 1});
		});
	});
}

const unchanged: Array<{title: string; kind: 'safe' | 'unsafe'; failure: RunFailure}> = [
	{title: 'a 500', kind: 'unsafe', failure: {status: 500}},
	{title: 'a 504', kind: 'unsafe', failure: {status: 504}},
	{title: 'a 404', kind: 'unsafe', failure: {status: 404}},
	{title: 'a 503', kind: 'safe', failure: {status: 503}},
	{title: 'a 429', kind: 'safe', failure: {status: 429}},
	{title: 'a 503 with a streamed body', kind: 'safe', failure: {status: 503, bodyBytes: streamedBytes}},
];

test('should return the failures of targets unchanged that promise nothing, and all failures of repeatable requests', async t => {
	for (const [index, kind] of ['safe', 'unsafe'].entries()) {
		// eslint-disable-next-line no-await-in-loop -- one deployment after another.
		await withDeployment({network: `127.${67 + index}`, kind}, async ({send, fail}) => {
			for (const {title, failure} of unchanged.filter(row => row.kind === kind)) {
				fail(failure);
				// eslint-disable-next-line no-await-in-loop -- one case after another.
				const {status, isSealed, text} = await send();
				t.deepEqual({status, isSealed, text}, {status: failure.status, isSealed: true, text: 'x'.repeat(failure.bodyBytes ?? 70)}, `${title} on a ${kind} route`);
			}
		});
	}
});

test('should answer the requests behind one whose target answers 503 after the run, on the same connection', async t => {
	await withDeployment({network: '127.69', kind: 'unsafe'}, async ({deployment, fail, runs}) => {
		fail({status: 503});
		const ids = ['piped-1', 'piped-2', 'piped-3'];
		const text = ids.map(id => `POST /records/a HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: ${id}\r\nContent-Length: 2\r\n\r\n{}`).join('');
		const received = await exchange(platformPorts.caller, text, /(?:refusal_unproved[\s\S]*){3}/v, deployment.ipOf(0));
		t.is(received.match(/HTTP\/1\.1 502 /gv)?.length, ids.length);
		t.deepEqual(ids.map(id => runs.get(id)), [1, 1, 1]);
	});
});

test('should not tell callers that a relayed request has not run because its target answers so after the run', async t => {
	await withDeployment({network: '127.52', kind: 'unsafe', daemonCount: 3}, async ({deployment, send, fail, lines}) => {
		const links = await deployment.createLinks(0);
		links.cut(LinkCut.Reset);
		let isRelayed = false;
		while (!isRelayed) {
			// eslint-disable-next-line no-await-in-loop -- until the daemon knows that it is cut off, and that its peers are not.
			const [{status}] = await Promise.all([send(0), send(1), send(2)]);
			isRelayed = status === 200 && lines.some(({event}) => event === LogEvent.TargetsUnreachable);
		}

		const playedAt = lines.length;
		for (const failure of [{status: 503}, {status: 503, bodyBytes: streamedBytes}, {status: 429}]) {
			fail(failure);
			// eslint-disable-next-line no-await-in-loop -- one case after another.
			const {status, isSealed, text, runCount} = await send();
			t.deepEqual({
				status, isSealed, text, runCount,
			}, {
				status: 502, isSealed: false, text: '{"error":"refusal_unproved"}\n', runCount: 1,
			}, `${failure.status}`);
		}

		// The peers are not to blame.
		t.deepEqual(lines.slice(playedAt).filter(({event}) => event === LogEvent.RelayFailed), []);
		links.close();
	});
});

test('should end requests at targets that answer 503 after the run during a stop without a promise', async t => {
	await withDeployment({network: '127.53', kind: 'unsafe', shutdownGraceS: 1}, async ({deployment, send, fail}) => {
		fail({status: 503, delayMs: 300});
		const sent = Array.from({length: requestCount}, async () => send());
		await delay(100);
		await deployment.daemons[0]?.shutdown();
		const answers = await Promise.all(sent);
		t.true(answers.some(({runCount}) => runCount === 1));
		for (const {status = 0, runCount} of answers) {
			t.true(runCount <= 1 && (runCount === 0 || !isRefusalStatus(status)), `${status} after ${runCount} runs`);
		}
	});
});
