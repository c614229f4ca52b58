/**
 * Orders to the targets of one keyed service: grants, renewals, releases, and identity probes of targets that do not answer.
 */
import {
	FenceRejectedError, OrderUnsentError, RouterError, TargetReplacedError,
} from '../../model/errors.js';
import {LogEvent, type EventLog, type LogFields} from '../../model/events.js';
import {isSameIncarnation, type TargetIncarnation} from '../../model/fleet.js';
import type {KeyOrders} from '../../model/key-orders.js';
import {
	lastKey, type KeyAssignment, type KeyRange, type UnreleasedRange,
} from '../../model/key-ownership.js';
import type {ServiceRule} from '../../model/route-configuration.js';
import type {FleetView} from '../fleet/fleet-view.js';
import {wordReachMs} from '../fleet/leader-word.js';
import {ownerEvidenceLifetimeMs} from '../fleet/owner-freshness.js';
import type {TargetLoads} from '../forwarding/target-loads.js';
import {clockDriftFactor, grantTimeoutMs, type HoldPolicy} from './hold-policy.js';
import {expiryOf, KeyHolds, type HoldEvidence} from './key-holds.js';
import type {Leadership} from './leadership.js';
import type {RangeState} from './range-state.js';
import {ReleasePacing} from './release-pacing.js';
import {incarnationKey, type TargetResponsiveness} from './target-responsiveness.js';
import {UnconfirmedHolders, type HoldKnowledge, type PossibleHolder} from './unconfirmed-holders.js';

/** Timeout of a release in milliseconds; requests of usual duration that are being processed end within it. */
const releaseTimeoutMs = 900;

/** Delay before an unanswered order is retried, in milliseconds. */
const orderRetryDelayMs = 60;

/** Most grants in flight; on a small VM, the answers to a larger burst would be processed only after the timeout. */
const maxConcurrentGrants = 32;

/** Most releases in flight to suspected targets that have yet to hand over keys. */
const maxReleasesInDoubt = 32;

/** Most releases in flight to targets whose holds count as expired. */
const maxEvictions = 64;

/** Time after the answer to a request for which a target counts as serving, in milliseconds; peers report answers every 50 to 250 ms. */
const servingValidityMs = 500;

/** Time after which releases to a target that never answers end, in milliseconds; a VM without power may return before. */
const unreleasedRetentionMs = 600_000;

/** Kinds of orders, as the log names them. */
enum OrderKind {
	Grant = 'grant',
	Release = 'release',
	Identify = 'identify',
}

/** Dependencies of the orders. */
export type RangeOrdersOptions = {
	orders: KeyOrders;
	view: FleetView;
	loads: TargetLoads;
	leadership: Leadership;
	policy: HoldPolicy;
	responsiveness: TargetResponsiveness;
	log: EventLog;
	/** The service as described by the active configuration. */
	rule(): ServiceRule;
	/** Called when a target has seen a higher fencing token than the assignment holds. */
	onFenceRejected(error: FenceRejectedError): void;
};

/** Sends the orders of one term of leadership; the caller makes sure that leadership is confirmed. */
export class RangeOrders {
	private readonly holds = new Map<string, KeyHolds>();
	private grantsInFlight = 0;
	private releasesInDoubt = 0;
	private evictionsInFlight = 0;
	/** Pace of the releases to targets that do not answer. */
	private readonly evictions = new Map<string, ReleasePacing>();
	/** Time until which daemons may send requests to owners that an earlier leader has confirmed. */
	private earlierEvidenceUntil = -Infinity;
	/** Undefined unless targets may hold keys that no range names. */
	private unconfirmed: UnconfirmedHolders | undefined;
	private readonly term: number;

	constructor(private readonly options: RangeOrdersOptions, private readonly takeoverAt: number) {
		this.term = options.leadership.termCount;
	}

	/** Number of grants that may arrive after they were given up. */
	unansweredGrants(now = performance.now()): number {
		return [...this.holds.values()].reduce((sum, holds) => sum + holds.unansweredCount(now), 0);
	}

