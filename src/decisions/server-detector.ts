/**
 * Detection of failed servers from the contacts of one daemon.
 */

/** Outcome of one contact with a server. */
export enum ContactResult {
	Answered = 'answered',
	Silent = 'silent',
	/** The server's VM refused or reset the connection. */
	Refused = 'refused',
}

/** Condition of a server as one daemon observes it. */
export enum ServerCondition {
	Healthy = 'healthy',
	/** No answer to several probes in a row. */
	Silent = 'silent',
	/** The process has stopped: its VM refuses connections. */
	Stopped = 'gone',
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

/** Number of refused connections in a row after which a process counts as stopped. */
const refusedLimit = 2;

/**
 * Counts failed contacts with each server. A silent probe shortly after any answer does not count, so that a server
 * that answers requests is never considered silent.
 */
export class ServerDetector {
	private readonly records = new Map<string, ServerRecord>();

	constructor(private readonly limits: DetectorLimits) {}

	observe(server: string, contact: ContactResult, now = performance.now()): void {
		const record = this.recordOf(server);
		if (contact === ContactResult.Answered) {
			if (record.silent + record.refused > 0) {
				record.healthySince = now;
			}

			record.silent = 0;
			record.refused = 0;
			record.answeredAt = now;
			return;
		}

		const answeredRecently = now - record.answeredAt < this.limits.probePeriodMs;
		if (contact === ContactResult.Refused) {
			record.refused += 1;
			return;
		}

		if (!answeredRecently) {
			record.silent += 1;
		}
	}

	condition(server: string): ServerCondition {
		const record = this.recordOf(server);
		if (record.refused >= refusedLimit) {
			return ServerCondition.Stopped;
		}

		return record.silent >= this.limits.silentProbes ? ServerCondition.Silent : ServerCondition.Healthy;
	}

	/** True if the last contact failed, so that other daemons should probe the server too. */
	isSuspected(server: string): boolean {
		const record = this.recordOf(server);
		return record.silent + record.refused > 0;
	}

	/** Milliseconds for which a server has answered without a failure. */
	healthyForMs(server: string, now = performance.now()): number {
		const record = this.recordOf(server);
		const isHealthy = record.silent + record.refused === 0 && record.answeredAt > -Infinity;
		return isHealthy ? now - record.healthySince : 0;
	}

	/** Removes the records of servers that are no longer configured. */
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
