/**
 * Demo of the users' platform on loopback: daemons are processes; the store and the targets are stand-ins in this process.
 */
import process from 'node:process';
import {Agent, request} from 'undici';
import {TargetState} from '../src/model/fleet.js';
import {WireHeader, wireKeys} from '../src/platform/wire.js';
import {DaemonProcess} from '../standins/daemon-process.js';
import {MemoryCoordinationStore} from '../standins/memory-coordination-store.js';
import {createPlatformSettings} from '../standins/platform-settings.js';
import {PlatformStoreServer} from '../standins/platform-store-server.js';
import {PlatformTargetServer} from '../standins/platform-target-server.js';
import {basePort} from './processes.js';

const daemonCount = 3;
const targetCount = 4;
const callerCount = 10;
const keyCount = 65_536;

/** Time until the keys of a target that stopped without notice are served again, in milliseconds: detection, expiry of the hold and the store writes. */
const recoveryLimitMs = 4500;

const ports = {
	store: basePort + 300, caller: basePort + 310, readiness: basePort + 320, peer: basePort + 330, target: basePort + 350,
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
const daemons: DaemonProcess[] = [];
const expectedExits = new Set<DaemonProcess>();
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

function startDaemon(index: number): void {
	const daemon = new DaemonProcess(createPlatformSettings({
		daemon: `daemon-${index}`, ip: `127.0.0.${index + 1}`, storeIp: '127.0.0.1', ports,
	}));
	daemons.push(daemon);
	void reportExit(daemon);
}

async function reportExit(daemon: DaemonProcess): Promise<void> {
	const {code, signal} = await daemon.exit;
	if (process.env.DEMO_LOG) {
		console.log(daemon.lines.map(line => JSON.stringify(line)).join('\n'));
	}

	if (!expectedExits.has(daemon)) {
		check(false, `${daemon.settings.daemon} keeps running: it exited with ${signal ?? `code ${code}`}`);
		console.error(daemon.otherOutput.join('\n'));
	}
}

/** Kills a daemon on purpose; any other exit of a daemon is reported as a failed check. */
function killDaemon(daemon: DaemonProcess | undefined): void {
	if (daemon) {
		expectedExits.add(daemon);
		daemon.signal('SIGKILL');
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

async function runDemo(): Promise<void> {
	await storeServer.listen(ports.store);
	await Promise.all(targets.map(async target => target.listen()));
	writeConfiguration(1);
	for (let index = 0; index < daemonCount; index += 1) {
		startDaemon(index);
	}

	await Promise.all(daemons.map(async daemon => daemon.waitUntilReady()));
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

try {
	await runDemo();
} finally {
	for (const daemon of daemons) {
		killDaemon(daemon);
	}

	await Promise.all(daemons.map(async ({exit}) => exit));
	for (const target of targets) {
		target.close();
	}

	storeServer.close();
	await agent.destroy();
}

process.exitCode = failedChecks.length === 0 ? 0 : 1;
