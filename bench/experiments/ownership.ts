/**
 * Imbalance of load under skewed keys, and churn of ownership when servers join and leave.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	isolateKey, recordMoves, releaseMoves, writeOwners, pauseMoves,
} from '../../src/decisions/assignment-edit.js';
import {HotSpots, KeySketch} from '../../src/decisions/hot-spots.js';
import {
	MinimalPlacement, ModuloPlacement, ownerIds, type Placement,
} from '../../src/decisions/placement.js';
import {baseShardOfKey, shardOfKey} from '../../src/decisions/shard-hash.js';
import {emptyAssignment, ownerOf, type Assignment} from '../../src/model/assignment.js';
import {serverSchema, standingPolicySchema, type Server} from '../../src/model/configuration.js';
import type {LoadReport} from '../../src/model/peer.js';
import {
	DeploymentName, type Experiment, type ExperimentOptions, type ResultRow,
} from '../experiment.js';

const shardCount = 256;
const keyCount = 100_000;
const zipfExponent = 0.9;
const requestsPerRound = 200_000;
const rounds = 60;
const roundMs = 2000;

const serverCounts: Record<DeploymentName, number> = {[DeploymentName.Association]: 8, [DeploymentName.Ventorete]: 11};

function servers(count: number): Server[] {
	return Array.from({length: count}, (_, index) => serverSchema.parse({
		id: `server-${index + 1}`, service: 'registry', address: '127.0.0.1:1', zone: 'zone-1',
	}));
}

/** Draws keys whose frequency falls with their rank. */
class ZipfKeys {
	private readonly cumulative: number[] = [];
	private readonly random;

	constructor(seed: number) {
		this.random = xoroshiro128plus(seed);
		let sum = 0;
		for (let rank = 1; rank <= keyCount; rank++) {
			sum += rank ** -zipfExponent;
			this.cumulative.push(sum);
		}
	}

	/** Share of all requests that the most frequent key has. */
	get hottestShare(): number {
		return this.cumulative[0] / this.cumulative.at(-1)!;
	}

	draw(): string {
		const target = uniformInt(this.random, 0, 1_000_000_000) / 1_000_000_000 * this.cumulative.at(-1)!;
		let low = 0;
		let high = keyCount - 1;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.cumulative[middle] < target) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return `key-${low}`;
	}
}

function place(placement: Placement, list: Server[]): Assignment {
	const empty = emptyAssignment('registry', shardCount);
	const placed = placement.place({owners: ownerIds(empty), servers: list});
	const moves = placed.map((to, shard) => ({shard, to: to!}));
	const recorded = recordMoves(empty, moves);
	return releaseMoves(recorded, new Set(moves.map(({shard}) => shard)));
}

function observe(assignment: Assignment, keys: ZipfKeys): {report: LoadReport; loads: Map<string, number>} {
	const sketch = new KeySketch(512);
	const shards = new Map<number, number>();
	const loads = new Map<string, number>();
	for (let request = 0; request < requestsPerRound; request++) {
		const key = keys.draw();
		const shard = shardOfKey(key, assignment);
		sketch.observe(key, shard);
		shards.set(shard, (shards.get(shard) ?? 0) + 1);
		const owner = ownerOf(assignment, shard)!;
		loads.set(owner, (loads.get(owner) ?? 0) + 1);
	}

	const report = {
		daemon: 'bench', intervalMs: roundMs, shards: [...shards].map(([shard, requests]) => ({shard, requests})), keys: sketch.top(16),
	};
	return {report, loads};
}

function imbalanceOf(loads: Map<string, number>, count: number): {maxOverMean: number; gini: number} {
	const values = [...loads.values()].toSorted((a, b) => a - b);
	const total = values.reduce((sum, value) => sum + value, 0);
	const weighted = values.reduce((sum, value, index) => sum + (value * ((2 * (index + 1)) - count - 1)), 0);
	return {maxOverMean: values.at(-1)! * count / total, gini: weighted / (count * total)};
}

