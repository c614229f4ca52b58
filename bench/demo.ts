/**
 * Demo: a deployment on loopback serves requests while a server joins, another one fails and returns, and a third one is drained.
 */
import process from 'node:process';
import {Agent, request} from 'undici';
import type {Execution} from '../standins/target-model.js';
import {DemoDeployment} from './demo-deployment.js';
import {
	basePort, credentials, waitUntil, delay, Processes,
} from './processes.js';

/** Numbers of requests by outcome. */
type OutcomeCounts = {
	answered: number;
	notRun: number;
	unknown: number;
	other: number;
	lost: number;
	/** Longest gap between two answers for one key in milliseconds. */
	longestGapMs: number;
};

const callerCount = 12;
const keepOpen = process.argv.includes('--keep');
const deployment = new DemoDeployment(new Processes(process.env.DEMO_LOG), {daemons: 3, servers: 4});
const agent = new Agent({connections: 50});
const counts: OutcomeCounts = {
	answered: 0, notRun: 0, unknown: 0, other: 0, lost: 0, longestGapMs: 0,
};
const instructions = new Map<string, string>();
const failedChecks: string[] = [];
const lastAnswerAt = new Map<string, number>();
const load = {isRunning: true};
let sequence = 0;

function print(text: string): void {
	console.log(text);
}

function check(isMet: boolean, expectation: string): void {
	print(`${isMet ? 'held  ' : 'BROKEN'} ${expectation}`);
	if (!isMet) {
		failedChecks.push(expectation);
	}
}

async function sendRequest(caller: number): Promise<void> {
	sequence += 1;
	const key = `applicant-${((caller * 7) + sequence) % 40}`;
	const isInstruction = sequence % 4 === 0;
	const instructionId = `instruction-${sequence}`;
	const daemon = sequence % 3;
	try {
		const answer = await request(`${deployment.gatewayUrl(daemon)}/registry/${key}`, {
			method: isInstruction ? 'POST' : 'GET',
			headers: isInstruction ? {'idempotency-key': instructionId, 'content-type': 'application/json'} : {},
			body: isInstruction ? JSON.stringify({amount: 1}) : undefined,
			dispatcher: agent,
		});
		await answer.body.text();
		const outcome = countOutcome(answer.statusCode, String(answer.headers['eelgrasswheel-outcome'] ?? ''));
		if (isInstruction) {
			instructions.set(instructionId, outcome);
		}

		if (outcome === 'answered') {
			recordAnswer(key);
		}
	} catch {
		counts.lost += 1;
	}
}

function countOutcome(status: number, outcome: string): string {
	if (status === 200) {
		counts.answered += 1;
		return 'answered';
	}

	if (outcome === 'not-run') {
		counts.notRun += 1;
		return 'not-run';
	}

	if (outcome === 'unknown') {
		counts.unknown += 1;
		return 'unknown';
	}

	counts.other += 1;
	return `status ${status}`;
}

function recordAnswer(key: string): void {
	const now = performance.now();
	const last = lastAnswerAt.get(key);
	if (last !== undefined) {
		counts.longestGapMs = Math.max(counts.longestGapMs, now - last);
	}

	lastAnswerAt.set(key, now);
}

async function runCaller(caller: number): Promise<void> {
	while (load.isRunning) {
		// eslint-disable-next-line no-await-in-loop -- each caller sends one request at a time.
		await sendRequest(caller);
		// eslint-disable-next-line no-await-in-loop -- the delay keeps the load small.
		await delay(2);
	}
}

async function executionsOf(index: number): Promise<Execution[]> {
	const answer = await request(`http://127.0.0.1:${basePort + 300 + index}/standin/executions`, {dispatcher: agent});
	return await answer.body.json() as Execution[];
}

async function runPhase(title: string, action: () => Promise<void>): Promise<void> {
	counts.longestGapMs = 0;
	const startedAt = performance.now();
	await action();
	print(`${title}: ${Math.round(performance.now() - startedAt)} ms, longest gap of one key ${Math.round(counts.longestGapMs)} ms`);
}

