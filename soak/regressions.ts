/**
 * Seeds that failed, each with its cause. A change of the generator changes their schedules: play them on the generator of their commit too.
 */

/** A seed and the options with which it failed. */
export type RegressionSeed = {
	seed: number;
	minutes: number;
	daemons: number;
	targets: number;
	/** What was broken, and why. */
	cause: string;
};

export const regressionSeeds: RegressionSeed[] = [
];