/** Load imbalance over the servers of a service divided by key. */
export const imbalance: Experiment = {
	name: 'imbalance',
	summary: 'max/mean load and Gini over servers under Zipf 0.9 keys: modulo, minimal placement, and with hot-spot moves',
	async run({seed, deployment}: ExperimentOptions) {
		const count = serverCounts[deployment];
		const list = servers(count);
		const keys = new ZipfKeys(seed);
		const modulo = imbalanceOf(observe(place(new ModuloPlacement(), list), keys).loads, count);
		const placed = place(new MinimalPlacement(), list);
		const minimal = imbalanceOf(observe(placed, keys).loads, count);
		const {assignment, moves, roundsNeeded} = spread(placed, list, keys);
		const moved = imbalanceOf(observe(assignment, keys).loads, count);
		const bound = Math.max(1, keys.hottestShare * count);
		const rows: ResultRow[] = [
			{variant: 'modulo hashing', figures: {maxOverMean: modulo.maxOverMean, gini: modulo.gini, moves: 0}},
			{variant: 'minimal placement', figures: {maxOverMean: minimal.maxOverMean, gini: minimal.gini, moves: 0}},
			{
				variant: 'with hot-spot moves', figures: {
					maxOverMean: moved.maxOverMean, gini: moved.gini, moves, 'seconds until balanced': roundsNeeded * roundMs / 1000,
				},
			},
			{variant: 'lower bound by the hottest key', figures: {maxOverMean: bound}},
		];
		return {rows, aims: [{aim: `max/mean at most 1.15 (is ${moved.maxOverMean.toFixed(3)})`, met: moved.maxOverMean <= Math.max(1.15, bound)}]};
	},
};

/** Follows the hot-spot proposals within the standing policy's budget. */
function spread(start: Assignment, list: Server[], keys: ZipfKeys): {assignment: Assignment; moves: number; roundsNeeded: number} {
	const hotSpots = new HotSpots();
	const policy = standingPolicySchema.parse({});
	let assignment = start;
	let moves = 0;
	let roundsNeeded = 0;
	for (let round = 0; round < rounds; round++) {
		hotSpots.accept([observe(assignment, keys).report]);
		const {hotKey, hotMove} = hotSpots.proposal(assignment, list, policy, round * roundMs);
		if (hotKey) {
			const isolated = isolateKey(assignment, hotKey.key, hotKey.shard);
			assignment = releaseMoves(isolated, new Set(isolated.moves.map(({shard}) => shard)));
		}

		if (hotMove) {
			const shards = new Set([hotMove.shard]);
			assignment = releaseMoves(writeOwners(pauseMoves(recordMoves(assignment, [hotMove]), shards), shards), shards);
		}

		if (hotKey ?? hotMove) {
			moves += 1;
			roundsNeeded = round + 1;
		}
	}

	return {assignment, moves, roundsNeeded};
}

/** Churn of ownership. */
export const churn: Experiment = {
	name: 'churn',
	summary: 'keys moved over the least necessary when a server joins or leaves: minimal placement beside modulo hashing',
	async run({deployment}: ExperimentOptions) {
		const count = serverCounts[deployment];
		const keys = Array.from({length: 20_000}, (_, index) => `key-${index}`);
		const rows: ResultRow[] = [];
		for (const [name, placement] of [['modulo hashing', new ModuloPlacement()], ['minimal placement', new MinimalPlacement()]] as const) {
			const before = place(placement, servers(count));
			const joined = movedShare(placement, before, {list: servers(count + 1), keys});
			const left = movedShare(placement, before, {list: servers(count - 1), keys});
			rows.push({
				variant: name,
				figures: {
					'moved on join %': joined * 100, 'join / least': joined * (count + 1), 'moved on leave %': left * 100, 'leave / least': left * count,
				},
			});
		}

		const last = rows.at(-1)!.figures;
		const worst = Math.max(Number(last['join / least']), Number(last['leave / least']));
		return {rows, aims: [{aim: `at most 1.1 times the least necessary (is ${worst.toFixed(3)})`, met: worst <= 1.1}]};
	},
};

function movedShare(placement: Placement, before: Assignment, {list, keys}: {list: Server[]; keys: string[]}): number {
	const owners = ownerIds(before);
	const after = placement.place({owners, servers: list});
	const moved = keys.filter(key => {
		const shard = baseShardOfKey(key, shardCount);
		return owners[shard] !== after[shard];
	});
	return moved.length / keys.length;
}
