/**
 * Computation of plans from intents.
 */
import {isDeepStrictEqual} from 'node:util';
import {emptyAssignment, ownerOf, type Assignment} from '../model/assignment.js';
import {
	type Configuration, type ConfigurationBody, type Service, configurationBodySchema, Fencing,
} from '../model/configuration.js';
import {ErrorCode, OperatorRefusalError} from '../model/errors.js';
import {
	IntentKind, PlanState, type Intent, type Plan, type ServiceEffect,
} from '../model/plan.js';
import type {Timing} from '../model/timing.js';
import {wantedMoves} from './assignment-step.js';
import {eligibleServers, placementKey, type Placement} from './placement.js';

/** What a plan is computed from. */
export type PlanBase = {
	configuration: Configuration;
	/** Assignments by service. */
	assignments: Map<string, Assignment>;
};

/**
 * Returns the configuration that results from an intent.
 *
 * @throws {OperatorRefusalError} if the intent names something that does not exist
 */
export function applyIntent(body: ConfigurationBody, intent: Intent): ConfigurationBody {
	if (intent.kind === IntentKind.Configure) {
		return intent.configuration;
	}

	const leaving = intent.kind === IntentKind.Drain;
	if (!body.servers.some(server => server.id === intent.server)) {
		throw new OperatorRefusalError(ErrorCode.InvalidIntent, `There is no server ${intent.server}.`, 'Name a server of the configuration.');
	}

	const servers = body.servers.map(server => server.id === intent.server ? {...server, leaving} : server);
	return configurationBodySchema.parse({...body, servers});
}

/** Computes the plan for an intent: the moves, the longest pause of a key and the requests that could be refused. */
export function computePlan(intent: Intent, base: PlanBase, options: {placement: Placement; timing: Timing}): Plan {
	const body = applyIntent(base.configuration.body, intent);
	refuseShardCountChange(base.configuration.body, body);
	const divided = body.services.filter(service => service.divided);
	const effects = divided.map(service => effectOf(service, body, {...options, base}));
	const customers = affectedCustomers(base.configuration.body, body);
	return {
		id: intent.id,
		intent,
		state: PlanState.Open,
		baseConfigurationVersion: base.configuration.version,
		effects,
		customers,
		approvals: [],
		summary: summarize(effects, {before: base.configuration.body, after: body, customers}),
		token: '',
	};
}

/** Refuses a change of the shard count, which would assign keys to other shards without a move. */
function refuseShardCountChange(before: ConfigurationBody, after: ConfigurationBody): void {
	for (const service of after.services) {
		const previous = before.services.find(candidate => candidate.name === service.name);
		if (previous?.divided && previous.shardCount !== service.shardCount) {
			throw new OperatorRefusalError(
				ErrorCode.InvalidIntent,
				`The shard count of service ${service.name} cannot change from ${previous.shardCount} to ${service.shardCount}.`,
				'Keep the shard count, or introduce a new service.',
			);
		}
	}
}

function effectOf(service: Service, body: ConfigurationBody, options: {base: PlanBase; placement: Placement; timing: Timing}): ServiceEffect {
	const {base, placement, timing} = options;
	const assignment = base.assignments.get(service.name) ?? emptyAssignment(service.name, service.shardCount);
	const eligible = eligibleServers(body.servers, service.name, assignment.lost);
	const wanted = assignment.placedFor === placementKey(eligible) ? [] : wantedMoves(assignment, eligible, placement);
	const groups = new Map<string, {from: string | undefined; to: string; shards: number}>();
	for (const {shard, to} of wanted) {
		const from = ownerOf(assignment, shard);
		const name = `${from ?? ''}>${to}`;
		const group = groups.get(name) ?? {from, to, shards: 0};
		group.shards += 1;
		groups.set(name, group);
	}

	const longestInstructionMs = Math.max(0, ...service.classes.filter(candidate => !candidate.idempotent).map(candidate => candidate.deadlineMs));
	const hasMoves = wanted.some(({shard}) => ownerOf(assignment, shard) !== undefined);
	return {
		service: service.name,
		baseVersion: assignment.ownershipVersion,
		moves: [...groups.values()],
		maxPauseMs: hasMoves ? timing.routeLeaseMs + timing.drainGraceMs + longestInstructionMs : 0,
		refusals: refusalsOf(service, hasMoves, eligible.length),
	};
}

function refusalsOf(service: Service, hasMoves: boolean, servers: number): string[] {
	const refusals: string[] = [];
	if (servers === 0) {
		refusals.push(`every request to ${service.name}, because no server may own its keys`);
	}

	if (hasMoves) {
		refusals.push(`requests to ${service.name} for a moving key whose deadline passes while the key is paused`);
	}

	if (hasMoves && service.fencing === Fencing.None) {
		refusals.push(`requests to ${service.name} wait longer after the loss of a daemon, because its servers check no epoch`);
	}

	return refusals;
}

function affectedCustomers(before: ConfigurationBody, after: ConfigurationBody): string[] {
	const isPolicyChanged = !isDeepStrictEqual(before.policy, after.policy);
	const names = new Set([...before.services, ...after.services].map(service => service.name));
	const customers = new Set<string>();
	for (const name of names) {
		const select = (body: ConfigurationBody) => ({
			service: body.services.find(service => service.name === name),
			servers: body.servers.filter(server => server.service === name),
		});
		if (!isPolicyChanged && isDeepStrictEqual(select(before), select(after))) {
			continue;
		}

		for (const service of [select(before).service, select(after).service]) {
			if (service) {
				customers.add(service.customer);
			}
		}
	}

	return [...customers].toSorted();
}

function summarize(effects: ServiceEffect[], context: {before: ConfigurationBody; after: ConfigurationBody; customers: string[]}): string[] {
	const {before, after, customers} = context;
	const lines: string[] = [];
	const names = new Set(after.services.map(service => service.name));
	for (const service of before.services) {
		if (!names.has(service.name)) {
			lines.push(`Service ${service.name} is removed; requests to it are refused.`);
		}
	}

	for (const effect of effects) {
		const total = effect.moves.reduce((sum, move) => sum + move.shards, 0);
		lines.push(total === 0 ? `Service ${effect.service}: no shard moves.` : `Service ${effect.service}: ${total} shards get a new owner.`);
		for (const move of effect.moves) {
			lines.push(`  ${move.shards} shards ${move.from === undefined ? 'without an owner go' : `move from ${move.from}`} to ${move.to}.`);
		}

		if (effect.maxPauseMs > 0) {
			lines.push(`  A moving key is paused for at most ${effect.maxPauseMs} ms.`);
		}

		for (const refusal of effect.refusals) {
			lines.push(`  May be refused as "not run": ${refusal}.`);
		}
	}

	lines.push(customers.length === 0 ? 'Nothing changes.' : `To be confirmed by the veto holders of: ${customers.join(', ')}.`);
	return lines;
}
