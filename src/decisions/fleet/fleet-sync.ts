/**
 * Keeps the view in step with the store: by one watch over all keys, or by the updates of another daemon that watches.
 */
import type {
	CoordinationStore, StoreChange, StoreChanges, StoreUpdate,
} from '../../model/coordination-store.js';
import {
	describeFailure, HistoryLostError, RouterError, WatchInterruptedError,
} from '../../model/errors.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import {
	elapsedSince, later, presentMoment, type Moment,
} from '../ownership/clock-watch.js';
import type {FleetView} from './fleet-view.js';
import {EvidenceRequester} from './evidence-search.js';
import type {UpdateRelay} from './update-relay.js';
import {ViewWriter, type PlatformDocuments} from './view-writer.js';

/** A daemon that reads everything itself. */
const noRelay: UpdateRelay = {
	isFollowing: () => false,
	publish() {
		// Nobody follows.
	},
	request() {
		// Nobody knows more.
	},
	requestEvidence() {
		// Nobody else reads the store.
	},
};

/** What the synchronization works with. */
export type FleetSyncOptions = {
	log: EventLog;
	/** Without one, the daemon reads everything itself. */
	relay?: UpdateRelay;
	/** Spreads the questions of many daemons to the store. */
	random?(): number;
};

/** Longest wait of a watch in milliseconds; with the slack of the call, it bounds how long a silent connection goes unnoticed. */
const watchLimitMs = 3000;

/** Part of the configuration's bound that a watch waits at most, so that the evidence of its end is not too old at the next one. */
const watchWaitShare = 0.5;

/** Pause between two watches in milliseconds, in which changes gather. */
const batchDelayMs = 300;

/** Pause after a failed call in milliseconds. */
const retryPauseMs = 250;

/** Time after the store's return in which lapsed entries come back, in milliseconds; the platform promises about two seconds. */
const renewalGraceMs = 2200;

/** Time after which the store is asked for a revision that peers know, in milliseconds; a watch or a peer usually brings it sooner. */
const catchUpDelayMs = 500;

/** Longest additional time before that question, in milliseconds, so that a zone does not ask at once. */
const catchUpJitterMs = 300;

/** Time in which that question has to be answered, in milliseconds; the limit of other calls to the store. */
const catchUpTimeoutMs = 1200;

/** The same where such an answer takes longer than those to other calls, in milliseconds; the wait of a watch. */
const longCatchUpTimeoutMs = watchLimitMs;

/** Time after which a peer is asked for it, in milliseconds; messages that overtake each other differ by less. */
const peerRequestDelayMs = 80;

/** Most revisions that one update of a peer can span; the largest fleets write some hundred times a second. */
const updateSpanLimit = 10_000;

/** Time in which the answer to a watch arrives, in milliseconds; the store takes some 4 ms. */
const promptAnswerMs = 200;

/** Runs until it is stopped. */
export class FleetSync {
	private readonly log: EventLog;
	private readonly relay: UpdateRelay;
	private readonly random: () => number;
	private readonly writer: ViewWriter;
	private readonly evidenceRequester: EvidenceRequester;
	private isStopped = false;
	private isWatching = false;
	/** Until when the present watch is left alone, because it began behind what peers knew, so that the store answers it at once. */
	private answerDueAt = 0;
	private catchUpTimeoutMs = catchUpTimeoutMs;
	private hasLastCallSucceeded = false;
	private hasListed = false;
	/** Until everything was read, at the start and after the store has forgotten what is lacking here. */
	private mustList = true;
	private newestPeerRevision = 0;
	private newestPeerRevisionAt = 0;
	private behindSince = 0;
	private peerRequestedAt = 0;
	private jitteredCatchUpDelayMs = catchUpDelayMs;
	/** True if updates of another daemon do not bring what peers know. */
	private mustQueryStore = false;
	/** True from a watch that did not bring what peers know until the store answers again. */
	private isWatchSilent = false;
	private endFollowing: (() => void) | undefined;
	private readonly watchWaitMs: number;
	constructor(
		private readonly store: CoordinationStore,
		private readonly view: FleetView,
		documents: PlatformDocuments,
		{log, relay = noRelay, random = () => 0}: FleetSyncOptions,
	) {
		this.log = log;
		this.relay = relay;
		this.random = random;
		this.writer = new ViewWriter(view, documents, log);
		this.evidenceRequester = new EvidenceRequester({
			store, view, writer: this.writer, relay, log, configurationKey: documents.configurationKey,
		});
		this.watchWaitMs = Math.floor(Math.min(watchLimitMs, view.currency.boundMs * watchWaitShare));
	}

	/** True unless the store did not answer the last call, or a watch did not bring what peers know. */
	get isStoreReachable(): boolean {
		return this.hasLastCallSucceeded && !this.isWatchSilent;
	}

