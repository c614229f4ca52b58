/**
 * Demo: a deployment on loopback that serves requests while keys move, a server is lost and another one leaves.
 */
import process from 'node:process';
import {Agent, request} from 'undici';
import type {Execution} from '../standins/target-model.js';
import {DemoDeployment} from './demo-deployment.js';
import {
	basePort, credentials, eventually, pause, Processes,
} from './processes.js';

/** What callers saw. */
type Tally = {
	answered: number;
	notRun: number;
	unknown: number;
	other: number;
	lost: number;
	/** Longest gap between two answers for one key in milliseconds. */
	longestGapMs: number;
};

const workers = 12;
const keepOpen = process.argv.includes('--keep');
const deployment = new DemoDeployment(new Processes(process.env.DEMO_LOG), {daemons: 3, servers: 4});
const agent = new Agent({connections: 50});
const tally: Tally = {
	answered: 0, notRun: 0, unknown: 0, other: 0, lost: 0, longestGapMs: 0,
};
const instructions = new Map<string, string>();
const broken: string[] = [];
const lastAnswerAt = new Map<string, number>();
const load = {isRunning: true};
let sequence = 0;

function say(text: string): void {
	console.log(text);
}

function check(holds: boolean, promise: string): void {
	say(`${holds ? 'held  ' : 'BROKEN'} ${promise}`);
	if (!holds) {
		broken.push(promise);
	}
}

async function callOnce(worker: number): Promise<void> {
	sequence += 1;
	const key = `applicant-${((worker * 7) + sequence) % 40}`;
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
		const outcome = note(answer.statusCode, String(answer.headers['eelgrasswheel-outcome'] ?? ''));
		if (isInstruction) {
			instructions.set(instructionId, outcome);
		}

		if (outcome === 'answered') {
			noteAnswer(key);
		}
	} catch {
		tally.lost += 1;
	}
}

function note(status: number, outcome: string): string {
	if (status === 200) {
		tally.answered += 1;
		return 'answered';
	}

	if (outcome === 'not-run') {
		tally.notRun += 1;
		return 'not-run';
	}

	if (outcome === 'unknown') {
		tally.unknown += 1;
		return 'unknown';
	}

	tally.other += 1;
	return `status ${status}`;
}

function noteAnswer(key: string): void {
	const now = performance.now();
	const last = lastAnswerAt.get(key);
	if (last !== undefined) {
		tally.longestGapMs = Math.max(tally.longestGapMs, now - last);
	}

	lastAnswerAt.set(key, now);
}

async function work(worker: number): Promise<void> {
	while (load.isRunning) {
		// eslint-disable-next-line no-await-in-loop -- each worker sends one request at a time.
		await callOnce(worker);
		// eslint-disable-next-line no-await-in-loop -- a pause keeps the load small.
		await pause(2);
	}
}

async function executionsOf(index: number): Promise<Execution[]> {
	const answer = await request(`http://127.0.0.1:${basePort + 300 + index}/standin/executions`, {dispatcher: agent});
	return await answer.body.json() as Execution[];
}

async function phase(title: string, action: () => Promise<void>): Promise<void> {
	tally.longestGapMs = 0;
	const startedAt = performance.now();
	await action();
	say(`${title}: ${Math.round(performance.now() - startedAt)} ms, longest gap of one key ${Math.round(tally.longestGapMs)} ms`);
}

async function demo(): Promise<void> {
	deployment.start(1);
	await deployment.ready();
	say('three daemons are ready');
	for (const line of await deployment.configure('first', 3)) {
		say(`  ${line}`);
	}

	await deployment.settled(1);
	say('the plan was confirmed by the veto holder and is in force on every daemon');
	const running = Array.from({length: workers}, async (_, worker) => work(worker));
	await pause(500);

	await phase('a fourth server joins', async () => {
		for (const line of await deployment.configure('join', 4)) {
			say(`  ${line}`);
		}

		await deployment.settled(2);
		await pause(300);
	});
	let lossGapMs = 0;
	await phase('server registry-1 is lost', async () => {
		deployment.processes.signal('registry-1', 'SIGSTOP');
		await eventually(async () => {
			const state = await deployment.control(0).status.query();
			return state.assignments.some(({lost, moves}) => lost.includes('registry-1') && moves === 0);
		}, 10_000, 'takeover of registry-1');
		await pause(300);
		lossGapMs = tally.longestGapMs;
	});
	await phase('registry-1 comes back and owns keys again', async () => {
		deployment.processes.signal('registry-1', 'SIGCONT');
		await eventually(async () => {
			const state = await deployment.control(0).status.query();
			return state.assignments.every(({lost, moves}) => lost.length === 0 && moves === 0);
		}, 10_000, 'return of registry-1');
		await pause(300);
	});
	await phase('server registry-2 is drained', async () => {
		const plan = await deployment.control(2).submitIntent.mutate({id: 'drain', kind: 'drain' as never, server: 'registry-2'});
		for (const line of plan.summary) {
			say(`  ${line}`);
		}

		await deployment.control(1, credentials.veto).confirmPlan.mutate({planId: 'drain'});
		await deployment.settled(3);
		await pause(300);
	});
	const before = await executionsOf(1);
	await pause(300);
	const after = await executionsOf(1);
	check(after.length === before.length, 'a drained server gets no new work');
	load.isRunning = false;
	await Promise.all(running);
	say(`callers saw: ${tally.answered} answered, ${tally.notRun} refused as not run, ${tally.unknown} unknown, ${tally.other} other, ${tally.lost} without an answer`);
	await checkPromises(lossGapMs);
}

async function checkPromises(lossGapMs: number): Promise<void> {
	const lists = await Promise.all([0, 1, 2, 3].map(async index => executionsOf(index)));
	const executions = lists.flat();
	const runs = new Map<string, number>();
	for (const {instructionId} of executions) {
		if (instructionId !== undefined && instructionId !== null) {
			runs.set(instructionId, (runs.get(instructionId) ?? 0) + 1);
		}
	}

	check([...runs.values()].every(count => count === 1), `each of ${runs.size} instructions ran at most once`);
	check([...instructions].every(([id, outcome]) => outcome !== 'answered' || runs.has(id)), 'every answered instruction ran');
	check([...instructions].every(([id, outcome]) => outcome !== 'not-run' || !runs.has(id)), 'no instruction refused as not run has run');
	check(tally.lost === 0 && tally.other === 0, 'every request got a typed answer');
	check(tally.answered > 0, 'requests were served');
	check(lossGapMs < 1000, `keys of a lost server were served again within 1 s (longest gap ${Math.round(lossGapMs)} ms)`);
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		void deployment.close();
	});
}

try {
	await demo();
	if (keepOpen) {
		say(`left running; try: curl ${deployment.gatewayUrl(0)}/registry/applicant-1`);
		say(`  curl -X POST -H 'idempotency-key: mine-1' -d '{}' ${deployment.gatewayUrl(1)}/registry/applicant-1`);
		say(`  EELGRASSWHEEL_TOKEN=${credentials.operator} npx eelgrasswheel status --daemon ${deployment.entries[0].address}`);
		await eventually(async () => false, Infinity, 'the end');
	}
} catch (error) {
	broken.push(String(error));
	console.error(error);
} finally {
	await agent.destroy();
	await deployment.close();
}

process.exitCode = broken.length === 0 ? 0 : 1;
