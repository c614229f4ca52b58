/**
 * Denials: negative answers that follow from the configuration, such as "no service takes this path". Callers do not
 * repeat a request that was denied, so a daemon denies only under a configuration that it knows to be the newest.
 */
import {NotRunError, NotRunReason, type BadRequestError} from '../model/errors.js';
import {LogEvent, type EventLog} from '../model/events.js';
import type {Confirmation} from './confirmation.js';
import type {Replica} from './replica.js';

/** What denials are judged by. */
export type DenialParts = {
	confirmation: Pick<Confirmation, 'proofAgeMs'>;
	replica: Pick<Replica, 'configuration'>;
	log: EventLog;
};

/** Oldest proof under which a denial is given, in milliseconds: a change is in force on every daemon within this time (docs/design/configuration.md). */
const oldestProofMs = 4000;

/**
 * Decides whether a daemon may deny a request.
 */
export class Denials {
	constructor(private readonly parts: DenialParts) {}

	/** True if what the known documents do not hold may be denied. */
	mayDeny(): boolean {
		return this.parts.confirmation.proofAgeMs() <= oldestProofMs;
	}

	/** Returns what the caller is told: the denial, or "not run" if a newer configuration may allow the request. */
	judge(denial: BadRequestError): BadRequestError | NotRunError {
		const {confirmation, replica, log} = this.parts;
		if (this.mayDeny()) {
			return denial;
		}

		const proofAgeMs = confirmation.proofAgeMs();
		const reason = NotRunReason.ConfigurationUnproven;
		log.record(LogEvent.RequestRefused, {
			reason,
			status: denial.status,
			detail: denial.message,
			configurationVersion: replica.configuration.value.version,
			proofAgeMs: Number.isFinite(proofAgeMs) ? Math.round(proofAgeMs) : undefined,
		});
		return new NotRunError(reason);
	}
}
