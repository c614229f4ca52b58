/**
 * Synchronizes the view with the store, by one watch on all keys or by the updates of another daemon that watches.
 */
import type {
	CoordinationStore, StoreChange, StoreChanges, StoredItem, StoreUpdate,
} from '../../model/coordination-store.js';
import {
	describeFailure, HistoryLostError, RouterError, StoreRestoredError, WatchInterruptedError,
} from '../../model/errors.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import {
	elapsedSince, shiftMoment, currentMoment, type Moment,
} from '../ownership/moment.js';
import {storeKeys} from './daemon-documents.js';
import type {FleetView} from './fleet-view.js';
import {EvidenceRequester} from './evidence-requester.js';
import {OwnerEvidenceRequester} from './owner-evidence-requester.js';
import type {UpdateRelay} from './update-relay.js';
import {ViewWriter, type PlatformDocuments} from './view-writer.js';

/** For a daemon without peers, which reads everything itself. */
const noRelay: UpdateRelay = {
	isFollowing: () => false,
	publish() {
		// No daemon follows this one.
	},
	requestChanges() {
		// No daemon has newer data.
	},
	requestEvidence() {
		// No other daemon reads the store.
	},
	requestLeaderEvidence() {
		// No other daemon leads.
	},
};

/** Options of the synchronization. */
export type FleetSyncOptions = {
	log: EventLog;
	/** Without one, the daemon reads everything itself. */
	relay?: UpdateRelay;
	/** Source of the jitter that spreads the requests of many daemons to the store. */
	random?(): number;
};

/** Longest wait of a watch in milliseconds; with the margin of its timeout, it bounds how long a silent connection goes unnoticed. */
const watchLimitMs = 3000;

/** Longest wait of a watch as a share of the configuration's bound, so that evidence from its end still counts at the next end. */
const watchWaitShare = 0.5;

/** Pause between two watches in milliseconds, so that changes are relayed in batches. */
const batchDelayMs = 300;

/** Pause after a failed call in milliseconds. */
const retryPauseMs = 250;

/** Time in which expired entries return after a store outage, in milliseconds; the platform promises about two seconds. */
export const renewalGraceMs = 2200;

/**
 * Delay before a catch-up query, which asks the store for a revision that peers have, in milliseconds. A watch or a peer usually
 * brings the revision sooner.
 */
const catchUpDelayMs = 500;

/** Largest random addition to that delay, in milliseconds, so that the daemons of a zone do not query the store all at once. */
const catchUpJitterMs = 300;

/** Timeout of a catch-up query in milliseconds; equals that of other calls to the store. */
const catchUpTimeoutMs = 1200;

/** Timeout of a catch-up query whose answer takes longer than those to other calls, in milliseconds; equals the wait of a watch. */
const longCatchUpTimeoutMs = watchLimitMs;

/** Time after which missing changes are requested from a peer, in milliseconds; reordered messages arrive closer together. */
const peerRequestDelayMs = 80;

/** Most revisions that one update from a peer can span; the largest fleets write some hundred times a second. */
const updateSpanLimit = 10_000;

/** Longest delay of a prompt answer to a watch, in milliseconds; the store takes about 4 ms. */
const promptAnswerMs = 200;

