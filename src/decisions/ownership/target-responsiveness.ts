/**
 * Which targets answer orders, and which incarnations have certainly ended.
 */
import type {TargetIncarnation} from '../../model/fleet.js';

/** Consecutive failed orders after which a target is suspected; two answers in a row are rarely lost by chance. */
const suspicionThreshold = 2;

/** Consecutive failed orders and probes after which a suspected target is unreachable. */
const unreachableThreshold = 3;

/** Time after an answer for which a target counts as answering, in milliseconds; probes are sent more often. */
const answerValidityMs = 1000;

/** Interval of identity probes of a suspected target, in milliseconds. */
const probeIntervalMs = 250;

/** Time for which an ended incarnation is remembered, in milliseconds; longer than the longest hold. */
const endedRetentionMs = 30_000;

type ResponseState = {
	failures: number;
	isSuspected: boolean;
	/** Unanswered probes since the target became suspected. */
	unansweredProbes: number;
	nextProbeAt: number;
	answeredAt: number;
};

/** Key of an incarnation in maps and sets. */
export function incarnationKey({id, bornAt, address}: TargetIncarnation): string {
	return `${id}@${bornAt}@${address}`;
}

/** Tracks the responsiveness of the targets of keyed services. */
export class TargetResponsiveness {
	private readonly states = new Map<string, ResponseState>();
	private readonly ended = new Map<string, number>();

	isSuspected(incarnation: TargetIncarnation): boolean {
		return this.states.get(incarnationKey(incarnation))?.isSuspected ?? false;
	}

	/** True once a suspected target has also left probes unanswered. */
	isUnreachable(incarnation: TargetIncarnation): boolean {
		const state = this.states.get(incarnationKey(incarnation));
		return state !== undefined && state.isSuspected && state.unansweredProbes > 0 && state.failures + state.unansweredProbes >= unreachableThreshold;
	}

	/** True if the target has lately answered an order or a probe. */
	isAnswering(incarnation: TargetIncarnation, now: number): boolean {
		return now - (this.states.get(incarnationKey(incarnation))?.answeredAt ?? -Infinity) <= answerValidityMs;
	}

	/** Records an answer; returns true if the target was suspected. */
	recordAnswer(incarnation: TargetIncarnation, now = performance.now()): boolean {
		const state = this.stateOf(incarnation);
		const wasSuspected = state.isSuspected;
		state.answeredAt = now;
		state.failures = 0;
		state.isSuspected = false;
		state.unansweredProbes = 0;
		return wasSuspected;
	}

	/**
	 * Records a failed order; returns true if it makes the target suspected. A grant that may arrive later does so at once: the
	 * target's keys have to wait longer for each one that follows.
	 */
	recordFailure(incarnation: TargetIncarnation, {wasSent, isGrant}: {wasSent: boolean; isGrant: boolean}): boolean {
		const state = this.stateOf(incarnation);
		state.failures += 1;
		const isNew = !state.isSuspected && ((wasSent && isGrant) || state.failures >= suspicionThreshold);
		state.isSuspected ||= isNew;
		return isNew;
	}

	/** Returns true if a probe of a suspected target is due, and schedules the next one. */
	startProbe(incarnation: TargetIncarnation, now: number): boolean {
		const state = this.stateOf(incarnation);
		if (!state.isSuspected || now < state.nextProbeAt) {
			return false;
		}

		state.nextProbeAt = now + probeIntervalMs;
		return true;
	}

	recordUnansweredProbe(incarnation: TargetIncarnation): void {
		this.stateOf(incarnation).unansweredProbes += 1;
	}

	recordEnded(incarnation: TargetIncarnation, now: number): void {
		this.ended.set(incarnationKey(incarnation), now);
	}

	hasEnded(incarnation: TargetIncarnation): boolean {
		return this.ended.has(incarnationKey(incarnation));
	}

	prune(now: number): void {
		for (const [key, at] of this.ended) {
			if (now - at > endedRetentionMs) {
				this.ended.delete(key);
				this.states.delete(key);
			}
		}
	}

	private stateOf(incarnation: TargetIncarnation): ResponseState {
		const key = incarnationKey(incarnation);
		const known = this.states.get(key);
		if (known) {
			return known;
		}

		const state = {
			failures: 0, isSuspected: false, unansweredProbes: 0, nextProbeAt: 0, answeredAt: -Infinity,
		};
		this.states.set(key, state);
		return state;
	}
}
