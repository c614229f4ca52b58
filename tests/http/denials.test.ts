import test from 'ava';
import {request} from 'undici';
import {ContractHeader} from '../../src/model/headers.js';
import {TestDeployment} from './deployment.js';

const deployment = new TestDeployment();

/** Time within which a change is active on every daemon, in milliseconds; stated in docs/design/configuration.md. */
const configurationApplyMs = 4000;

/** Margin for a confirmation that the store gave just before the outage, in milliseconds. */
const marginMs = 500;

type Case = {
	title: string;
	method?: 'GET' | 'POST' | 'DELETE' | 'PUT';
	path: string;
	body?: string;
	/** Status while the configuration is confirmed as the newest. */
	status: number;
};

const cases: Case[] = [
	{title: 'a path that no service takes', path: '/nobody/1', status: 404},
	{
		title: 'a method that no request class allows', method: 'DELETE', path: '/registry/applicant-1', status: 405,
	},
	{title: 'a missing key', path: '/registry', status: 400},
	{title: 'a key that cannot be decoded', path: '/registry/%zz', status: 400},
	{
		title: 'an instruction without an id', method: 'POST', path: '/registry/applicant-1', body: '{}', status: 400,
	},
	{
		title: 'a body that is too large', method: 'PUT', path: '/registry/applicant-1', body: 'x'.repeat(200_001), status: 413,
	},
];

const notRun = {
	status: 503, error: 'not_run', reason: 'configuration_unproven', outcome: 'not-run', retryAfter: '1', connection: 'close',
};

async function answerTo({method = 'GET', path, body}: Pick<Case, 'method' | 'path' | 'body'>) {
	const answer = await request(`${deployment.url}${path}`, {method, body});
	const {error, reason} = await answer.body.json() as {error?: string; reason?: string};
	const {'retry-after': retryAfter, connection, [ContractHeader.Outcome]: outcome} = answer.headers;
	return {
		status: answer.statusCode, error, reason, outcome, retryAfter, connection,
	};
}

/** Queries an assignment as an operator; returns the service it names, 'none' without one, or the code of the refusal. */
async function assignmentOf(service: string): Promise<string> {
	try {
		const assignment = await deployment.control('operator-token').assignment.query({service});
		return assignment?.service ?? 'none';
	} catch (error) {
		return (error as {data: {failure: {code: string}}}).data.failure.code;
	}
}

async function waitUntilListening(): Promise<void> {
	for (;;) {
		try {
			// eslint-disable-next-line no-await-in-loop -- polling.
			const answer = await request(`${deployment.url}/-/live`);
			// eslint-disable-next-line no-await-in-loop -- polling.
			await answer.body.dump();
			return;
		} catch {
			// eslint-disable-next-line no-await-in-loop -- polling.
			await delay(25);
		}
	}
}

async function delay(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

test.after.always(async () => {
	await deployment.stop();
});

test.serial('should not deny a service before it has read any configuration', async t => {
	deployment.store.faults.down = true;
	const started = deployment.start();
	await waitUntilListening();
	const before = await answerTo({path: '/registry/applicant-1'});
	deployment.store.faults.down = false;
	await started;
	t.deepEqual(before, notRun);
	const {status} = await answerTo({path: '/registry/applicant-1'});
	t.is(status, 200);
});

for (const example of cases) {
	test.serial(`should deny ${example.title} under the newest configuration`, async t => {
		const {status} = await answerTo(example);
		t.is(status, example.status);
	});
}

test.serial('should report to operators that a service has no assignment under the newest configuration', async t => {
	t.is(await assignmentOf('nobody'), 'none');
	t.is(await assignmentOf('registry'), 'registry');
});

test.serial('should serve known services while the store is down', async t => {
	deployment.store.faults.down = true;
	await delay(configurationApplyMs + marginMs);
	const {status} = await answerTo({path: '/registry/applicant-1'});
	t.is(status, 200);
});

for (const example of cases) {
	test.serial(`should not deny ${example.title} while a newer configuration may allow it`, async t => {
		t.deepEqual(await answerTo(example), notRun);
	});
}

test.serial('should not report to operators that a service has no assignment while a newer configuration may have it', async t => {
	t.is(await assignmentOf('nobody'), 'store_unavailable');
	t.is(await assignmentOf('registry'), 'registry');
});

test.serial('should deny again once the store answers', async t => {
	deployment.store.faults.down = false;
	const statuses = new Set<number>();
	while (!statuses.has(404)) {
		// eslint-disable-next-line no-await-in-loop -- polling.
		const {status} = await answerTo({path: '/nobody/1'});
		statuses.add(status);
		// eslint-disable-next-line no-await-in-loop -- polling.
		await delay(25);
	}

	t.true([...statuses].every(status => status === 503 || status === 404));
});
