/**
 * Demo of the users' platform on loopback: daemons are processes; the store and the targets are stand-ins in this process.
 */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {spawn, type ChildProcess} from 'node:child_process';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Agent, request} from 'undici';
import {TargetState} from '../src/model/fleet.js';
import {WireHeader, wireKeys, wirePaths} from '../src/platform/wire.js';
import {MemoryCoordinationStore} from '../standins/memory-coordination-store.js';
import {PlatformStoreServer} from '../standins/platform-store-server.js';
import {PlatformTargetServer} from '../standins/platform-target-server.js';
import {settingsVariable} from '../src/platform/settings.js';
import {basePort} from './processes.js';

const daemonCount = 3;
const targetCount = 4;
const callerCount = 10;
const keyCount = 65_536;

/** Time until the keys of a target that stopped without notice are served again, in milliseconds: detection, expiry of the hold and the store writes. */
const recoveryLimitMs = 4500;

const programPath = fileURLToPath(new URL('../src/daemon/platform-main.js', import.meta.url));
const ports = {
	store: basePort + 300, caller: basePort + 310, ready: basePort + 320, peer: basePort + 330, target: basePort + 350,
};

/** Numbers of requests by outcome. */
type OutcomeCounts = {
	answered: number;
	notRun: number;
	unknown: number;
	lost: number;
};

const store = new MemoryCoordinationStore();
const storeServer = new PlatformStoreServer(store);
const executionCounts = new Map<string, number>();
const targets = Array.from({length: targetCount}, (_, index) => new PlatformTargetServer({
	id: `target-${index}`,
	service: 'registry',
	port: ports.target + index,
	workMs: 10,
	isKeyed: true,
	onRun(_target, requestId) {
		executionCounts.set(requestId, (executionCounts.get(requestId) ?? 0) + 1);
	},
}, store));
const daemons: ChildProcess[] = [];
const expectedExits = new Set<ChildProcess>();
const agent = new Agent({connections: 40});
const counts: OutcomeCounts = {
	answered: 0, notRun: 0, unknown: 0, lost: 0,
};
const failedChecks: string[] = [];
const load = {
	isRunning: true, sequence: 0, lastAnswerAt: performance.now(), longestGapMs: 0,
};

function check(isMet: boolean, expectation: string): void {
	console.log(`${isMet ? 'held  ' : 'BROKEN'} ${expectation}`);
	if (!isMet) {
		failedChecks.push(expectation);
	}
}

async function delay(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

async function startDaemon(folder: string, index: number): Promise<void> {
	const settingsFile = path.join(folder, `daemon-${index}.json`);
	await writeFile(settingsFile, JSON.stringify({
		daemon: `daemon-${index}`,
		availabilityZone: 'zone-a',
		ip: `127.0.0.${index + 1}`,
		callerAddress: `127.0.0.${index + 1}:${ports.caller}`,
		readinessAddress: `127.0.0.${index + 1}:${ports.ready}`,
		peerPorts: [ports.peer, ports.peer + 10],
		storeAddress: `127.0.0.1:${ports.store}`,
		cores: 1,
		linkMbps: 1000,
		leaseMinimumMs: 1000,
		targetHeartbeatMs: 1000,
		drainMs: 2000,
		configurationApplyMs: 2000,
		shutdownGraceS: 6,
		retryRatio: 0.2,
		retryWindowS: 10,
		retryReserve: 60,
		holdLimitMs: 10_000,
		thawSlackMs: 300,
	}));
	const child = spawn(process.execPath, [programPath], {env: {...process.env, [settingsVariable]: settingsFile}, stdio: ['ignore', process.env.DEMO_LOG ? 'inherit' : 'ignore', 'inherit']});
	child.once('exit', (code, signal) => {
		if (!expectedExits.has(child)) {
			check(false, `daemon-${index} keeps running: it exited with ${signal ?? `code ${code}`}`);
		}
	});
	daemons.push(child);
}

/** Kills a daemon on purpose; any other exit of a daemon is reported as a failed check. */
function killDaemon(daemon: ChildProcess | undefined): void {
	if (daemon) {
		expectedExits.add(daemon);
		daemon.kill('SIGKILL');
	}
}

async function isReady(index: number): Promise<boolean> {
	try {
		const {statusCode, body} = await request(`http://127.0.0.${index + 1}:${ports.ready}${wirePaths.ready}`, {dispatcher: agent});
		await body.dump();
		return statusCode === 200;
	} catch {
		// Not listening yet.
		return false;
	}
}

async function waitUntilReady(): Promise<void> {
	for (let index = 0; index < daemonCount; index += 1) {
		// eslint-disable-next-line no-await-in-loop -- polling.
		while (failedChecks.length === 0 && !await isReady(index)) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			await delay(100);
		}
	}
}

