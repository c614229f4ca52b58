/**
 * Search for evidence that the configuration in force is the newest one, and for values that were not passed on.
 */
import type {CoordinationStore, StoreChange} from '../../model/coordination-store.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import {presentMoment, type Moment} from '../ownership/clock-watch.js';
import type {FleetView} from './fleet-view.js';
import type {UpdateRelay} from './update-relay.js';
import type {ViewWriter} from './view-writer.js';

/** Interval in which a peer is asked for evidence while it is sought, in milliseconds; its answer takes a few. */
const peerRequestIntervalMs = 60;

/** Time that peers get for it, in milliseconds; the store is asked then. */
const storeReadDelayMs = 120;

/** Least interval of such questions to the store, in milliseconds. */
const storeReadIntervalMs = 500;

/** Part of the bound after which a daemon that reads the store itself asks for evidence unasked; a watch that works renews it sooner. */
const staleAfterShare = 0.6;

/** Least interval of those questions, in milliseconds; the loop of watches asks as well. */
const staleReadIntervalMs = 1000;

/** What the search works with. */
export type EvidenceRequesterOptions = {
	store: Pick<CoordinationStore, 'read'>;
	view: FleetView;
	writer: ViewWriter;
	relay: Pick<UpdateRelay, 'isFollowing' | 'requestEvidence'>;
	log: EventLog;
	configurationKey: string;
};

/** Asks peers first, and then the store. */
export class EvidenceRequester {
	private neededSince: number | undefined;
	private requestedAt = Number.NEGATIVE_INFINITY;
	private readAt = Number.NEGATIVE_INFINITY;
	private isReading = false;
	private mustReadAgain = false;

	constructor(private readonly options: EvidenceRequesterOptions) {}

	/** Called regularly. */
	tick(now: number): void {
		const {view, writer, relay, configurationKey} = this.options;
		const {currency} = view;
		const isFollowing = relay.isFollowing();
		const isNeeded = currency.isEvidenceNeeded || writer.isOmitted(configurationKey);
		// A watch on a connection that is silent without a reset brings neither changes nor its end.
		const isOwnEvidenceStale = !isFollowing && view.configuration !== undefined && currency.ageMs > currency.boundMs * staleAfterShare;
		if (!isNeeded && !isOwnEvidenceStale) {
			this.neededSince = undefined;
			return;
		}

		if (writer.isMalformed(configurationKey) && !writer.isOmitted(configurationKey)) {
			// The newest version cannot be read; the next one comes as a change.
			currency.recordFailure();
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

	/** Takes a change; an omitted value is read by its key alone: a watch would bring all values since the known revision. */
	applyChange(change: StoreChange): void {
		const {writer, configurationKey} = this.options;
		if (!change.isOmitted) {
			writer.apply(change);
			return;
		}

		writer.recordOmitted(change);
		void (change.key === configurationKey ? this.readConfiguration() : this.read(change.key));
	}

	/** Applies the configuration that the store itself has shown, whatever revision peers made the view believe; versions only rise. */
	applyConfigurationChanges(changes: readonly StoreChange[]): void {
		const {writer, configurationKey} = this.options;
		for (const change of changes.filter(({key}) => key === configurationKey)) {
			writer.apply(change);
		}
	}

	/** Notes that the store held no newer configuration than was applied; one that is not known leaves no evidence. */
	confirm(at: Moment): void {
		const {view, writer, configurationKey} = this.options;
		if (view.configuration && !writer.isMalformed(configurationKey) && !writer.isOmitted(configurationKey)) {
			view.currency.confirm(at);
		}
	}

	/** Reads one key; returns false if the store did not show it. */
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

	/** Reads the configuration; once more after a reading that is under way, which may be older than the call. */
	private async readConfiguration(): Promise<void> {
		if (this.isReading) {
			this.mustReadAgain = true;
			return;
		}

		const requestedAt = presentMoment();
		this.readAt = requestedAt.monotonic;
		this.isReading = true;
		if (await this.read(this.options.configurationKey)) {
			this.confirm(requestedAt);
		} else {
			this.options.view.currency.recordFailure();
		}

		this.isReading = false;
		if (this.mustReadAgain) {
			this.mustReadAgain = false;
			await this.readConfiguration();
		}
	}
}
