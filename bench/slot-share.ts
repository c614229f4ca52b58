/**
 * A daemon's share of a server's slots and connections.
 */

/** Bounds of a server. */
export type ServerBounds = {
	connections: number;
	slots: number;
};

/** Share of one daemon. */
export type SlotShare = {
	concurrency: number;
	longConcurrency: number;
};

/** Requests in flight per slot, over all daemons: enough to keep the slots busy, few enough that daemons order the rest. */
const inFlightPerSlot = 2;

/** Requests in flight of a daemon from which it may use more than one place for long work. */
const longWorkFrom = 4;

/**
 * Divides a server's slots over the daemons, so that requests wait in the daemons' order rather than in the server's
 * queue. The sum over all daemons stays within the server's connections.
 */
export function slotShare({connections, slots}: ServerBounds, daemons: number): SlotShare {
	const connectionShare = Math.max(1, Math.floor(connections / daemons));
	const wanted = Math.max(1, Math.ceil(slots * inFlightPerSlot / daemons));
	const concurrency = Math.min(connectionShare, wanted);
	return {concurrency, longConcurrency: Math.max(1, Math.floor(concurrency / longWorkFrom))};
}
