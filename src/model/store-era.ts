/**
 * The era of the store, which rises whenever the store is restored from a copy.
 *
 * Revisions, leases and acknowledged writes belong to one era; see docs/design/store-era.md.
 */
import {StoreAmbiguousError, StoreRestoredError, StoreUnavailableError} from './errors.js';

/** Highest accepted era. */
export const highestEra = 2 ** 31;

/**
 * Most by which an era can rise at once. It limits the effect of a corrupt value: all answers below the highest seen era are
 * discarded.
 */
const riseLimit = 1000;

/**
 * Called when the era changes, before the answer or message that showed it is used. The first era that is known is no restore, unless
 * the store has answered without an era before.
 */
export type EraListener = (era: number, isRestore: boolean) => void;

/** The highest era that an answer of the store or a message of another daemon has named. */
export class StoreEra {
	private known: number | undefined;
	private first: number | undefined;
	private knownSince = Number.NEGATIVE_INFINITY;
	/** True once the store has answered without an era. */
	private hasUntaggedAnswer = false;
	private readonly listeners: EraListener[] = [];

	/** Undefined while no era is known, as on deployments whose store names none. */
	get current(): number | undefined {
		return this.known;
	}

	/** When the current era was first seen; -Infinity while none is known. */
	get since(): number {
		return this.knownSince;
	}

	subscribe(listener: EraListener): void {
		this.listeners.push(listener);
	}

	/** Records an era; returns false if it is lower than the current one, or too high. */
	advance(era: number, now = performance.now()): boolean {
		const {known} = this;
		if (era === known) {
			return true;
		}

		if (era > highestEra || (known !== undefined && (era < known || era > known + riseLimit))) {
			return false;
		}

		this.known = era;
		this.first ??= era;
		this.knownSince = now;
		for (const listener of this.listeners) {
			listener(era, known !== undefined || this.hasUntaggedAnswer);
		}

		return true;
	}

	/**
	 * Records the era of an answer of the store.
	 *
	 * @param startedIn the era when the call, or the first of several that belong together, was made
	 * @param answered the era of the answer; undefined if it names none
	 * @param isWrite true if the call may have changed the store
	 * @throws {StoreUnavailableError} if the answer comes from before a restore
	 * @throws {StoreRestoredError} if the store was restored during the call
	 * @throws {StoreAmbiguousError} in both cases for a write: it may have been executed in either era
	 */
	acceptAnswer(startedIn: number | undefined, answered: number | undefined, isWrite: boolean): void {
		if (answered === undefined) {
			this.hasUntaggedAnswer = true;
		}

		const isAccepted = answered === undefined || this.advance(answered);
		if (isAccepted && this.isSince(startedIn)) {
			return;
		}

		const detail = `the call was made in era ${startedIn ?? 'none'} of the store, the answer names ${answered ?? 'none'}, the newest is ${this.known ?? 'none'}`;
		if (isWrite) {
			throw new StoreAmbiguousError(detail);
		}

		throw isAccepted ? new StoreRestoredError(detail) : new StoreUnavailableError(detail);
	}

	/**
	 * Ends a series of calls that belong together.
	 *
	 * @param startedIn the era when the first of them was made
	 * @throws {StoreRestoredError} if the store was restored since
	 */
	requireSame(startedIn: number | undefined): void {
		if (!this.isSince(startedIn)) {
			throw new StoreRestoredError(`the first of several calls was made in era ${startedIn ?? 'none'}, the newest is ${this.known ?? 'none'}`);
		}
	}

	/** True if the era is the same as at an earlier time. The first era of all is no restore. */
	private isSince(earlier: number | undefined): boolean {
		return earlier === this.known || (earlier === undefined && this.known === this.first && !this.hasUntaggedAnswer);
	}
}
