/**
 * Measures head-of-line blocking of short reads behind long requests, and service during a load peak.
 */
import type {Waiter} from '../../src/decisions/server-limiter.js';
import {divideSlots} from '../slot-share.js';
import {FifoQueue, PriorityQueue} from '../../src/decisions/wait-queue.js';
import {Priority} from '../../src/model/configuration.js';
import {
	DeploymentName, type Experiment, type ExperimentOptions, type ResultRow,
} from '../experiment.js';
import {
	latencyPercentileMs, simulate, type ClassResult, type Policy, type SimulationOptions, type WorkClass,
} from '../queue-simulation.js';

const slots = 3;
const shortWorkMs = 5;
const daemons = 10;

type DeploymentSize = {servers: number; delayMs: number; connections: number};

const deploymentSizes: Record<DeploymentName, DeploymentSize> = {
	[DeploymentName.Association]: {servers: 8, delayMs: 0.5, connections: 110},
	[DeploymentName.Ventorete]: {servers: 11, delayMs: 1.5, connections: 130},
};

function createPolicies({connections}: DeploymentSize): Policy[] {
	const connectionShare = Math.floor(connections / daemons);
	const slotLimits = divideSlots({connections, slots}, daemons);
	return [
		{
			name: 'first in, first out, connection share',
			limits: {concurrency: connectionShare, longConcurrency: connectionShare, waiting: 256},
			createQueue: () => new FifoQueue<Waiter>(),
		},
		{
			name: 'by priority, connection share',
			limits: {concurrency: connectionShare, longConcurrency: Math.ceil(connectionShare / 2), waiting: 256},
			createQueue: () => new PriorityQueue<Waiter>(),
		},
		{
			name: 'by priority, slot share',
			limits: {...slotLimits, waiting: 256},
			createQueue: () => new PriorityQueue<Waiter>(),
		},
		{
			name: 'by priority, connection share, home daemon for long work',
			limits: {concurrency: connectionShare, longConcurrency: slots - 1, waiting: 256},
			createQueue: () => new PriorityQueue<Waiter>(),
			forwardsLongWork: true,
		},
	];
}

const read: WorkClass = {
	name: 'read', priority: Priority.Read, long: false, share: 1, workMs: shortWorkMs, deadlineMs: 2000,
};

function capacityPerSecond(servers: number, classes: WorkClass[]): number {
	const meanMs = classes.reduce((sum, {share, workMs}) => sum + (share * workMs), 0);
	return servers * slots * 1000 / meanMs;
}

/** Head-of-line blocking of reads behind stragglers. */
export const blocking: Experiment = {
	name: 'blocking',
	summary: 'p99 of short reads with 2% stragglers 100 times longer over p99 without, by policy',
	async run({seed, deployment}: ExperimentOptions) {
		const size = deploymentSizes[deployment];
		const classesWithStragglers: WorkClass[] = [
			{...read, share: 0.98},
			{
				name: 'straggler', priority: Priority.Extract, long: true, share: 0.02, workMs: shortWorkMs * 100, deadlineMs: 30_000,
			},
		];
		const rate = capacityPerSecond(size.servers, classesWithStragglers) * 0.5;
		const base: SimulationOptions = {
			seed, servers: size.servers, slots, daemons, durationMs: 30_000, delayMs: size.delayMs, rateAt: () => rate, classes: [read],
		};
		const rows: ResultRow[] = [];
		for (const policy of createPolicies(size)) {
			// eslint-disable-next-line no-await-in-loop -- the paused clock is process-wide, so simulations run one at a time.
			const [withoutStragglers, withStragglers] = [await simulate(policy, base), await simulate(policy, {...base, classes: classesWithStragglers})];
			const [p99WithoutMs, p99WithMs] = [latencyPercentileMs(withoutStragglers.get('read')!, 99), latencyPercentileMs(withStragglers.get('read')!, 99)];
			rows.push({
				variant: policy.name,
				figures: {
					'p99 ms without': p99WithoutMs,
					'p99 ms with': p99WithMs,
					ratio: p99WithMs / p99WithoutMs,
					'straggler p99 ms': latencyPercentileMs(withStragglers.get('straggler')!, 99), 'reads refused': withStragglers.get('read')!.refused,
				},
			});
		}

		const ratio = Number(rows.at(-1)!.figures.ratio);
		return {rows, aims: [{aim: `ratio at most 2 (is ${ratio.toFixed(2)})`, met: ratio <= 2}]};
	},
};

const peakLoadClasses: WorkClass[] = [
	{
		name: 'instruction', priority: Priority.Instruction, long: false, share: 0.1, workMs: shortWorkMs, deadlineMs: 2000,
	},
	{
		name: 'read', priority: Priority.Read, long: false, share: 0.3, workMs: shortWorkMs, deadlineMs: 1000,
	},
	{
		name: 'extract', priority: Priority.Extract, long: false, share: 0.25, workMs: shortWorkMs, deadlineMs: 2000,
	},
	{
		name: 'poll', priority: Priority.Poll, long: false, share: 0.35, workMs: shortWorkMs, deadlineMs: 5000,
	},
];

function percentWithinDeadline(result: ClassResult): number {
	return result.withinDeadline / result.arrived * 100;
}

/** Share of requests answered within their deadlines when the load exceeds the capacity. */
export const peakLoad: Experiment = {
	name: 'crest',
	summary: 'share of each class within its deadline in a swing from 0.2 to 2 times the capacity, by policy',
	async run({seed, deployment}: ExperimentOptions) {
		const size = deploymentSizes[deployment];
		const capacity = capacityPerSecond(size.servers, peakLoadClasses);
		const rateAt = (at: number) => (at >= 3000 && at < 8000 ? 2 : 0.2) * capacity;
		const options: SimulationOptions = {
			seed, servers: size.servers, slots, daemons, durationMs: 12_000, delayMs: size.delayMs, rateAt, classes: peakLoadClasses,
		};
		const rows: ResultRow[] = [];
		for (const policy of createPolicies(size)) {
			// eslint-disable-next-line no-await-in-loop -- the paused clock is process-wide, so simulations run one at a time.
			const results = await simulate(policy, options);
			const figures: Record<string, number> = {};
			for (const [name, result] of results) {
				figures[`${name} within deadline %`] = percentWithinDeadline(result);
				figures[`${name} late`] = result.late;
			}

			rows.push({variant: policy.name, figures});
		}

		const last = rows.at(-1)!.figures;
		return {
			rows,
			aims: [
				{aim: '99.9% of instructions within deadline', met: Number(last['instruction within deadline %']) >= 99.9},
				{aim: '99% of reads within deadline', met: Number(last['read within deadline %']) >= 99},
			],
		};
	},
};
