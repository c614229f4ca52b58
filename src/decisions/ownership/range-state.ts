/**
 * What the leader knows of one range of keys; it is lost with the leader.
 */
import {isSameLife, type TargetLife} from '../../model/fleet.js';
import type {OwnedRange} from '../../model/key-ownership.js';
import {lifeKey} from './target-trust.js';

/** State of one range. */
export class RangeState {
	/** Latest time at which a life may hold the range, by life. */
	readonly holds = new Map<string, number>();
	/** Previous lives that hold the range no more. */
	readonly cleared = new Set<string>();
	/** Previous lives that do not answer the release. */
	readonly unreachable = new Set<string>();
	/** Lives that answered a grant of the range under this term of leadership. */
	readonly confirmed = new Set<string>();
	readonly nextReleaseAt = new Map<string, number>();
	handover: string | undefined;
	/** When the owner last answered a grant of this range. */
	grantedAt: number | undefined;
	/** Hold of the last grant that was answered, in milliseconds. */
	grantedHoldMs = 0;
	nextGrantAt = 0;
	isGranting = false;

	constructor(public range: OwnedRange) {}

	/** State of a range that came out of this one; the same state if its keys, owner and fence are the same. */
	derive(range: OwnedRange): RangeState {
		const isSameOwner = isSameLife(range.owner, this.range.owner) && range.fence === this.range.fence;
		if (isSameOwner && range.first === this.range.first && range.last === this.range.last) {
			this.range = range;
			return this;
		}

		const state = new RangeState(range);
		for (const [life, until] of this.holds) {
			state.holds.set(life, until);
		}

		for (const life of this.confirmed) {
			state.confirmed.add(life);
		}

		if (isSameOwner) {
			state.grantedAt = this.grantedAt;
			state.grantedHoldMs = this.grantedHoldMs;
			state.nextGrantAt = this.nextGrantAt;
			state.handover = this.handover;
			for (const life of this.cleared) {
				state.cleared.add(life);
			}

			for (const life of this.unreachable) {
				state.unreachable.add(life);
			}
		}

		return state;
	}

	isCleared(life: TargetLife): boolean {
		return this.cleared.has(lifeKey(life));
	}

	get isFree(): boolean {
		return this.range.previous.every(life => this.isCleared(life));
	}

	/** True if a previous life has to run out of its hold. */
	get isWaitingForHold(): boolean {
		return this.range.previous.some(life => !this.isCleared(life) && this.unreachable.has(lifeKey(life)));
	}

	/** True while the owner's last grant that was answered is in force. */
	isHeld(now = performance.now()): boolean {
		return this.grantedAt !== undefined && now - this.grantedAt < this.grantedHoldMs;
	}

	noteHold(life: TargetLife, until: number): void {
		const key = lifeKey(life);
		this.holds.set(key, Math.max(this.holds.get(key) ?? 0, until));
	}
}
