/**
 * Measures how long keys are not served after a server fails, with real processes that are suspended and killed alternately.
 */
import {build} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {DemoDeployment} from '../demo-deployment.js';
import type {Experiment, ResultRow} from '../experiment.js';
import {delay, Processes} from '../processes.js';

const lossCount = 20;
const keyCount = 24;

/** Longest allowed time without an answer for a key, in milliseconds. */
const keyRecoveryLimitMs = 1000;

export const unavailable: Experiment = {
	name: 'unavailable',
	summary: 'time a key is not served per loss of a server (frozen or ended), median, p99 and worst over 20 losses',
	async run() {
		const deployment = new DemoDeployment(new Processes(), {daemons: 5, servers: 4});
		try {
			deployment.start(1);
			await deployment.waitUntilReady();
			await deployment.configure('first', 4);
			await deployment.waitUntilSettled(1);
			await delay(1000);
			return await measure(deployment);
		} finally {
			await deployment.close();
		}
	},
};

/** Sends requests for all keys and records the longest gap between two answers for each key. */
class GapMonitor {
	private readonly answeredAt = new Map<string, number>();
	private readonly longestGapsMs = new Map<string, number>();
	private isRunning = true;
	private readonly pools: Pool[];

	constructor(urls: string[]) {
		this.pools = urls.map(url => new Pool(url, {connections: 64}));
	}

	start(): void {
		for (let key = 0; key < keyCount; key++) {
			void this.sendRequests(`applicant-${key}`, key);
		}
	}

	reset(): void {
		this.longestGapsMs.clear();
	}

	longestGapMs(): number {
		return Math.max(0, ...this.longestGapsMs.values());
	}

	async stop(): Promise<void> {
		this.isRunning = false;
		await Promise.all(this.pools.map(async pool => pool.destroy()));
	}

	private async sendRequests(key: string, offset: number): Promise<void> {
		for (let turn = offset; this.isRunning; turn++) {
			const pool = this.pools[turn % this.pools.length];
			void this.sendRequest(pool, key);
			// eslint-disable-next-line no-await-in-loop -- an open loop that sends one request every 10 ms.
			await delay(10);
		}
	}

	private async sendRequest(pool: Pool, key: string): Promise<void> {
		try {
			const answer = await pool.request({path: `/registry/${key}`, method: 'GET'});
			await answer.body.dump();
			if (answer.statusCode === 200) {
				this.recordAnswer(key);
			}
		} catch {
			// A failed request is not an answer; the gap continues.
		}
	}

	private recordAnswer(key: string): void {
		const now = performance.now();
		const last = this.answeredAt.get(key) ?? now;
		this.answeredAt.set(key, now);
		this.longestGapsMs.set(key, Math.max(this.longestGapsMs.get(key) ?? 0, now - last));
	}
}

async function measure(deployment: DemoDeployment) {
	const monitor = new GapMonitor(deployment.entryVms.map((_, index) => deployment.gatewayUrl(index)));
	monitor.start();
	await delay(1000);
	const suspendedGapsMs: number[] = [];
	const killedGapsMs: number[] = [];
	for (let loss = 0; loss < lossCount; loss++) {
		const server = `registry-${(loss % 4) + 1}`;
		const isSuspended = loss % 2 === 0;
		monitor.reset();
		deployment.processes.signal(server, isSuspended ? 'SIGSTOP' : 'SIGKILL');
		/* eslint-disable no-await-in-loop -- servers fail one at a time. */
		await deployment.waitForLostServers([server]);
		await delay(300);
		(isSuspended ? suspendedGapsMs : killedGapsMs).push(monitor.longestGapMs());
		if (isSuspended) {
			deployment.processes.signal(server, 'SIGCONT');
		} else {
			deployment.restartServer(loss % 4, 1);
		}

		await deployment.waitForLostServers([]);
		await delay(300);
		/* eslint-enable no-await-in-loop */
	}

	await monitor.stop();
	const longestMs = Math.max(...suspendedGapsMs, ...killedGapsMs);
	const rows: ResultRow[] = [createRow('server frozen', suspendedGapsMs), createRow('server ended', killedGapsMs), createRow('all losses', [...suspendedGapsMs, ...killedGapsMs])];
	return {rows, aims: [{aim: `every key served again within 1 s (worst ${Math.round(longestMs)} ms)`, met: longestMs < keyRecoveryLimitMs}]};
}

function createRow(variant: string, gapsMs: number[]): ResultRow {
	const histogram = build({highestTrackableValue: 60_000});
	for (const gap of gapsMs) {
		histogram.recordValue(Math.round(gap));
	}

	return {
		variant,
		figures: {
			losses: gapsMs.length, 'median ms': histogram.getValueAtPercentile(50), 'p99 ms': histogram.getValueAtPercentile(99), 'worst ms': Math.max(...gapsMs),
		},
	};
}

