/**
 * Measures the cost of the control plane: CPU time, memory, bytes and store calls per daemon, idle and per configuration change,
 * at several numbers of daemons.
 */
import {DemoDeployment} from '../demo-deployment.js';
import type {Experiment, ResultRow} from '../experiment.js';
import {delay, Processes} from '../processes.js';
import {readUsage} from '../process-usage.js';

const sizes = [3, 6, 12, 24];
const idleMs = 10_000;

type UsageSample = {
	cpuMs: number;
	residentMb: number;
	controlBytes: number;
	storeReads: number;
	storeWrites: number;
};

export const control: Experiment = {
	name: 'control',
	summary: 'processor time, memory, bytes and store calls per daemon at rest, and time and calls per change, by number of daemons',
	async run() {
		const rows: ResultRow[] = [];
		for (const size of sizes) {
			// eslint-disable-next-line no-await-in-loop -- deployments share the ports and the machine, so one is measured at a time.
			rows.push(await measure(size));
		}

		return {rows, aims: []};
	},
};

async function takeSample(deployment: DemoDeployment): Promise<UsageSample> {
	const pids = deployment.entryVms.map(vm => deployment.processes.pid(vm.id)!);
	const usages = await Promise.all(pids.map(async pid => readUsage(pid)));
	const statuses = await Promise.all(deployment.entryVms.map(async (_, index) => deployment.controlClient(index).status.query()));
	const storeCalls = await deployment.storeCalls();
	const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
	return {
		cpuMs: mean(usages.map(({cpuMs}) => cpuMs)),
		residentMb: mean(usages.map(({residentMb}) => residentMb)),
		controlBytes: mean(statuses.map(({controlBytes}) => controlBytes)),
		storeReads: storeCalls.reads,
		storeWrites: storeCalls.writes,
	};
}

async function measure(daemons: number): Promise<ResultRow> {
	const deployment = new DemoDeployment(new Processes(), {daemons, servers: 4});
	try {
		deployment.start(0);
		await deployment.waitUntilReady();
		await deployment.configure('first', 3);
		await deployment.waitUntilSettled(1);
		await delay(2000);
		const before = await takeSample(deployment);
		await delay(idleMs);
		const after = await takeSample(deployment);
		const beforeChange = await deployment.storeCalls();
		const startedAt = performance.now();
		await deployment.configure('join', 4);
		const activationMs = await deployment.waitUntilActive(2) - startedAt;
		await deployment.waitUntilSettled(2);
		await delay(500);
		const afterChange = await deployment.storeCalls();
		const seconds = idleMs / 1000;
		return {
			variant: `${daemons} daemons`,
			figures: {
				'cpu % of a core at rest': (after.cpuMs - before.cpuMs) / idleMs * 100,
				'resident MB': after.residentMb,
				// Every control byte is sent by one daemon and received by another, so it counts twice.
				'control bytes/s per daemon': (after.controlBytes - before.controlBytes) * 2 / seconds,
				'store reads/s': (after.storeReads - before.storeReads) / seconds,
				'store writes/s': (after.storeWrites - before.storeWrites) / seconds,
				'writes per join of 16 shards': afterChange.writes - beforeChange.writes,
				'configuration in force ms': activationMs,
			},
		};
	} finally {
		await deployment.close();
	}
}
