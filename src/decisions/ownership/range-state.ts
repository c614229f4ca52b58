/**
 * The leader's state of one range of keys; it is kept in memory only and ends with the term.
 */
import {isSameIncarnation, type TargetIncarnation} from '../../model/fleet.js';
import type {OwnedRange} from '../../model/key-ownership.js';
import {ReleasePacing} from './release-pacing.js';
import {incarnationKey} from './target-responsiveness.js';

export class RangeState {
	/** Previous incarnations that no longer hold the range. */
	readonly cleared = new Set<string>();
	/** Previous incarnations that do not respond: they are suspected, or their release failed. */
	readonly unresponsive = new Set<string>();
	/** Time from which the store has named this owner, or this leader has known it. */
	assignedAt = performance.now();
	handover: string | undefined;
	/** When the owner last acknowledged a grant of this range. */
	grantedAt: number | undefined;
	/** Hold of the last acknowledged grant, in milliseconds. */
	grantedHoldMs = 0;
	nextGrantAt = 0;
	isGranting = false;
	private readonly releases = new Map<string, ReleasePacing>();

	constructor(public range: OwnedRange) {}

	/** Returns the state of this range or a part of it after a change; returns this state if keys, owner and fencing token are unchanged. */
	derive(range: OwnedRange): RangeState {
		const isSameOwner = isSameIncarnation(range.owner, this.range.owner) && range.fence === this.range.fence;
		if (isSameOwner && range.first === this.range.first && range.last === this.range.last) {
			this.range = range;
			return this;
		}

		const state = new RangeState(range);
		if (isSameOwner) {
			state.assignedAt = this.assignedAt;
			state.grantedAt = this.grantedAt;
			state.grantedHoldMs = this.grantedHoldMs;
			state.nextGrantAt = this.nextGrantAt;
			state.handover = this.handover;
			for (const incarnation of this.cleared) {
				state.cleared.add(incarnation);
			}

			for (const incarnation of this.unresponsive) {
				state.unresponsive.add(incarnation);
			}
		}

		return state;
	}

	/** Pace of the releases to a previous incarnation. */
	releasePacing(incarnation: TargetIncarnation, now: number): ReleasePacing {
		const key = incarnationKey(incarnation);
		const pacing = this.releases.get(key) ?? new ReleasePacing(now);
		this.releases.set(key, pacing);
		return pacing;
	}

	isCleared(incarnation: TargetIncarnation): boolean {
		return this.cleared.has(incarnationKey(incarnation));
	}

	get isFullyCleared(): boolean {
		return this.range.previous.every(incarnation => this.isCleared(incarnation));
	}

	/** True if the hold of a previous incarnation has to expire because it cannot be released. */
	get isWaitingForExpiry(): boolean {
		return this.range.previous.some(incarnation => !this.isCleared(incarnation) && this.unresponsive.has(incarnationKey(incarnation)));
	}

	/** True while the owner's last acknowledged grant has not expired. */
	isGrantActive(now = performance.now()): boolean {
		return this.grantedAt !== undefined && now - this.grantedAt < this.grantedHoldMs;
	}
}
