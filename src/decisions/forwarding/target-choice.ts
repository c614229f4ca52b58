/**
 * Chooses the target of a request to a service that is not divided by key.
 */
import type {Target} from '../../model/fleet.js';
import type {Route} from '../../model/route-configuration.js';
import type {Expectation, TargetLoads} from './target-loads.js';

/**
 * Share of the target latency that an answer from another availability zone has to be faster by. Bytes between
 * availability zones are priced, so that a target nearby is worth a short delay, but no missed objective.
 */
const remoteShare = 0.25;

/** Cost of a likely failure, in target latencies. */
const failureCost = 1.5;

/** Random part of the cost, by which daemons that see the same load spread their requests. */
const jitterShare = 0.1;

/** A target with its expected cost. */
export type Candidate = {
	target: Target;
	expectation: Expectation;
	costMs: number;
};

/** What the choice depends on. */
export type ChoiceInput = {
	targets: readonly Target[];
	/** Targets that this request has tried. */
	tried: ReadonlySet<string>;
	route: Route;
	availabilityZone: string;
	/** Connections that this daemon may have to each target. */
	connectionLimit: number;
	now: number;
	warmUpLeft(id: string): number;
	random(): number;
};

/**
 * Returns the target with the least expected cost. Targets that failed lately are taken only if there is no other, and
 * one that was tried only if nothing else is left.
 */
export function chooseTarget(loads: TargetLoads, input: ChoiceInput): Candidate | undefined {
	let best: Candidate | undefined;
	let bestRank = Infinity;
	for (const target of input.targets) {
		if (input.tried.has(target.id)) {
			continue;
		}

		const candidate = rate(loads, target, input);
		const {isEjected, isFull} = candidate.expectation;
		const rank = isEjected || isFull ? 1 : 0;
		if (rank < bestRank || (rank === bestRank && candidate.costMs < (best?.costMs ?? Infinity))) {
			best = candidate;
			bestRank = rank;
		}
	}

	return best;
}

function rate(loads: TargetLoads, target: Target, input: ChoiceInput): Candidate {
	const {connectionLimit, now} = input;
	const expectation = loads.expect(target, {warmUpLeftMs: input.warmUpLeft(target.id), connectionLimit, now});
	const {targetLatencyMs} = input.route;
	const remoteMs = target.availabilityZone === input.availabilityZone ? 0 : targetLatencyMs * remoteShare;
	const failureMs = expectation.failureShare * targetLatencyMs * failureCost;
	const jitter = 1 + (input.random() * jitterShare);
	return {target, expectation, costMs: (expectation.finishMs * jitter) + remoteMs + failureMs};
}
