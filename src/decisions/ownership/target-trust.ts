/**
 * Which targets answer orders, and which lives have certainly ended.
 */
import type {TargetLife} from '../../model/fleet.js';

/** Orders in a row without an answer after which a target is suspected; lost answers alone come singly. */
const suspicionCount = 2;

/** Interval of questions to a suspected target in milliseconds. */
const questionMs = 250;

/** Time for which an ended life is remembered, in milliseconds; beyond the longest hold. */
const endedMemoryMs = 30_000;

type Trust = {
	failures: number;
	isSuspected: boolean;
	/** Questions without an answer since the suspicion. */
	unanswered: number;
	nextQuestionAt: number;
};

/** Name of a life in maps. */
export function lifeKey({id, bornAt}: TargetLife): string {
	return `${id}@${bornAt}`;
}

/** Evidence about the targets of keyed services. */
export class TargetTrust {
	private readonly trusts = new Map<string, Trust>();
	private readonly ended = new Map<string, number>();

	isSuspected(life: TargetLife): boolean {
		return this.trusts.get(lifeKey(life))?.isSuspected ?? false;
	}

	/** True once a suspected target has not answered the question who it is either. */
	isLost(life: TargetLife): boolean {
		const trust = this.trusts.get(lifeKey(life));
		return trust !== undefined && trust.isSuspected && trust.unanswered > 0;
	}

	/** Notes an answer; true if the target was suspected. */
	noteAnswer(life: TargetLife): boolean {
		const trust = this.trust(life);
		const wasSuspected = trust.isSuspected;
		trust.failures = 0;
		trust.isSuspected = false;
		trust.unanswered = 0;
		return wasSuspected;
	}

	/** Notes an order without an answer; true if the target is suspected from now on. */
	noteFailure(life: TargetLife): boolean {
		const trust = this.trust(life);
		trust.failures += 1;
		const isNew = !trust.isSuspected && trust.failures >= suspicionCount;
		trust.isSuspected ||= isNew;
		return isNew;
	}

	/** True if a suspected target may be asked now who it is; the next question comes later. */
	takeQuestion(life: TargetLife, now: number): boolean {
		const trust = this.trust(life);
		if (!trust.isSuspected || now < trust.nextQuestionAt) {
			return false;
		}

		trust.nextQuestionAt = now + questionMs;
		return true;
	}

	noteNoAnswer(life: TargetLife): void {
		this.trust(life).unanswered += 1;
	}

	noteEnded(life: TargetLife, now: number): void {
		this.ended.set(lifeKey(life), now);
	}

	hasEnded(life: TargetLife): boolean {
		return this.ended.has(lifeKey(life));
	}

	prune(now: number): void {
		for (const [key, at] of this.ended) {
			if (now - at > endedMemoryMs) {
				this.ended.delete(key);
				this.trusts.delete(key);
			}
		}
	}

	private trust(life: TargetLife): Trust {
		const key = lifeKey(life);
		const known = this.trusts.get(key);
		if (known) {
			return known;
		}

		const trust = {
			failures: 0, isSuspected: false, unanswered: 0, nextQuestionAt: 0,
		};
		this.trusts.set(key, trust);
		return trust;
	}
}
