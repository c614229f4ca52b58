/**
 * Cost of control: processor time, memory, bytes and store calls per daemon at several sizes, at rest and per change.
 */
import {DemoDeployment} from '../demo-deployment.js';
import type {Experiment, ResultRow} from '../experiment.js';
import {pause, Processes} from '../processes.js';
import {readUsage} from '../process-usage.js';

const sizes = [3, 6, 12, 24];
const restMs = 10_000;

type Sample = {
	cpuMs: number;
	residentMb: number;
	bytes: number;
	reads: number;
	writes: number;
};

/** The experiment. */
export const control: Experiment = {
	name: 'control',
	summary: 'processor time, memory, bytes and store calls per daemon at rest, and time and calls per change, by number of daemons',
	async run() {
		const rows: ResultRow[] = [];
		for (const size of sizes) {
			// eslint-disable-next-line no-await-in-loop -- one deployment at a time.
			rows.push(await measure(size));
		}

		return {rows, aims: []};
	},
};

async function sample(deployment: DemoDeployment): Promise<Sample> {
	const pids = deployment.entries.map(vm => deployment.processes.pid(vm.id)!);
	const usages = await Promise.all(pids.map(async pid => readUsage(pid)));
	const states = await Promise.all(deployment.entries.map(async (_, index) => deployment.control(index).status.query()));
	const calls = await deployment.storeCalls();
	const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
	return {
		cpuMs: mean(usages.map(({cpuMs}) => cpuMs)),
		residentMb: mean(usages.map(({residentMb}) => residentMb)),
		bytes: mean(states.map(({controlBytes}) => controlBytes)),
		reads: calls.reads,
		writes: calls.writes,
	};
}

async function measure(daemons: number): Promise<ResultRow> {
	const deployment = new DemoDeployment(new Processes(), {daemons, servers: 4});
	try {
		deployment.start(0);
		await deployment.ready();
		await deployment.configure('first', 3);
		await deployment.settled(1);
		await pause(2000);
		const before = await sample(deployment);
		await pause(restMs);
		const after = await sample(deployment);
		const beforeChange = await deployment.storeCalls();
		const startedAt = performance.now();
		await deployment.configure('join', 4);
		const inForceMs = await deployment.inForceEverywhere(2) - startedAt;
		await deployment.settled(2);
		await pause(500);
		const afterChange = await deployment.storeCalls();
		const seconds = restMs / 1000;
		return {
			variant: `${daemons} daemons`,
			figures: {
				'cpu % of a core at rest': (after.cpuMs - before.cpuMs) / restMs * 100,
				'resident MB': after.residentMb,
				// A byte that one daemon receives is one that another sends, so each call counts for two daemons.
				'control bytes/s per daemon': (after.bytes - before.bytes) * 2 / seconds,
				'store reads/s': (after.reads - before.reads) / seconds,
				'store writes/s': (after.writes - before.writes) / seconds,
				'writes per join of 16 shards': afterChange.writes - beforeChange.writes,
				'configuration in force ms': inForceMs,
			},
		};
	} finally {
		await deployment.close();
	}
}
