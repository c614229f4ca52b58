/**
 * The leader's work for one keyed service: decides owners and writes them; `RangeOrders` gives the orders that follow.
 */
import type {CoordinationStore} from '../../model/coordination-store.js';
import {
	ConflictError, RouterError, StoreAmbiguousError, StoreUnavailableError, type FenceRejectedError,
} from '../../model/errors.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import {isSameLife, type Target, type TargetLife} from '../../model/fleet.js';
import type {KeyOrders} from '../../model/key-orders.js';
import {findRange, type KeyAssignment, type OwnedRange} from '../../model/key-ownership.js';
import type {ServiceRule} from '../../model/route-configuration.js';
import {decodeAssignment, encodeAssignment} from '../fleet/assignment-codec.js';
import {storeKeys} from '../fleet/own-documents.js';
import type {FleetView, KnownAssignment} from '../fleet/fleet-view.js';
import type {TargetLoads} from '../forwarding/target-loads.js';
import {AssignmentDraft, initialAssignment} from './assignment-draft.js';
import type {HoldPolicy} from './hold-policy.js';
import {balanceKeys, type OwnerCandidate} from './key-balance.js';
import {KeyHeat} from './key-heat.js';
import type {Leadership} from './leadership.js';
import {RangeOrders} from './range-orders.js';
import {RangeState} from './range-state.js';
import type {TargetTrust} from './target-trust.js';

/** Pause after a failed write in milliseconds. */
const writeRetryMs = 150;

/** Interval in which load is balanced, in milliseconds. */
const balanceMs = 250;

/** Keys of a new service are divided once no further target has come for this time, in milliseconds. */
const settleMs = 1500;

/** Milliseconds in a second. */
const secondMs = 1000;

/** What the leader's work needs. */
export type ServiceKeysOptions = {
	store: CoordinationStore;
	orders: KeyOrders;
	view: FleetView;
	loads: TargetLoads;
	leadership: Leadership;
	policy: HoldPolicy;
	trust: TargetTrust;
	log: EventLog;
	daemon: string;
	/** Called with a service whose owners were just written. */
	announce(service: string): void;
};

/** Owners and holds of one service under one term of leadership. */
export class ServiceKeys {
	readonly heat = new KeyHeat();
	private assignment: KeyAssignment | undefined;
	private revision = 0;
	private states: RangeState[] = [];
	private pending: KeyAssignment | undefined;
	private nextWriteAt = 0;
	private isWriting = false;
	private isAdopted = false;
	/** True once the fences of this term are written; before that, grants of earlier leaders could mix with new ones. */
	private isFenced = false;
	private nextBalanceAt = 0;
	private readonly settling = {count: 0, since: 0};
	private writes = 0;
	private readonly rangeOrders: RangeOrders;

	constructor(public rule: ServiceRule, private readonly options: ServiceKeysOptions, takenAt: number) {
		this.rangeOrders = new RangeOrders({
			...options,
			rule: () => this.rule,
			onFenceRejected: error => {
				this.raiseFence(error);
			},
		}, takenAt);
	}

	/** Called regularly while leadership is proved. */
	tick(now: number): void {
		if (!this.isAdopted) {
			this.startWrite(now, async () => this.adopt());
			return;
		}

		this.write(now);
		if (!this.isFenced) {
			return;
		}

		for (const state of this.states) {
			this.rangeOrders.drive(state, now);
		}
	}

	/** Takes the assignment over and renews it under higher fences. */
	private async adopt(): Promise<void> {
		const known = await this.present();
		if (known) {
			this.take(known.assignment, known.revision);
			const draft = new AssignmentDraft(known.assignment);
			draft.raiseFences();
			draft.mergeNeighbours();
			this.pending = draft.result(this.nextWriteId());
		}

		this.isFenced = known === undefined;
		this.isAdopted = true;
	}

	/** What the view knows saves a call before keys are granted again; if it is old, the write that raises the fences fails. */
	private async present(): Promise<KnownAssignment | undefined> {
		const {store, view} = this.options;
		const known = view.assignments.get(this.rule.name);
		if (known) {
			return known;
		}

		const item = await store.read(`${storeKeys.assignments}${this.rule.name}`);
		return item && {assignment: decodeAssignment(item.value), revision: item.revision};
	}

	private write(now: number): void {
		this.pending ??= this.plan(now);
		const {pending} = this;
		if (pending) {
			this.startWrite(now, async () => this.commit(pending));
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

			this.nextWriteAt = performance.now() + writeRetryMs;
			this.options.log.record(LogEvent.LeaderStoreWriteFailed, {service: this.rule.name, detail: error.message});
		} finally {
			this.isWriting = false;
		}
	}

	/** Writes the owners on condition that nobody else wrote them and that this daemon still leads. */
	private async commit(pending: KeyAssignment): Promise<void> {
		const {store, leadership, log} = this.options;
		const key = `${storeKeys.assignments}${this.rule.name}`;
		try {
			const revision = await store.write({
				expected: [{key, revision: this.revision}, {key: storeKeys.leader, revision: leadership.revision}],
				puts: [{key, value: encodeAssignment(pending)}],
			});
			this.take(pending, revision);
			this.isFenced = true;
			log.record(LogEvent.AssignmentWritten, {
				service: this.rule.name, revision, fence: pending.fence, ranges: pending.ranges.length,
			});
		} catch (error) {
			if (error instanceof ConflictError) {
				await this.resolveConflict(pending);
				return;
			}

			if (error instanceof StoreAmbiguousError || error instanceof StoreUnavailableError) {
				throw error;
			}

			this.pending = undefined;
			throw error;
		}
	}

