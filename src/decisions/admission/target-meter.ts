/**
 * What a coordinator knows of one target.
 */
import type {Target} from '../../model/fleet.js';
import {SlotEnd, type SlotRelease, type TargetLoadReport} from '../../model/slots.js';

/** Requests in flight above the number of slots; one keeps a slot busy while an answer and the next request are on their way. */
const spareInFlight = 1;

/** Time until a reported slowness counts as over, in milliseconds; the deployments' targets change their speed every 400 ms. */
const slownessValidityMs = 400;

/** Usual slowness, in percent. */
const usualSlowness = 100;

/** Factor on the service time of a target that is warming up; by the deployments' specifications. */
const coldFactor = 2;

/** Answers that the assumed service time of a new target counts for. */
const initialSamples = 3;

/** Most answers that the service time is averaged over. */
const maxSamples = 30;

/** Largest multiple of the estimate that one answer counts as, so that a single long request does not make a target look slow. */
const maxSampleFactor = 5;

/** Multiple of its estimate after which an unanswered request makes the target suspect. */
const suspectFactor = 4;

/** Multiple of its estimate within which the answer to a trial ends the suspicion; targets five times slower mostly exceed it. */
const timelyFactor = 1.5;

/** Reported slowness in percent below which an answer ends the suspicion; targets report 300 at ordinary variations of speed. */
const timelySlowness = 200;

/** First and longest delay until another trial of a suspect target that does not answer, in milliseconds. */
const firstTrialMs = 250;
const longestTrialMs = 2000;

/** Time for which a target that refused a request gets no slots, in milliseconds; its queue drains meanwhile. */
const refusalPauseMs = 100;

/** Time for which a report shows what is in flight besides the grants, in milliseconds. */
const foreignValidityMs = 500;

/** Age below which a granted request may not have reached its target, in milliseconds. */
const transitMs = 5;

/** Time for which reports of peers count as the least that is in flight, in milliseconds; a former coordinator's grants end in it. */
const takeoverMs = 1000;

/** Age of the youngest reports of peers, in milliseconds; they do not count grants younger than that. */
const reportAgeMs = 90;

/** Time without a request after which this daemon may not have been the coordinator, in milliseconds. */
const unusedMs = 2000;

/** Time constant of the average utilization, in milliseconds. */
const utilizationMs = 2000;

const secondMs = 1000;

/** A slot in use. */
export type Grant = {
	daemon: string;
	number: number;
	target: string;
	grantedAt: number;
	expiresAt: number;
	/** Estimated response time when it was granted, in milliseconds. */
	expectedMs: number;
	/** Requests in flight per slot with this one, at least 1. */
	position: number;
	/** Factor on the service time, from the slowness and the warm-up, when it was granted. */
	slowdown: number;
};

/** A request that is granted a slot. */
export type Grantee = Pick<Grant, 'daemon' | 'number' | 'expiresAt'>;

/** What the view reports about a target besides its entry. */
export type TargetCondition = {
	isCold: boolean;
	/** Requests a second that it takes while it is cold; undefined if not bounded. */
	warmUpPerS: number | undefined;
};

/** Change of a target's standing that is worth a log line. */
export enum TrustChange {
	Suspected = 'suspected',
	Trusted = 'trusted',
}

export class TargetMeter {
	target: Target;
	/** In the order in which they were granted. */
	readonly grants = new Set<Grant>();
	private condition: TargetCondition = {isCold: false, warmUpPerS: undefined};
	private sampleCount = initialSamples;
	private slowness = usualSlowness;
	private slownessAt = -Infinity;
	private reportedSlots: number | undefined;
	/** Requests in flight that are not grants of this coordinator, as the target's last report shows. */
	private foreign = 0;
	private foreignAt = -Infinity;
	/** Unused grants of a cold target, at most one. */
	private coldGrants = 0;
	private refilledAt: number;
	private pausedUntil = -Infinity;
	private suspectSince: number | undefined;
	/** True if the target has answered since it became suspect. */
	private hasAnswered = true;
	private trial: Grant | undefined;
	private trialAt = 0;
	private trialDelayMs = firstTrialMs;
	/** Time of the grant of the latest request that was answered in time. */
	private timelyGrantedAt = -Infinity;
	private averageUtilization = 0;
	private measuredAt: number;
	private startedAt: number;
	private usedAt: number;

	constructor(target: Target, private serviceMs: number, now: number) {
		this.target = target;
		this.refilledAt = now;
		this.measuredAt = now;
		this.startedAt = now;
		this.usedAt = now;
	}

	get slots(): number {
		return Math.min(this.target.slots, this.reportedSlots ?? Infinity);
	}

	get isSuspect(): boolean {
		return this.suspectSince !== undefined;
	}

