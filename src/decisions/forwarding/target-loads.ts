/**
 * Load and speed of targets, learned from their answers and from the reports of peers.
 */
import type {Target} from '../../model/fleet.js';

/** What one daemon tells its peers about targets. */
export type LoadReport = {
	/** Requests in flight by target. */
	inFlight: Record<string, number>;
	/** Count and total service time in milliseconds of answers since the last report, by target. */
	samples: Record<string, [number, number]>;
};

/** Service time that is assumed of a service without answers, in milliseconds; the middle of the users' sheets. */
const initialServiceMs = 120;

/** Weight of one answer in the learned service time; about the last dozen answers count. */
const sampleWeight = 0.08;

/** Weight of one answer in the learned share of failures; about the last seven answers count. */
const failureWeight = 0.15;

/** Factor of the service time of a target that is warming up; servers on the users' sheets take twice as long. */
const warmUpFactor = 2;

/** Time after which a peer's report no longer counts, in milliseconds; hubs of the largest fleets report each second. */
const reportLifeMs = 2500;

/** First and longest time for which a failing target gets no requests, in milliseconds. */
const firstEjectionMs = 250;
const longestEjectionMs = 3000;

/** A target that refuses with fewer requests for each of its slots does so for another reason than its queue. */
const fullPerSlot = 2;

/** Time for which a refusal tells how much a target takes, in milliseconds; its queue drains meanwhile. */
const fullMemoryMs = 300;

/** Share of its age by which an unanswered request raises the expectation of its target. */
const pendingShare = 0.5;

type TargetRecord = {
	/** Start times of own requests in flight. */
	pending: Set<number>;
	serviceMs: number | undefined;
	failureShare: number;
	failuresInRow: number;
	ejectedUntil: number;
	/** Requests in flight at which the target refused another one, and until when that counts. */
	fullAt: number;
	fullUntil: number;
	sampleCount: number;
	sampleSumMs: number;
};

type PeerReport = {
	heardAt: number;
	inFlight: Record<string, number>;
};

/** Expectation of a target. */
export type Expectation = {
	/** Expected time until a new request is answered, in milliseconds. */
	finishMs: number;
	/** Requests in flight of all daemons. */
	inFlight: number;
	failureShare: number;
	isEjected: boolean;
	/** True if the target would refuse another request, or reset the connection that it takes. */
	isFull: boolean;
};

/** What an expectation depends on besides the load. */
export type ExpectationOptions = {
	/** Time until the target has warmed up, in milliseconds. */
	warmUpLeftMs?: number;
	/** Connections that this daemon may have to the target; each carries one request at a time. */
	connectionLimit?: number;
	now?: number;
};

/** Learns from answers; knows nothing of sockets. */
export class TargetLoads {
	private readonly records = new Map<string, TargetRecord>();
	private readonly peers = new Map<string, PeerReport>();
	private readonly peerInFlight = new Map<string, number>();
	/** Learned service time by service. */
	private readonly serviceMs = new Map<string, number>();

	/** Notes that a request is sent; the returned key ends it. */
	begin(target: Target, now = performance.now()): number {
		const {pending} = this.record(target.id);
		let key = now;
		while (pending.has(key)) {
			key += 0.001;
		}

		pending.add(key);
		return key;
	}

	/** Notes a whole answer of the target. */
	succeed(target: Target, key: number, isFailure: boolean, now = performance.now()): void {
		const record = this.record(target.id);
		const position = this.inFlight(target.id);
		record.pending.delete(key);
		record.failuresInRow = 0;
		record.ejectedUntil = 0;
		record.failureShare += ((isFailure ? 1 : 0) - record.failureShare) * failureWeight;
		if (!isFailure) {
			// A request that met a full target also waited for those before it.
			const waitFactor = Math.max(1, position / target.slots);
			this.learn(target, (now - key) / waitFactor);
		}
	}

	/** Notes a refusal of the target. */
	refuse(target: Target, key: number, now = performance.now()): void {
		const record = this.record(target.id);
		record.pending.delete(key);
		const inFlight = this.inFlight(target.id);
		if (inFlight >= target.slots * fullPerSlot) {
			record.fullAt = inFlight;
			record.fullUntil = now + fullMemoryMs;
		}

		record.failureShare += (1 - record.failureShare) * failureWeight;
	}

	/** Notes a try that ended because its caller needs it no longer. */
	abandon(target: Target, key: number): void {
		this.record(target.id).pending.delete(key);
	}