	/** Called if another leader has assigned keys before. */
	recordEarlierLeader(): void {
		this.earlierEvidenceUntil = this.takeoverAt + wordReachMs;
	}

	/** Targets that may hold keys that no range names; undefined if there are none. */
	get unconfirmedHolders(): UnconfirmedHolders | undefined {
		return this.unconfirmed;
	}

	/**
	 * Follows which targets may hold keys that no range names.
	 *
	 * @param isComplete true once all of them are known
	 */
	followUnconfirmed(assignment: KeyAssignment, isComplete: boolean, now: number): void {
		if (assignment.isUnconfirmed !== true) {
			this.unconfirmed = undefined;
			return;
		}

		const {view, responsiveness} = this.options;
		const knowledge: HoldKnowledge = {
			isFree: (incarnation, range) => responsiveness.hasEnded(incarnation) || this.isFree(incarnation, range, now),
			mayHold: (incarnation, range) => {
				const isAnswering = responsiveness.isAnswering(incarnation, now);
				const evidence = this.holdsOf(incarnation).evidenceFor(range, isAnswering);
				return evidence !== undefined && now <= expiryOf(evidence, isAnswering);
			},
		};
		this.unconfirmed ??= new UnconfirmedHolders();
		this.unconfirmed.update(assignment, {
			targets: [...view.targetsSinceRestore(this.options.rule().name), ...namedHolders(assignment)], isComplete, knowledge,
		});
	}

	/** Sends the orders that are due for a range, given its owners in the store. */
	sendDueOrders(state: RangeState, now: number): void {
		for (const incarnation of state.range.previous) {
			if (!state.isCleared(incarnation)) {
				this.clearPreviousOwner(state, incarnation, now);
			}
		}

		if (state.isFullyCleared && this.unconfirmed?.isBlocked(state.range, state.range.owner) !== true && this.mayBeGranted(state, now)) {
			this.grant(state, now);
		}
	}

	/**
	 * Sends releases to targets whose holds count as expired although nothing proves it. However late they carry out a grant that they
	 * left unanswered, an answered release voids it.
	 */
	evict(assignment: KeyAssignment, states: readonly RangeState[], now: number): void {
		const unreleased = new Map<string, UnreleasedRange[]>();
		const expired = states.flatMap(state => state.range.previous
			.filter(incarnation => state.isCleared(incarnation) && !this.isFree(incarnation, state.range, now))
			.map((holder): UnreleasedRange => ({
				first: state.range.first, last: state.range.last, holder, fence: state.range.fence,
			})));
		for (const range of [...expired, ...assignment.unreleased, ...this.unconfirmed?.releases(assignment) ?? []]) {
			const key = incarnationKey(range.holder);
			unreleased.set(key, [...unreleased.get(key) ?? [], range]);
		}

		for (const key of this.evictions.keys()) {
			if (!unreleased.has(key)) {
				this.evictions.delete(key);
			}
		}

		for (const key of unreleased.keys()) {
			this.evictions.set(key, this.evictions.get(key) ?? new ReleasePacing(now));
		}

		// Those that have waited longest come first, so that many targets that never answer do not delay the one that returns.
		for (const [key, pacing] of [...this.evictions].toSorted(([, left], [, right]) => left.nextAt - right.nextAt)) {
			const ranges = unreleased.get(key) ?? [];
			if (this.evictionsInFlight < maxEvictions && !this.options.responsiveness.hasEnded(ranges[0].holder) && pacing.start(now)) {
				void this.sendEvictions(pacing, joinReleases(ranges, assignment));
			}
		}
	}

	/** True if the target certainly holds no key of the range, and will hold none by an earlier grant. */
	isReleased({holder, ...range}: UnreleasedRange, now: number): boolean {
		const startedAt = this.evictions.get(incarnationKey(holder))?.startedAt ?? now;
		return this.isFree(holder, range, now) || this.options.responsiveness.hasEnded(holder) || now - startedAt > unreleasedRetentionMs;
	}

