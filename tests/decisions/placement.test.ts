import test from 'ava';
import * as fastCheck from 'fast-check';
import {MinimalPlacement, ModuloPlacement} from '../../src/decisions/placement.js';
import {serverSchema, type Server} from '../../src/model/configuration.js';

function servers(count: number, weight = 1): Server[] {
	return Array.from({length: count}, (_, index) => serverSchema.parse({
		id: `s${index}`, service: 'registry', address: '127.0.0.1:1', zone: 'z', weight,
	}));
}

function churn(before: Array<string | undefined>, after: Array<string | undefined>): number {
	return after.filter((owner, shard) => owner !== before[shard]).length;
}

function countOf(placed: Array<string | undefined>, id: string): number {
	return placed.filter(owner => owner === id).length;
}

const cases = [
	{title: 'a server joins', from: 7, to: 8},
	{title: 'a server leaves', from: 8, to: 7},
	{title: 'three servers join', from: 8, to: 11},
];

for (const {title, from, to} of cases) {
	test(`should move as few shards as possible when ${title}`, t => {
		const placement = new MinimalPlacement();
		const shards = 256;
		const before = placement.place({owners: Array.from({length: shards}, () => undefined), servers: servers(from)});
		const after = placement.place({owners: before, servers: servers(to)});
		const least = to > from ? Math.floor(shards / to) * (to - from) : Math.floor(shards / from) * (from - to);
		t.true(churn(before, after) <= (least * 1.1) + 1);
		t.true(churn(before, new ModuloPlacement().place({owners: before, servers: servers(to)})) > churn(before, after));
	});
}

test('should give every shard to an eligible server in proportion to weights', t => {
	t.notThrows(() => {
		fastCheck.assert(fastCheck.property(
			fastCheck.array(fastCheck.integer({min: 1, max: 4}), {minLength: 1, maxLength: 12}),
			fastCheck.integer({min: 1, max: 300}),
			fastCheck.array(fastCheck.option(fastCheck.integer({min: 0, max: 14}), {nil: undefined}), {minLength: 300, maxLength: 300}),
			(weights, shards, owners) => {
				const list = servers(weights.length).map((server, index) => ({...server, weight: weights[index]}));
				const current = owners.slice(0, shards).map(owner => owner === undefined ? undefined : `s${owner}`);
				const placed = new MinimalPlacement().place({owners: current, servers: list});
				const total = weights.reduce((sum, weight) => sum + weight, 0);
				return list.every(server => Math.abs(countOf(placed, server.id) - (shards * server.weight / total)) < 1.000_001);
			},
		), {seed: 11, numRuns: 200});
	});
});
