/**
 * Decides the owners of one keyed service for the leader and writes them; `RangeOrders` sends the resulting orders.
 */
import type {CoordinationStore} from '../../model/coordination-store.js';
import {
	ConflictError, RouterError, StoreAmbiguousError, StoreUnavailableError, type FenceRejectedError,
} from '../../model/errors.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import {isSameIncarnation, type Target, type TargetIncarnation} from '../../model/fleet.js';
import type {KeyOrders} from '../../model/key-orders.js';
import {
	findRange, isWithin, type KeyAssignment, type OwnedRange,
} from '../../model/key-ownership.js';
import type {ServiceRule} from '../../model/route-configuration.js';
import {decodeAssignment, encodeAssignment} from '../fleet/assignment-codec.js';
import {storeKeys} from '../fleet/daemon-documents.js';
import {renewalGraceMs} from '../fleet/fleet-sync.js';
import {isNewerAssignment, type FleetView, type KnownAssignment} from '../fleet/fleet-view.js';
import type {TargetLoads} from '../forwarding/target-loads.js';
import type {TargetStatements} from '../limits/target-statements.js';
import {AssignmentDraft, initialAssignment, reconcileAssignments} from './assignment-draft.js';
import type {HoldPolicy} from './hold-policy.js';
import {balanceKeys, type OwnerCandidate} from './key-balance.js';
import {KeyRequestRates} from './key-request-rates.js';
import {spreadKeys} from './key-spread.js';
import type {Leadership} from './leadership.js';
import {RangeOrders} from './range-orders.js';
import {RangeState} from './range-state.js';
import type {TargetResponsiveness} from './target-responsiveness.js';

/** Delay before a failed write is retried, in milliseconds. */
const writeRetryDelayMs = 150;

/** Interval of load balancing, in milliseconds. */
const balanceIntervalMs = 250;

/** The keys of a new service are first assigned once the number of its targets has not changed for this time, in milliseconds. */
const settlingPeriodMs = 1500;

const secondMs = 1000;

/** Dependencies of an assignment manager. */
export type AssignmentManagerOptions = {
	store: CoordinationStore;
	orders: KeyOrders;
	view: FleetView;
	loads: TargetLoads;
	statements: TargetStatements;
	leadership: Leadership;
	policy: HoldPolicy;
	responsiveness: TargetResponsiveness;
	log: EventLog;
	daemon: string;
	/** Called with the name of the service after its owners were written. */
	onOwnersWritten(service: string): void;
};

/** What the plan for a range depends on. */
type RangePlan = {
	state: RangeState;
	/** Targets that may own keys, and those of them that may be given further ones. */
	candidates: readonly OwnerCandidate[];
	takers: readonly OwnerCandidate[];
	now: number;
};

/** Manages the owners and holds of one service during one term of leadership. */
export class AssignmentManager {
	readonly requestRates = new KeyRequestRates();
	private assignment: KeyAssignment | undefined;
	private revision = 0;
	private rangeStates: RangeState[] = [];
	private pendingAssignment: KeyAssignment | undefined;
	private nextWriteAt = 0;
	private isWriting = false;
	private isTakenOver = false;
	/** True once the fencing tokens of this term are written; until then, new grants could mix with those of earlier leaders. */
	private areFencesWritten = false;
	private nextBalanceAt = 0;
	private readonly stableCandidates = {count: 0, since: 0};
	private writeCount = 0;
	private readonly rangeOrders: RangeOrders;
	/** Era of the store in which this term began; its writes are of this era. */
	private readonly era: number | undefined;

	constructor(public rule: ServiceRule, private readonly options: AssignmentManagerOptions, private readonly takeoverAt: number) {
		this.era = options.leadership.era;
		this.rangeOrders = new RangeOrders({
			...options,
			rule: () => this.rule,
			onFenceRejected: error => {
				this.raiseFences(error);
			},
		}, takeoverAt);
	}

	/** Number of grants that may arrive after they were given up. */
	get unansweredGrants(): number {
		return this.rangeOrders.unansweredGrants();
	}

	/** Called at regular intervals while leadership is confirmed. */
	tick(now: number): void {
		if (!this.isTakenOver) {
			this.startWrite(now, async () => this.takeOver());
			return;
		}

		if (this.assignment) {
			this.rangeOrders.followUnconfirmed(this.assignment, this.options.view.hasLostEra || this.hasEntriesBack(now), now);
		}

		this.writeNextChange(now);
		if (!this.areFencesWritten || !this.assignment) {
			return;
		}

		for (const state of this.rangeStates) {
			this.rangeOrders.sendDueOrders(state, now);
		}

		this.rangeOrders.evict(this.assignment, this.rangeStates, now);
	}