	/** True if the incarnation certainly holds no key of the range. */
	isFree(incarnation: TargetIncarnation, range: KeyRange, now: number): boolean {
		return this.holdsOf(incarnation).isFree(range, now);
	}

	/** True if a suspected target serves requests, so that only its orders are lost. */
	isServing({id}: TargetIncarnation, now: number): boolean {
		return now - this.options.loads.lastAnswerAt(id) <= servingValidityMs;
	}

	/** False once the term may have ended while an order waited for its connection. */
	private readonly mayBeSent = (): boolean => {
		const {leadership} = this.options;
		return leadership.isConfirmed && leadership.termCount === this.term;
	};

	/** False while a daemon may send requests to a previous owner that may still carry out an earlier grant; see docs/design/owner-evidence.md. */
	private mayBeGranted(state: RangeState, now: number): boolean {
		const evidenceUntil = Math.max(state.assignedAt + (ownerEvidenceLifetimeMs * clockDriftFactor), this.earlierEvidenceUntil);
		return now > evidenceUntil || state.range.previous.every(incarnation => this.isFree(incarnation, state.range, now));
	}

	/** Makes sure that a previous incarnation no longer holds the range. */
	private clearPreviousOwner(state: RangeState, incarnation: TargetIncarnation, now: number): void {
		const {log, responsiveness} = this.options;
		const key = incarnationKey(incarnation);
		// A target that answers other calls will answer a release soon, so that nothing has to be assumed.
		const isAnswering = responsiveness.isAnswering(incarnation, now);
		const evidence = this.holdsOf(incarnation).evidenceFor(state.range, isAnswering);
		if (!evidence || now > expiryOf(evidence, isAnswering)) {
			state.cleared.add(key);
			log.record(LogEvent.HoldRanOut, {
				...this.logFields(state),
				target: incarnation.id,
				isProved: this.isFree(incarnation, state.range, now),
				isSuperseded: this.isSuperseded(incarnation),
				answeredMsAgo: this.answeredMsAgo(incarnation, now),
				...evidenceFields(evidence, now),
			});
			return;
		}

		// Another target answers at the address; it may hold keys under tokens of its own.
		if (responsiveness.hasEnded(incarnation)) {
			state.unresponsive.add(key);
			return;
		}

		if (responsiveness.isSuspected(incarnation)) {
			state.unresponsive.add(key);
			this.probeIfDue(incarnation, now);
			if (this.releasesInDoubt >= maxReleasesInDoubt) {
				return;
			}
		}

		const pacing = state.releasePacing(incarnation, now);
		if (pacing.start(now)) {
			void this.release(state, incarnation, pacing);
		}
	}

	private async sendEvictions(pacing: ReleasePacing, ranges: readonly UnreleasedRange[]): Promise<void> {
		await Promise.all(ranges.map(async range => this.sendEviction(range)));
		pacing.end();
	}

	private async sendEviction(range: UnreleasedRange): Promise<void> {
		const {orders, log} = this.options;
		const {
			first, last, holder, fence,
		} = range;
		this.evictionsInFlight += 1;
		try {
			await orders.release(holder, {
				range: {first, last}, fence, timeoutMs: grantTimeoutMs, mayBeSent: this.mayBeSent,
			});
			this.recordAnswer(holder);
			this.holdsOf(holder).recordRelease(range, fence);
			log.record(LogEvent.TargetEvicted, {
				service: this.options.rule().name, target: holder.id, first, last, fence,
			});
		} catch (error) {
			this.recordFailure(holder, error, {order: OrderKind.Release, range});
		} finally {
			this.evictionsInFlight -= 1;
		}
	}

	private holdsOf(incarnation: TargetIncarnation): KeyHolds {
		const key = incarnationKey(incarnation);
		const known = this.holds.get(key);
		if (known) {
			return known;
		}

		const holds = new KeyHolds(this.options.policy, this.takeoverAt);
		this.holds.set(key, holds);
		return holds;
	}

