/**
 * Load and speed of targets, estimated from their answers and from the reports of peers.
 */
import type {Target} from '../../model/fleet.js';

/** Report of one daemon to its peers about the load of targets. */
export type LoadReport = {
	/** Requests in flight by target. */
	inFlight: Record<string, number>;
	/** Count and total service time in milliseconds of answers since the last report, by target. */
	samples: Record<string, [number, number]>;
};

/** Service time assumed for a service before its first answer, in milliseconds; the middle of the users' specifications. */
const initialServiceMs = 120;

/** Weight of one answer in the moving average of the service time, which covers about the last dozen answers. */
const sampleWeight = 0.08;

/** Weight of one answer in the moving average of the failure share, which covers about the last seven answers. */
const failureWeight = 0.15;

/** Factor on the service time of a target that is warming up; by the users' specifications, servers take twice as long then. */
const warmUpFactor = 2;

/** Time after which a peer's report is dropped, in milliseconds; hubs of the largest fleets send one each second. */
const reportValidityMs = 2500;

/** First and longest time for which a failing target is ejected, in milliseconds. */
const firstEjectionMs = 250;
const longestEjectionMs = 3000;

/** Requests in flight per slot below which a refusal is not attributed to a full queue. */
const fullQueuePerSlot = 2;

/** Time for which a target is considered full after a refusal, in milliseconds; its queue drains meanwhile. */
const refusalValidityMs = 300;

/** The service time of a target is estimated as at least this share of the age of its oldest pending request. */
const pendingAgeShare = 0.5;

type TargetRecord = {
	/** Start times of this daemon's requests in flight. */
	pending: Set<number>;
	serviceMs: number | undefined;
	failureShare: number;
	failuresInRow: number;
	ejectedUntil: number;
	/** Requests in flight when the target refused one, and the time until which it is considered full at that number. */
	fullAt: number;
	fullUntil: number;
	sampleCount: number;
	sampleSumMs: number;
	/** When a daemon last reported an answer of the target. */
	answeredAt: number;
};

type PeerReport = {
	receivedAt: number;
	inFlight: Record<string, number>;
};

/** Estimated load and speed of a target. */
export type LoadEstimate = {
	/** Estimated time until a new request is answered, in milliseconds. */
	responseMs: number;
	/** Requests in flight from all daemons. */
	inFlight: number;
	failureShare: number;
	isEjected: boolean;
	/** True if the target would refuse another request, or reset the connection for it, which would exceed the limit. */
	isFull: boolean;
};

/** What an estimate depends on besides the load. */
export type EstimateOptions = {
	/** Time until the target has warmed up, in milliseconds. */
	warmUpLeftMs?: number;
	/** Connections that this daemon may open to the target; each carries one request at a time. */
	connectionLimit?: number;
	now?: number;
};

/** Keeps the load records of all targets, without any I/O. */
export class TargetLoads {
	private readonly records = new Map<string, TargetRecord>();
	private readonly peers = new Map<string, PeerReport>();
	private readonly peerInFlight = new Map<string, number>();
	/** Average service time by service. */
	private readonly serviceMsByService = new Map<string, number>();
	private peersAnsweredAt = -Infinity;

	/** Time of the last report of a peer about answers that it got from targets. */
	get lastPeerAnswerAt(): number {
		return this.peersAnsweredAt;
	}

	/** Time of the last answer of a target to a request of any daemon. */
	lastAnswerAt(id: string): number {
		return this.records.get(id)?.answeredAt ?? -Infinity;
	}

	/** Records the start of an attempt; returns a key with which its end is recorded. */
	startAttempt(target: Target, now = performance.now()): number {
		const {pending} = this.record(target.id);
		let key = now;
		while (pending.has(key)) {
			key += 0.001;
		}

		pending.add(key);
		return key;
	}

	/** Records a complete answer of the target. */
	recordAnswer(target: Target, key: number, isFailure: boolean, now = performance.now()): void {
		const record = this.record(target.id);
		const position = this.inFlight(target.id);
		record.pending.delete(key);
		record.answeredAt = now;
		record.failuresInRow = 0;
		record.ejectedUntil = 0;
		record.failureShare += ((isFailure ? 1 : 0) - record.failureShare) * failureWeight;
		if (!isFailure) {
			// With more requests in flight than slots, the request also waited for those ahead of it.
			const waitFactor = Math.max(1, position / target.slots);
			this.addSample(target, (now - key) / waitFactor);
		}
	}

	/** Records a refusal by the target. */
	recordRefusal(target: Target, key: number, now = performance.now()): void {
		const record = this.record(target.id);
		record.pending.delete(key);
		const inFlight = this.inFlight(target.id);
		if (inFlight >= target.slots * fullQueuePerSlot) {
			record.fullAt = inFlight;
			record.fullUntil = now + refusalValidityMs;
		}

		record.failureShare += (1 - record.failureShare) * failureWeight;
	}

	/** Records the end of an attempt whose result says nothing about the target. */
	recordAbandoned(target: Target, key: number): void {
		this.record(target.id).pending.delete(key);
	}

