/**
 * Demo of the users' platform on loopback: daemons as processes, the store and the targets as stand-ins in this one.
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
const workers = 10;
const keyCount = 65_536;

/** Time without an answer for a key after the loss of its target, in milliseconds: detection, the hold and the writes. */
const lossLimitMs = 4500;

const program = fileURLToPath(new URL('../src/daemon/platform-main.js', import.meta.url));
const ports = {
	store: basePort + 300, caller: basePort + 310, ready: basePort + 320, peer: basePort + 330, target: basePort + 350,
};

/** What callers saw. */
type Tally = {
	answered: number;
	notRun: number;
	unknown: number;
	lost: number;
};

const store = new MemoryCoordinationStore();
const storeServer = new PlatformStoreServer(store);
const runs = new Map<string, number>();
const targets = Array.from({length: targetCount}, (_, index) => new PlatformTargetServer({
	id: `target-${index}`,
	service: 'registry',
	port: ports.target + index,
	workMs: 10,
	isKeyed: true,
	onRun(_target, requestId) {
		runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
	},
}, store));
const daemons: ChildProcess[] = [];
const expectedEnds = new Set<ChildProcess>();
const agent = new Agent({connections: 40});
const tally: Tally = {
	answered: 0, notRun: 0, unknown: 0, lost: 0,
};
const broken: string[] = [];
const load = {
	isRunning: true, sequence: 0, lastAnswerAt: performance.now(), longestGapMs: 0,
};

function check(holds: boolean, promise: string): void {
	console.log(`${holds ? 'held  ' : 'BROKEN'} ${promise}`);
	if (!holds) {
		broken.push(promise);
	}
}

async function pause(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

async function startDaemon(folder: string, index: number): Promise<void> {
	const file = path.join(folder, `daemon-${index}.json`);
	await writeFile(file, JSON.stringify({
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
	const child = spawn(process.execPath, [program], {env: {...process.env, [settingsVariable]: file}, stdio: ['ignore', process.env.DEMO_LOG ? 'inherit' : 'ignore', 'inherit']});
	child.once('exit', (code, signal) => {
		if (!expectedEnds.has(child)) {
			check(false, `daemon-${index} goes on running: it ended with ${signal ?? `code ${code}`}`);
		}
	});
	daemons.push(child);
}

/** Ends a daemon on purpose; any other end breaks a promise. */
function kill(daemon: ChildProcess | undefined): void {
	if (daemon) {
		expectedEnds.add(daemon);
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

async function untilReady(): Promise<void> {
	for (let index = 0; index < daemonCount; index += 1) {
		// eslint-disable-next-line no-await-in-loop -- polling.
		while (broken.length === 0 && !await isReady(index)) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			await pause(100);
		}
	}
}

async function callOnce(worker: number): Promise<void> {
	load.sequence += 1;
	const requestId = `request-${load.sequence}`;
	const key = ((load.sequence * 7919) + worker) % keyCount;
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
		note(statusCode);
	} catch {
		// A killed daemon closes its connections; the caller learns nothing.
		tally.lost += 1;
	}
}

function note(status: number): void {
	if (status === 200) {
		const now = performance.now();
		load.longestGapMs = Math.max(load.longestGapMs, now - load.lastAnswerAt);
		load.lastAnswerAt = now;
		tally.answered += 1;
	} else if (status === 503) {
		tally.notRun += 1;
	} else {
		tally.unknown += 1;
	}
}

async function work(worker: number): Promise<void> {
	while (load.isRunning) {
		// eslint-disable-next-line no-await-in-loop -- each worker is one caller.
		await callOnce(worker);
		// eslint-disable-next-line no-await-in-loop -- each worker is one caller.
		await pause(20);
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

async function play(folder: string): Promise<void> {
	await storeServer.listen(ports.store);
	await Promise.all(targets.map(async target => target.listen()));
	writeConfiguration(1);
	await Promise.all(Array.from({length: daemonCount}, async (_, index) => startDaemon(folder, index)));
	await untilReady();
	if (broken.length > 0) {
		return;
	}

	await pause(3000);
	const callers = Array.from({length: workers}, async (_, worker) => work(worker));
	await pause(2000);
	check(tally.answered > 100, `keys have owners: ${tally.answered} requests answered in 2 s`);

	console.log('a target leaves with notice');
	targets[0]?.announce(TargetState.Draining);
	await pause(2000);
	const before = tally.unknown;
	targets[0]?.close();
	targets[0]?.removeEntry();
	await pause(1000);
	check(tally.unknown === before, 'no request was broken off when the target ended');

	console.log('the leader is killed');
	const leader = leaderName();
	kill(daemons[Number(leader?.split('-')[1] ?? 0)]);
	await pause(4000);
	check(leaderName() !== undefined && leaderName() !== leader, `another daemon leads: ${leaderName() ?? 'none'}`);

	console.log('a target is lost without notice');
	targets[1]?.close();
	await pause(lossLimitMs);
	const notRun = tally.notRun + tally.unknown;
	await pause(1000);
	check(tally.notRun + tally.unknown === notRun, `all keys are served again ${lossLimitMs} ms after the loss`);
	load.isRunning = false;
	await Promise.all(callers);
	check([...runs.values()].every(count => count === 1), `each of ${runs.size} instructions ran once at most`);
	console.log(JSON.stringify(tally));
}

const folder = await mkdtemp(path.join(tmpdir(), 'eelgrasswheel-'));
try {
	await play(folder);
} finally {
	for (const daemon of daemons) {
		kill(daemon);
	}

	for (const target of targets) {
		target.close();
	}

	storeServer.close();
	await agent.destroy();
	await rm(folder, {recursive: true});
}

process.exitCode = broken.length === 0 ? 0 : 1;
