/**
 * Freshness of the active configuration: evidence that it is the newest one, for answers that a caller takes as final.
 */
import type {Cancellation} from '../../model/cancellation.js';
import {elapsedSince, currentMoment, type Moment} from '../ownership/moment.js';
import {EvidenceWaiters, evidenceWaitMs, failureBackoffMs} from './evidence-waiters.js';

/** Strictest bound in the users' requirements, in milliseconds. */
const defaultBoundMs = 2000;

/** Share of the bound after which a daemon requests a missing version itself; its peers usually bring it sooner. */
const requestAfterShare = 0.25;

/** Share of the bound after which a missing version makes the active one outdated; peers may have reported the version late. */
const outdatedAfterShare = 0.5;

/** Time for which a peer's report that it reaches the store counts, in milliseconds; idle peers report every 250 ms. */
const storeContactLifetimeMs = 1000;

/** Most missing versions that are recorded individually; changes may come several times a second. */
const missingVersionLimit = 64;

/** A newer version that a peer has. */
type MissingVersion = {
	version: number;
	/** Monotonic time in milliseconds, so that a step of the time of day does not make a version late. */
	receivedAt: number;
};

/** Tracks until when the active configuration was confirmed as the newest one. */
export class ConfigurationFreshness {
	private activeVersion = 0;
	private confirmedAt: Moment | undefined;
	private failedAt: Moment | undefined;
	/** Versions that peers have and this daemon does not, the oldest first. */
	private missingVersions: MissingVersion[] = [];
	/** Monotonic time at which a peer with a newer version last reached the store. */
	private lastObtainableAt = Number.NEGATIVE_INFINITY;
	private readonly waiters = new EvidenceWaiters();
	/** True while the restored store is not known to have a configuration at least as new as the active one. */
	private isAhead = false;

	/** @param boundMs time in which a configuration has to be active on every daemon, in milliseconds */
	constructor(readonly boundMs = defaultBoundMs) {}

	/**
	 * True if no version can be missing that should be active by now: a version that the evidence does not cover was acknowledged
	 * to the operator after the time of the evidence, so that the bound for its activation has not passed.
	 */
	get isFresh(): boolean {
		return this.missingVersions.length === 0 && this.ageMs <= this.boundMs;
	}

	/**
	 * True if peers have had a newer version for so long that this daemon may no longer serve from its own. While no daemon
	 * reaches the store, it still may: the version cannot be read, and other daemons may be missing it as well.
	 */
	get isOutdated(): boolean {
		const isObtainable = this.failedAt === undefined || performance.now() - this.lastObtainableAt <= storeContactLifetimeMs;
		return isObtainable && this.missingForMs > this.boundMs * outdatedAfterShare;
	}

	/** True while requests wait for evidence, or a version has been missing for some time. */
	get isEvidenceNeeded(): boolean {
		return this.waiters.size > 0 || this.missingForMs > this.boundMs * requestAfterShare;
	}

	/** Age of the evidence in milliseconds. */
	get ageMs(): number {
		return this.confirmedAt ? elapsedSince(this.confirmedAt) : Infinity;
	}

	/** The age for logs; undefined without evidence. */
	get roundedAgeMs(): number | undefined {
		return this.confirmedAt && Math.round(this.ageMs);
	}

	/** Records the version that is active from now on. */
	recordActiveVersion(version: number): void {
		this.activeVersion = version;
		this.missingVersions = this.missingVersions.filter(each => each.version > version);
		this.settleIfFresh();
	}

	/**
	 * Records the active version of a peer.
	 *
	 * @param isStoreReachable true if the store answers that peer
	 */
	recordPeerVersion(version: number, isStoreReachable = false): void {
		if (isStoreReachable && version > this.activeVersion) {
			this.lastObtainableAt = performance.now();
		}

		if (version <= (this.missingVersions.at(-1)?.version ?? this.activeVersion)) {
			return;
		}

		if (this.missingVersions.length < missingVersionLimit) {
			this.missingVersions.push({version, receivedAt: performance.now()});
		}
	}

	/**
	 * Records that the active configuration was the newest one in the store.
	 *
	 * @param at a moment that is not after the store's answer; requested evidence counts from the request
	 */
	confirm(at: Moment): void {
		if (this.isAhead || elapsedSince(at) >= this.ageMs) {
			return;
		}

		this.confirmedAt = at;
		this.failedAt = undefined;
		// The store had no newer version at this moment, so that a peer that reported one before was wrong.
		this.missingVersions = this.missingVersions.filter(({receivedAt}) => receivedAt > at.monotonic);

		this.settleIfFresh();
	}

	/** True while the restored store is not known to have a configuration at least as new as the active one, which is not confirmed then. */
	get isAheadOfStore(): boolean {
		return this.isAhead;
	}

	/** Records the version of the store, read by this daemon or a peer. */
	recordStoredVersion(version: number): void {
		this.isAhead &&= version < this.activeVersion;
	}

	/** Discards the evidence and what peers reported, because the store was restored. */
	beginEra(): void {
		this.isAhead = this.activeVersion > 0;
		this.confirmedAt = undefined;
		this.failedAt = undefined;
		this.missingVersions = [];
	}

	/** Records that neither the store nor a peer has evidence: pending waits end, and new ones fail at once for some time. */
	recordFailure(): void {
		this.failedAt = currentMoment();
		this.waiters.settle(false);
	}

	/**
	 * Waits for evidence; false if none came in time, or the request was cancelled.
	 *
	 * @param leftMs remaining time of the caller, in milliseconds
	 */
	async waitForEvidence(cancellation: Cancellation, leftMs = Infinity): Promise<boolean> {
		if (this.isFresh) {
			return true;
		}

		if (cancellation.isCancelled || (this.failedAt && elapsedSince(this.failedAt) <= failureBackoffMs)) {
			return false;
		}

		return this.waiters.wait(cancellation, Math.min(evidenceWaitMs, leftMs));
	}

	private get missingForMs(): number {
		const [oldest] = this.missingVersions;
		return oldest ? performance.now() - oldest.receivedAt : 0;
	}

	private settleIfFresh(): void {
		if (this.isFresh) {
			this.waiters.settle(true);
		}
	}
}
