/**
 * Targets that may hold keys although no range names them: after a restore of the store, the newest owners of the lost era may be known
 * to no reachable daemon; see docs/design/store-era.md.
 */
import {isSameIncarnation, type TargetIncarnation} from '../../model/fleet.js';
import {
	areOverlapping, lastKey, subtractRange, type KeyAssignment, type KeyRange, type UnreleasedRange,
} from '../../model/key-ownership.js';
import {incarnationKey} from './target-responsiveness.js';

type Holder = {
	incarnation: TargetIncarnation;
	/** False for a target that had left before the restore: it is sent releases, but nothing waits for its answers. */
	isWaitedFor: boolean;
	/** Keys that the target has not proved to hold no longer. */
	unproved: KeyRange[];
	/** Those of them for which its hold may not have expired. */
	held: KeyRange[];
};

/** What the leader knows of a target. */
export type HoldKnowledge = {
	/** True if the target certainly holds no key of the range. */
	isFree(incarnation: TargetIncarnation, range: KeyRange): boolean;
	/** True unless the target is free, or its hold counts as expired. */
	mayHold(incarnation: TargetIncarnation, range: KeyRange): boolean;
};

/** A target that may hold keys. */
export type PossibleHolder = {
	incarnation: TargetIncarnation;
	hasLeft: boolean;
};

/** Tracks, during one term, which targets have yet to prove that they hold no keys besides their own. */
export class UnconfirmedHolders {
	private readonly holders = new Map<string, Holder>();
	/** True until all targets are known that may hold keys. */
	private isIncomplete = true;

	/** Number of targets that block the grant of any key. */
	get blockingCount(): number {
		return [...this.holders.values()].filter(({isWaitedFor, held}) => isWaitedFor && held.length > 0).length;
	}

	/** True once every target that may hold keys has proved that it does not, or its hold counts as expired. */
	get areSettled(): boolean {
		return !this.isIncomplete && this.blockingCount === 0;
	}

	/** Keys that have not been proved free. */
	get unproved(): ReadonlyArray<KeyRange & {holder: TargetIncarnation}> {
		return [...this.holders.values()].flatMap(({incarnation, unproved}) => unproved.map(range => ({...range, holder: incarnation})));
	}

	/** Releases to send: each target is released from all keys but its own. */
	releases({fence}: KeyAssignment): UnreleasedRange[] {
		return this.unproved.map(range => ({...range, fence}));
	}

	/** Follows the targets that have become known, and what is known of their holds. */
	update(assignment: KeyAssignment, {targets, isComplete, knowledge}: {targets: Iterable<PossibleHolder>; isComplete: boolean; knowledge: HoldKnowledge}): void {
		this.isIncomplete = !isComplete;
		for (const {incarnation, hasLeft} of targets) {
			const key = incarnationKey(incarnation);
			if (!this.holders.has(key)) {
				const unproved = rangesOfOthers(assignment, incarnation);
				this.holders.set(key, {
					incarnation, isWaitedFor: !hasLeft, unproved, held: unproved,
				});
			}
		}

		for (const holder of this.holders.values()) {
			holder.unproved = holder.unproved.filter(range => !knowledge.isFree(holder.incarnation, range));
			holder.held = holder.unproved.filter(range => knowledge.mayHold(holder.incarnation, range));
		}
	}

	/** True if a target other than the owner may hold keys of the range. */
	isBlocked(range: KeyRange, owner: TargetIncarnation): boolean {
		return this.isIncomplete || [...this.holders.values()].some(({incarnation, isWaitedFor, held}) => isWaitedFor
			&& held.some(each => areOverlapping(each, range)) && !isSameIncarnation(incarnation, owner));
	}

	/** True if a release is on its way to the target, which would take new keys away, too. */
	isUnproved(incarnation: TargetIncarnation): boolean {
		return this.isIncomplete || (this.holders.get(incarnationKey(incarnation))?.unproved.length ?? 0) > 0;
	}
}

/** All keys except those that the target owns. */
function rangesOfOthers({ranges}: KeyAssignment, incarnation: TargetIncarnation): KeyRange[] {
	let others: KeyRange[] = [{first: 0, last: lastKey}];
	for (const {first, last, owner} of ranges) {
		if (isSameIncarnation(owner, incarnation)) {
			others = others.flatMap(range => subtractRange(range, {first, last}));
		}
	}

	return others;
}
