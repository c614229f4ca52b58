/**
 * Names on the platform's wire.
 */

/** Headers between callers, daemons and targets, in lower case. */
export enum WireHeader {
	/** Id of one try of a caller; targets echo it. */
	RequestId = 'attempt-id',
	/** Milliseconds that the sender goes on waiting. */
	Budget = 'time-budget-ms',
	/** Target that alone may run the request. */
	ExpectedTarget = 'target-instance',
	/** Signature of a target under its answer. */
	Seal = 'response-seal',
	/** The target did not run the request. */
	NotRun = 'not-executed',
	/** Target that answers; on health checks and misdirected requests. */
	Target = 'instance-id',
	Key = 'shard-key',
	/** Token with which the next owner of released keys starts warm. */
	Handover = 'handover',
}

/** Paths of calls. */
export const wirePaths = {
	ready: '/eelgrasswheel/readiness',
	grant: '/eelgrasswheel/grant',
	release: '/eelgrasswheel/release',
	storeItem: '/eelgrasswheel/kv-key',
	storeRange: '/eelgrasswheel/kv-range',
	storeWatch: '/eelgrasswheel/kv-watch',
	storeTransaction: '/eelgrasswheel/kv-txn',
	storeLease: '/eelgrasswheel/kv-lease',
	storeLeaseRenewal: '/eelgrasswheel/kv-keep',
	storeLeaseEnd: '/eelgrasswheel/kv-lease-end',
} as const;

/** Keys in the store that the platform writes. */
export const wireKeys = {
	configuration: 'op/config',
	targets: 'servers/',
} as const;
