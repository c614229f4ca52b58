/**
 * Compare-and-swap writes of documents, which recognise their own write after a lost reply.
 */
import {Deadline} from '../model/deadline.js';
import {ConflictError, StoreAmbiguousError} from '../model/errors.js';
import type {KeyValueStore, StoreTransaction} from '../model/key-value-store.js';

/** Number of times a write with a lost reply is repeated before the caller gets an error. */
const ambiguousRetries = 3;

/** A document write and the key whose value shows whether it took effect. */
export type TokenWrite = {
	transaction: StoreTransaction;
	/** Key of a put whose value carries `token`. */
	key: string;
	token: string;
};

/**
 * Writes documents to the store.
 */
export class DocumentWriter {
	constructor(private readonly store: KeyValueStore, private readonly storeCallMs: number) {}

	/**
	 * Performs a conditional write and returns the new store revision of the documents.
	 *
	 * @throws {ConflictError} if another writer came first
	 * @throws {StoreUnavailableError} if the write had no effect
	 * @throws {StoreAmbiguousError} if it is still unknown after the repeats whether the write took effect
	 */
	async write({transaction, key, token}: TokenWrite): Promise<number> {
		let isAmbiguous = false;
		for (let attempt = 0; ; attempt++) {
			try {
				// eslint-disable-next-line no-await-in-loop -- each attempt depends on the last one's failure.
				const result = await this.store.transact(transaction, Deadline.after(this.storeCallMs, `writing ${key}`));
				if (result.succeeded) {
					return result.revision;
				}

				break;
			} catch (error) {
				// Repeating the write is safe: its conditions fail if the first write took effect.
				isAmbiguous ||= error instanceof StoreAmbiguousError;
				if (!isAmbiguous) {
					throw error;
				}

				if (attempt >= ambiguousRetries) {
					throw new StoreAmbiguousError(`writing ${key}`);
				}
			}
		}

		if (!isAmbiguous) {
			throw new ConflictError(key);
		}

		return this.findOwnWrite(key, token);
	}

	private async findOwnWrite(key: string, token: string): Promise<number> {
		const entry = await this.store.read(key, Deadline.after(this.storeCallMs, `reading ${key}`));
		const value = entry ? JSON.parse(entry.value) as {token?: string} : {};
		if (entry && value.token === token) {
			return entry.modRevision;
		}

		throw new ConflictError(key);
	}
}