	/** True if the target is cold and has requests in flight. */
	get isColdInUse(): boolean {
		return this.condition.isCold && this.grants.size > 0;
	}

	/** Records that this daemon coordinates the target; true if it did not just before. */
	use(now: number): boolean {
		const isResumed = now - this.usedAt > unusedMs;
		this.usedAt = now;
		if (isResumed) {
			this.startedAt = now;
			this.coldGrants = 0;
			this.refilledAt = now;
		}

		return isResumed;
	}

	/** Follows the view. */
	update(target: Target, condition: TargetCondition, now: number): void {
		this.target = target;
		const {isCold, warmUpPerS} = condition;
		// What it takes a second counts from the time at which it is known to be cold, with nothing saved.
		this.coldGrants = isCold && this.condition.isCold ? Math.min(1, this.coldGrants + ((now - this.refilledAt) * (warmUpPerS ?? 0) / secondMs)) : 0;
		this.refilledAt = now;
		this.condition = condition;
	}

	/** Requests in flight, given what peers report. */
	inFlight(peerInFlight: number, now: number): number {
		const foreign = now - this.foreignAt < foreignValidityMs ? this.foreign : 0;
		const known = this.grants.size - this.countOverdue(now, ({grantedAt}) => grantedAt < this.timelyGrantedAt) + foreign;
		return now - this.startedAt < takeoverMs ? Math.max(known, peerInFlight + this.countYoung(reportAgeMs, now)) : known;
	}

	/** True if a request may be granted a slot; a suspect target gets one only as a trial, or if there is no other target. */
	isAvailable(inFlight: number, isOnlyChoice: boolean, now: number): boolean {
		const {isCold, warmUpPerS} = this.condition;
		// Requests that the target dropped hold their grants until the deadline and must not prevent the trial that shows that it works again.
		const counted = this.isTrialDue(now) ? inFlight - this.countOverdue(now, ({grantedAt}) => grantedAt >= this.timelyGrantedAt) : inFlight;
		if (now < this.pausedUntil || counted >= this.slots + spareInFlight || (isCold && warmUpPerS !== undefined && this.coldGrants < 1)) {
			return false;
		}

		return !this.isSuspect || this.isTrialDue(now) || (isOnlyChoice && (this.hasAnswered || inFlight === 0));
	}

	/** True if a suspect target is due for a trial. */
	isTrialDue(now: number): boolean {
		return this.isSuspect && now >= this.trialAt;
	}

	/** Estimated time until another request is answered, in milliseconds. */
	responseMs(inFlight: number, now: number): number {
		return this.serviceMs * this.slowdown(now) * Math.max(1, (inFlight + 1) / this.slots);
	}

	/** Requests that the target answers in a millisecond if it always has some. */
	perMs(now: number): number {
		const {isCold, warmUpPerS} = this.condition;
		const perMs = this.slots / (this.serviceMs * this.slowdown(now));
		return isCold && warmUpPerS !== undefined ? Math.min(perMs, warmUpPerS / secondMs) : perMs;
	}

	/** Share of the slots that was in use lately. */
	utilization(now: number): number {
		const weight = Math.exp((this.measuredAt - now) / utilizationMs);
		return (this.averageUtilization * weight) + (this.usedShare * (1 - weight));
	}

	start({daemon, number, expiresAt}: Grantee, inFlight: number, now: number): Grant {
		const expectedMs = this.responseMs(inFlight, now);
		if (this.condition.isCold) {
			this.coldGrants -= 1;
		}

		this.measure(now);
		const grant = {
			daemon, number, expiresAt, target: this.target.id, grantedAt: now, expectedMs, position: Math.max(1, (inFlight + 1) / this.slots), slowdown: this.slowdown(now),
		};
		this.grants.add(grant);
		if (this.isSuspect) {
			this.trial = grant;
			this.trialAt = now + Math.max(this.trialDelayMs, suspectFactor * expectedMs);
			this.trialDelayMs = Math.min(longestTrialMs, 2 * this.trialDelayMs);
		}

		return grant;
	}

	/** Ends a grant about whose result nothing is known. */
	drop(grant: Grant, now: number): void {
		this.measure(now);
		this.grants.delete(grant);
	}

