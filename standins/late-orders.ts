/**
 * Orders that get no answer and are carried out late.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** When the hold of a late grant starts. */
export enum HoldStart {
	/** With the arrival of the call; PROTOCOL.md: "Its time still counts from the arrival of the call". */
	Arrival = 'arrival',
	/** When it is carried out, as for a call that is held up on its way and arrives only then. */
	Execution = 'execution',
}

/** Time from the call of an order until it is carried out, in milliseconds. */
export type Lateness = {
	shortestMs: number;
	longestMs: number;
};

/** `fleetbench kinds`, applied_late: "carried out 2 to 12 s later". */
export const statedLateness: Lateness = {shortestMs: 2000, longestMs: 12_000};

export function exactly(lateMs: number): Lateness {
	return {shortestMs: lateMs, longestMs: lateMs};
}

/** Resolution of the share of late orders. */
const shareSteps = 1000;

export type LateOrdersOptions = {
	/** Share of the orders that are late, from 0 to 1. */
	share: number;
	lateness: Lateness;
	holdStart: HoldStart;
	/** True if identity probes are late as well. */
	areProbesLate: boolean;
	seed: number;
};

/** Draws which orders are late, and by how much. */
export class LateOrders {
	private readonly generator;

	constructor(private readonly options: LateOrdersOptions) {
		this.generator = xoroshiro128plus(options.seed);
	}

	get holdStart(): HoldStart {
		return this.options.holdStart;
	}

	/** Lateness of the next order in milliseconds; undefined if it is carried out on time and answered. */
	draw(isProbe: boolean): number | undefined {
		const {share, lateness, areProbesLate} = this.options;
		const isLate = uniformInt(this.generator, 1, shareSteps) <= share * shareSteps && (areProbesLate || !isProbe);
		return isLate ? uniformInt(this.generator, lateness.shortestMs, lateness.longestMs) : undefined;
	}
}
