/**
 * Orders to the targets of one keyed service: grants, renewals, releases, and questions to targets that do not answer.
 */
import {FenceRejectedError, RouterError} from '../../model/errors.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import type {TargetLife} from '../../model/fleet.js';
import type {KeyOrders} from '../../model/key-orders.js';
import type {ServiceRule} from '../../model/route-configuration.js';
import type {FleetView} from '../fleet/fleet-view.js';
import type {HoldPolicy} from './hold-policy.js';
import type {Leadership} from './leadership.js';
import type {RangeState} from './range-state.js';
import {lifeKey, type TargetTrust} from './target-trust.js';

/** Time limit of a grant in milliseconds; targets answer within a few, links add some. */
const grantLimitMs = 300;

/** Time limit of a release in milliseconds; running work of usual length ends within it. */
const releaseLimitMs = 900;

/** Pause after an order without an answer, in milliseconds. */
const orderRetryMs = 60;

/** Grants that wait for an answer at a time: a burst of more would delay its own answers beyond their limit on a small VM. */
const grantsAtOnce = 32;

/** What the orders depend on. */
export type RangeOrdersOptions = {
	orders: KeyOrders;
	view: FleetView;
	leadership: Leadership;
	policy: HoldPolicy;
	trust: TargetTrust;
	log: EventLog;
	/** The service as the configuration in force describes it. */
	rule(): ServiceRule;
	/** Called when a target knows a higher fence than the assignment. */
	onFenceRejected(error: FenceRejectedError): void;
};

/** Gives the orders of one term of leadership; the caller has proved it. */
export class RangeOrders {
	/** Latest end of holds that earlier leaders may have granted. */
	private readonly inheritedUntil: number;
	private grantsInFlight = 0;

	constructor(private readonly options: RangeOrdersOptions, takenAt: number) {
		this.inheritedUntil = options.policy.latestInheritedEnd(takenAt, grantLimitMs);
	}

	/** Gives the orders that the written owners of a range call for. */
	drive(state: RangeState, now: number): void {
		for (const life of state.range.previous) {
			if (!state.isCleared(life)) {
				this.clear(state, life, now);
			}
		}

		if (state.isFree) {
			this.grant(state, now);
		}
	}

	/** Makes sure that a previous life holds the range no more. */
	private clear(state: RangeState, life: TargetLife, now: number): void {
		const {log, trust} = this.options;
		const key = lifeKey(life);
		const until = Math.max(state.holds.get(key) ?? 0, this.hasBeenGranted(state, life) ? 0 : this.inheritedUntil);
		if (this.hasEnded(life) || now > until) {
			state.cleared.add(key);
			log.record(LogEvent.HoldRanOut, {...this.describe(state), target: life.id, hasEnded: this.hasEnded(life)});
			return;
		}

		if (trust.isSuspected(life)) {
			state.unreachable.add(key);
			this.question(life, now);
			return;
		}

		if (now >= (state.nextReleaseAt.get(key) ?? 0)) {
			state.nextReleaseAt.set(key, Infinity);
			void this.release(state, life);
		}
	}

	/** True if the life answered a grant of this term, so that older grants of the range are void. */
	private hasBeenGranted(state: RangeState, life: TargetLife): boolean {
		return state.confirmed.has(lifeKey(life));
	}

	private hasEnded(life: TargetLife): boolean {
		const listed = this.options.view.listedTarget(life.id);
		return this.options.trust.hasEnded(life) || (listed !== undefined && listed.bornAt > life.bornAt);
	}

	private async release(state: RangeState, life: TargetLife): Promise<void> {
		const {orders, log} = this.options;
		const {range} = state;
		const key = lifeKey(life);
		try {
			const handover = await orders.release(life, {range, fence: range.fence, timeoutMs: releaseLimitMs});
			this.noteAnswer(life);
			state.handover = range.previous.length === 1 ? handover : undefined;
			state.cleared.add(key);
			log.record(LogEvent.RangeReleased, {...this.describe(state), target: life.id, handover: handover !== undefined});
		} catch (error) {
			this.noteFailure(life, error, 'release');
			state.unreachable.add(key);
			state.nextReleaseAt.set(key, performance.now() + orderRetryMs);
		}
	}

