import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {LogEvent} from '../../src/model/events.js';
import {PlatformDeployment} from '../../standins/platform-deployment.js';
import {LinkCut} from '../../standins/target-links.js';

/** Time from the beginning of the cut from which callers must be served, in milliseconds. */
const stableWindowMs = 3000;

/** Share of the requests that a cut daemon has to serve, of what the others serve. */
const servedShare = 2 / 3;

/** Time that a request takes at the target, in milliseconds. */
const workMs = 40;

const budgetMs = 1000;
const requestCount = 40;

/** Interval between requests, in milliseconds: one request at a time. */
const slowMs = 40;

/** Interval with which more connections are needed than are open, in milliseconds. */
const fastMs = 5;

type Answer = {requestId: string; status: number | undefined};

/** Sends requests to a daemon at regular intervals. */
async function sendAll(deployment: PlatformDeployment, daemon: number, {count = requestCount, intervalMs = slowMs}: {count?: number; intervalMs?: number}): Promise<Answer[]> {
	const answers: Array<Promise<Answer>> = [];
	for (let index = 0; index < count; index += 1) {
		const requestId = deployment.nextRequestId();
		answers.push(deployment.send(daemon, budgetMs, requestId).then(answer => ({requestId, status: answer?.status})));
		// eslint-disable-next-line no-await-in-loop -- one request after another.
		await delay(intervalMs);
	}

	return Promise.all(answers);
}

function served(answers: readonly Answer[]): number {
	return answers.filter(({status}) => status === 200).length;
}

const cases: Array<{network: string; cut: LinkCut; isKeyed: boolean; kind: string; intervalMs: number}> = [
	{
		network: '127.30', cut: LinkCut.Reset, isKeyed: false, kind: 'unsafe', intervalMs: slowMs,
	},
	{
		network: '127.31', cut: LinkCut.Silent, isKeyed: false, kind: 'safe', intervalMs: slowMs,
	},
	{
		network: '127.32', cut: LinkCut.Silent, isKeyed: true, kind: 'unsafe', intervalMs: slowMs,
	},
	{
		network: '127.33', cut: LinkCut.NewRefused, isKeyed: true, kind: 'safe', intervalMs: fastMs,
	},
];

for (const {
	network, cut, isKeyed, kind, intervalMs,
} of cases) {
	test(`should serve ${kind} requests${isKeyed ? ' for keys' : ''} of a daemon that is cut off from all targets, with connections ${cut}`, async t => {
		const runs = new Map<string, number>();
		const events = new Set<LogEvent>();
		const deployment = new PlatformDeployment({
			network, daemonCount: 3, targetCount: 3, isKeyed, workMs, kind, shutdownGraceS: 4,
			log: {
				record(event) {
					events.add(event);
				},
			},
			onRun(_target, requestId) {
				runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
			},
		});
		await deployment.start();
		const links = await deployment.createLinks(0);
		const warmUp = await sendAll(deployment, 0, {});
		links.cut(cut);
		const [early] = await Promise.all([
			sendAll(deployment, 0, {count: stableWindowMs / intervalMs, intervalMs}),
			sendAll(deployment, 1, {count: stableWindowMs / slowMs}),
		]);
		const [late, others] = await Promise.all([sendAll(deployment, 0, {intervalMs}), sendAll(deployment, 1, {})]);
		await links.restore();
		await delay(1000);
		const direct = await sendAll(deployment, 0, {});
		await deployment.stop();
		links.close();

		t.true(served(late) >= servedShare * served(others), `${served(late)} of ${requestCount} served, ${served(others)} by another daemon`);
		t.is(served(direct), requestCount);
		t.true(events.has(LogEvent.TargetsUnreachable) && events.has(LogEvent.TargetsReachable));
		for (const {requestId, status} of [...warmUp, ...early, ...late, ...direct]) {
			const runCount = runs.get(requestId) ?? 0;
			t.false(status === 503 && runCount > 0, `${requestId} was refused and ran`);
			t.true(kind === 'safe' || runCount <= 1, `${requestId} ran ${runCount} times`);
		}
	});
}