	/**
	 * True if the incarnation has probably ended. That is no proof that it holds nothing: an entry may name any start, and a process
	 * at the same address may have taken a grant that was meant for this one.
	 */
	private isSuperseded(incarnation: TargetIncarnation): boolean {
		const listed = this.options.view.listedTarget(incarnation.id);
		return this.options.responsiveness.hasEnded(incarnation) || (listed !== undefined && listed.bornAt > incarnation.bornAt);
	}

	private async release(state: RangeState, incarnation: TargetIncarnation, pacing: ReleasePacing): Promise<void> {
		const {orders, log} = this.options;
		const {range} = state;
		const key = incarnationKey(incarnation);
		const inDoubt = Number(this.options.responsiveness.isSuspected(incarnation));
		this.releasesInDoubt += inDoubt;
		try {
			const handover = await orders.release(incarnation, {
				range, fence: range.fence, timeoutMs: releaseTimeoutMs, mayBeSent: this.mayBeSent,
			});
			this.recordAnswer(incarnation);
			this.holdsOf(incarnation).recordRelease(range, range.fence);
			state.handover = range.previous.length === 1 ? handover : undefined;
			state.cleared.add(key);
			log.record(LogEvent.RangeReleased, {...this.logFields(state), target: incarnation.id, handover: handover !== undefined});
		} catch (error) {
			this.recordFailure(incarnation, error, {order: OrderKind.Release, range});
			state.unresponsive.add(key);
		} finally {
			pacing.end();
			this.releasesInDoubt -= inDoubt;
		}
	}

	private grant(state: RangeState, now: number): void {
		const {leadership, policy, responsiveness} = this.options;
		const {owner} = state.range;
		if (responsiveness.isSuspected(owner)) {
			this.probeIfDue(owner, now);
			// A target that serves requests keeps its keys: each further grant may be the one that is answered.
			if (!this.isServing(owner, now)) {
				return;
			}
		}

		const confirmationAgeMs = leadership.confirmationAgeMs();
		const holdDurationMs = policy.holdDurationMs(confirmationAgeMs);
		const isExtension = policy.isStoreOutage(confirmationAgeMs) && state.grantedHoldMs < holdDurationMs;
		if (this.grantsInFlight >= maxConcurrentGrants || state.isGranting || (now < state.nextGrantAt && !isExtension) || this.isSuperseded(owner)) {
			return;
		}

		state.isGranting = true;
		this.grantsInFlight += 1;
		void this.sendGrant(state, holdDurationMs);
	}

	private async sendGrant(state: RangeState, holdDurationMs: number): Promise<void> {
		const {orders, policy, log} = this.options;
		const {range, handover} = state;
		const isFirst = state.grantedAt === undefined;
		const holds = this.holdsOf(range.owner);
		const grant = holds.add(range, range.fence, holdDurationMs, performance.now());
		try {
			await orders.grant(range.owner, {
				range, fence: range.fence, holdDurationMs, handover, timeoutMs: grantTimeoutMs, mayBeSent: () => this.mayBeSent() && !grant.isSuperseded,
			});
			state.grantedAt = performance.now();
			holds.recordAnswer(grant, state.grantedAt);
			state.grantedHoldMs = holdDurationMs;
			state.nextGrantAt = state.grantedAt + policy.renewalIntervalMs(holdDurationMs);
			this.recordAnswer(range.owner);
			if (isFirst) {
				log.record(LogEvent.RangeGranted, {
					...this.logFields(state), target: range.owner.id, holdDurationMs, handover: handover !== undefined,
				});
			}
		} catch (error) {
			state.nextGrantAt = performance.now() + orderRetryDelayMs;
			if (error instanceof FenceRejectedError) {
				holds.discard(grant);
				this.options.onFenceRejected(error);
				return;
			}

			if (error instanceof OrderUnsentError) {
				holds.discard(grant);
			} else {
				holds.recordTimeout(grant, performance.now());
			}

			this.recordFailure(range.owner, error, {order: OrderKind.Grant, range});
		} finally {
			state.isGranting = false;
			this.grantsInFlight -= 1;
		}
	}

