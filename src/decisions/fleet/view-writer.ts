/**
 * Writes the contents of the store into the view.
 */
import type {StoreChange, StoredItem} from '../../model/coordination-store.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import type {Target} from '../../model/fleet.js';
import type {RouteConfiguration} from '../../model/route-configuration.js';
import {decodeAssignment} from './assignment-codec.js';
import type {FleetView} from './fleet-view.js';
import {decodeLeader, decodeMember, storeKeys} from './daemon-documents.js';

/** The documents that the platform writes; an adapter decodes them. */
export type PlatformDocuments = {
	configurationKey: string;
	targetsPrefix: string;
	/** Prefix of keys that evacuate an availability zone while they exist. */
	evacuationsPrefix: string;
	/** Throws `MalformedDocumentError` if no part of the document can be used. */
	decodeConfiguration(text: string, earlier: RouteConfiguration | undefined): RouteConfiguration;
	/** Throws `MalformedDocumentError`. */
	decodeTarget(key: string, text: string): Target;
	/** Returns the availability zone of an evacuation's key. Throws `MalformedDocumentError` if it has none. */
	decodeEvacuation(key: string): string;
};

/** Decodes changes, and tracks keys whose newest value is unknown because it was malformed or omitted. */
export class ViewWriter {
	/** Revisions of values that could not be decoded, by key. */
	private readonly malformed = new Map<string, number>();
	/** Revisions of values that peers omitted because they were too large for a message, by key. */
	private readonly omitted = new Map<string, number>();
	/** True once the log names the older version of the store. */
	private isBehindLogged = false;

	constructor(
		private readonly view: FleetView,
		private readonly documents: PlatformDocuments,
		private readonly log: EventLog,
	) {}

	/** Forgets revisions, because the store was restored. */
	beginEra(): void {
		this.malformed.clear();
		this.omitted.clear();
		this.isBehindLogged = false;
	}

	/** True if the newest received value of a key could not be decoded. */
	isMalformed(key: string): boolean {
		return this.malformed.has(key);
	}

	/** True if the newest value of a key was omitted and has yet to be read. */
	isOmitted(key: string): boolean {
		return this.omitted.has(key);
	}

	/** True if the newest owners of the keys of any service could not be decoded. */
	get hasMalformedOwners(): boolean {
		return [...this.malformed.keys()].some(key => key.startsWith(storeKeys.assignments));
	}

	/** True for keys of which only the existence counts; the value is not read. */
	isValueless(key: string): boolean {
		return key.startsWith(this.documents.evacuationsPrefix);
	}

	/** Records that a key has a newer value, which was omitted from an update. */
	recordOmitted({key, revision}: StoreChange): void {
		this.omitted.set(key, revision);
	}

	/** Keys in the view that a listing of the store does not contain. */
	unlistedKeys(items: readonly StoredItem[]): string[] {
		const listed = new Set(items.map(({key}) => key));
		const known = [
			...Array.from(this.view.listedTargets(), ({id}) => `${this.documents.targetsPrefix}${id}`),
			...Array.from(this.view.evacuatedZones, zone => `${this.documents.evacuationsPrefix}${zone}`),
			...Array.from(this.view.members.keys(), daemon => `${storeKeys.members}${daemon}`),
			...(this.view.leader !== undefined || this.view.formerLeaderRevision > 0 ? [storeKeys.leader] : []),
		];
		return known.filter(key => !listed.has(key));
	}

	/** Applies a change. If a value cannot be decoded, the view keeps the previous one, except for targets. */
	apply(change: StoreChange): void {
		try {
			this.applyDecoded(change);
			this.clearUnknownValues(change);
		} catch (error) {
			this.recordMalformed(change, error instanceof Error ? error : new Error(String(error)));
		}
	}

	/** Marks the value of a key as known, unless the change is a late answer that is older than the unknown value. */
	private clearUnknownValues({key, revision}: StoreChange): void {
		for (const revisions of [this.malformed, this.omitted]) {
			if (revision >= (revisions.get(key) ?? 0)) {
				revisions.delete(key);
			}
		}
	}

