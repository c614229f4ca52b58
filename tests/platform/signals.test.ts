import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {LogEvent} from '../../src/model/events.js';
import {PlatformDaemon} from '../../src/daemon/platform-daemon.js';
import type {DaemonProcess} from '../../standins/daemon-process.js';
import {createPlatformSettings, platformPorts} from '../../standins/platform-settings.js';
import {ProcessDeployment} from '../../standins/process-deployment.js';
import {isListening, waitUntil} from '../../standins/program-process.js';

/** Shortest and longest time that a request takes at its target, in milliseconds. */
const workMs = {shortest: 100, longest: 1500};

const callerCount = 30;

/** Grace period in seconds; SIGKILL would follow. */
const graceS = 6;

const secondMs = 1000;

/** Time for the load balancer to detect that the daemon is not ready, in milliseconds: two failed checks, one a second. */
const balancerMs = 2000;

type Signal = {signal: NodeJS.Signals; atMs: number};

type Case = {
	title: string;
	network: string;
	signals: Signal[];
	isStoreSilent?: boolean;
};

const cases: Case[] = [
	{title: 'SIGTERM', network: '127.40', signals: [{signal: 'SIGTERM', atMs: 0}]},
	{title: 'SIGTERM twice', network: '127.41', signals: [{signal: 'SIGTERM', atMs: 0}, {signal: 'SIGTERM', atMs: 700}]},
	{title: 'SIGTERM and SIGINT', network: '127.42', signals: [{signal: 'SIGTERM', atMs: 0}, {signal: 'SIGINT', atMs: 1500}]},
	{
		title: 'SIGHUP around SIGTERM, and SIGTERM again',
		network: '127.43',
		signals: [
			{signal: 'SIGHUP', atMs: 0}, {signal: 'SIGTERM', atMs: 50}, {signal: 'SIGHUP', atMs: 60}, {signal: 'SIGTERM', atMs: 1000},
		],
	},
	{
		title: 'SIGTERM while the store does not answer', network: '127.44', signals: [{signal: 'SIGTERM', atMs: 0}], isStoreSilent: true,
	},
];

function randomWorkMs(): number {
	return workMs.shortest + (Math.random() * (workMs.longest - workMs.shortest));
}

for (const {title, network, signals, isStoreSilent = false} of cases) {
	test(`should leave no request without an answer that a target runs: ${title}`, async t => {
		const deployment = new ProcessDeployment({network, workMs: randomWorkMs, shutdownGraceS: graceS});
		try {
			await deployment.listen();
			t.true(await deployment.waitUntilServed());
			deployment.addCallers(callerCount);
			await delay(workMs.longest);
			deployment.storeServer.isSilent = isStoreSilent;
			const startedAt = performance.now();
			for (const {signal, atMs} of signals) {
				setTimeout(() => {
					deployment.daemon.signal(signal);
				}, atMs);
			}

			const {code, at} = await deployment.daemon.exit;
			await deployment.stopCallers();
			t.deepEqual(deployment.lostIds, []);
			t.is(code, 0);
			t.true(at - startedAt > balancerMs, 'the process accepts connections until the balancer sends no more');
			t.true(at - startedAt < graceS * secondMs, 'the process ends before SIGKILL would');
			const statuses = deployment.exchanges.filter(({sentAt}) => sentAt > startedAt && sentAt < startedAt + balancerMs).map(({status}) => status);
			t.true(statuses.filter(status => status === 503).length < statuses.length / 10, 'requests that end in time are accepted');
			const inFlight = deployment.exchanges.filter(({sentAt, endedAt}) => sentAt < startedAt && endedAt > startedAt);
			t.true(inFlight.length > callerCount / 3, 'requests were in flight');
		} finally {
			await deployment.stop();
		}
	});
}

const startMoments: Array<{title: string; network: string; signals: Signal[]; isReached(daemon: DaemonProcess): Promise<boolean>}> = [
	{
		title: 'SIGTERM as soon as signals are handled', network: '127.45', signals: [{signal: 'SIGTERM', atMs: 0}], isReached: async daemon => daemon.isHandlingSignals(),
	},
	{
		title: 'SIGINT shortly after', network: '127.46', signals: [{signal: 'SIGINT', atMs: 10}, {signal: 'SIGINT', atMs: 15}], isReached: async daemon => daemon.isHandlingSignals(),
	},
	{
		title: 'SIGTERM as soon as callers can connect', network: '127.47', signals: [{signal: 'SIGTERM', atMs: 0}], isReached: async ({settings}) => isListening(settings.callerAddress),
	},
];

for (const {
	title, network, signals, isReached,
} of startMoments) {
	test.serial(`should stop although the start is not over: ${title}`, async t => {
		const deployment = new ProcessDeployment({network, workMs: workMs.shortest, shutdownGraceS: graceS});
		const {daemon} = deployment;
		try {
			await deployment.listen();
			await waitUntil(async () => isReached(daemon));
			for (const {signal, atMs} of signals) {
				setTimeout(() => {
					daemon.signal(signal);
				}, atMs);
			}

			const exit = await Promise.race([daemon.exit, delay(graceS * secondMs)]);
			t.is(exit?.code, 0);
			t.deepEqual(daemon.linesOf(LogEvent.InternalFailure), []);
		} finally {
			await deployment.stop();
		}
	});
}

test('should stop although the start is not over: before the listeners are open', async t => {
	const daemon = new PlatformDaemon(createPlatformSettings({daemon: 'daemon-0', ip: '127.49.2.1', storeIp: '127.49.0.1'}), {record: () => undefined});
	const started = daemon.start();
	await t.notThrowsAsync(daemon.shutdown());
	await started;
	t.false(await isListening(`127.49.2.1:${platformPorts.caller}`));
});

test.serial('should handle SIGHUP while the modules of the program are being loaded', async t => {
	const deployment = new ProcessDeployment({network: '127.48', workMs: workMs.shortest});
	const {daemon} = deployment;
	try {
		await deployment.listen();
		await waitUntil(async () => daemon.isHandlingSignals());
		daemon.signal('SIGHUP');
		t.true(await daemon.waitUntilReady());
		// The settings had not been read when the signal came.
		t.deepEqual(daemon.linesOf(LogEvent.SettingsReloaded), []);
	} finally {
		await deployment.stop();
	}
});
