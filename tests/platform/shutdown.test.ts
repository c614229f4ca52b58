import test from 'ava';
import {PlatformDeployment} from '../../standins/platform-deployment.js';

/** Time that a request takes at the target, in milliseconds. */
const workMs = 2500;

/** Time between requests, in milliseconds. */
const intervalMs = 400;

/** Grace period in seconds; the daemon stops 0.9 s before its end. */
const graceS = 5;

test('should leave no request without an answer that arrives in the grace period and that a target runs', async t => {
	const runIds = new Set<string>();
	const answeredIds = new Set<string>();
	const statuses: number[] = [];
	const deployment = new PlatformDeployment({
		network: '127.21', daemonCount: 2, targetCount: 3, isKeyed: false, workMs, shutdownGraceS: graceS,
		onRun(_target, requestId) {
			runIds.add(requestId);
		},
	});
	await deployment.start();
	const send = async (): Promise<void> => {
		const requestId = deployment.nextRequestId();
		const answer = await deployment.send(0, 10_000, requestId);
		if (answer) {
			answeredIds.add(requestId);
			statuses.push(answer.status);
		}
	};

	const before = new Set(runIds);
	await send();
	const timer = setInterval(() => {
		void send();
	}, intervalMs);
	await deployment.daemons[0]?.shutdown();
	clearInterval(timer);
	const unanswered = [...runIds].filter(id => !before.has(id) && !answeredIds.has(id));
	await deployment.stop();
	t.deepEqual(unanswered, []);
	t.true(statuses.filter(status => status === 503).length > 2, 'requests that cannot be completed are refused at once');
});
