/**
 * Samples for the report on error budget burn.
 */

/** What used up error budget. */
export enum BurnCause {
	None = 'none',
	Overload = 'overload',
	Move = 'move',
	Lease = 'lease',
	Target = 'target',
	Store = 'store',
	Late = 'late',
}

/** Requests of one service and class in one minute on one daemon. */
export type BurnSample = {
	customer: string;
	service: string;
	requestClass: string;
	objective: number;
	/** Start of the minute as Unix time in milliseconds. */
	minute: number;
	total: number;
	/** Failed requests by cause. */
	failed: Partial<Record<BurnCause, number>>;
};
