/**
 * Denials: negative answers that follow from the configuration, such as "no service takes this path". Callers do not
 * repeat a denied request, so a daemon denies only while its configuration is confirmed as the newest.
 */
import {NotRunError, NotRunReason, type BadRequestError} from '../model/errors.js';
import {LogEvent, type EventLog} from '../model/events.js';
import type {Confirmation} from './confirmation.js';
import type {Replica} from './replica.js';

/** Dependencies of the decision on denials. */
export type DenialParts = {
	confirmation: Pick<Confirmation, 'confirmationAgeMs'>;
	replica: Pick<Replica, 'configuration'>;
	log: EventLog;
};

/** Oldest confirmation by the store that allows a denial, in milliseconds: every daemon applies a change within this time (docs/design/configuration.md). */
const maxConfirmationAgeMs = 4000;

/**
 * Decides whether a daemon may deny a request.
 */
export class Denials {
	constructor(private readonly parts: DenialParts) {}

	/** True if a request for something that the known documents do not contain may be denied. */
	mayDeny(): boolean {
		return this.parts.confirmation.confirmationAgeMs() <= maxConfirmationAgeMs;
	}

	/** Returns the answer for the caller: the denial, or "not run" if a newer configuration may allow the request. */
	judge(denial: BadRequestError): BadRequestError | NotRunError {
		const {confirmation, replica, log} = this.parts;
		if (this.mayDeny()) {
			return denial;
		}

		const confirmationAgeMs = confirmation.confirmationAgeMs();
		const reason = NotRunReason.ConfigurationUnconfirmed;
		log.record(LogEvent.RequestRefused, {
			reason,
			status: denial.status,
			detail: denial.message,
			configurationVersion: replica.configuration.value.version,
			proofAgeMs: Number.isFinite(confirmationAgeMs) ? Math.round(confirmationAgeMs) : undefined,
		});
		return new NotRunError(reason);
	}
}
