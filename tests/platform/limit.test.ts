import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {WireHeader} from '../../src/platform/wire.js';
import {allowedCount} from '../../standins/limited-target.js';
import {PlatformDeployment} from '../../standins/platform-deployment.js';

const daemonCount = 3;

const limitPerS = 4;

/** Time between requests, in milliseconds. */
const intervalMs = 20;

type Arrival = {at: number; target: string};

type Run = (deployment: PlatformDeployment, arrivals: Arrival[], statuses: Map<number, number>) => Promise<void>;

async function withLoad(options: {network: string; isKeyed: boolean; targetCount: number}, run: Run): Promise<void> {
	const arrivals: Arrival[] = [];
	const statuses = new Map<number, number>();
	const deployment = new PlatformDeployment({
		...options, daemonCount, workMs: 20,
		onRun(target) {
			arrivals.push({at: performance.now(), target});
		},
	});
	await deployment.start();
	let turn = 0;
	const sendNext = async (): Promise<void> => {
		turn += 1;
		const {status = 0} = await deployment.send(turn % daemonCount, 1000) ?? {};
		statuses.set(status, (statuses.get(status) ?? 0) + 1);
	};

	const timer = setInterval(() => {
		void sendNext();
	}, intervalMs);
	try {
		await delay(1000);
		await run(deployment, arrivals, statuses);
	} finally {
		clearInterval(timer);
		await deployment.stop();
	}
}

test.serial('should keep the limit of a target from its header to the sockets of all daemons, and use it', async t => {
	await withLoad({network: '127.22', isKeyed: true, targetCount: 1}, async (deployment, arrivals, statuses) => {
		deployment.targets[0].statementHeaders = {[WireHeader.Limit]: String(limitPerS)};
		await delay(1500);
		const settledAt = performance.now();
		await delay(8000);
		const settled = arrivals.filter(({at}) => at > settledAt);
		const highest = Math.max(...settled.map(({at: from}) => settled.filter(({at}) => at >= from && at < from + 4000).length));
		t.true(highest <= allowedCount(limitPerS), `${highest} requests in 4 s`);
		t.true(settled.length >= 0.6 * limitPerS * 8, `${settled.length} requests in 8 s`);
		t.deepEqual([...statuses.keys()].filter(status => status !== 200 && status !== 503), []);
	});
});

test.serial('should send nothing to a target that says that it is leaving, and serve everything elsewhere', async t => {
	await withLoad({network: '127.23', isKeyed: true, targetCount: 3}, async (deployment, arrivals, statuses) => {
		deployment.targets[0].statementHeaders = {[WireHeader.Leaving]: '1'};
		await delay(2000);
		const drainedAt = performance.now();
		statuses.clear();
		await delay(2000);
		t.deepEqual(arrivals.filter(({at, target}) => at > drainedAt && target === 'target-0'), []);
		t.deepEqual([...statuses.keys()], [200]);
	});
});
