/**
 * Access of the daemons to the key-value service of a fake deployment, with faults.
 */
import type {Deadline} from '../src/model/deadline.js';
import {StoreAmbiguousError, StoreUnavailableError} from '../src/model/errors.js';
import type {
	KeyValueStore, StoreEntry, StoreResult, StoreTransaction, StoreVersion,
} from '../src/model/key-value-store.js';
import type {FakeNetwork} from './fake-network.js';
import type {MemoryStore} from './memory-store.js';

/** Process name of the store on the fake network. */
export const storeProcess = 'store';

/** Faults of the store. */
export type FakeStoreFaults = {
	isDown: boolean;
	delayMs: number;
	/** Number of writes whose reply is lost after they took effect. */
	repliesToLose: number;
};

/** One daemon's access to the store. */
export class FakeStore implements KeyValueStore {
	constructor(
		private readonly daemon: string,
		private readonly network: FakeNetwork,
		private readonly memoryStore: MemoryStore,
		private readonly faults: FakeStoreFaults,
	) {}

	async read(key: string, deadline: Deadline): Promise<StoreEntry | undefined> {
		return this.call(deadline, () => this.memoryStore.read(key));
	}

	async readPrefix(prefix: string, deadline: Deadline): Promise<StoreEntry[]> {
		return this.call(deadline, () => this.memoryStore.readPrefix(prefix));
	}

	async readVersions(prefix: string, deadline: Deadline): Promise<StoreVersion[]> {
		return this.call(deadline, () => this.memoryStore.readVersions(prefix));
	}

	async transact(transaction: StoreTransaction, deadline: Deadline): Promise<StoreResult> {
		let isReplyLost = false;
		try {
			const result = await this.call(deadline, () => {
				const applied = this.memoryStore.transact(transaction);
				if (applied.succeeded && this.faults.repliesToLose > 0) {
					this.faults.repliesToLose -= 1;
					isReplyLost = true;
				}

				return applied;
			});
			if (!isReplyLost) {
				return result;
			}
		} catch (error) {
			if (error instanceof StoreUnavailableError) {
				throw error;
			}
		}

		throw new StoreAmbiguousError('no reply');
	}

	async grantLease(ttlSeconds: number, deadline: Deadline): Promise<string> {
		return this.call(deadline, () => this.memoryStore.grantLease(ttlSeconds));
	}

	async close(): Promise<void> {
		// No connection is open.
	}

	private async call<Result>(deadline: Deadline, operation: () => Result): Promise<Result> {
		return this.network.call({
			from: this.daemon,
			to: storeProcess,
			deadline,
			operation: async () => {
				if (this.faults.delayMs > 0) {
					await new Promise(resolve => {
						setTimeout(resolve, this.faults.delayMs);
					});
				}

				if (this.faults.isDown) {
					throw new StoreUnavailableError('down');
				}

				return operation();
			},
			refused: () => new StoreUnavailableError('refused'),
		});
	}
}