	/** Takes over the existing assignment and raises its fencing tokens. */
	private async takeOver(): Promise<void> {
		const known = await this.currentAssignment();
		if (known?.assignment.era !== this.era) {
			this.reconcile(known);
		} else if (known) {
			this.rangeOrders.recordEarlierLeader();
			this.applyAssignment(known.assignment, known.revision);
			const draft = new AssignmentDraft(known.assignment);
			draft.raiseFences();
			draft.mergeNeighbours();
			this.pendingAssignment = draft.result(this.nextWriteId());
		}

		this.areFencesWritten = this.pendingAssignment === undefined;
		this.isTakenOver = true;
	}

	/**
	 * Reads the assignment from the view, which saves a store call before keys are granted again. If the view is stale, the
	 * write that raises the fencing tokens fails.
	 */
	private async currentAssignment(): Promise<KnownAssignment | undefined> {
		const {store, view} = this.options;
		const known = view.currentAssignment(this.rule.name);
		if (known) {
			return known;
		}

		const item = await store.read(`${storeKeys.assignments}${this.rule.name}`);
		return item && {assignment: decodeAssignment(item.value), revision: item.revision};
	}

	/**
	 * Takes over after a restore of the store. The store has a copy of the assignment, or none, and daemons may know a newer one.
	 *
	 * @param stored the assignment in the store, which no leader of this era has written
	 */
	private reconcile(stored: KnownAssignment | undefined): void {
		const {view, log} = this.options;
		this.rangeOrders.recordEarlierLeader();
		this.revision = stored?.revision ?? 0;
		const known = [view.assignments.get(this.rule.name), stored].filter(each => each !== undefined);
		const [newest, ...others] = known.toSorted((left, right) => Number(isNewerAssignment(right, left)) - Number(isNewerAssignment(left, right)));
		if (!newest) {
			return;
		}

		const draft = new AssignmentDraft({
			...reconcileAssignments(newest.assignment, others.map(({assignment}) => assignment), this.era), ...(this.mayHaveUnknownHolders && {isUnconfirmed: true}),
		});
		draft.raiseFences();
		draft.mergeNeighbours();
		this.pendingAssignment = draft.result(this.nextWriteId());
		log.record(LogEvent.OwnersReconciled, {
			service: this.rule.name,
			storedFence: stored?.assignment.fence,
			knownFence: newest.assignment.fence,
			fence: this.pendingAssignment?.fence,
			unsettled: this.pendingAssignment?.ranges.filter(({previous}) => previous.length > 0).length,
			isUnconfirmed: this.pendingAssignment?.isUnconfirmed,
		});
	}

	private writeNextChange(now: number): void {
		this.pendingAssignment ??= this.planNextChange(now);
		const {pendingAssignment} = this;
		if (pendingAssignment) {
			this.startWrite(now, async () => this.commit(pendingAssignment));
		}
	}

	private startWrite(now: number, step: () => Promise<void>): void {
		if (this.isWriting || now < this.nextWriteAt) {
			return;
		}

		this.isWriting = true;
		void this.runWrite(step);
	}

	private async runWrite(step: () => Promise<void>): Promise<void> {
		try {
			await step();
		} catch (error) {
			if (!(error instanceof RouterError)) {
				throw error;
			}

			this.nextWriteAt = performance.now() + writeRetryDelayMs;
			this.options.log.record(LogEvent.LeaderStoreWriteFailed, {service: this.rule.name, detail: error.message});
		} finally {
			this.isWriting = false;
		}
	}

	/** Writes the owners, on condition that no other daemon has written them and this daemon still leads. */
	private async commit(pendingAssignment: KeyAssignment): Promise<void> {
		const {store, leadership, log} = this.options;
		const key = `${storeKeys.assignments}${this.rule.name}`;
		try {
			const revision = await store.write({
				expected: [{key, revision: this.revision}, {key: storeKeys.leader, revision: leadership.revision}],
				puts: [{key, value: encodeAssignment(pendingAssignment)}],
			});
			this.applyAssignment(pendingAssignment, revision);
			this.areFencesWritten = true;
			log.record(LogEvent.AssignmentWritten, {
				service: this.rule.name, revision, fence: pendingAssignment.fence, ranges: pendingAssignment.ranges.length,
			});
		} catch (error) {
			if (error instanceof ConflictError) {
				await this.resolveConflict(pendingAssignment);
				return;
			}

			if (error instanceof StoreAmbiguousError || error instanceof StoreUnavailableError) {
				throw error;
			}

			this.pendingAssignment = undefined;
			throw error;
		}
	}

