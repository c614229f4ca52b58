/**
 * Which life of which target holds which keys by its own clock, and the checks of OWNER.
 */
import {areOverlapping, type KeyRange} from '../src/model/key-ownership.js';
import {
	Rule, type RunRecord, type Trace, type Violation,
} from './trace.js';

/** Time after a thaw or the healing of a link within which grants are excused, in milliseconds; `thawSlackMs` of the users' bounds. */
export const thawSlackMs = 300;

/** Longest time for which two targets may hold the same keys without requests, in milliseconds; from the users' rule OWNER. */
const longestOverlapMs = 500;

/** Time after a harm of a link within which a grant counts as held up on its way, in milliseconds; `stableWindowMs` of the users' bounds. */
const heldUpWindowMs = 3000;

/** Time for which ended holds are kept, in milliseconds; longer than the longest hold. */
const retentionMs = 30_000;

/** One accepted grant. */
export type HoldRecord = KeyRange & {
	holder: string;
	target: number;
	daemon: number;
	fence: number;
	arrivedAt: number;
	/** Time at which the target began to hold the keys; after the arrival if it took the order late. */
	from: number;
	/** Expiry by the order. */
	expiresAt: number;
	/** End; earlier than the expiry after a release, a shorter renewal, or the end of the target. */
	to: number;
};

type Overlap = KeyRange & {from: number; to: number; left: HoldRecord; right: HoldRecord};

/** Records the holds of all targets of one service. */
export class HoldLedger {
	private records: HoldRecord[] = [];
	private readonly fences: Array<KeyRange & {holder: string; target: number; fence: number}> = [];
	private readonly activeRuns = new Set<RunRecord>();
	private readonly recentRuns: RunRecord[] = [];
	private readonly reportedPairs = new Set<string>();
	private checkedUntil = 0;
	private grants = 0;

	constructor(private readonly trace: Trace, private readonly onViolation: (violation: Violation) => void) {}

	get grantCount(): number {
		return this.grants;
	}

	/** Called when a target accepts a grant. */
	recordGrant(grant: Omit<HoldRecord, 'to'>): void {
		this.grants += 1;
		const record = {...grant, to: grant.expiresAt};
		const isExcused = this.isExcused(record);
		if (!isExcused) {
			this.checkFence(record);
			this.checkRunningWork(record);
		}

		for (const earlier of this.records) {
			if (earlier.holder === record.holder && areOverlapping(earlier, record)) {
				earlier.to = Math.max(earlier.from, Math.min(earlier.to, record.expiresAt));
			}
		}

		this.records.push(record);
	}

	/** Called when a target takes a release. */
	recordRelease(holder: string, range: KeyRange, at: number): void {
		for (const record of this.records.filter(candidate => candidate.holder === holder && candidate.to > at && areOverlapping(candidate, range))) {
			for (const rest of [{first: record.first, last: range.first - 1}, {first: range.last + 1, last: record.last}]) {
				if (rest.first <= rest.last) {
					this.records.push({...record, ...rest});
				}
			}

			record.first = Math.max(record.first, range.first);
			record.last = Math.min(record.last, range.last);
			record.to = Math.max(record.from, at);
		}
	}

	/** Called when a life of a target ends. */
	recordEnd(holder: string, at: number): void {
		for (const record of this.records) {
			if (record.holder === holder) {
				record.to = Math.max(record.from, Math.min(record.to, at));
			}
		}
	}

	recordRunStart(run: RunRecord): void {
		this.activeRuns.add(run);
		this.recentRuns.push(run);
	}

	recordRunEnd(run: RunRecord): void {
		this.activeRuns.delete(run);
	}

	/** Reports overlaps of holds that ended before `until`. */
	check(until: number): void {
		const since = this.checkedUntil;
		this.checkedUntil = until;
		const ended = this.records.filter(({to}) => to > since && to <= until);
		const overlapsByPair = new Map<string, Overlap[]>();
		for (const left of ended) {
			for (const right of this.records) {
				const overlap = this.overlapOf(left, right);
				if (overlap) {
					const pair = [left.holder, right.holder].toSorted().join(' and ');
					overlapsByPair.set(pair, [...overlapsByPair.get(pair) ?? [], overlap]);
				}
			}
		}

		for (const [pair, found] of overlapsByPair) {
			this.checkPair(pair, found);
		}

		this.records = this.records.filter(({to}) => to > until - retentionMs);
		while (this.recentRuns[0] && this.recentRuns[0].startedAt < until - retentionMs) {
			this.recentRuns.shift();
		}
	}

	private overlapOf(left: HoldRecord, right: HoldRecord): Overlap | undefined {
		const from = Math.max(left.from, right.from);
		const to = Math.min(left.to, right.to);
		if (left.holder === right.holder || to <= from || !areOverlapping(left, right) || this.isExcused(left) || this.isExcused(right)) {
			return undefined;
		}

		return {
			from, to, left, right, first: Math.max(left.first, right.first), last: Math.min(left.last, right.last),
		};
	}