	/** An earlier try of the same write may have taken effect after all. */
	private async resolveConflict(pending: KeyAssignment): Promise<void> {
		const {store, log} = this.options;
		const item = await store.read(`${storeKeys.assignments}${this.rule.name}`);
		const stored = item && decodeAssignment(item.value);
		log.record(LogEvent.AssignmentRejected, {service: this.rule.name, revision: item?.revision, isOwn: stored?.writeId === pending.writeId});
		if (item && stored && item.revision !== this.revision) {
			this.take(stored, item.revision);
			this.isFenced ||= stored.writeId === pending.writeId;
			this.isAdopted = this.isFenced;
			return;
		}

		// The assignment is unchanged: another daemon leads, which the next renewal of the lease will show.
		this.pending = undefined;
		this.nextWriteAt = performance.now() + writeRetryMs;
	}

	private take(assignment: KeyAssignment, revision: number): void {
		const old = this.states;
		const parents = old.map(state => ({first: state.range.first, last: state.range.last, state}));
		this.states = assignment.ranges.map(range => {
			const parent = findRange(parents, range.first)?.state;
			const state = parent ? parent.derive(range) : new RangeState(range);
			this.inheritHolds(state, old);
			return state;
		});
		this.assignment = assignment;
		this.revision = revision;
		this.pending = undefined;
		this.options.view.applyAssignment({assignment, revision});
		this.options.announce(this.rule.name);
	}

	/** A range that joins several takes the latest end of each hold. */
	private inheritHolds(state: RangeState, old: readonly RangeState[]): void {
		for (const {range, holds} of old) {
			if (range.last < state.range.first || range.first > state.range.last) {
				continue;
			}

			for (const [life, until] of holds) {
				state.holds.set(life, Math.max(until, state.holds.get(life) ?? 0));
			}
		}
	}

	/** Decides the next change of owners. */
	private plan(now: number): KeyAssignment | undefined {
		const candidates = this.candidates(now);
		if (!this.assignment) {
			return this.planInitial(candidates, now);
		}

		const draft = new AssignmentDraft(this.assignment);
		for (const [index, range] of [...draft.ranges].entries()) {
			const state = this.states[index];
			if (state) {
				this.planRange(draft, state, range, candidates);
			}
		}

		if (now >= this.nextBalanceAt && candidates.length > 0) {
			this.nextBalanceAt = now + balanceMs;
			for (const {range, to} of balanceKeys(draft.ranges, this.heat.sorted(now), candidates)) {
				draft.movePart(range, to);
			}
		}

		return draft.result(this.nextWriteId());
	}

	private planInitial(candidates: readonly OwnerCandidate[], now: number): KeyAssignment | undefined {
		if (candidates.length === 0) {
			return undefined;
		}

		if (this.settling.count !== candidates.length) {
			this.settling.count = candidates.length;
			this.settling.since = now;
		}

		if (now - this.settling.since < settleMs) {
			return undefined;
		}

		const owners = candidates.map(({life}) => life);
		return {...initialAssignment(this.rule.name, owners), writeId: this.nextWriteId()};
	}

	private planRange(draft: AssignmentDraft, state: RangeState, range: OwnedRange, candidates: readonly OwnerCandidate[]): void {
		const isOwnerFit = candidates.some(({life}) => isSameLife(life, range.owner));
		if (!isOwnerFit) {
			const owner = leastLoaded(draft.ranges, candidates);
			if (owner) {
				draft.replaceOwner(range, owner);
			}

			return;
		}

		if (range.previous.length > 0 && state.isFree && state.isHeld()) {
			draft.finishMove(range);
			return;
		}

		draft.setBlocked(range, state.isWaitingForHold);
	}

	/** Targets that may own keys. */
	private candidates(now: number): OwnerCandidate[] {
		const {view, trust, loads} = this.options;
		return view.readyTargets(this.rule.name, now)
			.filter(target => !trust.isLost(target) && !trust.hasEnded(target))
			.map(target => ({life: lifeOf(target), capacity: target.slots * secondMs / loads.estimatedServiceMs(target)}));
	}

	/** A target knows a higher fence than the assignment: every range gets one above it with the next write. */
	private raiseFence(error: FenceRejectedError): void {
		this.options.log.record(LogEvent.OrderFailed, {service: this.rule.name, detail: error.message});
		if (this.assignment && !this.pending && !this.isWriting) {
			const draft = new AssignmentDraft(this.assignment);
			draft.raiseFences();
			this.pending = draft.result(this.nextWriteId());
		}
	}

	private nextWriteId(): string {
		this.writes += 1;
		return `${this.options.daemon}/${this.options.leadership.revision}/${this.writes}`;
	}
}

function lifeOf({id, bornAt, address}: Target): TargetLife {
	return {id, bornAt, address};
}

/** The candidate with the fewest keys for its capacity. */
function leastLoaded(ranges: readonly OwnedRange[], candidates: readonly OwnerCandidate[]): TargetLife | undefined {
	let best: OwnerCandidate | undefined;
	let bestShare = Infinity;
	for (const candidate of candidates) {
		const keys = ranges.filter(({owner}) => isSameLife(owner, candidate.life)).reduce((sum, {first, last}) => sum + last - first + 1, 0);
		if (keys / candidate.capacity < bestShare) {
			best = candidate;
			bestShare = keys / candidate.capacity;
		}
	}

	return best?.life;
}