	/** The conflict may stem from an earlier attempt of the same write that took effect although no success was reported. */
	private async resolveConflict(pendingAssignment: KeyAssignment): Promise<void> {
		const {store, log} = this.options;
		const item = await store.read(`${storeKeys.assignments}${this.rule.name}`);
		const stored = item && decodeAssignment(item.value);
		log.record(LogEvent.AssignmentRejected, {service: this.rule.name, revision: item?.revision, isOwn: stored?.writeId === pendingAssignment.writeId});
		const isForeign = item !== undefined && item.revision !== this.revision;
		if (isForeign && stored && stored.era !== this.era) {
			// A write of a lost era was carried out late.
			this.pendingAssignment = undefined;
			this.areFencesWritten = false;
			this.reconcile({assignment: stored, revision: item.revision});
			return;
		}

		if (isForeign && stored) {
			this.applyAssignment(stored, item.revision);
			this.areFencesWritten ||= stored.writeId === pendingAssignment.writeId;
			this.isTakenOver = this.areFencesWritten;
			return;
		}

		// The assignment is unchanged, so another daemon leads; the next renewal of the lease will fail.
		this.pendingAssignment = undefined;
		this.nextWriteAt = performance.now() + writeRetryDelayMs;
		if (this.era !== undefined) {
			this.isTakenOver &&= this.areFencesWritten;
		}
	}

	private applyAssignment(assignment: KeyAssignment, revision: number): void {
		const parents = this.rangeStates.map(state => ({first: state.range.first, last: state.range.last, state}));
		this.rangeStates = assignment.ranges.map(range => {
			const parent = findRange(parents, range.first)?.state;
			// What is known of a part does not hold for a merged range.
			return parent && isWithin(range, parent.range) ? parent.derive(range) : new RangeState(range);
		});
		this.assignment = assignment;
		this.revision = revision;
		this.pendingAssignment = undefined;
		this.options.view.applyAssignment({assignment, revision});
		this.options.onOwnersWritten(this.rule.name);
	}

	/** Plans the next change of owners. */
	private planNextChange(now: number): KeyAssignment | undefined {
		const candidates = this.candidates(now);
		if (!this.assignment) {
			return this.planInitial(candidates, now);
		}

		const draft = new AssignmentDraft(this.assignment);
		draft.removeUnreleased(this.assignment.unreleased.filter(range => this.rangeOrders.isReleased(range, now)));
		const unconfirmed = this.rangeOrders.unconfirmedHolders;
		this.confirmOwners(draft, now);
		// Releases are on their way to the others, and would take new keys away, too.
		const takers = unconfirmed ? candidates.filter(({incarnation}) => !unconfirmed.isUnproved(incarnation)) : candidates;
		const leaving: OwnedRange[] = [];
		for (const [index, range] of [...draft.ranges].entries()) {
			const state = this.rangeStates[index];
			if (this.isEvacuating && !isOwnedByAny(range, candidates)) {
				leaving.push(range);
			} else if (state) {
				this.planRange(draft, range, {
					state, candidates, takers, now,
				});
			}
		}

		if (leaving.length > 0) {
			for (const {range, to} of spreadKeys(leaving, {ranges: draft.ranges, counts: this.requestRates.sortedCounts(now), candidates: takers})) {
				draft.movePart(range, to);
			}
		}

		if (now >= this.nextBalanceAt && candidates.length > 0 && !unconfirmed) {
			this.nextBalanceAt = now + balanceIntervalMs;
			for (const {range, to} of balanceKeys(draft.ranges, this.requestRates.sortedCounts(now), candidates)) {
				draft.movePart(range, to);
			}
		}

		return draft.result(this.nextWriteId());
	}

	/** Records that every target which may hold keys of a lost era has proved that it does not, or its hold has expired. */
	private confirmOwners(draft: AssignmentDraft, now: number): void {
		const unconfirmed = this.rangeOrders.unconfirmedHolders;
		if (!unconfirmed?.areSettled || !this.hasEntriesBack(now)) {
			return;
		}

		draft.confirmOwners(unconfirmed.unproved);
		this.options.log.record(LogEvent.OwnersSettled, {
			service: this.rule.name, waitedMs: Math.round(now - this.takeoverAt), unproved: unconfirmed.unproved.length,
		});
	}

	/** True once all targets that live have written the entries again that a restore of the store lost. */
	private hasEntriesBack(now: number): boolean {
		return now - this.options.store.era.since >= renewalGraceMs;
	}