async function sendRequest(caller: number): Promise<void> {
	load.sequence += 1;
	const requestId = `request-${load.sequence}`;
	const key = ((load.sequence * 7919) + caller) % keyCount;
	const daemon = load.sequence % daemonCount;
	try {
		const {statusCode, body} = await request(`http://127.0.0.${daemon + 1}:${ports.caller}/records/${key}`, {
			method: 'POST',
			headers: {
				host: 'demo.example', [WireHeader.RequestId]: requestId, [WireHeader.Budget]: '1500', [WireHeader.Key]: String(key),
			},
			body: '{}',
			dispatcher: agent,
		});
		await body.dump();
		countOutcome(statusCode);
	} catch {
		// The daemon was killed and its connections closed: the caller gets no outcome.
		counts.lost += 1;
	}
}

function countOutcome(status: number): void {
	if (status === 200) {
		const now = performance.now();
		load.longestGapMs = Math.max(load.longestGapMs, now - load.lastAnswerAt);
		load.lastAnswerAt = now;
		counts.answered += 1;
	} else if (status === 503) {
		counts.notRun += 1;
	} else {
		counts.unknown += 1;
	}
}

async function runCaller(caller: number): Promise<void> {
	while (load.isRunning) {
		// eslint-disable-next-line no-await-in-loop -- each caller sends one request at a time.
		await sendRequest(caller);
		// eslint-disable-next-line no-await-in-loop -- each caller sends one request at a time.
		await delay(20);
	}
}

function leaderName(): string | undefined {
	const item = store.get('eelgrasswheel/leader');
	return item && (JSON.parse(item.value) as {daemon: string}).daemon;
}

function writeConfiguration(version: number): void {
	store.put(wireKeys.configuration, JSON.stringify({
		version,
		resources: [
			{
				resourceType: 'routes', metadata: {name: 'records'}, spec: {
					host: 'demo.example', prefix: '/records/', kind: 'unsafe', timeoutMs: 1500, targetLatencyMs: 300, priority: 1, service: 'registry', maxAttempts: 2,
				},
			},
			{
				resourceType: 'services', metadata: {name: 'registry'}, spec: {
					healthPath: '/health', maxConnections: 100, sharded: true, warmS: 1,
				},
			},
			{
				resourceType: 'limits', metadata: {}, spec: {
					maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
				},
			},
		],
	}));
}

async function runDemo(folder: string): Promise<void> {
	await storeServer.listen(ports.store);
	await Promise.all(targets.map(async target => target.listen()));
	writeConfiguration(1);
	await Promise.all(Array.from({length: daemonCount}, async (_, index) => startDaemon(folder, index)));
	await waitUntilReady();
	if (failedChecks.length > 0) {
		return;
	}

	await delay(3000);
	const callers = Array.from({length: callerCount}, async (_, caller) => runCaller(caller));
	await delay(2000);
	check(counts.answered > 100, `keys have owners: ${counts.answered} requests answered in 2 s`);

	console.log('a target stops with notice');
	targets[0]?.putEntry(TargetState.Draining);
	await delay(2000);
	const unknownBefore = counts.unknown;
	targets[0]?.close();
	targets[0]?.removeEntry();
	await delay(1000);
	check(counts.unknown === unknownBefore, 'no request was interrupted when the target stopped');

	console.log('the leader is killed');
	const leader = leaderName();
	killDaemon(daemons[Number(leader?.split('-')[1] ?? 0)]);
	await delay(4000);
	check(leaderName() !== undefined && leaderName() !== leader, `another daemon leads: ${leaderName() ?? 'none'}`);

	console.log('a target stops without notice');
	targets[1]?.close();
	await delay(recoveryLimitMs);
	const failedBefore = counts.notRun + counts.unknown;
	await delay(1000);
	check(counts.notRun + counts.unknown === failedBefore, `all keys are served again ${recoveryLimitMs} ms after the loss`);
	load.isRunning = false;
	await Promise.all(callers);
	check([...executionCounts.values()].every(count => count === 1), `each of ${executionCounts.size} instructions ran once at most`);
	console.log(JSON.stringify(counts));
}

const folder = await mkdtemp(path.join(tmpdir(), 'eelgrasswheel-'));
try {
	await runDemo(folder);
} finally {
	for (const daemon of daemons) {
		killDaemon(daemon);
	}

	for (const target of targets) {
		target.close();
	}

	storeServer.close();
	await agent.destroy();
	await rm(folder, {recursive: true});
}

process.exitCode = failedChecks.length === 0 ? 0 : 1;
