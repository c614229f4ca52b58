/**
 * Measures throughput and added latency of the data path against a bare pass-through proxy.
 */
import {DemoDeployment} from '../demo-deployment.js';
import type {Experiment, ResultRow} from '../experiment.js';
import {runLoad, type LoadResult} from '../load.js';
import {basePort, waitUntil, Processes} from '../processes.js';

const connections = 50;
const warmUpMs = 2000;
const measureMs = 5000;
const passThroughPort = basePort + 500;

export const datapath: Experiment = {
	name: 'datapath',
	summary: 'requests per second of one daemon and added latency, beside a bare pass-through in the same run',
	async run() {
		const processes = new Processes();
		const deployment = new DemoDeployment(processes, {daemons: 1, servers: 2});
		try {
			deployment.start(0);
			await deployment.waitUntilReady();
			await deployment.configure('first', 2);
			await deployment.waitUntilSettled(1);
			processes.startPassThrough(passThroughPort, `http://127.0.0.1:${basePort + 400}`);
			const passThroughUrl = `http://127.0.0.1:${passThroughPort}`;
			await waitUntil(async () => {
				const answer = await fetch(`${passThroughUrl}/letters/1`);
				return answer.ok;
			}, 5000, 'pass-through ready');
			return await measure(deployment, passThroughUrl);
		} finally {
			await deployment.close();
		}
	},
};

async function measure(deployment: DemoDeployment, passThroughUrl: string) {
	const variants = [
		{variant: 'bare pass-through', url: passThroughUrl, path: (sequence: number) => `/letters/${sequence % 100}`},
		{variant: 'daemon, undivided', url: deployment.gatewayUrl(0), path: (sequence: number) => `/letters/${sequence % 100}`},
		{variant: 'daemon, divided', url: deployment.gatewayUrl(0), path: (sequence: number) => `/registry/applicant-${sequence % 100}`},
	];
	const saturationResults: LoadResult[] = [];
	for (const {url, path} of variants) {
		const load = {url, connections, path};
		/* eslint-disable no-await-in-loop -- loads run one at a time. */
		await runLoad({...load, durationMs: warmUpMs});
		saturationResults.push(await runLoad({...load, durationMs: measureMs}));
		/* eslint-enable no-await-in-loop */
	}

	// All variants get the same load: half of the throughput of the slowest one.
	const rate = Math.floor(Math.min(...saturationResults.map(result => result.requestsPerSecond)) / 2);
	const halfLoadResults: LoadResult[] = [];
	const rows: ResultRow[] = [];
	for (const [index, {variant, url, path}] of variants.entries()) {
		// eslint-disable-next-line no-await-in-loop -- loads run one at a time.
		const half = await runLoad({
			url, connections, path, durationMs: measureMs, rate,
		});
		halfLoadResults.push(half);
		const full = saturationResults[index];
		rows.push({
			variant,
			figures: {
				requestsPerSecond: full.requestsPerSecond, 'half load requests/s': rate, 'p50 ms at half load': half.p50Ms, 'p99 ms at half load': half.p99Ms, failed: full.failed + half.failed,
			},
		});
	}

	const throughputRatio = saturationResults[2].requestsPerSecond / saturationResults[0].requestsPerSecond;
	return {
		rows,
		aims: [
			{aim: `throughput at least 0.8 of the pass-through (is ${throughputRatio.toFixed(2)})`, met: throughputRatio >= 0.8},
			{aim: 'at most 1 ms added at the median', met: halfLoadResults[2].p50Ms - halfLoadResults[0].p50Ms <= 1},
			{aim: 'at most 2 ms added at p99', met: halfLoadResults[2].p99Ms - halfLoadResults[0].p99Ms <= 2},
		],
	};
}
