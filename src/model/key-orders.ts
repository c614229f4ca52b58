/**
 * Orders about keys to the targets of keyed services.
 */
import type {TargetLife} from './fleet.js';
import type {KeyRange} from './key-ownership.js';

/** An order about a range under a fencing token. */
export type KeyOrder = {
	range: KeyRange;
	fence: number;
	/** Time after which the order is given up, in milliseconds; it cannot arrive later. */
	timeoutMs: number;
};

/** Lets a target serve a range for a time that counts from the arrival of the order. */
export type KeyGrant = KeyOrder & {
	holdDurationMs: number;
	/** Token of the last holder, which keeps the keys warm. */
	handover?: string;
};

/** Calls reject with `TargetUnavailableError` if no answer came: the order may be carried out, also later. */
export type KeyOrders = {
	/** Rejects with `FenceRejectedError` if the target has seen a higher fence on the range. */
	grant(target: TargetLife, grant: KeyGrant): Promise<void>;
	/** Settles when the work on the range has ended; returns the handover for the next owner. */
	release(target: TargetLife, order: KeyOrder): Promise<string | undefined>;
	/** Asks for the id of the target that answers at the address. */
	identify(target: TargetLife, healthPath: string, timeoutMs: number): Promise<string | undefined>;
	close(): void;
};
