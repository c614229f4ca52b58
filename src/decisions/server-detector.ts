/**
 * Detection of lost servers from a daemon's own measurements.
 */

/** Outcome of one contact with a server. */
export enum Contact {
	Answered = 'answered',
	Silent = 'silent',
	/** The server's VM refused or reset the connection. */
	Refused = 'refused',
}

/** Opinion of one daemon about a server. */
export enum ServerOpinion {
	Healthy = 'healthy',
	/** No answer to several probes in a row. */
	Silent = 'silent',
	/** The process is gone: its VM refuses connections. */
	Gone = 'gone',
}

type ServerRecord = {
	silent: number;
	refused: number;
	answeredAt: number;
	healthySince: number;
};

/** Limits of the detector. */
export type DetectorLimits = {
	silentProbes: number;
	probePeriodMs: number;
};

/** Number of refused connections in a row that count as a lost process. */
const refusedLimit = 2;

/**
 * Counts contacts with each server. Requests outrank probes: a server that answers any request is not silent.
 */
export class ServerDetector {
	private readonly records = new Map<string, ServerRecord>();

	constructor(private readonly limits: DetectorLimits) {}

	observe(server: string, contact: Contact, now = performance.now()): void {
		const record = this.recordOf(server);
		if (contact === Contact.Answered) {
			if (record.silent + record.refused > 0) {
				record.healthySince = now;
			}

			record.silent = 0;
			record.refused = 0;
			record.answeredAt = now;
			return;
		}

		const answeredRecently = now - record.answeredAt < this.limits.probePeriodMs;
		if (contact === Contact.Refused) {
			record.refused += 1;
			return;
		}

		if (!answeredRecently) {
			record.silent += 1;
		}
	}

	opinion(server: string): ServerOpinion {
		const record = this.recordOf(server);
		if (record.refused >= refusedLimit) {
			return ServerOpinion.Gone;
		}

		return record.silent >= this.limits.silentProbes ? ServerOpinion.Silent : ServerOpinion.Healthy;
	}

	/** True if the last contact failed, so that witnesses are worth asking. */
	isDoubtful(server: string): boolean {
		const record = this.recordOf(server);
		return record.silent + record.refused > 0;
	}

	/** Milliseconds for which a server has answered without a failure. */
	healthyForMs(server: string, now = performance.now()): number {
		const record = this.recordOf(server);
		const isHealthy = record.silent + record.refused === 0 && record.answeredAt > -Infinity;
		return isHealthy ? now - record.healthySince : 0;
	}

	/** Forgets servers that are not configured any more. */
	retain(servers: Set<string>): void {
		for (const server of this.records.keys()) {
			if (!servers.has(server)) {
				this.records.delete(server);
			}
		}
	}

	private recordOf(server: string): ServerRecord {
		let record = this.records.get(server);
		if (!record) {
			record = {
				silent: 0, refused: 0, answeredAt: -Infinity, healthySince: performance.now(),
			};
			this.records.set(server, record);
		}

		return record;
	}
}
