/**
 * Requests evidence that the active configuration is the newest one, and reads values that peers omitted from their updates.
 */
import type {CoordinationStore, StoreChange} from '../../model/coordination-store.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import {currentMoment, type Moment} from '../ownership/moment.js';
import {storeKeys} from './daemon-documents.js';
import type {FleetView} from './fleet-view.js';
import type {UpdateRelay} from './update-relay.js';
import type {ViewWriter} from './view-writer.js';

/** Interval of requests for evidence to a peer, in milliseconds; an answer takes a few milliseconds. */
const peerRequestIntervalMs = 60;

/** Time after which the store is read because no peer has given evidence, in milliseconds. */
const storeReadDelayMs = 120;

/** Shortest interval between these reads from the store, in milliseconds. */
const storeReadIntervalMs = 500;

/** Share of the bound after which a daemon that watches the store renews its evidence by a read; a working watch renews it sooner. */
const staleAfterShare = 0.6;

/** Shortest interval between these renewals, in milliseconds; the loop of watches also queries the store. */
const staleReadIntervalMs = 1000;

/** Dependencies of the requester. */
export type EvidenceRequesterOptions = {
	store: Pick<CoordinationStore, 'read'>;
	view: FleetView;
	writer: ViewWriter;
	relay: Pick<UpdateRelay, 'isFollowing' | 'requestEvidence'>;
	log: EventLog;
	configurationKey: string;
};

/** Requests evidence from a peer first, and then reads the store. */
export class EvidenceRequester {
	private neededSince: number | undefined;
	private requestedAt = Number.NEGATIVE_INFINITY;
	private readAt = Number.NEGATIVE_INFINITY;
	private isReading = false;
	private mustReadAgain = false;

	constructor(private readonly options: EvidenceRequesterOptions) {}

	/** Called periodically. */
	tick(now: number): void {
		const {view, writer, relay, configurationKey} = this.options;
		const {freshness} = view;
		const isFollowing = relay.isFollowing();
		const isNeeded = freshness.isEvidenceNeeded || writer.isOmitted(configurationKey);
		// On a connection that is silent without a reset, a watch neither brings changes nor ends.
		const isOwnEvidenceStale = !isFollowing && view.configuration !== undefined && freshness.ageMs > freshness.boundMs * staleAfterShare;
		if (!isNeeded && !isOwnEvidenceStale) {
			this.neededSince = undefined;
			return;
		}

		if (writer.isMalformed(configurationKey) && !writer.isOmitted(configurationKey)) {
			// The newest version cannot be decoded, and reading it again would not help; the next version comes as a change.
			freshness.recordFailure();
			return;
		}

		this.neededSince ??= now;
		if (isFollowing && now - this.requestedAt >= peerRequestIntervalMs) {
			this.requestedAt = now;
			relay.requestEvidence();
		}

		const mayReadStore = !isFollowing || now - this.neededSince >= storeReadDelayMs;
		if (mayReadStore && !this.isReading && now - this.readAt >= (isNeeded ? storeReadIntervalMs : staleReadIntervalMs)) {
			void this.readConfiguration();
		}
	}

	/**
	 * Applies a change. An omitted value is read by its key, because a watch would bring all values since the known revision. A value
	 * without meaning is not read, so that its change takes effect although the store is unreachable.
	 */
	applyChange(change: StoreChange): void {
		const {writer, configurationKey} = this.options;
		if (!change.isOmitted) {
			writer.apply(change);
			return;
		}

		if (writer.isValueless(change.key)) {
			writer.apply({...change, value: ''});
			return;
		}

		writer.recordOmitted(change);
		void (change.key === configurationKey ? this.readConfiguration() : this.read(change.key));
	}

	/**
	 * Applies the store's configuration and owners even if peers have raised the view's revision above them: updates of peers contain no
	 * owners, and the versions and revisions of both only rise.
	 */
	applyRisingChanges(changes: readonly StoreChange[]): void {
		const {view, writer, configurationKey} = this.options;
		const isNewerOwners = ({key, revision}: StoreChange): boolean => key.startsWith(storeKeys.assignments)
			&& revision > (view.currentAssignment(key.slice(storeKeys.assignments.length))?.revision ?? 0);
		for (const change of changes.filter(each => each.key === configurationKey || isNewerOwners(each))) {
			writer.apply(change);
		}
	}

	/** Records that the store had no newer configuration than the active one, unless the newest one was omitted or malformed. */
	confirm(at: Moment): void {
		const {view, writer, configurationKey} = this.options;
		if (view.configuration && !writer.isMalformed(configurationKey) && !writer.isOmitted(configurationKey)) {
			view.freshness.confirm(at);
		}
	}

	/** Reads one key; returns false if the read failed or the key does not exist. */
	async read(key: string): Promise<boolean> {
		const {store, writer, log} = this.options;
		try {
			const item = await store.read(key);
			if (item) {
				writer.apply(item);
			}

			return item !== undefined;
		} catch (error) {
			log.record(LogEvent.StoreReadFailed, {key, detail: error instanceof Error ? error.message : String(error)});
			return false;
		}
	}

	/** Reads the configuration. During another read, which may be older than the call, reads it once more afterwards. */
	private async readConfiguration(): Promise<void> {
		if (this.isReading) {
			this.mustReadAgain = true;
			return;
		}

		const requestedAt = currentMoment();
		this.readAt = requestedAt.monotonic;
		this.isReading = true;
		const isRead = await this.read(this.options.configurationKey);
		if (isRead) {
			this.confirm(requestedAt);
		}

		if (!isRead || this.options.view.freshness.isAheadOfStore) {
			this.options.view.freshness.recordFailure();
		}

		this.isReading = false;
		if (this.mustReadAgain) {
			this.mustReadAgain = false;
			await this.readConfiguration();
		}
	}
}
