/**
 * Evidence that the configuration in force is the newest one, for answers that a caller takes as final.
 */
import type {Cancellation} from '../../model/cancellation.js';
import {elapsedSince, presentMoment, type Moment} from '../ownership/clock-watch.js';

/** Bound of the users' strictest sheet, in milliseconds. */
const defaultBoundMs = 2000;

/** Part of the bound after which a daemon that lacks a version seeks it itself; its peers usually bring it sooner. */
const requestAfterShare = 0.25;

/** Part of the bound after which a version that is lacking makes the one in force outdated; peers may have told of it late. */
const outdatedAfterShare = 0.5;

/** Time for which evidence counts as not to be had after a failed question, in milliseconds. */
const failureBackoffMs = 500;

/** Longest wait for evidence, in milliseconds; the answer of a peer, and after it of the store, fits in. */
const evidenceWaitMs = 300;

/** Time for which the word of a peer that reaches the store counts, in milliseconds; the quietest report every 250 ms. */
const storeContactLifetimeMs = 1000;

/** Versions whose lack is noted one by one; changes may come several times a second. */
const missingVersionLimit = 64;

/** A newer version that a peer knows. */
type MissingVersion = {
	version: number;
	/** Monotonic time in milliseconds: a step of the time of day makes no version late. */
	receivedAt: number;
};

/** Notes until when the configuration in force was known to be the newest one. */
export class ConfigurationCurrency {
	private activeVersion = 0;
	private confirmedAt: Moment | undefined;
	private failedAt: Moment | undefined;
	/** Versions that peers have and this daemon has not, the oldest first. */
	private missingVersions: MissingVersion[] = [];
	/** Monotonic time at which a peer with a newer version last reached the store. */
	private lastObtainableAt = Number.NEGATIVE_INFINITY;
	private readonly waiters = new Set<(isCurrent: boolean) => void>();

	/** @param boundMs time in which a configuration has to be in force everywhere, in milliseconds */
	constructor(readonly boundMs = defaultBoundMs) {}

	/**
	 * True if no version that should be in force by now can be missing: the operator's next version was acknowledged after
	 * the evidence, and its bound has not passed.
	 */
	get isCurrent(): boolean {
		return this.missingVersions.length === 0 && this.ageMs <= this.boundMs;
	}

	/**
	 * True if peers have known a newer version for so long that this daemon may not serve by its own any more. While nobody
	 * reaches the store, it does: the version cannot be had, and others may lack it as well.
	 */
	get isOutdated(): boolean {
		const isObtainable = this.failedAt === undefined || performance.now() - this.lastObtainableAt <= storeContactLifetimeMs;
		return isObtainable && this.missingForMs > this.boundMs * outdatedAfterShare;
	}

	/** True while evidence is waited for, or a version is lacking. */
	get isEvidenceNeeded(): boolean {
		return this.waiters.size > 0 || this.missingForMs > this.boundMs * requestAfterShare;
	}

	/** Age of the evidence in milliseconds. */
	get ageMs(): number {
		return this.confirmedAt ? elapsedSince(this.confirmedAt) : Infinity;
	}

	/** The age for logs; nothing without evidence. */
	get wholeAgeMs(): number | undefined {
		return this.confirmedAt && Math.round(this.ageMs);
	}

	/** Notes the version that is in force from now on. */
	recordActiveVersion(version: number): void {
		this.activeVersion = version;
		this.missingVersions = this.missingVersions.filter(each => each.version > version);
		this.settleIfCurrent();
	}

	/**
	 * Notes a version that a peer has in force.
	 *
	 * @param isStoreReachable true if the store answers that peer
	 */
	hearVersion(version: number, isStoreReachable = false): void {
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
	 * Notes that the configuration in force was the newest one of the store.
	 *
	 * @param at a moment that is not after the store's answer; evidence that was asked for counts from the asking
	 */
	confirm(at: Moment): void {
		if (elapsedSince(at) >= this.ageMs) {
			return;
		}

		this.confirmedAt = at;
		this.failedAt = undefined;
		// The store holds no such version, so that the peer was wrong.
		this.missingVersions = this.missingVersions.filter(({receivedAt}) => receivedAt > at.monotonic);

		this.settleIfCurrent();
	}

	/** Notes that neither the store nor a peer could give evidence; nobody waits for it meanwhile. */
	recordFailure(): void {
		this.failedAt = presentMoment();
		this.settle(false);
	}

	/**
	 * Waits until there is evidence; false if none came in time, or the request was cancelled.
	 *
	 * @param leftMs time that the caller still has, in milliseconds
	 */
	async evidence(cancellation: Cancellation, leftMs = Infinity): Promise<boolean> {
		if (this.isCurrent) {
			return true;
		}

		if (cancellation.isCancelled || (this.failedAt && elapsedSince(this.failedAt) <= failureBackoffMs)) {
			return false;
		}

		return new Promise<boolean>(resolve => {
			const settle = (isCurrent: boolean): void => {
				clearTimeout(timer);
				this.waiters.delete(settle);
				cancellation.unsubscribe(onCancelled);
				resolve(isCurrent);
			};

			const onCancelled = (): void => {
				settle(false);
			};

			const timer = setTimeout(() => {
				settle(false);
			}, Math.max(0, Math.min(evidenceWaitMs, leftMs)));
			this.waiters.add(settle);
			cancellation.subscribe(onCancelled);
		});
	}

	private get missingForMs(): number {
		const [oldest] = this.missingVersions;
		return oldest ? performance.now() - oldest.receivedAt : 0;
	}

	private settleIfCurrent(): void {
		if (this.isCurrent) {
			this.settle(true);
		}
	}

	private settle(isCurrent: boolean): void {
		for (const settle of this.waiters) {
			settle(isCurrent);
		}
	}
}