	/** Records an unanswered attempt and ejects the target; returns the duration of the ejection in milliseconds. */
	recordFailure(target: Target, key: number, now = performance.now()): number {
		const record = this.record(target.id);
		record.pending.delete(key);
		record.failureShare += (1 - record.failureShare) * failureWeight;
		record.failuresInRow += 1;
		const ejectionMs = Math.min(longestEjectionMs, firstEjectionMs * (2 ** (record.failuresInRow - 1)));
		record.ejectedUntil = now + ejectionMs;
		return ejectionMs;
	}

	estimate(target: Target, {warmUpLeftMs = 0, connectionLimit = Infinity, now = performance.now()}: EstimateOptions = {}): LoadEstimate {
		const record = this.record(target.id);
		const inFlight = this.inFlight(target.id);
		const base = this.estimatedServiceMs(target) * (warmUpLeftMs > 0 ? warmUpFactor : 1);
		const [oldest = now] = record.pending;
		const serviceMs = Math.max(base, (now - oldest) * pendingAgeShare);
		const responseMs = serviceMs * Math.max(1, (inFlight + 1) / target.slots);
		const isQueueFull = now < record.fullUntil && inFlight >= record.fullAt;
		return {
			responseMs, inFlight, failureShare: record.failureShare, isEjected: now < record.ejectedUntil, isFull: isQueueFull || record.pending.size >= connectionLimit,
		};
	}

	/** Estimated processing time of one request at a target, in milliseconds. */
	estimatedServiceMs(target: Target): number {
		return this.records.get(target.id)?.serviceMs ?? this.serviceMsByService.get(target.service) ?? initialServiceMs;
	}

	inFlight(id: string): number {
		return (this.records.get(id)?.pending.size ?? 0) + (this.peerInFlight.get(id) ?? 0);
	}

	/** This daemon's requests in flight by target. */
	ownInFlight(): Record<string, number> {
		const inFlight: Record<string, number> = {};
		for (const [id, {pending}] of this.records) {
			if (pending.size > 0) {
				inFlight[id] = pending.size;
			}
		}

		return inFlight;
	}

	/** Returns this daemon's requests in flight and its samples since the last report, and resets the samples. */
	takeReport(): LoadReport {
		const report: LoadReport = {inFlight: this.ownInFlight(), samples: {}};
		for (const [id, record] of this.records) {
			if (record.sampleCount > 0) {
				report.samples[id] = [record.sampleCount, Math.round(record.sampleSumMs)];
				record.sampleCount = 0;
				record.sampleSumMs = 0;
			}
		}

		return report;
	}

	/** Applies the report of a peer. */
	receiveReport(daemon: string, report: LoadReport, now = performance.now()): void {
		this.removePeer(daemon);
		this.peers.set(daemon, {receivedAt: now, inFlight: report.inFlight});
		this.addPeerLoad(report.inFlight, 1);
		for (const [id, [count, sumMs]] of Object.entries(report.samples)) {
			this.peersAnsweredAt = now;
			const record = this.record(id);
			record.answeredAt = now;
			const weight = 1 - ((1 - sampleWeight) ** count);
			const mean = sumMs / count;
			record.serviceMs = record.serviceMs === undefined ? mean : record.serviceMs + ((mean - record.serviceMs) * weight);
		}
	}

	/** Drops expired reports of peers and records of removed targets. */
	prune(isKnown: (id: string) => boolean, now = performance.now()): void {
		for (const [daemon, {receivedAt}] of this.peers) {
			if (now - receivedAt > reportValidityMs) {
				this.removePeer(daemon);
			}
		}

		for (const [id, {pending}] of this.records) {
			if (pending.size === 0 && !isKnown(id)) {
				this.records.delete(id);
			}
		}
	}

	private addSample(target: Target, serviceMs: number): void {
		const record = this.record(target.id);
		record.sampleCount += 1;
		record.sampleSumMs += serviceMs;
		record.serviceMs = record.serviceMs === undefined ? this.blendWithService(target, serviceMs) : record.serviceMs + ((serviceMs - record.serviceMs) * sampleWeight);
		const known = this.serviceMsByService.get(target.service);
		this.serviceMsByService.set(target.service, known === undefined ? serviceMs : known + ((serviceMs - known) * sampleWeight));
	}

	/** A single answer says little about a target, so its estimate starts close to the average of the service. */
	private blendWithService(target: Target, serviceMs: number): number {
		const known = this.serviceMsByService.get(target.service);
		return known === undefined ? serviceMs : ((known * 3) + serviceMs) / 4;
	}

	private removePeer(daemon: string): void {
		const known = this.peers.get(daemon);
		if (known) {
			this.addPeerLoad(known.inFlight, -1);
			this.peers.delete(daemon);
		}
	}

	private addPeerLoad(inFlight: Record<string, number>, sign: number): void {
		for (const [id, count] of Object.entries(inFlight)) {
			const total = (this.peerInFlight.get(id) ?? 0) + (sign * count);
			if (total > 0) {
				this.peerInFlight.set(id, total);
			} else {
				this.peerInFlight.delete(id);
			}
		}
	}

	private record(id: string): TargetRecord {
		const known = this.records.get(id);
		if (known) {
			return known;
		}

		const record: TargetRecord = {
			pending: new Set(), serviceMs: undefined, failureShare: 0, failuresInRow: 0, ejectedUntil: 0, fullAt: 0, fullUntil: 0, sampleCount: 0, sampleSumMs: 0, answeredAt: -Infinity,
		};
		this.records.set(id, record);
		return record;
	}
}
