/**
 * Divides the slots and connections of a server between the daemons.
 */

/** Capacity of a server. */
export type ServerBounds = {
	connections: number;
	slots: number;
};

/** Concurrency limits of one daemon towards a server. */
export type SlotShare = {
	concurrency: number;
	longConcurrency: number;
};

/** Requests in flight per slot, over all daemons: keeps the slots busy, while further requests wait in the daemons' queues. */
const inFlightPerSlot = 2;

/** Requests in flight of a daemon for each long request that it may have in flight; one long request is always allowed. */
const concurrencyPerLongRequest = 4;

/**
 * Divides a server's slots between the daemons, so that requests wait in the daemons' priority queues instead of the server's
 * FIFO queue. The sum over all daemons stays within the server's connections.
 */
export function divideSlots({connections, slots}: ServerBounds, daemons: number): SlotShare {
	const connectionShare = Math.max(1, Math.floor(connections / daemons));
	const neededConcurrency = Math.max(1, Math.ceil(slots * inFlightPerSlot / daemons));
	const concurrency = Math.min(connectionShare, neededConcurrency);
	return {concurrency, longConcurrency: Math.max(1, Math.floor(concurrency / concurrencyPerLongRequest))};
}
