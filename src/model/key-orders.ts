/**
 * Orders for ranges of keys to the targets of keyed services.
 */
import type {TargetIncarnation} from './fleet.js';
import type {KeyRange} from './key-ownership.js';

/** An order for a range under a fencing token. */
export type KeyOrder = {
	range: KeyRange;
	fence: number;
	/** Timeout of the order in milliseconds. An order that was sent may arrive later. */
	timeoutMs: number;
	/** Checked right before the first byte is sent; the order is dropped if the sender may no longer give it. */
	mayBeSent?(): boolean;
};

/** Lets a target serve a range for a hold that starts when the order arrives. */
export type KeyGrant = KeyOrder & {
	holdDurationMs: number;
	/** Token from the release by the previous owner, with which the new owner starts with a warm cache. */
	handover?: string;
};

/**
 * Calls reject with `TargetUnavailableError` if no success answer arrives; the target may have executed the order or may still do
 * so, unless the error is an `OrderUnsentError`, or a `TargetReplacedError`, which proves that its incarnation is gone.
 */
export type KeyOrders = {
	/** Rejects with `FenceRejectedError` if the target has received a higher fencing token for the range. */
	grant(target: TargetIncarnation, grant: KeyGrant): Promise<void>;
	/** Settles once the target has finished its requests for the range; returns the handover for the next owner. */
	release(target: TargetIncarnation, order: KeyOrder): Promise<string | undefined>;
	/** Returns the id of the target that answers at the address. */
	identify(target: TargetIncarnation, healthPath: string, timeoutMs: number): Promise<string | undefined>;
	close(): void;
};