async function runDemo(): Promise<void> {
	deployment.start(1);
	await deployment.waitUntilReady();
	print('three daemons are ready');
	for (const line of await deployment.configure('first', 3)) {
		print(`  ${line}`);
	}

	await deployment.waitUntilSettled(1);
	print('the plan was confirmed by the veto holder and is active on every daemon');
	const callers = Array.from({length: callerCount}, async (_, caller) => runCaller(caller));
	await delay(500);

	await runPhase('a fourth server joins', async () => {
		for (const line of await deployment.configure('join', 4)) {
			print(`  ${line}`);
		}

		await deployment.waitUntilSettled(2);
		await delay(300);
	});
	let lossGapMs = 0;
	await runPhase('server registry-1 is lost', async () => {
		deployment.processes.signal('registry-1', 'SIGSTOP');
		await waitUntil(async () => {
			const state = await deployment.controlClient(0).status.query();
			return state.assignments.some(({lost, moves}) => lost.includes('registry-1') && moves === 0);
		}, 10_000, 'takeover of registry-1');
		await delay(300);
		lossGapMs = counts.longestGapMs;
	});
	await runPhase('registry-1 comes back and owns keys again', async () => {
		deployment.processes.signal('registry-1', 'SIGCONT');
		await waitUntil(async () => {
			const state = await deployment.controlClient(0).status.query();
			return state.assignments.every(({lost, moves}) => lost.length === 0 && moves === 0);
		}, 10_000, 'return of registry-1');
		await delay(300);
	});
	await runPhase('server registry-2 is drained', async () => {
		const plan = await deployment.controlClient(2).submitIntent.mutate({id: 'drain', kind: 'drain' as never, server: 'registry-2'});
		for (const line of plan.summary) {
			print(`  ${line}`);
		}

		await deployment.controlClient(1, credentials.veto).confirmPlan.mutate({planId: 'drain'});
		await deployment.waitUntilSettled(3);
		await delay(300);
	});
	const before = await executionsOf(1);
	await delay(300);
	const after = await executionsOf(1);
	check(after.length === before.length, 'a drained server gets no new work');
	load.isRunning = false;
	await Promise.all(callers);
	print(`callers saw: ${counts.answered} answered, ${counts.notRun} refused as not run, ${counts.unknown} unknown, ${counts.other} other, ${counts.lost} without an answer`);
	await checkGuarantees(lossGapMs);
}

async function checkGuarantees(lossGapMs: number): Promise<void> {
	const executionLists = await Promise.all([0, 1, 2, 3].map(async index => executionsOf(index)));
	const executions = executionLists.flat();
	const runs = new Map<string, number>();
	for (const {instructionId} of executions) {
		if (instructionId !== undefined && instructionId !== null) {
			runs.set(instructionId, (runs.get(instructionId) ?? 0) + 1);
		}
	}

	check([...runs.values()].every(count => count === 1), `each of ${runs.size} instructions ran at most once`);
	check([...instructions].every(([id, outcome]) => outcome !== 'answered' || runs.has(id)), 'every answered instruction ran');
	check([...instructions].every(([id, outcome]) => outcome !== 'not-run' || !runs.has(id)), 'no instruction refused as not run has run');
	check(counts.lost === 0 && counts.other === 0, 'every request got a typed answer');
	check(counts.answered > 0, 'requests were served');
	check(lossGapMs < 1000, `keys of a lost server were served again within 1 s (longest gap ${Math.round(lossGapMs)} ms)`);
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		void deployment.close();
	});
}

try {
	await runDemo();
	if (keepOpen) {
		print(`the deployment keeps running; try: curl ${deployment.gatewayUrl(0)}/registry/applicant-1`);
		print(`  curl -X POST -H 'idempotency-key: mine-1' -d '{}' ${deployment.gatewayUrl(1)}/registry/applicant-1`);
		print(`  EELGRASSWHEEL_TOKEN=${credentials.operator} npx eelgrasswheel status --daemon ${deployment.entryVms[0].address}`);
		await waitUntil(async () => false, Infinity, 'the end');
	}
} catch (error) {
	failedChecks.push(String(error));
	console.error(error);
} finally {
	await agent.destroy();
	await deployment.close();
}

process.exitCode = failedChecks.length === 0 ? 0 : 1;
