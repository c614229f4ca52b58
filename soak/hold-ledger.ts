/**
 * Which life of which target holds which keys by its own clock, and the checks of OWNER.
 */
import {areOverlapping, type KeyRange} from '../src/model/key-ownership.js';
import {
	Rule, type RunRecord, type Trace, type Violation,
} from './trace.js';

/** Time after a thaw or the healing of a link within which grants are excused, in milliseconds; RULES.md, OWNER: "within `thawSlackMs`". */
export const thawSlackMs = 300;

/** Longest time for which two targets may hold the same keys without requests, in milliseconds; RULES.md, OWNER: "for over half a second". */
const longestOverlapMs = 500;

/** Time after a harm of a link within which a grant counts as held up on its way, in milliseconds; RULES.md, Held up: "in the last `stableWindowMs`". */
const heldUpWindowMs = 3000;

/** Time for which ended holds are kept, in milliseconds; longer than the longest hold. */
const retentionMs = 30_000;

const allKeys: KeyRange = {first: 0, last: Infinity};

/** One accepted grant. */
export type HoldRecord = KeyRange & {
	holder: string;
	target: number;
	daemon: number;
	fence: number;
	/** Time between the call and its carrying out in milliseconds; 0 if it was carried out at once. */
	latenessMs: number;
	/** Time from which the hold counts. */
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
	grantCount = 0;
	/** Grants that gave keys late. */
	lateGrantCount = 0;
	/** Overlaps that only the lateness of orders excuses. */
	readonly excusedOverlaps: string[] = [];
	private records: HoldRecord[] = [];
	private readonly fences: Array<KeyRange & {holder: string; target: number; fence: number}> = [];
	private readonly activeRuns = new Set<RunRecord>();
	private readonly recentRuns: RunRecord[] = [];
	private readonly reportedPairs = new Set<string>();
	private checkedUntil = 0;

	/** @param isStrict true if the lateness of orders excuses nothing */
	constructor(private readonly trace: Trace, private readonly onViolation: (violation: Violation) => void, private readonly isStrict = false) {}

	/** Called when a target accepts a grant. */
	recordGrant(grant: Omit<HoldRecord, 'to'>): void {
		const record = {...grant, to: grant.expiresAt};
		this.grantCount += 1;
		this.lateGrantCount += record.latenessMs > 0 && record.to > record.from ? 1 : 0;
		// A grant that has run out when it is carried out takes no key.
		if (record.to > record.from && !this.isJustHealed(record)) {
			this.checkFence(record);
		}

		this.checkRunningWork(record);
		// A grant replaces the hold of its keys, when it is carried out.
		this.recordRelease(record.holder, record, Math.max(record.from, record.expiresAt));
		this.records.push(record);
	}

	/** Called when a life of a target ends. */
	recordEnd(holder: string, at: number): void {
		this.recordRelease(holder, allKeys, at);
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
		if (left.holder === right.holder || to <= from || !areOverlapping(left, right)) {
			return undefined;
		}

		return {
			from, to, left, right, first: Math.max(left.first, right.first), last: Math.min(left.last, right.last),
		};
	}

	private checkPair(pair: string, found: Overlap[]): void {
		// RULES.md, OWNER: the line on requests excuses only grants after a thaw or a healing, the one on half a second only late ones.
		const shared = found.find(overlap => !this.isJustHealed(overlap.left) && !this.isJustHealed(overlap.right) && this.haveBothBegun(overlap));
		if (shared) {
			this.report(pair, `both began requests on keys ${shared.first} to ${shared.last}`, shared);
			return;
		}

		const counted = findLong(found.filter(({left, right}) => !this.isHeldUp(left) && !this.isHeldUp(right)));
		if (counted) {
			this.report(pair, describeLong(counted), counted.overlap);
			return;
		}

		const excused = findLong(found);
		if (excused) {
			this.reportExcused(excused);
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
			if (hold && hold.expiresAt > record.from && hold.to <= record.from && !this.isHeldUp(hold)) {
				this.report(`work ${run.requestId}`, `${record.holder} is granted key ${run.key} while ${run.holder} still works on request ${run.requestId}`);
			}
		}
	}

	/** RULES.md, OWNER, on requests and, by "the same grants", on tokens: "grants that arrive within `thawSlackMs` after their sender was thawed or a link healed don't count". */
	private isJustHealed({daemon, target, arrivedAt}: HoldRecord): boolean {
		return this.trace.hasHealed(daemon, target, arrivedAt - thawSlackMs, arrivedAt);
	}

	/**
	 * RULES.md, OWNER, on half a second and on work: "Grants and renewals that were held up on their way or taken late don't count".
	 * Delays of links are no excuse here, although the rule has it: they stay within the limit that leaders must allow for.
	 */
	private isHeldUp({daemon, target, latenessMs, arrivedAt}: HoldRecord): boolean {
		return !this.isStrict && (latenessMs > 0 || this.trace.isLinkHeldUp(daemon, target, arrivedAt - heldUpWindowMs, arrivedAt));
	}

	/** Counts each pair of holds with their fences once. */
	private reportExcused(long: LongOverlap): void {
		const {left, right} = long.overlap;
		const holds = [left, right].map(({holder, fence}) => `${holder} ${fence}`).toSorted().join(' and ');
		if (!this.reportedPairs.has(holds)) {
			this.reportedPairs.add(holds);
			this.excusedOverlaps.push(`${describeLong(long)}${describeHolds(long.overlap)}`);
		}
	}

	private report(pair: string, detail: string, overlap?: Overlap): void {
		if (this.reportedPairs.has(pair)) {
			return;
		}

		this.reportedPairs.add(pair);
		this.onViolation({
			rule: Rule.Owner, at: overlap?.from ?? performance.now(), requestId: undefined, detail: `${detail}${overlap ? describeHolds(overlap) : ''}`,
		});
	}
}

/** Duration of overlaps that follow one another without a gap, and the last of them. */
type LongOverlap = {overlap: Overlap; durationMs: number};

/** Finds the longest time of over half a second. */
function findLong(overlaps: Overlap[]): LongOverlap | undefined {
	let longest: LongOverlap | undefined;
	let from = -Infinity;
	let to = -Infinity;
	for (const overlap of overlaps.toSorted((left, right) => left.from - right.from)) {
		from = overlap.from > to ? overlap.from : from;
		to = Math.max(to, overlap.to);
		longest = to - from > (longest?.durationMs ?? longestOverlapMs) ? {overlap, durationMs: to - from} : longest;
	}

	return longest;
}

function describeLong({overlap: {first, last}, durationMs}: LongOverlap): string {
	return `keys ${first} to ${last} held by both for ${Math.round(durationMs)} ms`;
}

function describeHolds({left, right, from}: Overlap): string {
	return [left, right].map(hold => `; ${describe(hold, from)}`).join('');
}

function describe({holder, daemon, fence, latenessMs, arrivedAt, from, to}: HoldRecord, at: number): string {
	const [arrived, begun, ended] = [arrivedAt, from, to].map(time => Math.round(time - at));
	return `${holder} by daemon ${daemon} with fence ${fence}, ${latenessMs} ms late, arrived ${arrived} ms, held ${begun} to ${ended} ms after the begin of the overlap`;
}