	private grant(state: RangeState, now: number): void {
		const {leadership, policy, trust} = this.options;
		const {owner} = state.range;
		if (trust.isSuspected(owner)) {
			this.question(owner, now);
			return;
		}

		const proofAgeMs = leadership.proofAgeMs();
		const holdDurationMs = policy.holdDurationMs(proofAgeMs);
		const isExtension = policy.isTrouble(proofAgeMs) && state.grantedHoldMs < holdDurationMs;
		if (this.grantsInFlight >= grantsAtOnce || state.isGranting || (now < state.nextGrantAt && !isExtension) || this.hasEnded(owner)) {
			return;
		}

		state.isGranting = true;
		this.grantsInFlight += 1;
		state.noteHold(owner, policy.latestEnd(now + grantLimitMs, holdDurationMs));
		void this.sendGrant(state, holdDurationMs);
	}

	private async sendGrant(state: RangeState, holdDurationMs: number): Promise<void> {
		const {orders, policy, log} = this.options;
		const {range, handover} = state;
		const isFirst = state.grantedAt === undefined;
		try {
			await orders.grant(range.owner, {
				range, fence: range.fence, holdDurationMs, handover, timeoutMs: grantLimitMs,
			});
			state.grantedAt = performance.now();
			state.grantedHoldMs = holdDurationMs;
			state.nextGrantAt = state.grantedAt + policy.renewalMs(holdDurationMs);
			state.confirmed.add(lifeKey(range.owner));
			this.noteAnswer(range.owner);
			if (isFirst) {
				log.record(LogEvent.RangeGranted, {
					...this.describe(state), target: range.owner.id, holdDurationMs, handover: handover !== undefined,
				});
			}
		} catch (error) {
			state.nextGrantAt = performance.now() + orderRetryMs;
			if (error instanceof FenceRejectedError) {
				this.options.onFenceRejected(error);
				return;
			}

			this.noteFailure(range.owner, error, 'grant');
		} finally {
			state.isGranting = false;
			this.grantsInFlight -= 1;
		}
	}

	/** Asks a suspected target who it is. */
	private question(life: TargetLife, now: number): void {
		if (this.options.trust.takeQuestion(life, now)) {
			void this.ask(life);
		}
	}

	private async ask(life: TargetLife): Promise<void> {
		const {orders, trust, log} = this.options;
		try {
			const id = await orders.identify(life, this.options.rule().healthPath, grantLimitMs);
			if (id === life.id) {
				this.noteAnswer(life);
				return;
			}

			if (id !== undefined) {
				trust.noteEnded(life, performance.now());
			}
		} catch (error) {
			if (!(error instanceof RouterError)) {
				throw error;
			}

			trust.noteNoAnswer(life);
			log.record(LogEvent.OrderFailed, {
				service: this.options.rule().name, order: 'identify', target: life.id, detail: error.message,
			});
		}
	}

	private noteAnswer(life: TargetLife): void {
		if (this.options.trust.noteAnswer(life)) {
			this.options.log.record(LogEvent.TargetTrusted, {service: this.options.rule().name, target: life.id});
		}
	}

	private noteFailure(life: TargetLife, error: unknown, order: string): void {
		if (!(error instanceof RouterError)) {
			throw error;
		}

		const {trust, log} = this.options;
		log.record(LogEvent.OrderFailed, {
			service: this.options.rule().name, order, target: life.id, detail: error.message,
		});
		if (trust.noteFailure(life)) {
			log.record(LogEvent.TargetSuspected, {service: this.options.rule().name, target: life.id});
		}
	}

	private describe({range}: RangeState): Record<string, string | number> {
		return {
			service: this.options.rule().name, first: range.first, last: range.last, fence: range.fence,
		};
	}
}
