/**
 * A store whose watches and reads are answered by the test, and documents for it.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {
	CoordinationStore, StoreChanges, StoredItem, StoreLease, StoreListing,
} from '../src/model/coordination-store.js';
import {StoreEra} from '../src/model/store-era.js';
import {decodeConfiguration, decodeEvacuation, decodeTarget} from '../src/platform/documents.js';

/** A clock that stands still until the test advances it. */
export type PausedClock = ReturnType<typeof FakeTimers.install>;

/** Runs a test under a paused clock. */
export async function withPausedClock(runTest: (clock: PausedClock) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	try {
		await runTest(clock);
	} finally {
		clock.uninstall();
	}
}

/** Returns the text of a configuration with one route for each prefix. */
export function configurationDocument(version: number, prefixes: readonly string[]): string {
	const routes = prefixes.map(prefix => ({
		resourceType: 'routes', metadata: {name: prefix}, spec: {
			host: 'host', prefix, kind: 'safe', timeoutMs: 1000, targetLatencyMs: 300, priority: 1, service: 'service', maxAttempts: 1,
		},
	}));
	return JSON.stringify({version, resources: [...routes, {resourceType: 'services', metadata: {name: 'service'}, spec: {healthPath: '/h', maxConnections: 100}}]});
}

/** Keys and decoders of the documents. */
export const documents = {
	configurationKey: 'configuration', targetsPrefix: 'servers/', evacuationsPrefix: 'op/evacuate/', decodeConfiguration, decodeTarget, decodeEvacuation,
};

/** A store that lists a fixed listing and answers watches and reads when the test resolves them; other calls do nothing. */
export class ScriptedStore implements CoordinationStore {
	readonly era = new StoreEra();
	/** Wait time of each watch, in milliseconds. */
	readonly watchWaitsMs: number[] = [];
	readonly watchResolvers: Array<(changes: StoreChanges) => void> = [];
	readonly readResolvers: Array<(item: StoredItem | undefined) => void> = [];

	constructor(private readonly listing: StoreListing) {}
	async list(): Promise<StoreListing> {
		return this.listing;
	}

	async watch(_prefix: string, _after: number, waitMs: number): Promise<StoreChanges> {
		this.watchWaitsMs.push(waitMs);
		return new Promise(resolve => {
			this.watchResolvers.push(resolve);
		});
	}

	async read(): Promise<StoredItem | undefined> {
		return new Promise(resolve => {
			this.readResolvers.push(resolve);
		});
	}

	async write(): Promise<number> {
		return 0;
	}

	async openLease(): Promise<StoreLease> {
		return {id: 1, durationMs: 1};
	}

	async renewLease(): Promise<void> {
		// These tests do not use leases.
	}

	async endLease(): Promise<void> {
		// These tests do not use leases.
	}

	interruptWatch(): void {
		// The test ends the watch.
	}

	async close(): Promise<void> {
		// No connection is open.
	}
}

/** Listing with the first configuration. */
export const initialListing: StoreListing = {items: [{key: 'configuration', value: configurationDocument(1, ['/old/']), revision: 5}], revision: 5};
