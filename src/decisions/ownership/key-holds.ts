/**
 * What the leader knows of the keys that one incarnation of a target may hold.
 */
import {
	areOverlapping, isWithin, lastKey, subtractRange, type KeyRange,
} from '../../model/key-ownership.js';
import type {HoldPolicy} from './hold-policy.js';

/** Time for which an expired grant is remembered, so that the log can name it, in milliseconds. */
const expiredRetentionMs = 30_000;

/** What is known of a grant. */
export enum GrantOutcome {
	/** It has neither been answered nor given up. */
	Pending = 'pending',
	/** It has arrived before its answer. */
	Answered = 'answered',
	/** It may have arrived, or may arrive later. */
	Unanswered = 'unanswered',
	/** An earlier leader may have sent it. */
	Inherited = 'inherited',
}

/** Why an incarnation may hold a range, and for how long. */
export type HoldEvidence = {
	outcome: GrantOutcome;
	/** Fencing token of the grant; undefined if it was an earlier leader's. */
	fence: number | undefined;
	/** When the grant was sent; undefined if it was an earlier leader's. */
	sentAt: number | undefined;
	/** Latest time of its arrival. */
	arrivesBy: number;
	/** Time at which the hold counts as expired if the target is silent. */
	expiresBy: number;
	/** Time at which the hold counts as expired if the target answers other calls. */
	lateExpiresBy: number;
};

/** Time at which the hold counts as expired. */
export function expiryOf({expiresBy, lateExpiresBy}: HoldEvidence, isAnswering: boolean): number {
	return isAnswering ? lateExpiresBy : expiresBy;
}

/** A grant of this term. */
export class SentGrant {
	outcome = GrantOutcome.Pending;
	/** Keys that it may have granted; orders under higher fencing tokens take keys away. */
	ranges: KeyRange[];
	/** True once an order under a higher token was answered for some of the keys. */
	isSuperseded = false;
	private arrivesBy = Infinity;

	constructor(readonly range: KeyRange, readonly fence: number, readonly holdDurationMs: number, readonly sentAt: number) {
		this.ranges = [range];
	}

	settle(outcome: GrantOutcome, arrivesBy: number): void {
		this.outcome = outcome;
		this.arrivesBy = arrivesBy;
	}

	evidence(policy: HoldPolicy): HoldEvidence {
		const {outcome, fence, sentAt, arrivesBy, holdDurationMs} = this;
		const expiresBy = policy.latestExpiry(arrivesBy, holdDurationMs);
		const lateExpiresBy = outcome === GrantOutcome.Answered ? expiresBy : Math.max(expiresBy, policy.latestLateExpiry(sentAt, holdDurationMs));
		return {
			outcome, fence, sentAt, arrivesBy, expiresBy, lateExpiresBy,
		};
	}
}

/** Records the grants that one incarnation was sent during one term of leadership, by their keys. */
export class KeyHolds {
	private grants: SentGrant[] = [];
	/** Keys for which the incarnation has answered no order of this term, so that grants of earlier leaders may be in force. */
	private inheritedRanges: KeyRange[] = [{first: 0, last: lastKey}];

	constructor(private readonly policy: HoldPolicy, private readonly takeoverAt: number) {}

	/** Number of grants that are remembered. */
	get size(): number {
		return this.grants.length;
	}

	/** Records a grant that is about to be sent. */
	add(range: KeyRange, fence: number, holdDurationMs: number, now: number): SentGrant {
		this.grants = this.grants.filter((each, index) => each.evidence(this.policy).expiresBy > now - expiredRetentionMs || this.isLastUnanswered(each, index));
		const grant = new SentGrant(range, fence, holdDurationMs, now);
		this.grants.push(grant);
		return grant;
	}

	recordAnswer(grant: SentGrant, now: number): void {
		grant.settle(GrantOutcome.Answered, now);
		this.voidBelow(grant.range, grant.fence);
		// Renewals under the same token are kept only as long as they may outlast this one.
		const {expiresBy} = grant.evidence(this.policy);
		this.grants = this.grants.filter(other => other === grant || other.outcome !== GrantOutcome.Answered
			|| !other.ranges.every(range => isWithin(range, grant.range)) || other.evidence(this.policy).expiresBy > expiresBy);
	}

	/** Records that a grant got no answer although it may have been sent. */
	recordTimeout(grant: SentGrant, now: number): void {
		grant.settle(GrantOutcome.Unanswered, this.policy.latestArrival(grant.sentAt, now));
	}

	/** Forgets a grant that was not sent, or that the target refused. */
	discard(grant: SentGrant): void {
		this.grants = this.grants.filter(other => other !== grant);
	}

	/** Records an answered release. */
	recordRelease(range: KeyRange, fence: number): void {
		this.voidBelow(range, fence);
	}

	/**
	 * The evidence for the hold of any key of the range that may last longest; undefined if none can be held.
	 *
	 * @param isAnswering true if the target answers other calls
	 */
	evidenceFor(range: KeyRange, isAnswering = false): HoldEvidence | undefined {
		return this.allEvidenceFor(range).toSorted((left, right) => expiryOf(right, isAnswering) - expiryOf(left, isAnswering))[0];
	}

	/** True if the incarnation certainly holds no key of the range: every grant was answered, and has expired or was voided by an answered order. */
	isFree(range: KeyRange, now: number): boolean {
		return this.allEvidenceFor(range).every(({outcome, expiresBy}) => outcome === GrantOutcome.Answered && now > expiresBy);
	}

	/** Number of grants that may arrive after they were given up. */
	unansweredCount(now: number): number {
		return this.grants.filter(grant => grant.outcome === GrantOutcome.Unanswered && grant.evidence(this.policy).arrivesBy > now).length;
	}

	private allEvidenceFor(range: KeyRange): HoldEvidence[] {
		const found = this.grants.filter(grant => grant.ranges.some(granted => areOverlapping(granted, range))).map(grant => grant.evidence(this.policy));
		if (this.inheritedRanges.some(inherited => areOverlapping(inherited, range))) {
			found.push(this.inheritedEvidence());
		}

		return found;
	}

	/** True for the last unanswered grant of its keys, which is kept however old it is and stands for those before it. */
	private isLastUnanswered({outcome, ranges}: SentGrant, index: number): boolean {
		return outcome === GrantOutcome.Unanswered && !this.grants.slice(index + 1)
			.some(later => later.outcome === GrantOutcome.Unanswered && ranges.every(range => later.ranges.some(other => isWithin(range, other))));
	}

	/** The target refuses grants below the token of an order that it has answered; orders of this term have higher tokens than earlier ones. */
	private voidBelow(range: KeyRange, fence: number): void {
		this.inheritedRanges = this.inheritedRanges.flatMap(inherited => subtractRange(inherited, range));
		for (const grant of this.grants) {
			if (grant.fence < fence) {
				grant.isSuperseded ||= areOverlapping(grant.range, range);
				grant.ranges = grant.ranges.flatMap(granted => subtractRange(granted, range));
			}
		}

		this.grants = this.grants.filter(({ranges}) => ranges.length > 0);
	}

	private inheritedEvidence(): HoldEvidence {
		return {
			outcome: GrantOutcome.Inherited, fence: undefined, sentAt: undefined, ...this.policy.inheritedHold(this.takeoverAt),
		};
	}
}
