/**
 * Types of experiments and their results.
 */

/** Deployments that the experiments model. */
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
	/** Acceptance criteria, with the measured figures and whether they are met. */
	aims: Array<{aim: string; met: boolean}>;
};

/** An experiment. */
export type Experiment = {
	name: string;
	summary: string;
	run: (options: ExperimentOptions) => Promise<Omit<ExperimentResult, 'experiment' | 'options'>>;
};
