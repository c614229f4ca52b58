import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import test from 'ava';
import {request} from 'undici';
import {ContractHeader} from '../../src/model/headers.js';
import {TestDeployment} from './deployment.js';

const deployment = new TestDeployment();

test.before(async () => {
	await deployment.start();
});

test.after.always(async () => {
	await deployment.stop();
});

type Case = {
	title: string;
	method?: 'GET' | 'POST' | 'DELETE' | 'PUT';
	path: string;
	headers?: Record<string, string>;
	body?: string;
	status: number;
	error?: string;
};

const cases: Case[] = [
	{title: 'answer a read of a key', path: '/registry/applicant-1', status: 200},
	{title: 'answer a read of an undivided service', path: '/letters/1', status: 200},
	{
		title: 'answer an instruction', method: 'POST', path: '/registry/applicant-1', headers: {'idempotency-key': 'one'}, body: '{"amount":1}', status: 200,
	},
	{
		title: 'refuse an unknown service', path: '/nobody/1', status: 404, error: 'unknown_service',
	},
	{
		title: 'refuse a missing key', path: '/registry', status: 400, error: 'missing_key',
	},
	{
		title: 'refuse a method that no request class allows', method: 'DELETE', path: '/registry/applicant-1', status: 405, error: 'bad_request',
	},
	{
		title: 'refuse an instruction without an id', method: 'POST', path: '/registry/applicant-1', body: '{}', status: 400, error: 'missing_instruction_id',
	},
	{
		title: 'refuse a declared body that is too large', method: 'PUT', path: '/registry/applicant-1', body: 'x'.repeat(200_001), status: 413, error: 'body_too_large',
	},
	{title: 'be live', path: '/-/live', status: 200},
	{title: 'be ready', path: '/-/ready', status: 200},
];

for (const {title, method = 'GET', path, headers = {}, body, status, error} of cases) {
	test.serial(`should ${title}`, async t => {
		const answer = await request(`${deployment.url}${path}`, {method, headers, body});
		const content = await answer.body.json() as {error?: string};
		t.is(answer.statusCode, status);
		t.is(content.error, error);
	});
}

test.serial('should not run an instruction twice', async t => {
	const send = async () => request(`${deployment.url}/registry/applicant-2`, {method: 'POST', headers: {'idempotency-key': 'twice'}, body: '{}'});
	const first = await send();
	await first.body.dump();
	const second = await send();
	const content = await second.body.json() as {error: string};
	t.deepEqual([first.statusCode, second.statusCode, content.error], [200, 409, 'duplicate_instruction']);
	t.is(second.headers[ContractHeader.Outcome], 'unknown');
	t.is(deployment.target.model.executions.filter(({instructionId}) => instructionId === 'twice').length, 1);
});

test.serial('should refuse an instruction as not run while the store is down', async t => {
	deployment.store.faults.down = true;
	const answer = await request(`${deployment.url}/registry/applicant-3`, {method: 'POST', headers: {'idempotency-key': 'store-down'}, body: '{}'});
	deployment.store.faults.down = false;
	const content = await answer.body.json() as {error: string};
	t.deepEqual([answer.statusCode, content.error, answer.headers[ContractHeader.Outcome]], [503, 'not_run', 'not-run']);
	t.truthy(answer.headers['retry-after']);
	t.false(deployment.target.model.executions.some(({instructionId}) => instructionId === 'store-down'));
});

test.serial('should run an instruction once when the reply to its claim is lost', async t => {
	deployment.store.faults.loseReplies = 1;
	const answer = await request(`${deployment.url}/registry/applicant-4`, {method: 'POST', headers: {'idempotency-key': 'reply-lost'}, body: '{}'});
	await answer.body.dump();
	deployment.store.faults.loseReplies = 0;
	t.is(answer.statusCode, 200);
	t.is(deployment.target.model.executions.filter(({instructionId}) => instructionId === 'reply-lost').length, 1);
});

test.serial('should stream a large body', async t => {
	const answer = await request(`${deployment.url}/registry/applicant-5`, {method: 'PUT', body: Buffer.from(JSON.stringify({text: 'x'.repeat(150_000)}))});
	const content = await answer.body.json() as {received: {text: string}};
	t.is(content.received.text.length, 150_000);
});

test.serial('should never accept the router\'s own headers from callers', async t => {
	const answer = await request(`${deployment.url}/registry/applicant-6`, {headers: {[ContractHeader.Epoch]: '999', [ContractHeader.Shard]: '999'}});
	await answer.body.dump();
	t.is(answer.statusCode, 200);
});

test.serial('should continue serving after a malformed request', async t => {
	const reply = await new Promise<string>(resolve => {
		const socket = connect(Number(new URL(deployment.url).port), '127.0.0.1', () => {
			socket.write('NONSENSE\r\n\r\n');
		});
		socket.once('data', data => {
			socket.destroy();
			resolve(data.toString());
		});
	});
	t.regex(reply, /^HTTP\/1\.1 400/v);
	const answer = await request(`${deployment.url}/registry/applicant-1`);
	await answer.body.dump();
	t.is(answer.statusCode, 200);
});

const refusals: Array<{title: string; credential: string; planId: string; code: string}> = [
	{
		title: 'refuse a confirmation with the operator\'s credential', credential: 'operator-token', planId: 'second', code: 'not_authorized',
	},
	{
		title: 'refuse a confirmation of an unknown plan', credential: 'veto-token', planId: 'nobody', code: 'unknown_plan',
	},
	{
		title: 'refuse a second confirmation', credential: 'veto-token', planId: 'first', code: 'plan_closed',
	},
	{
		title: 'refuse a confirmation of a plan with a stale base version', credential: 'veto-token', planId: 'stale', code: 'stale_plan',
	},
];

test.serial('should keep the base version of a plan and return the existing plan for an intent that is submitted again', async t => {
	const operator = deployment.control('operator-token');
	const drain = {kind: 'drain' as never, server: 'target-2'};
	const stale = await operator.submitIntent.mutate({...drain, id: 'stale'});
	t.is(stale.baseConfigurationVersion, 1);
	await operator.submitIntent.mutate({...drain, id: 'third'});
	await deployment.control('veto-token').confirmPlan.mutate({planId: 'third'});
	await operator.submitIntent.mutate({id: 'second', kind: 'restore' as never, server: 'target-2'});
	const again = await operator.submitIntent.mutate({...drain, id: 'third'});
	t.is(again.state, 'confirmed' as never);
});

test.serial('should show the state to the veto holder and refuse an unknown credential', async t => {
	const state = await deployment.control('veto-token').status.query();
	t.is(state.daemon, 'entry-1');
	await t.throwsAsync(async () => deployment.control('nonsense').status.query());
});

for (const {title, credential, planId, code} of refusals) {
	test.serial(`should ${title}`, async t => {
		const error = await t.throwsAsync(async () => deployment.control(credential).confirmPlan.mutate({planId}));
		t.is((error as unknown as {data: {failure: {code: string}}}).data.failure.code, code);
	});
}
