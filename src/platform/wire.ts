/**
 * Names in the platform's protocols: headers, paths and store keys.
 */

/** Headers between callers, daemons, targets and the store, in lower case. */
export enum WireHeader {
	/** Id of a caller's attempt; targets return it with the answer. */
	RequestId = 'attempt-id',
	/** Time for which the sender still waits for the answer, in milliseconds. */
	Budget = 'time-budget-ms',
	/** Id of the only target that may run the request. */
	ExpectedTarget = 'target-instance',
	/** The target's signature of its answer. */
	Seal = 'response-seal',
	/** The target did not run the request. */
	NotRun = 'not-executed',
	/** Id of the answering target, on answers to health checks and misdirected requests. */
	Target = 'instance-id',
	Key = 'shard-key',
	/** Token that lets the next owner of released keys start with a warm cache. */
	Handover = 'handover',
	/** Requests a second that the target takes from all daemons together. */
	Limit = 'server-limit',
	/** Era of the store, in all of its answers: rises by one whenever the store is restored from a copy. */
	StoreEra = 'store-era',
	/** The target will stop soon. */
	Leaving = 'server-leaving',
	/** Running requests, waiting requests and slots of the target, and optionally how slow it is at present. */
	Load = 'server-load',
	/** Time until the target has warmed up, in milliseconds. */
	WarmUpLeft = 'warmup-left-ms',
}

/** Paths of HTTP calls. */
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

/** Store keys that the operator and the targets write. */
export const wireKeys = {
	configuration: 'op/config',
	targets: 'servers/',
	evacuations: 'op/evacuate/',
} as const;
