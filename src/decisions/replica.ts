/**
 * Replica of the stored documents in one daemon, with the route lease of each service.
 */
import type {Assignment, Stored} from '../model/assignment.js';
import {emptyConfiguration, type Configuration} from '../model/configuration.js';
import type {DocumentUpdate, KnownVersions} from '../model/peer.js';
import {storeKeys} from '../model/key-value-store.js';

/** Called after a newer assignment or configuration was accepted. */
export type ReplicaListener = () => void;

/**
 * Holds the newest known documents. Versions only increase, so a late or repeated message changes nothing.
 */
export class Replica {
	configuration: Stored<Configuration> = {value: emptyConfiguration, modRevision: 0};
	private readonly assignments = new Map<string, Stored<Assignment>>();
	private readonly confirmedAt = new Map<string, number>();
	private readonly listeners = new Set<ReplicaListener>();

	/** @param routeLeaseMs time for which a confirmation allows dispatching, in milliseconds */
	constructor(private readonly routeLeaseMs: number) {}

	/** Registers a listener and returns the function that removes it. */
	subscribe(listener: ReplicaListener): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	assignment(service: string): Stored<Assignment> | undefined {
		return this.assignments.get(service);
	}

	allAssignments(): Array<Stored<Assignment>> {
		return [...this.assignments.values()];
	}

	/** Accepts an assignment if it is newer; returns true if it was accepted. */
	acceptAssignment(stored: Stored<Assignment>): boolean {
		const {service, version} = stored.value;
		const known = this.assignments.get(service);
		if (known && known.value.version >= version) {
			return false;
		}

		// The lease stays valid: the replaced version was the newest when the lease began, so this one was written after that.
		this.assignments.set(service, stored);
		this.notify();
		return true;
	}

	/** Accepts a configuration if it is newer; returns true if it was accepted. */
	acceptConfiguration(stored: Stored<Configuration>): boolean {
		if (this.configuration.value.version >= stored.value.version) {
			return false;
		}

		this.configuration = stored;
		this.notify();
		return true;
	}

	/**
	 * Extends the route lease of a service, unless a newer version than the known one was confirmed.
	 *
	 * @param requestedAt monotonic time at which no later version had been written
	 */
	confirm(service: string, version: number, requestedAt: number): void {
		const known = this.assignments.get(service);
		if (!known || known.value.version < version) {
			return;
		}

		this.confirmedAt.set(service, Math.max(requestedAt, this.confirmedAt.get(service) ?? -Infinity));
	}

	/** Milliseconds left of the route lease of a service; 0 if it has expired. */
	leaseRemainingMs(service: string, now = performance.now()): number {
		const confirmedAt = this.confirmedAt.get(service) ?? -Infinity;
		return Math.max(0, confirmedAt + this.routeLeaseMs - now);
	}

	/** Store revision of a document, by its key; 0 if it is not known. */
	revisionOf(key: string): number {
		if (key === storeKeys.configuration) {
			return this.configuration.modRevision;
		}

		for (const stored of this.assignments.values()) {
			if (storeKeys.assignment(stored.value.service) === key) {
				return stored.modRevision;
			}
		}

		return 0;
	}

	knownVersions(): KnownVersions {
		const assignments: Record<string, number> = {};
		for (const [service, stored] of this.assignments) {
			assignments[service] = stored.value.version;
		}

		return {configuration: this.configuration.value.version, assignments};
	}

	/** Returns the documents that are newer than the given versions. */
	newerThan(known: KnownVersions): DocumentUpdate {
		const update: DocumentUpdate = {
			assignments: this.allAssignments().filter(({value}) => value.version > (known.assignments[value.service] ?? 0)),
		};
		if (this.configuration.value.version > known.configuration) {
			update.configuration = this.configuration;
		}

		return update;
	}

	/** Accepts every newer document of an update. */
	acceptUpdate(update: DocumentUpdate): void {
		if (update.configuration) {
			this.acceptConfiguration(update.configuration);
		}

		for (const stored of update.assignments) {
			this.acceptAssignment(stored);
		}
	}

	private notify(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}
}
