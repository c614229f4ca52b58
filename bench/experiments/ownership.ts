/**
 * Measures load imbalance under a skewed key distribution, and how many keys move when servers join and leave.
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

function createServers(count: number): Server[] {
	return Array.from({length: count}, (_, index) => serverSchema.parse({
		id: `server-${index + 1}`, service: 'registry', address: '127.0.0.1:1', zone: 'zone-1',
	}));
}

/** Draws keys from a Zipf distribution. */
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

	/** Expected share of requests for the most frequent key. */
	get mostFrequentKeyShare(): number {
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

function createAssignment(placement: Placement, servers: Server[]): Assignment {
	const empty = emptyAssignment('registry', shardCount);
	const placed = placement.place({owners: ownerIds(empty), servers});
	const moves = placed.map((to, shard) => ({shard, to: to!}));
	const recorded = recordMoves(empty, moves);
	return releaseMoves(recorded, new Set(moves.map(({shard}) => shard)));
}

function simulateRound(assignment: Assignment, keys: ZipfKeys): {report: LoadReport; loads: Map<string, number>} {
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

/** Load imbalance between the servers of a service divided by key. */
export const imbalance: Experiment = {
	name: 'imbalance',
	summary: 'max/mean load and Gini over servers under Zipf 0.9 keys: modulo, minimal placement, and with hot-spot moves',
	async run({seed, deployment}: ExperimentOptions) {
		const count = serverCounts[deployment];
		const servers = createServers(count);
		const keys = new ZipfKeys(seed);
		const moduloImbalance = imbalanceOf(simulateRound(createAssignment(new ModuloPlacement(), servers), keys).loads, count);
		const minimalAssignment = createAssignment(new MinimalPlacement(), servers);
		const minimalImbalance = imbalanceOf(simulateRound(minimalAssignment, keys).loads, count);
		const {assignment, moves, roundsNeeded} = applyHotSpotProposals(minimalAssignment, servers, keys);
		const movedImbalance = imbalanceOf(simulateRound(assignment, keys).loads, count);
		const lowerBound = Math.max(1, keys.mostFrequentKeyShare * count);
		const rows: ResultRow[] = [
			{variant: 'modulo hashing', figures: {maxOverMean: moduloImbalance.maxOverMean, gini: moduloImbalance.gini, moves: 0}},
			{variant: 'minimal placement', figures: {maxOverMean: minimalImbalance.maxOverMean, gini: minimalImbalance.gini, moves: 0}},
			{
				variant: 'with hot-spot moves', figures: {
					maxOverMean: movedImbalance.maxOverMean, gini: movedImbalance.gini, moves, 'seconds until balanced': roundsNeeded * roundMs / 1000,
				},
			},
			{variant: 'lower bound by the hottest key', figures: {maxOverMean: lowerBound}},
		];
		return {rows, aims: [{aim: `max/mean at most 1.15 (is ${movedImbalance.maxOverMean.toFixed(3)})`, met: movedImbalance.maxOverMean <= Math.max(1.15, lowerBound)}]};
	},
};

/** Applies the hot-spot proposals of every round, within the limits of the standing policy. */
function applyHotSpotProposals(initial: Assignment, servers: Server[], keys: ZipfKeys): {assignment: Assignment; moves: number; roundsNeeded: number} {
	const hotSpots = new HotSpots();
	const policy = standingPolicySchema.parse({});
	let assignment = initial;
	let moves = 0;
	let roundsNeeded = 0;
	for (let round = 0; round < rounds; round++) {
		hotSpots.accept([simulateRound(assignment, keys).report]);
		const {hotKey, hotMove} = hotSpots.proposal(assignment, servers, policy, round * roundMs);
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

/** Share of keys that move when a server joins or leaves. */
export const churn: Experiment = {
	name: 'churn',
	summary: 'keys moved over the least necessary when a server joins or leaves: minimal placement beside modulo hashing',
	async run({deployment}: ExperimentOptions) {
		const count = serverCounts[deployment];
		const keys = Array.from({length: 20_000}, (_, index) => `key-${index}`);
		const rows: ResultRow[] = [];
		for (const [name, placement] of [['modulo hashing', new ModuloPlacement()], ['minimal placement', new MinimalPlacement()]] as const) {
			const before = createAssignment(placement, createServers(count));
			const movedOnJoin = movedShare(placement, before, {list: createServers(count + 1), keys});
			const movedOnLeave = movedShare(placement, before, {list: createServers(count - 1), keys});
			rows.push({
				variant: name,
				figures: {
					'moved on join %': movedOnJoin * 100, 'join / least': movedOnJoin * (count + 1), 'moved on leave %': movedOnLeave * 100, 'leave / least': movedOnLeave * count,
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