	/** True while holds may be in force that a leader granted in a lost era of the store; the first start of a deployment looks the same. */
	private get mayHaveUnknownHolders(): boolean {
		const {policy, store} = this.options;
		return this.era !== undefined && performance.now() <= policy.inheritedHold(store.era.since).lateExpiresBy;
	}

	private planInitial(candidates: readonly OwnerCandidate[], now: number): KeyAssignment | undefined {
		if (candidates.length === 0) {
			return undefined;
		}

		if (this.stableCandidates.count !== candidates.length) {
			this.stableCandidates.count = candidates.length;
			this.stableCandidates.since = now;
		}

		if (now - this.stableCandidates.since < settlingPeriodMs) {
			return undefined;
		}

		const owners = candidates.map(({incarnation}) => incarnation);
		return {...initialAssignment(this.rule.name, owners, this.era), ...(this.mayHaveUnknownHolders && {isUnconfirmed: true}), writeId: this.nextWriteId()};
	}

	private planRange(draft: AssignmentDraft, range: OwnedRange, {state, candidates, takers, now}: RangePlan): void {
		if (!isOwnedByAny(range, candidates)) {
			const owner = leastAssigned(draft.ranges, takers);
			if (owner) {
				draft.replaceOwner(range, owner);
			}

			return;
		}

		if (range.previous.length > 0 && state.isFullyCleared && state.isGrantActive()) {
			draft.finishMove(range, range.previous.filter(incarnation => !this.rangeOrders.isFree(incarnation, range, now)));
			return;
		}

		draft.setBlocked(range, state.isWaitingForExpiry);
	}

	/** True while a zone is evacuated: the keys of its targets would overload a single other one, so that leaving keys are divided. */
	private get isEvacuating(): boolean {
		return this.options.view.evacuatedZones.size > 0;
	}

	/** Targets that are eligible to own keys. */
	private candidates(now: number): OwnerCandidate[] {
		const {view, responsiveness, loads, statements} = this.options;
		return view.readyTargets(this.rule.name, now)
			.filter(target => !responsiveness.hasEnded(target) && !this.isBeingEvicted(target)
				&& (!responsiveness.isUnreachable(target) || this.rangeOrders.isServing(target, now)))
			.map(target => {
				const coldLimit = view.warmUpLeft(target.id, now) > 0 ? this.rule.warmUpPerS : undefined;
				return {
					incarnation: incarnationOf(target),
					capacity: Math.min(target.slots * secondMs / loads.estimatedServiceMs(target), statements.limitOf(target) ?? Infinity, coldLimit ?? Infinity),
					...(coldLimit !== undefined && {hasHardLimit: true}),
				};
			});
	}

	/** True if a target without keys has yet to answer a release, which would take new keys away, too. */
	private isBeingEvicted({address}: TargetIncarnation): boolean {
		const {unreleased = [], ranges = []} = this.assignment ?? {};
		return unreleased.some(({holder}) => holder.address === address) && !ranges.some(({owner}) => owner.address === address);
	}

	/** Raises the token of every range with the next write, because a target has seen a higher one than the assignment contains. */
	private raiseFences(error: FenceRejectedError): void {
		this.options.log.record(LogEvent.OrderFailed, {service: this.rule.name, detail: error.message});
		if (this.assignment && !this.pendingAssignment && !this.isWriting) {
			const draft = new AssignmentDraft(this.assignment);
			draft.raiseFences();
			this.pendingAssignment = draft.result(this.nextWriteId());
		}
	}

	private nextWriteId(): string {
		this.writeCount += 1;
		return `${this.options.daemon}/${this.options.leadership.revision}/${this.writeCount}`;
	}
}

function incarnationOf({id, bornAt, address}: Target): TargetIncarnation {
	return {id, bornAt, address};
}

function isOwnedByAny({owner}: OwnedRange, candidates: readonly OwnerCandidate[]): boolean {
	return candidates.some(({incarnation}) => isSameIncarnation(incarnation, owner));
}

/** The candidate that owns the fewest keys relative to its capacity. */
function leastAssigned(ranges: readonly OwnedRange[], candidates: readonly OwnerCandidate[]): TargetIncarnation | undefined {
	let best: OwnerCandidate | undefined;
	let bestRatio = Infinity;
	for (const candidate of candidates) {
		const keys = ranges.filter(({owner}) => isSameIncarnation(owner, candidate.incarnation)).reduce((sum, {first, last}) => sum + last - first + 1, 0);
		if (keys / candidate.capacity < bestRatio) {
			best = candidate;
			bestRatio = keys / candidate.capacity;
		}
	}

	return best?.incarnation;
}
