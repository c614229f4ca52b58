/**
 * Detects that this daemon is cut off from all targets.
 *
 * Slow or failing targets say nothing about that, so only failing connections to several targets count, and each suspicion is
 * confirmed by probes. Connections that hang are suspected because requests on them get no answer.
 */
import {LogEvent, type EventLog} from '../../model/events.js';
import type {Target} from '../../model/fleet.js';
import {AttemptEnd, type AttemptResult, type ConnectionProbe} from '../../model/forwarding.js';
import type {FleetView} from '../fleet/fleet-view.js';

/** Time for which a failed connection counts towards a suspicion, in milliseconds. */
const failureValidityMs = 2000;

/** Targets whose connections have to fail until a daemon that gets answers is suspected. */
const suspiciousFailureCount = 2;

/** Time without an answer from any target after which a single failed connection is a suspicion, in milliseconds. */
const silenceMs = 200;

/** Shortest and longest time after which an unanswered request is a suspicion, in milliseconds. */
const shortestOverdueMs = 250;
const longestOverdueMs = 1000;

/** A request is overdue after this multiple of its estimated time; a few requests in a hundred take seven times as long as usual. */
const overdueFactor = 3;

/** Time after a successful probe until the next suspicion is followed, in milliseconds. */
const recheckMs = 500;

/** Targets that are probed to confirm a suspicion. */
const confirmationProbeCount = 3;

/** Time after an answer in which open connections count as working, in milliseconds. */
const workingMs = 500;

/** Interval between probes while the daemon is cut off, in milliseconds. */
const returnProbeIntervalMs = 250;

/** A request that was sent to a target and has no answer yet. */
type PendingAttempt = {
	sentAt: number;
	/** Time without an answer to this or another request after which it is overdue, in milliseconds. */
	overdueMs: number;
};

/** Dependencies of the detection. */
export type TargetAccessOptions = {
	view: FleetView;
	probe: ConnectionProbe;
	log: EventLog;
	random(): number;
	/** Called once in each cut, when open connections do not work either. */
	onIsolated(): void;
};

/** Tells whether this daemon reaches any target. */
export class TargetAccess {
	private readonly pending = new Set<PendingAttempt>();
	/** Times of failed connections by target, since a connection was last opened. */
	private readonly failures = new Map<string, number>();
	private lastAnswerAt = -Infinity;
	private reachableAt = -Infinity;
	private cutOffAt: number | undefined;
	private confirmation: Promise<void> | undefined;
	private probedAt = -Infinity;
	private isProbing = false;
	private isIsolationReported = false;

	constructor(private readonly options: TargetAccessOptions) {}

	/** True while no connection to any target can be opened. */
	get isCutOff(): boolean {
		return this.cutOffAt !== undefined;
	}

	/** True while the daemon is cut off and gets no answers on open connections either. */
	get isIsolated(): boolean {
		return this.isCutOff && performance.now() - this.lastAnswerAt > workingMs;
	}

	/** Records that a request is sent to a target; returns a key with which its end is recorded. */
	startAttempt(estimatedMs: number, now = performance.now()): PendingAttempt {
		const overdueMs = Math.min(longestOverdueMs, Math.max(shortestOverdueMs, estimatedMs * overdueFactor));
		const attempt = {sentAt: now, overdueMs};
		this.pending.add(attempt);
		return attempt;
	}

	/** Records how an attempt ended; without a result, it was cancelled and says nothing. */
	endAttempt(attempt: PendingAttempt, {id}: Pick<Target, 'id'>, result: AttemptResult | undefined, now = performance.now()): void {
		this.pending.delete(attempt);
		if (result?.hasConnected === true) {
			this.failures.clear();
		}

		switch (result?.end) {
			case undefined:
			case AttemptEnd.Ambiguous: {
				break;
			}

			case AttemptEnd.NotSent: {
				this.failures.set(id, now);
				break;
			}

			case AttemptEnd.Answered:
			case AttemptEnd.Streamed:
			case AttemptEnd.Refused:
			case AttemptEnd.UnprovedRefusal:
			case AttemptEnd.Misdirected: {
				this.lastAnswerAt = now;
				break;
			}
		}
	}