	private checkPair(pair: string, found: Overlap[]): void {
		const shared = found.find(overlap => this.haveBothBegun(overlap));
		if (shared) {
			this.report(pair, `both began requests on keys ${shared.first} to ${shared.last}`, shared);
			return;
		}

		// Without requests, orders that were held up on their way or taken late are excused, too.
		const counted = found.filter(({left, right}) => !this.isHeldUp(left) && !this.isHeldUp(right)).toSorted((left, right) => left.from - right.from);
		let from = -Infinity;
		let to = -Infinity;
		for (const overlap of counted) {
			from = overlap.from > to ? overlap.from : from;
			to = Math.max(to, overlap.to);
			if (to - from > longestOverlapMs) {
				this.report(pair, `keys ${overlap.first} to ${overlap.last} held by both for ${Math.round(to - from)} ms`, overlap);
				return;
			}
		}
	}

	private haveBothBegun({left, right, first, last, from, to}: Overlap): boolean {
		return [left, right].every(({holder}) => this.recentRuns.some(run => run.holder === holder && run.key !== undefined
			&& run.key >= first && run.key <= last && run.startedAt >= from && run.startedAt <= to));
	}

	/**
	 * Another target that had the keys must have had them under a lower fence. The rule speaks of other servers: a renewal can
	 * reach the next life of a target before anyone can know of it.
	 */
	private checkFence(record: HoldRecord): void {
		const isRenewal = this.records.some(held => (
			held.holder === record.holder && held.fence === record.fence && held.first <= record.first && held.last >= record.last && held.to >= record.from
		));
		if (isRenewal) {
			return;
		}

		const higher = this.fences.find(earlier => earlier.target !== record.target && earlier.fence >= record.fence && areOverlapping(earlier, record));
		if (higher) {
			const {holder, first, last, fence} = record;
			this.report(`fence ${higher.holder} ${holder}`, `${holder} takes keys ${first} to ${last} with fence ${fence}; ${higher.holder} had fence ${higher.fence}`);
		}

		const same = this.fences.find(earlier => earlier.target === record.target && earlier.first === record.first && earlier.last === record.last);
		if (same) {
			same.fence = Math.max(same.fence, record.fence);
			return;
		}

		this.fences.push({
			holder: record.holder, target: record.target, fence: record.fence, first: record.first, last: record.last,
		});
	}

	/** A key must not be granted while another target works on it, before that one's hold would have run out. */
	private checkRunningWork(record: HoldRecord): void {
		for (const run of this.activeRuns) {
			if (run.holder === record.holder || run.key === undefined || run.key < record.first || run.key > record.last || this.isHeldUp(record)) {
				continue;
			}

			const {key} = run;
			const hold = this.records.findLast(({holder, first, last}) => holder === run.holder && key >= first && key <= last);
			if (hold && hold.expiresAt > record.from && hold.to <= record.from && !this.isExcused(hold) && !this.isHeldUp(hold)) {
				this.report(`work ${run.requestId}`, `${record.holder} is granted key ${run.key} while ${run.holder} still works on request ${run.requestId}`);
			}
		}
	}

	/** The rule does not count grants that arrive shortly after their sender was thawed or the link healed. */
	private isExcused({daemon, target, arrivedAt}: HoldRecord): boolean {
		return this.trace.hasHealed(daemon, target, arrivedAt - thawSlackMs, arrivedAt);
	}

	/** Delays alone are no excuse here, although the rule has it: they stay within the limit that leaders must allow for. */
	private isHeldUp({daemon, target, arrivedAt, from}: HoldRecord): boolean {
		return from > arrivedAt + 1 || this.trace.isLinkHeldUp(daemon, target, arrivedAt - heldUpWindowMs, arrivedAt);
	}

	private report(pair: string, detail: string, overlap?: Overlap): void {
		if (this.reportedPairs.has(pair)) {
			return;
		}

		this.reportedPairs.add(pair);
		const holds = overlap ? `; ${[overlap.left, overlap.right].map(hold => describe(hold, overlap.from)).join('; ')}` : '';
		this.onViolation({
			rule: Rule.Owner, at: overlap?.from ?? performance.now(), requestId: undefined, detail: `${detail}${holds}`,
		});
	}
}

function describe({holder, daemon, fence, arrivedAt, from, to}: HoldRecord, at: number): string {
	return `${holder} by daemon ${daemon} with fence ${fence}, arrived ${Math.round(arrivedAt - at)} ms, held ${Math.round(from - at)} to ${Math.round(to - at)} ms after the begin of the overlap`;
}