	private applyDecoded({key, value, revision}: StoreChange): void {
		if (key.startsWith(this.documents.targetsPrefix)) {
			this.applyTarget(key, value);
		} else if (key.startsWith(this.documents.evacuationsPrefix)) {
			this.applyEvacuation(key, value !== undefined);
		} else if (key === this.documents.configurationKey && value !== undefined) {
			this.applyConfiguration(value, revision);
		} else if (key.startsWith(storeKeys.assignments) && value !== undefined) {
			this.view.applyAssignment({assignment: decodeAssignment(value), revision});
		} else if (key.startsWith(storeKeys.members)) {
			this.applyMember(key.slice(storeKeys.members.length), value);
		} else if (key === storeKeys.leader) {
			this.applyLeader(value, revision);
		}
	}

	private applyTarget(key: string, value: string | undefined): void {
		const id = key.slice(this.documents.targetsPrefix.length);
		if (value === undefined) {
			this.removeTarget(id);
			return;
		}

		const known = this.view.listedTarget(id);
		const target = this.documents.decodeTarget(key, value);
		this.view.applyTarget(target);
		if (known?.state !== target.state || known.bornAt !== target.bornAt) {
			this.log.record(LogEvent.TargetChanged, {
				target: id, service: target.service, state: target.state, address: target.address, bornAt: target.bornAt,
			});
		}
	}

	private applyEvacuation(key: string, isBegun: boolean): void {
		if (isBegun) {
			this.view.beginEvacuation(this.documents.decodeEvacuation(key));
		} else {
			this.view.endEvacuation(key.slice(this.documents.evacuationsPrefix.length));
		}
	}

	private removeTarget(id: string): void {
		this.view.removeTarget(id);
		this.log.record(LogEvent.TargetRemoved, {target: id});
	}

	private applyConfiguration(value: string, revision: number): void {
		const earlier = this.view.configuration;
		const configuration = this.documents.decodeConfiguration(value, earlier);
		const wasAhead = this.view.freshness.isAheadOfStore;
		this.recordStoredVersion(configuration.version, revision);
		if (!this.view.applyConfiguration(configuration, wasAhead)) {
			return;
		}

		const {version, routes, faults} = configuration;
		this.log.record(LogEvent.ConfigurationInForce, {
			version, revision, routes: routes.length, confirmedMsAgo: this.view.freshness.roundedAgeMs,
		});
		for (const detail of faults.filter(fault => !earlier?.faults.includes(fault))) {
			this.log.record(LogEvent.DocumentRejected, {key: this.documents.configurationKey, revision, detail});
		}
	}

	/** After a restore, the active configuration is confirmed once the store has one at least as new, which the operator writes again. */
	private recordStoredVersion(version: number, revision: number): void {
		const {freshness, configuration} = this.view;
		freshness.recordStoredVersion(version);
		if (freshness.isAheadOfStore !== this.isBehindLogged) {
			this.isBehindLogged = freshness.isAheadOfStore;
			this.log.record(this.isBehindLogged ? LogEvent.ConfigurationBehind : LogEvent.ConfigurationCaughtUp, {version, active: configuration?.version, revision});
		}
	}

	private applyMember(daemon: string, value: string | undefined): void {
		if (value === undefined) {
			this.view.removeMember(daemon);
			return;
		}

		this.view.applyMember(decodeMember(daemon, value));
	}

	private applyLeader(value: string | undefined, revision: number): void {
		const {daemon, era} = value === undefined ? {} : decodeLeader(value);
		// A key from before a restore is in the copy, but its daemon has given up the term.
		const isCurrent = daemon !== undefined && era === this.view.storeEra;
		const leader = isCurrent ? {daemon, revision} : undefined;
		if (leader?.daemon !== this.view.leader?.daemon) {
			this.log.record(LogEvent.LeaderChanged, {leader: leader?.daemon ?? 'none', revision});
		}

		this.view.leader = leader;
		this.view.formerLeaderRevision = value === undefined || isCurrent ? 0 : revision;
	}

	/** Records a malformed value and logs the first of several in a row for one key. A target with a malformed entry is removed. */
	private recordMalformed({key, revision}: StoreChange, error: Error): void {
		if (key.startsWith(this.documents.targetsPrefix)) {
			this.view.removeTarget(key.slice(this.documents.targetsPrefix.length));
		}

		if (!this.malformed.has(key)) {
			this.log.record(LogEvent.DocumentRejected, {key, revision, detail: error.message});
		}

		this.malformed.set(key, Math.max(revision, this.malformed.get(key) ?? 0));
		if (revision >= (this.omitted.get(key) ?? 0)) {
			this.omitted.delete(key);
		}
	}
}