	/** Probes the identity of a suspected target. */
	private probeIfDue(incarnation: TargetIncarnation, now: number): void {
		if (this.options.responsiveness.startProbe(incarnation, now)) {
			void this.probe(incarnation);
		}
	}

	private async probe(incarnation: TargetIncarnation): Promise<void> {
		const {orders, responsiveness, log} = this.options;
		try {
			const id = await orders.identify(incarnation, this.options.rule().healthPath, grantTimeoutMs);
			if (id === incarnation.id) {
				this.recordAnswer(incarnation);
				return;
			}

			if (id !== undefined) {
				responsiveness.recordEnded(incarnation, performance.now());
			}
		} catch (error) {
			if (!(error instanceof RouterError)) {
				throw error;
			}

			const wasSent = !(error instanceof OrderUnsentError);
			responsiveness.recordUnansweredProbe(incarnation);
			log.record(LogEvent.OrderFailed, {
				service: this.options.rule().name, order: OrderKind.Identify, target: incarnation.id, wasSent, detail: error.message,
			});
		}
	}

	private recordAnswer(incarnation: TargetIncarnation): void {
		if (this.options.responsiveness.recordAnswer(incarnation)) {
			this.options.log.record(LogEvent.TargetTrusted, {service: this.options.rule().name, target: incarnation.id});
		}
	}

	private recordFailure(incarnation: TargetIncarnation, error: unknown, {order, range: {first, last, fence}}: {order: OrderKind; range: KeyRange & {fence: number}}): void {
		if (!(error instanceof RouterError)) {
			throw error;
		}

		const {responsiveness, log} = this.options;
		const wasSent = !(error instanceof OrderUnsentError);
		log.record(LogEvent.OrderFailed, {
			service: this.options.rule().name, order, target: incarnation.id, first, last, fence, wasSent, detail: error.message,
		});
		if (error instanceof TargetReplacedError) {
			responsiveness.recordEnded(incarnation, performance.now());
		}

		if (responsiveness.recordFailure(incarnation, {wasSent, isGrant: order === OrderKind.Grant})) {
			log.record(LogEvent.TargetSuspected, {
				service: this.options.rule().name, target: incarnation.id, order, answeredMsAgo: this.answeredMsAgo(incarnation, performance.now()),
			});
		}
	}

	/** Time since the target last answered a request of any daemon, for logs. */
	private answeredMsAgo({id}: TargetIncarnation, now: number): number | undefined {
		const answeredAt = this.options.loads.lastAnswerAt(id);
		return Number.isFinite(answeredAt) ? Math.round(now - answeredAt) : undefined;
	}

	private logFields({range}: RangeState): Record<string, string | number> {
		return {
			service: this.options.rule().name, first: range.first, last: range.last, fence: range.fence,
		};
	}
}

/** Owners that an assignment names; the store may not list them any more. */
function namedHolders({ranges}: KeyAssignment): PossibleHolder[] {
	return ranges.map(({owner}) => ({incarnation: owner, hasLeft: false}));
}

/** A holder without any keys of its own gets one release for all keys. */
function joinReleases(unreleased: readonly UnreleasedRange[], {ranges, fence}: KeyAssignment): readonly UnreleasedRange[] {
	const [{holder}] = unreleased;
	if (ranges.some(({owner}) => isSameIncarnation(owner, holder))) {
		return unreleased;
	}

	return [{
		first: 0, last: lastKey, holder, fence,
	}];
}

/** Fields of the log that name why a hold counts as expired. */
function evidenceFields(evidence: HoldEvidence | undefined, now: number): LogFields {
	return evidence
		? {
			lastGrant: evidence.outcome,
			grantFence: evidence.fence,
			grantAgeMs: evidence.sentAt === undefined ? undefined : Math.round(now - evidence.sentAt),
			arrivalAgeMs: Math.round(now - evidence.arrivesBy),
		}
		: {lastGrant: 'none'};
}