	/** True once everything was read. */
	get isComplete(): boolean {
		return this.hasListed;
	}

	async run(): Promise<void> {
		while (!this.isStopped) {
			// eslint-disable-next-line no-await-in-loop -- one watch at a time.
			await this.step();
		}
	}

	stop(): void {
		this.isStopped = true;
		this.endFollowing?.();
		this.store.interruptWatch('the synchronization stops');
	}

	/** Notes the revision that a peer has seen; a watch that stays behind it is begun anew. */
	recordPeerRevision(revision: number, now = performance.now()): void {
		if (this.newestPeerRevision <= this.view.revision) {
			this.behindSince = now;
			this.jitteredCatchUpDelayMs = catchUpDelayMs + (this.random() * catchUpJitterMs);
		}

		if (revision > this.newestPeerRevision) {
			this.newestPeerRevision = revision;
			this.newestPeerRevisionAt = now;
		}
	}

	/** Called regularly; ends a watch, or the waiting for updates, that does not bring what peers know. */
	tick(now = performance.now()): void {
		if (this.newestPeerRevision > this.view.revision) {
			this.catchUp(now);
		}

		if (!this.relay.isFollowing()) {
			this.endFollowing?.();
		}

		this.evidenceRequester.tick(now);
	}

	/** Reads one key; its value may be too large for messages between daemons. */
	async refresh(key: string): Promise<void> {
		await this.evidenceRequester.read(key);
	}

	/**
	 * Takes changes that another daemon has read, unless some are missing before them; those are asked for in time.
	 *
	 * @returns false if they were not taken
	 */
	applyPeerUpdate(update: StoreUpdate): boolean {
		const {after, revision, isListing = false} = update;
		const isApplicable = isListing ? after === this.view.revision : revision - after <= updateSpanLimit;
		if (!this.hasListed || after > this.view.revision || !isApplicable) {
			return false;
		}

		this.applyUpdate(update);
		return true;
	}

	/** Notes that the store answered this daemon, though not on a watch. */
	noteStoreAnswer(): void {
		if (this.isWatchSilent) {
			// Answers to other calls arrive, so that the one to a question may be large.
			this.catchUpTimeoutMs = longCatchUpTimeoutMs;
		}

		if (this.hasListed) {
			this.recordSuccess();
		}
	}

	private applyUpdate({changes, revision}: StoreUpdate): void {
		for (const change of changes) {
			if (change.revision > this.view.revision) {
				this.evidenceRequester.applyChange(change);
			}
		}

		this.view.revision = Math.max(this.view.revision, revision);
	}

	/**
	 * Peers are asked first; the store is asked by the daemons that they could not help. A question on its way is not asked
	 * again: where answers are slow, each would be lost to the next question.
	 */
	private catchUp(now: number): void {
		const behindForMs = now - this.behindSince;
		if (behindForMs > this.jitteredCatchUpDelayMs && now > this.answerDueAt) {
			this.behindSince = now;
			this.queryStoreNow();
			this.interruptWatch();
			return;
		}

		if (this.hasListed && behindForMs > peerRequestDelayMs && now - this.peerRequestedAt > peerRequestDelayMs) {
			this.peerRequestedAt = now;
			this.relay.request(this.view.revision);
		}
	}

	/** A connection to the store may be silent without a reset; another daemon is to watch meanwhile. */
	private interruptWatch(): void {
		if (this.isWatching && !this.isWatchSilent) {
			this.isWatchSilent = true;
			this.log.record(LogEvent.StoreLost, {revision: this.view.revision, detail: `a watch is silent while peers know revision ${this.newestPeerRevision}`});
		}

		this.store.interruptWatch(`peers know revision ${this.newestPeerRevision}`);
	}

	private queryStoreNow(): void {
		this.mustQueryStore = true;
		this.endFollowing?.();
	}

	private async step(): Promise<void> {
		if (!this.mustList && this.relay.isFollowing() && !this.mustQueryStore) {
			await this.waitWhileFollowing();
			return;
		}

		this.mustQueryStore = false;
		try {
			await (this.mustList ? this.list() : this.watch());
		} catch (error) {
			if (error instanceof HistoryLostError) {
				this.mustList = true;
				return;
			}

			if (error instanceof WatchInterruptedError) {
				return;
			}

			this.recordFailure(error);
			await pause(retryPauseMs);
		}
	}

	private async waitWhileFollowing(): Promise<void> {
		await new Promise<void>(resolve => {
			this.endFollowing = resolve;
		});
		this.endFollowing = undefined;
	}