/** Runs until it is stopped. */
export class FleetSync {
	private readonly log: EventLog;
	private readonly relay: UpdateRelay;
	private readonly random: () => number;
	private readonly writer: ViewWriter;
	private readonly evidenceRequester: EvidenceRequester;
	private readonly ownerEvidenceRequester: OwnerEvidenceRequester;
	private isStopped = false;
	private isWatching = false;
	/** Until then the pending watch is not interrupted: it is a catch-up query, which the store answers at once. */
	private answerDueAt = 0;
	private catchUpTimeoutMs = catchUpTimeoutMs;
	private hasLastCallSucceeded = false;
	private hasListed = false;
	/** True until everything was read, at the start and when the store no longer has the history that is missing here. */
	private mustList = true;
	/** Revision that the store did not have at the last watch. */
	private missingRevision = 0;
	/** True until everything was read in the current era of the store, if the view has contents of an earlier one. */
	private isRestored = false;
	private newestPeerRevision = 0;
	private newestPeerRevisionAt = 0;
	private behindSince = 0;
	private peerRequestedAt = 0;
	private jitteredCatchUpDelayMs = catchUpDelayMs;
	/** True if updates from another daemon do not bring the revision that peers have. */
	private mustQueryStore = false;
	/** True after a watch that did not bring the revision that peers have, until the store answers again. */
	private isWatchSilent = false;
	private endFollowing: (() => void) | undefined;
	/** Revision up to which all owners are known; updates from peers do not contain them. */
	private ownersKnownTo = 0;
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
		store.era.subscribe((era, isRestore) => {
			this.beginEra(era, isRestore);
		});
		this.watchWaitMs = Math.floor(Math.min(watchLimitMs, view.freshness.boundMs * watchWaitShare));
		this.ownerEvidenceRequester = new OwnerEvidenceRequester({
			view,
			relay,
			log,
			isStoreReachable: () => this.isStoreReachable,
			readOwners: () => {
				void this.refreshOwners();
			},
		});
	}

	/** True unless the store did not answer the last call, or a watch did not bring the revision that peers have. */
	get isStoreReachable(): boolean {
		return this.hasLastCallSucceeded && !this.isWatchSilent;
	}

	/** Records the era of the store that a peer knows; false if it is not valid. */
	learnEra(era: number): boolean {
		return this.store.era.advance(era);
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

	/** Records the revision that a peer has; a watch that stays behind it is restarted. */
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

	/** Called periodically; ends a watch, or the wait for updates, that does not bring the revision that peers have. */
	tick(now = performance.now()): void {
		if (this.newestPeerRevision > this.view.revision) {
			this.catchUp(now);
		}

		if (!this.relay.isFollowing()) {
			this.endFollowing?.();
		}

		this.evidenceRequester.tick(now);
		this.ownerEvidenceRequester.tick(now);
	}

	/** Reads one key; its value may be too large for messages between daemons. */
	async refresh(key: string): Promise<void> {
		await this.evidenceRequester.read(key);
	}

	/** Reads all owners of keys; returns false if that failed. */
	async refreshOwners(): Promise<boolean> {
		try {
			return await this.readOwners();
		} catch (error) {
			this.log.record(LogEvent.StoreReadFailed, {key: storeKeys.assignments, detail: error instanceof Error ? error.message : String(error)});
			return false;
		}
	}

	/**
	 * Applies changes that another daemon has read, unless changes before them are missing; `tick` requests the missing ones.
	 *
	 * @returns false if they were not applied
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

	/** Records that the store answered a call of this daemon other than a watch. */
	recordStoreAnswer(): void {
		if (this.isWatchSilent) {
			// Answers to other calls arrive, so that the answer to the catch-up query may just be large.
			this.catchUpTimeoutMs = longCatchUpTimeoutMs;
		}

		if (this.hasListed) {
			this.recordSuccess();
		}
	}

	/** Starts over because the store was restored: everything is read again, and replaces what is known. */
	private beginEra(era: number, isRestore: boolean): void {
		const {view} = this;
		if (!isRestore) {
			view.storeEra = era;
			return;
		}

		this.log.record(LogEvent.StoreRestored, {
			era, earlierEra: view.storeEra, revision: view.revision, configuration: view.configuration?.version,
		});
		view.beginEra(era);
		view.tolerateExpiry(performance.now() + renewalGraceMs);
		this.writer.beginEra();
		this.mustList = true;
		this.isRestored = true;
		this.newestPeerRevision = 0;
		this.missingRevision = 0;
		this.ownersKnownTo = 0;
		this.endFollowing?.();
		if (this.isWatching) {
			this.store.interruptWatch(`the store was restored, its era is ${era}`);
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
	 * Requests missing changes from peers first and queries the store only if they do not bring them. A pending query is not
	 * repeated: where answers are slow, each repetition would discard the answer to the query before.
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
			this.relay.requestChanges(this.view.revision);
		}
	}

	/** Interrupts the watch and reports the store as unreachable, because its connection may be silent; another daemon watches then. */
	private interruptWatch(): void {
		if (this.isWatching && !this.isWatchSilent) {
			this.isWatchSilent = true;
			this.log.record(LogEvent.StoreLost, {revision: this.view.revision, detail: `a watch brings no answer although peers have revision ${this.newestPeerRevision}`});
		}

		this.store.interruptWatch(`peers have revision ${this.newestPeerRevision}`);
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
			if (!this.mustList && this.mayMissOwners) {
				await this.readOwners();
			}

			await (this.mustList ? this.list() : this.watch());
		} catch (error) {
			if (error instanceof HistoryLostError) {
				this.mustList = true;
				this.missingRevision = this.view.revision;
				return;
			}

			if (error instanceof StoreRestoredError || error instanceof WatchInterruptedError) {
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
		const requestedAt = currentMoment();
		const {items, revision} = await this.store.list('');
		this.recordSuccess();
		this.capPeerRevision(revision, requestedAt.monotonic);
		this.mustList = false;
		if (revision < this.view.revision && revision >= this.missingRevision) {
			// Updates from peers have brought the view to a newer revision meanwhile. They do not contain what the restore has lost here.
			this.mustList = this.isRestored;
			// A listing from now on has that revision unless a peer named a wrong one.
			this.missingRevision = this.isRestored ? this.view.revision : this.missingRevision;
			return;
		}

		const after = this.view.revision;
		const removals = this.unlistedKeys(items).map((key): StoreChange => ({key, value: undefined, revision}));
		for (const change of [...removals, ...items]) {
			this.writer.apply(change);
		}

		this.view.revision = revision;
		this.isRestored = false;
		this.evidenceRequester.confirm(requestedAt);
		this.confirmOwners(requestedAt, revision);
		if (this.hasListed && !this.relay.isFollowing()) {
			this.publishListing(after, [...items, ...removals], revision);
		}

		this.hasListed = true;
	}

	/** Keys to be removed. The daemons whose entries a restore has lost write them again, and get messages until then. */
	private unlistedKeys(items: readonly StoredItem[]): string[] {
		const keys = this.writer.unlistedKeys(items);
		if (!this.isRestored) {
			return keys;
		}

		const isMember = (key: string): boolean => key.startsWith(storeKeys.members);
		for (const key of keys.filter(each => isMember(each))) {
			this.view.keepUnlistedMember(key.slice(storeKeys.members.length));
		}

		return keys.filter(key => !isMember(key));
	}

	/** Caps the newest revision that peers reported before the request at the store's, which had no higher one by then. */
	private capPeerRevision(revision: number, requestedAt: number): void {
		if (this.newestPeerRevisionAt < requestedAt) {
			this.newestPeerRevision = Math.min(this.newestPeerRevision, revision);
		}
	}

	/** Lists everything again: the view cannot be complete up to a revision that the store does not have. */
	private relist(revision: number): void {
		this.log.record(LogEvent.PeerMessageRejected, {detail: `the view is at revision ${this.view.revision}, but the store is at ${revision}`});
		this.view.revision = 0;
		this.mustList = true;
	}

	/** Relays a listing as changes to the daemons that follow this one; otherwise each of them would have to list everything itself. */
	private publishListing(after: number, items: readonly StoreChange[], revision: number): void {
		const changes = items
			.filter(item => item.revision > after)
			// Later pages may hold items newer than the revision up to which the listing is complete.
			.map(item => ({...item, revision: Math.min(item.revision, revision)}))
			.toSorted((left, right) => left.revision - right.revision);
		this.relay.publish({
			after, changes, revision, isListing: true,
		});
	}

	private async watch(): Promise<void> {
		const after = this.view.revision;
		const isBehind = this.newestPeerRevision > after;
		const areOwnersKnown = this.ownersKnownTo >= after;
		const requestedAt = currentMoment();
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
		this.evidenceRequester.applyRisingChanges(changes);
		const confirmedAt = changes.length === 0 ? unchangedUntil(requestedAt, this.watchWaitMs) : requestedAt;
		this.evidenceRequester.confirm(confirmedAt);
		if (areOwnersKnown) {
			this.confirmOwners(confirmedAt, revision);
		}

		if (changes.length > 0) {
			this.relay.publish({after, changes, revision});
			// Changes also collect while the answer to a catch-up query is on its way, so that its duration counts as pause.
			await pause(batchDelayMs - answerMs);
		}
	}

	/** True for a daemon that has followed another one until now and may have missed a message with owners. */
	private get mayMissOwners(): boolean {
		return this.view.hasKeyedServices && this.ownersKnownTo < this.view.revision && !this.relay.isFollowing();
	}

	private async readOwners(): Promise<boolean> {
		const requestedAt = currentMoment();
		const {items, revision} = await this.store.list(storeKeys.assignments);
		this.evidenceRequester.applyRisingChanges(items);
		this.confirmOwners(requestedAt, revision);
		return !this.writer.hasMalformedOwners;
	}

	/** Records that the known owners were the newest ones, up to a revision. */
	private confirmOwners(at: Moment, revision: number): void {
		if (!this.writer.hasMalformedOwners) {
			this.ownersKnownTo = Math.max(this.ownersKnownTo, revision);
			this.view.confirmOwners(at);
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

	/** Any failure ends only the current step: if the loop ended, the daemon would continue with an outdated view. */
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
 * Returns the moment up to which a watch without changes shows that there were none. The store ends such a watch no sooner than
 * after the requested wait. If the answer comes much later, the store may have ended the watch sooner and the answer was delayed.
 */
function unchangedUntil(requestedAt: Moment, waitMs: number): Moment {
	const elapsedMs = elapsedSince(requestedAt);
	return elapsedMs >= waitMs && elapsedMs <= waitMs + promptAnswerMs ? shiftMoment(requestedAt, waitMs) : requestedAt;
}

async function pause(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