	/** Ends a grant. */
	end(grant: Grant, {end, durationMs, load}: SlotRelease, now: number): TrustChange | undefined {
		const inFlight = this.grants.size;
		this.drop(grant, now);
		if (load) {
			this.recordLoad(load, inFlight, now);
		}

		switch (end) {
			case SlotEnd.Answered: {
				const usualMs = (durationMs ?? now - grant.grantedAt) / grant.position / ((grant.slowdown + this.slowdown(now)) / 2);
				const isTimely = (durationMs ?? now - grant.grantedAt) <= timelyFactor * grant.expectedMs || (load?.slowness ?? Infinity) < timelySlowness;
				const change = this.recordAnswer(grant, usualMs, isTimely, now);
				return (load?.slowness ?? 0) >= suspectFactor * usualSlowness ? this.suspect(true, now + firstTrialMs, now) : change;
			}

			case SlotEnd.Failed: {
				return this.suspect(true, now, now);
			}

			case SlotEnd.Silent: {
				// A lost request says nothing about a target that has answered later ones.
				return grant.grantedAt < this.timelyGrantedAt ? undefined : this.suspect(false, now + firstTrialMs, now);
			}

			case SlotEnd.Refused: {
				this.pausedUntil = now + refusalPauseMs;
				return undefined;
			}

			case SlotEnd.Unused: {
				return undefined;
			}
		}
	}

	/** Records a report for which no grant is known any more. */
	recordLateLoad(load: TargetLoadReport, now: number): void {
		this.recordLoad(load, this.grants.size, now);
	}

	/** Suspects the target if its oldest request has been in flight for too long and none granted later was answered in time. */
	checkSilence(now: number): TrustChange | undefined {
		if (this.isSuspect) {
			return undefined;
		}

		for (const {grantedAt, expectedMs} of this.grants) {
			if (grantedAt >= this.timelyGrantedAt) {
				return now - grantedAt > suspectFactor * Math.max(expectedMs, this.responseMs(0, now)) ? this.suspect(false, now + firstTrialMs, now) : undefined;
			}
		}

		return undefined;
	}

	/** Fields of a log line about the target. */
	logFields(now: number): {target: string; oldestMs: number; expectedMs: number; suspectedMs: number} {
		const [oldest] = this.grants;
		return {
			target: this.target.id,
			oldestMs: Math.round(oldest ? now - oldest.grantedAt : 0),
			expectedMs: Math.round(oldest?.expectedMs ?? 0),
			suspectedMs: Math.round(now - (this.suspectSince ?? now)),
		};
	}

	/** Records an answer with the time that the work takes without waiting at the usual speed. */
	private recordAnswer(grant: Grant, usualMs: number, isTimely: boolean, now: number): TrustChange | undefined {
		this.sampleCount = Math.min(maxSamples, this.sampleCount + 1);
		this.serviceMs += (Math.min(maxSampleFactor * this.serviceMs, usualMs) - this.serviceMs) / this.sampleCount;
		if (isTimely) {
			this.timelyGrantedAt = Math.max(this.timelyGrantedAt, grant.grantedAt);
		}

		if (!this.isSuspect) {
			return undefined;
		}

		this.hasAnswered = true;
		if (isTimely) {
			this.suspectSince = undefined;
			this.trialDelayMs = firstTrialMs;
			return TrustChange.Trusted;
		}

		// The answer to an earlier request shows that the target works, but not how fast at present.
		if (grant !== this.trial && !(this.trial && this.grants.has(this.trial))) {
			this.trialAt = now;
		}

		return undefined;
	}

	/** Suspects the target, unless it is suspect already. */
	private suspect(hasAnswered: boolean, trialAt: number, now: number): TrustChange | undefined {
		if (this.isSuspect) {
			return undefined;
		}

		this.hasAnswered = hasAnswered;
		this.trialAt = trialAt;
		this.suspectSince = now;
		return TrustChange.Suspected;
	}

	/** The report may count the answered request or not, and miss those on their way; what is certainly foreign is what exceeds all. */
	private recordLoad({running, waiting, slots, slowness}: TargetLoadReport, inFlight: number, now: number): void {
		this.reportedSlots = slots > 0 ? slots : undefined;
		this.foreign = Math.max(0, running + waiting - (inFlight - this.countYoung(transitMs, now)));
		this.foreignAt = now;
		if (slowness !== undefined) {
			this.slowness = slowness;
			this.slownessAt = now;
		}
	}

	/** Grants without an end for so long that their requests count as lost. */
	private countOverdue(now: number, isCounted: (grant: Grant) => boolean): number {
		let count = 0;
		for (const grant of this.grants) {
			count += now - grant.grantedAt > suspectFactor * grant.expectedMs && isCounted(grant) ? 1 : 0;
		}

		return count;
	}

	private countYoung(ageMs: number, now: number): number {
		let count = 0;
		for (const {grantedAt} of this.grants) {
			count += now - grantedAt < ageMs ? 1 : 0;
		}

		return count;
	}

	private slowdown(now: number): number {
		const share = Math.max(0, 1 - ((now - this.slownessAt) / slownessValidityMs));
		return (1 + ((this.slowness - usualSlowness) / usualSlowness * share)) * (this.condition.isCold ? coldFactor : 1);
	}

	private get usedShare(): number {
		return Math.min(1, this.grants.size / this.slots);
	}

	private measure(now: number): void {
		this.averageUtilization = this.utilization(now);
		this.measuredAt = now;
	}
}