	private async list(): Promise<void> {
		const requestedAt = presentMoment();
		const {items, revision} = await this.store.list('');
		this.recordSuccess();
		this.capPeerRevision(revision, requestedAt.monotonic);
		this.mustList = false;
		if (revision < this.view.revision) {
			// Peers have brought everything up to a newer revision meanwhile.
			return;
		}

		const after = this.view.revision;
		const removals = this.writer.unlistedKeys(items).map((key): StoreChange => ({key, value: undefined, revision}));
		for (const change of [...removals, ...items]) {
			this.writer.apply(change);
		}

		this.view.revision = revision;
		this.evidenceRequester.confirm(requestedAt);
		if (this.hasListed && !this.relay.isFollowing()) {
			this.publishListing(after, [...items, ...removals], revision);
		}

		this.hasListed = true;
	}

	/** Peers cannot have heard a higher revision from the store before it was asked. */
	private capPeerRevision(revision: number, requestedAt: number): void {
		if (this.newestPeerRevisionAt < requestedAt) {
			this.newestPeerRevision = Math.min(this.newestPeerRevision, revision);
		}
	}

	/** The view cannot be complete up to a revision that the store does not have. */
	private relist(revision: number): void {
		this.log.record(LogEvent.PeerMessageRejected, {detail: `the view is at revision ${this.view.revision}, the store at ${revision}`});
		this.view.revision = 0;
		this.mustList = true;
	}

	/** Tells the daemons that follow this one what the history would have told; else each of them has to list everything. */
	private publishListing(after: number, items: readonly StoreChange[], revision: number): void {
		const changes = items
			.filter(item => item.revision > after)
			// Later pages may hold newer items than the revision that the listing is complete to.
			.map(item => ({...item, revision: Math.min(item.revision, revision)}))
			.toSorted((left, right) => left.revision - right.revision);
		this.relay.publish({
			after, changes, revision, isListing: true,
		});
	}

	private async watch(): Promise<void> {
		const after = this.view.revision;
		const isBehind = this.newestPeerRevision > after;
		const requestedAt = presentMoment();
		const {changes, revision} = await this.waitForChanges(after);
		this.recordSuccess();
		this.capPeerRevision(revision, requestedAt.monotonic);
		if (revision < after) {
			this.relist(revision);
			return;
		}

		const answerMs = isBehind ? performance.now() - requestedAt.monotonic : 0;
		if (isBehind && answerMs <= catchUpTimeoutMs) {
			this.catchUpTimeoutMs = catchUpTimeoutMs;
		}

		this.applyUpdate({after, changes, revision});
		this.evidenceRequester.applyConfigurationChanges(changes);
		this.evidenceRequester.confirm(changes.length === 0 ? unchangedUntil(requestedAt, this.watchWaitMs) : requestedAt);
		if (changes.length > 0) {
			this.relay.publish({after, changes, revision});
			// While the answer to a question is on its way, changes gather as well.
			await pause(batchDelayMs - answerMs);
		}
	}

	private async waitForChanges(after: number): Promise<StoreChanges> {
		this.isWatching = true;
		this.answerDueAt = this.newestPeerRevision > after ? performance.now() + this.catchUpTimeoutMs : 0;
		try {
			return await this.store.watch('', after, this.watchWaitMs);
		} finally {
			this.isWatching = false;
			this.answerDueAt = 0;
		}
	}

	private recordSuccess(): void {
		if (this.isWatchSilent) {
			this.isWatchSilent = false;
			this.log.record(LogEvent.StoreRegained, {revision: this.view.revision});
		}

		if (this.hasLastCallSucceeded) {
			return;
		}

		this.hasLastCallSucceeded = true;
		this.view.tolerateExpiry(performance.now() + renewalGraceMs);
		this.log.record(LogEvent.StoreRegained, {revision: this.view.revision});
	}

	/** A failure of any kind costs one round; without the loop, the daemon would go on with an old view. */
	private recordFailure(error: unknown): void {
		this.catchUpTimeoutMs = catchUpTimeoutMs;
		if (!(error instanceof RouterError)) {
			this.log.record(LogEvent.InternalFailure, {detail: describeFailure(error)});
		}

		this.view.tolerateExpiry(performance.now() + renewalGraceMs);
		if (this.hasLastCallSucceeded) {
			this.hasLastCallSucceeded = false;
			this.log.record(LogEvent.StoreLost, {revision: this.view.revision, detail: error instanceof Error ? error.message : String(error)});
		}
	}
}

/**
 * The store ends a watch without changes no sooner than after the wait that was asked for. An answer that comes much later
 * may have ended sooner and waited on its way.
 */
function unchangedUntil(requestedAt: Moment, waitMs: number): Moment {
	const elapsedMs = elapsedSince(requestedAt);
	return elapsedMs >= waitMs && elapsedMs <= waitMs + promptAnswerMs ? later(requestedAt, waitMs) : requestedAt;
}

async function pause(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
