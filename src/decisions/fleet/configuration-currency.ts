/**
 * Evidence that the configuration in force is the newest one.
 */

/** Notes until when the configuration was known to be the newest one. */
export class ConfigurationCurrency {
	private confirmedAt = Number.NEGATIVE_INFINITY;

	/**
	 * Notes that the configuration in force was the newest one of the store.
	 *
	 * @param at a monotonic time that is not after the store's answer; evidence that was asked for counts from the asking
	 */
	confirm(at: number): void {
		this.confirmedAt = Math.max(this.confirmedAt, at);
	}

	/** Age of the evidence in milliseconds. */
	ageMs(now: number): number {
		return now - this.confirmedAt;
	}

	/** The age for logs; nothing without evidence. */
	wholeAgeMs(now: number): number | undefined {
		const ageMs = this.ageMs(now);
		return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
	}
}
