/**
 * Experiments of the bench and their results.
 */

/** The deployments of the brief. */
export enum DeploymentName {
	Association = 'association',
	Ventorete = 'ventorete',
}

/** Options of every experiment. */
export type ExperimentOptions = {
	seed: number;
	deployment: DeploymentName;
};

/** A row of a result: a variant with its figures. */
export type ResultRow = {
	variant: string;
	figures: Record<string, number | string>;
};

/** Result of an experiment. */
export type ExperimentResult = {
	experiment: string;
	options: ExperimentOptions;
	rows: ResultRow[];
	/** Aims from the issue, with the figures that show them met or missed. */
	aims: Array<{aim: string; met: boolean}>;
};

/** One experiment. */
export type Experiment = {
	name: string;
	summary: string;
	run: (options: ExperimentOptions) => Promise<Omit<ExperimentResult, 'experiment' | 'options'>>;
};
