/**
 * Chooses the target of a request to a service that is not keyed.
 */
import type {Target} from '../../model/fleet.js';
import type {Route} from '../../model/route-configuration.js';
import type {LoadEstimate, TargetLoads} from './target-loads.js';

/**
 * Share of the target latency by which an answer from another availability zone has to be faster. Traffic between
 * availability zones is priced, so a target in the daemon's own zone is worth a short delay, but not a missed objective.
 */
const remoteZonePenalty = 0.25;

/** Cost of a failure, as a multiple of the target latency; it is weighted by the share of failures. */
const failurePenalty = 1.5;

/** Random part of the cost, so that daemons that see the same load spread their requests. */
const jitterShare = 0.1;

/** A target with its estimated cost. */
export type TargetCandidate = {
	target: Target;
	estimate: LoadEstimate;
	costMs: number;
};

/** What the choice depends on besides the load. */
export type ChoiceInput = {
	targets: readonly Target[];
	/** Ids of the targets that earlier attempts of this request used, or that have no turn for it. */
	excludedTargets: ReadonlySet<string>;
	route: Route;
	availabilityZone: string;
	/** Connections that this daemon may open to each target. */
	connectionLimit: number;
	now: number;
	warmUpLeft(id: string): number;
	random(): number;
};

/**
 * Returns the target with the lowest estimated cost, or undefined if all targets are excluded. Ejected and full targets
 * are chosen only if there is no other.
 */
export function chooseTarget(loads: TargetLoads, input: ChoiceInput): TargetCandidate | undefined {
	let best: TargetCandidate | undefined;
	let bestRank = Infinity;
	for (const target of input.targets) {
		if (input.excludedTargets.has(target.id)) {
			continue;
		}

		const candidate = estimateCost(loads, target, input);
		const {isEjected, isFull} = candidate.estimate;
		const rank = isEjected || isFull ? 1 : 0;
		if (rank < bestRank || (rank === bestRank && candidate.costMs < (best?.costMs ?? Infinity))) {
			best = candidate;
			bestRank = rank;
		}
	}

	return best;
}

function estimateCost(loads: TargetLoads, target: Target, input: ChoiceInput): TargetCandidate {
	const {connectionLimit, now} = input;
	const estimate = loads.estimate(target, {warmUpLeftMs: input.warmUpLeft(target.id), connectionLimit, now});
	const {targetLatencyMs} = input.route;
	const remoteMs = target.availabilityZone === input.availabilityZone ? 0 : targetLatencyMs * remoteZonePenalty;
	const failureMs = estimate.failureShare * targetLatencyMs * failurePenalty;
	const jitter = 1 + (input.random() * jitterShare);
	return {target, estimate, costMs: (estimate.responseMs * jitter) + remoteMs + failureMs};
}
