import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {settingSpecs} from '../../src/daemon/settings.js';
import {LogEvent} from '../../src/model/events.js';
import {KeptConnection, type CallerExchange} from '../../standins/kept-connection.js';
import {isListening, ProgramProcess, waitUntil} from '../../standins/program-process.js';
import {readAll} from '../../standins/raw-caller.js';
import {freePort, TestDeployment} from './deployment.js';

const programPath = '../src/daemon/main.js';

/** Shortest and longest time that a request takes at its server, in milliseconds. */
const workMs = {shortest: 50, longest: 600};

const callerCount = 8;

/** Pause of a caller between two requests, in milliseconds. */
const pauseMs = 30;

/** Longest time that a request may take, in milliseconds. */
const deadlineMs = 5000;

/** Time for the load balancer to detect that the daemon is not ready, in milliseconds. */
const balancerMs = 1000;

/** Time for callers to read their answers once no request is in flight, in milliseconds. */
const slowReaderLimitMs = 10_000;

/** Answer that does not fit into the buffers of the kernel, in bytes. */
const largeAnswerBytes = 32_000_000;

/** Runs the daemon in a process of its own. */
class ProcessDeployment extends TestDeployment {
	process: ProgramProcess | undefined;

	get program(): ProgramProcess {
		if (!this.process) {
			throw new Error('The deployment has not been started.');
		}

		return this.process;
	}

	override async shutDownDaemon(): Promise<void> {
		await this.process?.kill();
	}

	protected override async startDaemon(flags: Record<string, string>): Promise<void> {
		this.process = new ProgramProcess(programPath, environmentOf(flags));
	}
}

function environmentOf(flags: Record<string, string>): Record<string, string> {
	return Object.fromEntries(settingSpecs.filter(({flag}) => flags[flag] !== undefined).map(({flag, variable}) => [variable, flags[flag] ?? '']));
}

type Signal = {signal: NodeJS.Signals; atMs: number};

const cases: Array<{title: string; signals: Signal[]}> = [
	{title: 'SIGTERM', signals: [{signal: 'SIGTERM', atMs: 0}]},
	{title: 'SIGTERM twice', signals: [{signal: 'SIGTERM', atMs: 0}, {signal: 'SIGTERM', atMs: 500}]},
	{title: 'SIGTERM and SIGINT', signals: [{signal: 'SIGTERM', atMs: 0}, {signal: 'SIGINT', atMs: 1200}]},
];

for (const {title, signals} of cases) {
	test.serial(`should leave no request without an answer that a server runs: ${title}`, async t => {
		const deployment = new ProcessDeployment();
		try {
			await deployment.start();
			const callers = Array.from({length: callerCount}, (_, index) => new KeptConnection({
				name: `caller-${index}`,
				address: new URL(deployment.url).host,
				method: 'GET',
				path: requestId => `/registry/${requestId}?work=${Math.round(workMs.shortest + (Math.random() * (workMs.longest - workMs.shortest)))}`,
				host: 'host',
				budgetMs: deadlineMs,
				pauseMs,
			}));
			await delay(2 * workMs.longest);
			const startedAt = performance.now();
			for (const {signal, atMs} of signals) {
				setTimeout(() => {
					deployment.program.signal(signal);
				}, atMs);
			}

			const {code, at} = await deployment.program.exit;
			await Promise.all(callers.map(async caller => caller.stop()));
			const exchanges = callers.flatMap(caller => caller.exchanges);
			const runKeys = new Set(deployment.target.model.executions.map(({key}) => key));
			const wasRun = ({requestId}: CallerExchange): boolean => runKeys.has(`/registry/${requestId}`);
			t.deepEqual(exchanges.filter(exchange => exchange.status === undefined && wasRun(exchange)).map(({requestId}) => requestId), []);
			t.is(code, 0);
			t.true(at - startedAt > balancerMs, 'the process accepts connections until the balancer sends no more');
			t.true(at - startedAt < balancerMs + deadlineMs + slowReaderLimitMs, 'the process ends in time');
			t.deepEqual(deployment.program.linesOf(LogEvent.RequestCut), []);
			t.true(exchanges.filter(exchange => exchange.sentAt < startedAt && exchange.endedAt > startedAt && wasRun(exchange)).length > callerCount / 4, 'requests were in flight');
		} finally {
			await deployment.stop();
		}
	});
}

test.serial('should deliver a whole answer to a caller that reads slowly across the stop', async t => {
	const deployment = new ProcessDeployment();
	try {
		await deployment.start();
		const {hostname, port} = new URL(deployment.url);
		const socket = connect(Number(port), hostname);
		socket.pause();
		socket.write(`GET /registry/slow?bytes=${largeAnswerBytes} HTTP/1.1\r\nHost: h\r\n\r\n`);
		await waitUntil(() => deployment.target.model.executions.some(({key, endedAt}) => key === '/registry/slow' && endedAt !== undefined));
		deployment.program.signal('SIGTERM');
		// The listener is closed.
		await waitUntil(async () => !await isListening(`${hostname}:${port}`));
		await delay(pauseMs);
		const {text, error} = await readAll(socket);
		const {code} = await deployment.program.exit;
		t.is(error, undefined);
		t.true(text.length > largeAnswerBytes, `${text.length} bytes`);
		t.is(code, 0);
		t.deepEqual(deployment.program.linesOf(LogEvent.RequestCut), []);
	} finally {
		await deployment.stop();
	}
});

type StartMoment = {title: string; signals: Signal[]; isReached(program: ProgramProcess, address: string): Promise<boolean>};

const startMoments: StartMoment[] = [
	{
		title: 'SIGTERM as soon as signals are handled', signals: [{signal: 'SIGTERM', atMs: 0}], isReached: async program => program.isHandlingSignals(),
	},
	{
		title: 'SIGINT twice shortly after', signals: [{signal: 'SIGINT', atMs: 10}, {signal: 'SIGINT', atMs: 15}], isReached: async program => program.isHandlingSignals(),
	},
	{
		title: 'SIGTERM as soon as callers can connect', signals: [{signal: 'SIGTERM', atMs: 0}], isReached: async (_program, address) => isListening(address),
	},
];

for (const {title, signals, isReached} of startMoments) {
	test.serial(`should stop although the start is not over: ${title}`, async t => {
		const [port, controlPort, unusedPort] = await Promise.all(Array.from({length: 3}, async () => freePort()));
		const program = new ProgramProcess(programPath, environmentOf({
			id: 'entry-1',
			zone: 'zone-1',
			port: String(port),
			controlPort: String(controlPort),
			store: `http://127.0.0.1:${unusedPort}`,
			vmList: `http://127.0.0.1:${unusedPort}/vms`,
			peerSecret: 'secret-of-daemons',
			operatorToken: 'operator-token',
			vetoTokens: 'customer=veto-token',
		}));
		try {
			await waitUntil(async () => isReached(program, `127.0.0.1:${port}`));
			for (const {signal, atMs} of signals) {
				setTimeout(() => {
					program.signal(signal);
				}, atMs);
			}

			const exit = await Promise.race([program.exit, delay(slowReaderLimitMs)]);
			t.is(exit?.code, 0);
			t.deepEqual(program.linesOf(LogEvent.InternalFailure), []);
		} finally {
			await program.kill();
		}
	});
}