	/** Notes a try without an answer; returns how long the target gets no requests. */
	fail(target: Target, key: number, now = performance.now()): number {
		const record = this.record(target.id);
		record.pending.delete(key);
		record.failureShare += (1 - record.failureShare) * failureWeight;
		record.failuresInRow += 1;
		const ejectionMs = Math.min(longestEjectionMs, firstEjectionMs * (2 ** (record.failuresInRow - 1)));
		record.ejectedUntil = now + ejectionMs;
		return ejectionMs;
	}

	expect(target: Target, {warmUpLeftMs = 0, connectionLimit = Infinity, now = performance.now()}: ExpectationOptions = {}): Expectation {
		const record = this.record(target.id);
		const inFlight = this.inFlight(target.id);
		const base = this.learnedServiceMs(target) * (warmUpLeftMs > 0 ? warmUpFactor : 1);
		const [oldest = now] = record.pending;
		const serviceMs = Math.max(base, (now - oldest) * pendingShare);
		const finishMs = serviceMs * Math.max(1, (inFlight + 1) / target.slots);
		const isQueueFull = now < record.fullUntil && inFlight >= record.fullAt;
		return {
			finishMs, inFlight, failureShare: record.failureShare, isEjected: now < record.ejectedUntil, isFull: isQueueFull || record.pending.size >= connectionLimit,
		};
	}

	/** Learned time of one request at a target, in milliseconds. */
	learnedServiceMs(target: Target): number {
		return this.records.get(target.id)?.serviceMs ?? this.serviceMs.get(target.service) ?? initialServiceMs;
	}

	inFlight(id: string): number {
		return (this.records.get(id)?.pending.size ?? 0) + (this.peerInFlight.get(id) ?? 0);
	}

	/** Own requests in flight by target. */
	inFlightNow(): Record<string, number> {
		const inFlight: Record<string, number> = {};
		for (const [id, {pending}] of this.records) {
			if (pending.size > 0) {
				inFlight[id] = pending.size;
			}
		}

		return inFlight;
	}

	/** Own load, with the answers since the last report. */
	report(): LoadReport {
		const report: LoadReport = {inFlight: this.inFlightNow(), samples: {}};
		for (const [id, record] of this.records) {
			if (record.sampleCount > 0) {
				report.samples[id] = [record.sampleCount, Math.round(record.sampleSumMs)];
				record.sampleCount = 0;
				record.sampleSumMs = 0;
			}
		}

		return report;
	}

	/** Takes the report of a peer. */
	hear(daemon: string, report: LoadReport, now = performance.now()): void {
		this.forgetPeer(daemon);
		this.peers.set(daemon, {heardAt: now, inFlight: report.inFlight});
		this.addPeerLoad(report.inFlight, 1);
		for (const [id, [count, sumMs]] of Object.entries(report.samples)) {
			const record = this.record(id);
			const weight = 1 - ((1 - sampleWeight) ** count);
			const mean = sumMs / count;
			record.serviceMs = record.serviceMs === undefined ? mean : record.serviceMs + ((mean - record.serviceMs) * weight);
		}
	}

	/** Drops reports of silent peers and records of targets that are gone. */
	prune(isKnown: (id: string) => boolean, now = performance.now()): void {
		for (const [daemon, {heardAt}] of this.peers) {
			if (now - heardAt > reportLifeMs) {
				this.forgetPeer(daemon);
			}
		}

		for (const [id, {pending}] of this.records) {
			if (pending.size === 0 && !isKnown(id)) {
				this.records.delete(id);
			}
		}
	}

	private learn(target: Target, serviceMs: number): void {
		const record = this.record(target.id);
		record.sampleCount += 1;
		record.sampleSumMs += serviceMs;
		record.serviceMs = record.serviceMs === undefined ? this.blendWithService(target, serviceMs) : record.serviceMs + ((serviceMs - record.serviceMs) * sampleWeight);
		const known = this.serviceMs.get(target.service);
		this.serviceMs.set(target.service, known === undefined ? serviceMs : known + ((serviceMs - known) * sampleWeight));
	}

	/** A single answer says little of a target; it begins at the service's time. */
	private blendWithService(target: Target, serviceMs: number): number {
		const known = this.serviceMs.get(target.service);
		return known === undefined ? serviceMs : ((known * 3) + serviceMs) / 4;
	}

	private forgetPeer(daemon: string): void {
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
			pending: new Set(), serviceMs: undefined, failureShare: 0, failuresInRow: 0, ejectedUntil: 0, fullAt: 0, fullUntil: 0, sampleCount: 0, sampleSumMs: 0,
		};
		this.records.set(id, record);
		return record;
	}
}