	/** Follows a suspicion, if there is one; true if the daemon is cut off. */
	async confirmCutOff(): Promise<boolean> {
		if (!this.isCutOff && this.hasSuspiciousFailures(performance.now())) {
			await this.confirm();
		}

		return this.isCutOff;
	}

	/** Called periodically. */
	tick(now = performance.now()): void {
		if (this.isCutOff) {
			this.reportIsolation();
			this.probeReturn(now);
			return;
		}

		if (this.hasSuspiciousSilence(now)) {
			void this.confirm();
		}
	}

	private hasSuspiciousFailures(now: number): boolean {
		for (const [id, failedAt] of this.failures) {
			if (now - failedAt > failureValidityMs) {
				this.failures.delete(id);
			}
		}

		const isSilent = now - this.lastAnswerAt > silenceMs;
		return this.failures.size >= (isSilent ? 1 : suspiciousFailureCount);
	}

	private hasSuspiciousSilence(now: number): boolean {
		if (now - this.lastAnswerAt < shortestOverdueMs) {
			return false;
		}

		for (const attempt of this.pending) {
			if (this.isOverdue(attempt, now)) {
				return true;
			}
		}

		return false;
	}

	private isOverdue({sentAt, overdueMs}: PendingAttempt, now: number): boolean {
		return now - Math.max(sentAt, this.lastAnswerAt) >= overdueMs;
	}

	private async confirm(): Promise<void> {
		if (!this.confirmation && performance.now() - this.reachableAt < recheckMs) {
			return;
		}

		this.confirmation ??= this.probeSeveral();
		await this.confirmation;
		this.confirmation = undefined;
	}

	private async probeSeveral(): Promise<void> {
		const targets = this.probeCandidates().slice(0, confirmationProbeCount);
		if (targets.length === 0) {
			return;
		}

		const isReachable = await isAnyTrue(targets.map(async ({address}) => this.options.probe.connects(address)));
		const now = performance.now();
		if (isReachable) {
			this.reachableAt = now;
			this.failures.clear();
			this.forgetOverdue(now);
			return;
		}

		this.cutOffAt = now;
		this.probedAt = now;
		this.options.log.record(LogEvent.TargetsUnreachable, {
			probed: targets.map(({id}) => id).join(','), silentMs: Number.isFinite(this.lastAnswerAt) ? Math.round(now - this.lastAnswerAt) : undefined,
		});
	}

	/** Requests that are slow although targets are reachable are no reason for more probes. */
	private forgetOverdue(now: number): void {
		for (const attempt of this.pending) {
			if (this.isOverdue(attempt, now)) {
				this.pending.delete(attempt);
			}
		}
	}

	private reportIsolation(): void {
		if (this.isIsolated && !this.isIsolationReported) {
			this.isIsolationReported = true;
			this.options.onIsolated();
		}
	}

	private probeReturn(now: number): void {
		if (this.isProbing || now - this.probedAt < returnProbeIntervalMs) {
			return;
		}

		const [target] = this.probeCandidates();
		if (!target) {
			return;
		}

		this.isProbing = true;
		this.probedAt = now;
		void this.options.probe.connects(target.address).then(connects => {
			this.isProbing = false;
			if (connects) {
				this.endCutOff(target);
			}
		});
	}

	private endCutOff({id}: Target): void {
		const now = performance.now();
		this.options.log.record(LogEvent.TargetsReachable, {target: id, cutOffMs: Math.round(now - (this.cutOffAt ?? now))});
		this.cutOffAt = undefined;
		this.isIsolationReported = false;
		this.reachableAt = now;
		this.failures.clear();
	}

	/** Targets that may get requests, in random order, those whose connections failed lately last. */
	private probeCandidates(): Target[] {
		const {view, random} = this.options;
		return [...view.listedTargets()]
			.filter(target => view.isReady(target))
			.map(target => ({target, rank: random() + (this.failures.has(target.id) ? 1 : 0)}))
			.toSorted((left, right) => left.rank - right.rank)
			.map(({target}) => target);
	}
}

/** Settles with the first that is true; false if none is. */
async function isAnyTrue(promises: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
	return new Promise(resolve => {
		for (const promise of promises) {
			void promise.then(isTrue => {
				if (isTrue) {
					resolve(true);
				}
			});
		}

		void Promise.all(promises).then(() => {
			resolve(false);
		});
	});
}
