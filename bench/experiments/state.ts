/**
 * Measures the size of an assignment and the time to process it, by number of shards.
 */
import {takeLeadership, recordMoves} from '../../src/decisions/assignment-edit.js';
import {MinimalPlacement, ownerIds} from '../../src/decisions/placement.js';
import {shardOfKey} from '../../src/decisions/shard-hash.js';
import {emptyAssignment, type Assignment} from '../../src/model/assignment.js';
import {serverSchema} from '../../src/model/configuration.js';
import {storedAssignmentSchema} from '../../src/peers/document-schemas.js';
import type {Experiment, ResultRow} from '../experiment.js';

const shardCounts = [1024, 8192, 65_536];
const serverCount = 64;
const repetitions = 20;
const hashedKeys = 1_000_000;

export const assignmentSize: Experiment = {
	name: 'state',
	summary: 'bytes of an assignment and time to write, read, check, place and route with it, by number of shards',
	async run() {
		return {rows: shardCounts.map(count => measure(count)), aims: []};
	},
};

function createAssignment(shardCount: number): Assignment {
	const servers = Array.from({length: serverCount}, (_, index) => serverSchema.parse({
		id: `server-${index + 1}`, service: 'registry', address: '127.0.0.1:1', zone: 'zone-1',
	}));
	const empty = emptyAssignment('registry', shardCount);
	const placed = new MinimalPlacement().place({owners: ownerIds(empty), servers});
	const owned = recordMoves(empty, placed.map((to, shard) => ({shard, to: to!})));
	const epochs = owned.epochs.map((_, shard) => 1000 + (shard % 1000));
	return {...takeLeadership(owned, 'entry-1'), moves: [], epochs};
}

/** Mean duration of an operation in milliseconds. */
function meanDurationMs(operation: () => unknown): number {
	const startedAt = performance.now();
	for (let repetition = 0; repetition < repetitions; repetition++) {
		operation();
	}

	return (performance.now() - startedAt) / repetitions;
}

function measure(shardCount: number): ResultRow {
	const assignment = createAssignment(shardCount);
	const text = JSON.stringify(assignment);
	const startedAt = performance.now();
	for (let key = 0; key < hashedKeys; key++) {
		shardOfKey(`key-${key}`, assignment);
	}

	const routeNs = (performance.now() - startedAt) * 1_000_000 / hashedKeys;
	return {
		variant: `${shardCount} shards`,
		figures: {
			bytes: text.length,
			'bytes per shard': text.length / shardCount,
			'write ms': meanDurationMs(() => JSON.stringify(assignment)),
			'read ms': meanDurationMs(() => JSON.parse(text) as unknown),
			'check ms': meanDurationMs(() => storedAssignmentSchema.parse({value: assignment, modRevision: 1})),
			'edit ms': meanDurationMs(() => takeLeadership(assignment, 'entry-2')),
			'route ns per key': routeNs,
		},
	};
}
