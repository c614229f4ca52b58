/**
 * Time for which keys are not served after a loss, with real processes: servers frozen and ended in turn.
 */
import {build} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {DemoDeployment} from '../demo-deployment.js';
import type {Experiment, ResultRow} from '../experiment.js';
import {pause, Processes} from '../processes.js';

const losses = 20;
const keys = 24;

/** Bound on the time that a key is not served after a loss, in milliseconds. */
const servedAgainMs = 1000;

/** The experiment. */
export const unavailable: Experiment = {
	name: 'unavailable',
	summary: 'time a key is not served per loss of a server (frozen or ended), median, p99 and worst over 20 losses',
	async run() {
		const deployment = new DemoDeployment(new Processes(), {daemons: 5, servers: 4});
		try {
			deployment.start(1);
			await deployment.ready();
			await deployment.configure('first', 4);
			await deployment.settled(1);
			await pause(1000);
			return await measure(deployment);
		} finally {
			await deployment.close();
		}
	},
};

/** Follows the longest gap between two answers of each key. */
class GapProbe {
	private readonly answeredAt = new Map<string, number>();
	private readonly gaps = new Map<string, number>();
	private isRunning = true;
	private readonly pools: Pool[];

	constructor(urls: string[]) {
		this.pools = urls.map(url => new Pool(url, {connections: 64}));
	}

	start(): void {
		for (let key = 0; key < keys; key++) {
			void this.follow(`applicant-${key}`, key);
		}
	}

	reset(): void {
		this.gaps.clear();
	}

	longest(): number {
		return Math.max(0, ...this.gaps.values());
	}

	async stop(): Promise<void> {
		this.isRunning = false;
		await Promise.all(this.pools.map(async pool => pool.destroy()));
	}

	private async follow(key: string, offset: number): Promise<void> {
		for (let turn = offset; this.isRunning; turn++) {
			const pool = this.pools[turn % this.pools.length];
			void this.ask(pool, key);
			// eslint-disable-next-line no-await-in-loop -- an open loop of one request each 10 ms.
			await pause(10);
		}
	}

	private async ask(pool: Pool, key: string): Promise<void> {
		try {
			const answer = await pool.request({path: `/registry/${key}`, method: 'GET'});
			await answer.body.dump();
			if (answer.statusCode === 200) {
				this.note(key);
			}
		} catch {
			// Not an answer.
		}
	}

	private note(key: string): void {
		const now = performance.now();
		const last = this.answeredAt.get(key) ?? now;
		this.answeredAt.set(key, now);
		this.gaps.set(key, Math.max(this.gaps.get(key) ?? 0, now - last));
	}
}

async function measure(deployment: DemoDeployment) {
	const probe = new GapProbe(deployment.entries.map((_, index) => deployment.gatewayUrl(index)));
	probe.start();
	await pause(1000);
	const frozen: number[] = [];
	const ended: number[] = [];
	for (let loss = 0; loss < losses; loss++) {
		const server = `registry-${(loss % 4) + 1}`;
		const isFrozen = loss % 2 === 0;
		probe.reset();
		deployment.processes.signal(server, isFrozen ? 'SIGSTOP' : 'SIGKILL');
		/* eslint-disable no-await-in-loop -- one loss after the other. */
		await deployment.lostAndSettled([server]);
		await pause(300);
		(isFrozen ? frozen : ended).push(probe.longest());
		if (isFrozen) {
			deployment.processes.signal(server, 'SIGCONT');
		} else {
			deployment.restartServer(loss % 4, 1);
		}

		await deployment.lostAndSettled([]);
		await pause(300);
		/* eslint-enable no-await-in-loop */
	}

	await probe.stop();
	const worst = Math.max(...frozen, ...ended);
	const rows: ResultRow[] = [rowOf('server frozen', frozen), rowOf('server ended', ended), rowOf('all losses', [...frozen, ...ended])];
	return {rows, aims: [{aim: `every key served again within 1 s (worst ${Math.round(worst)} ms)`, met: worst < servedAgainMs}]};
}

function rowOf(variant: string, gapsMs: number[]): ResultRow {
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

