/**
 * Time constants of ownership and recovery. All values are in milliseconds.
 */

/** Time constants that settings may override; see docs/settings.md. */
export type Timing = {
	/** A daemon dispatches only under a version confirmed within this time. */
	routeLeaseMs: number;
	/** Interval between two confirmations. */
	confirmPeriodMs: number;
	/** Interval between two health probes of a server or of a leader. */
	probePeriodMs: number;
	/** Number of consecutive unanswered probes after which a server or leader is suspected. */
	silentProbes: number;
	/** Longest time between sending a request and its start on the server. */
	startByMs: number;
	/** Upper bound of the difference between two wall clocks. */
	clockSkewMs: number;
	/** Timeout of one call to the store. */
	storeCallMs: number;
	/** Timeout of one call to a peer or of one control call to a server. */
	peerCallMs: number;
	/** Age at which a read on a paused shard is cancelled and sent again to the new owner. */
	drainGraceMs: number;
	/** Longest time that the warming of a new server may delay a move. */
	warmLimitMs: number;
	/** Time for which a server that was declared unreachable must answer before it may own shards again. */
	recoveryMs: number;
	/** Interval between two reads of the VM list. */
	vmListPeriodMs: number;
};

/** Default time constants; together they keep a takeover within one second. */
export const defaultTiming: Timing = {
	routeLeaseMs: 300,
	confirmPeriodMs: 100,
	probePeriodMs: 80,
	silentProbes: 3,
	startByMs: 250,
	clockSkewMs: 20,
	storeCallMs: 100,
	peerCallMs: 70,
	drainGraceMs: 100,
	warmLimitMs: 2000,
	recoveryMs: 2000,
	vmListPeriodMs: 1000,
};
