import test from 'ava';
import {getGlobalDispatcher, request} from 'undici';
import {TestDeployment} from './deployment.js';

async function waitUntilRunning({target}: TestDeployment): Promise<void> {
	while (target.model.load === 0) {
		// eslint-disable-next-line no-await-in-loop -- polling.
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

// Its idle connections keep the process running for a minute.
test.after.always(async () => {
	await getGlobalDispatcher().destroy();
});

test('should report not ready at once on shutdown and answer requests in flight before it stops', async t => {
	const deployment = new TestDeployment();
	await deployment.start();
	const inFlight = request(`${deployment.url}/registry/applicant-1?work=1500`);
	await waitUntilRunning(deployment);
	const stopped = deployment.stop();
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	const ready = await request(`${deployment.url}/-/ready`);
	await ready.body.dump();
	const answer = await inFlight;
	await answer.body.dump();
	await stopped;
	t.deepEqual([ready.statusCode, answer.statusCode], [503, 200]);
	await t.throwsAsync(async () => request(`${deployment.url}/-/live`));
});

test('should not shorten a shutdown that is asked for again', async t => {
	const deployment = new TestDeployment();
	await deployment.start();
	const inFlight = request(`${deployment.url}/registry/applicant-1?work=1500`);
	await waitUntilRunning(deployment);
	const ends: string[] = [];
	const first = deployment.shutDownDaemon();
	const second = deployment.shutDownDaemon().then(() => ends.push('shutdown'));
	const answer = await inFlight;
	await answer.body.dump();
	ends.push('answer');
	await Promise.all([first, second]);
	await deployment.stop();
	t.is(answer.statusCode, 200);
	t.deepEqual(ends, ['answer', 'shutdown']);
});
