/**
 * Counts of requests that met or missed their service-level objectives.
 */
import {BurnCause, type BurnSample} from '../model/burn.js';
import type {RequestClass, Service} from '../model/configuration.js';
import {NotRunError, NotRunReason} from '../model/errors.js';
import {OutcomeKind, type Outcome} from './outcome.js';

const minuteMs = 60_000;

/** Minutes for which samples are kept. */
const retentionMinutes = 24 * 60;

const causes: Partial<Record<NotRunReason, BurnCause>> = {
	[NotRunReason.NoRouteLease]: BurnCause.Lease,
	[NotRunReason.Paused]: BurnCause.Move,
	[NotRunReason.Fenced]: BurnCause.Move,
	[NotRunReason.NoOwner]: BurnCause.Move,
	[NotRunReason.QueueFull]: BurnCause.Overload,
	[NotRunReason.QueueTimeout]: BurnCause.Overload,
	[NotRunReason.Shed]: BurnCause.Overload,
	[NotRunReason.Connect]: BurnCause.Target,
	[NotRunReason.ClaimUnavailable]: BurnCause.Store,
};

/**
 * Counts requests by service, class and minute. The counts are kept in memory only.
 */
export class BurnRecorder {
	private readonly samples = new Map<string, BurnSample>();

	record(service: Service, requestClass: RequestClass, outcome: Outcome, durationMs: number): void {
		const minute = Math.floor(Date.now() / minuteMs) * minuteMs;
		const name = `${service.name}/${requestClass.name}/${minute}`;
		let sample = this.samples.get(name);
		if (!sample) {
			sample = {
				customer: service.customer, service: service.name, requestClass: requestClass.name, objective: service.objective, minute, total: 0, failed: {},
			};
			this.samples.set(name, sample);
			this.expire(minute);
		}

		sample.total += 1;
		const cause = causeOf(outcome, durationMs > requestClass.deadlineMs);
		if (cause !== BurnCause.None) {
			sample.failed[cause] = (sample.failed[cause] ?? 0) + 1;
		}
	}

	all(): BurnSample[] {
		return [...this.samples.values()];
	}

	private expire(minute: number): void {
		for (const [name, sample] of this.samples) {
			if (sample.minute < minute - (retentionMinutes * minuteMs)) {
				this.samples.delete(name);
			}
		}
	}
}

function causeOf(outcome: Outcome, isLate: boolean): BurnCause {
	if (outcome.kind === OutcomeKind.Answered) {
		const isServerError = (outcome.status ?? 0) >= 500;
		return isServerError ? BurnCause.Target : (isLate ? BurnCause.Late : BurnCause.None);
	}

	if (outcome.kind === OutcomeKind.Unknown) {
		return BurnCause.Target;
	}

	const reason = outcome.error instanceof NotRunError ? outcome.error.reason : undefined;
	if (reason === NotRunReason.Cancelled) {
		return BurnCause.None;
	}

	return (reason === undefined ? undefined : causes[reason]) ?? BurnCause.Overload;
}
