/**
 * The last changes of the store, kept for daemons that missed the message with them.
 */
import type {StoreUpdate} from '../../model/coordination-store.js';

/** Most buffered updates, and most bytes of their keys and values together; peers request lost updates at once. */
const updateLimit = 64;
const sizeLimitBytes = 131_072;

type BufferedUpdate = {
	update: StoreUpdate;
	bytes: number;
};

/** Buffers updates in the order of their revisions. */
export class RecentUpdates {
	private readonly entries: BufferedUpdate[] = [];
	private bytes = 0;

	add(update: StoreUpdate): void {
		if (update.revision <= (this.entries.at(-1)?.update.revision ?? 0)) {
			return;
		}

		const bytes = update.changes.reduce((sum, {key, value}) => sum + key.length + (value?.length ?? 0), 0);
		this.entries.push({update, bytes});
		this.bytes += bytes;
		while (this.entries.length > updateLimit || this.bytes > sizeLimitBytes) {
			this.bytes -= this.entries.shift()?.bytes ?? 0;
		}
	}

	clear(): void {
		this.entries.length = 0;
		this.bytes = 0;
	}

	/** Updates that complete a view from a revision on; an empty list if some of them are no longer buffered. */
	since(revision: number): StoreUpdate[] {
		const start = this.entries.findIndex(({update}) => update.revision > revision);
		if (start === -1 || (this.entries[start]?.update.after ?? 0) > revision) {
			return [];
		}

		return this.entries.slice(start).map(({update}) => update);
	}
}
