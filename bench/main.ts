/**
 * Bench: npm run bench -- EXPERIMENT [--seed N] [--deployment association|ventorete] [--json FILE]
 */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import meow from 'meow';
import {columns} from '../src/cli/output.js';
import {
	DeploymentName, type Experiment, type ExperimentResult, type ResultRow,
} from './experiment.js';
import {control} from './experiments/control.js';
import {datapath} from './experiments/datapath.js';
import {churn, imbalance} from './experiments/ownership.js';
import {blocking, peakLoad} from './experiments/queueing.js';
import {assignmentSize} from './experiments/state.js';
import {unavailable} from './experiments/unavailable.js';

const experiments: Experiment[] = [
	imbalance, churn, unavailable, peakLoad, blocking, control, datapath, assignmentSize,
];

const cli = meow(`
  Usage
    $ npm run bench -- EXPERIMENT [--seed N] [--deployment association|ventorete] [--json FILE]

  Experiments
${experiments.map(({name, summary}) => `    ${name.padEnd(12)} ${summary}`).join('\n')}
`, {
	importMeta: import.meta,
	flags: {
		seed: {type: 'number', default: 1},
		deployment: {type: 'string', default: DeploymentName.Association, choices: Object.values(DeploymentName)},
		json: {type: 'string'},
	},
});

function print(result: ExperimentResult): void {
	const names = [...new Set(result.rows.flatMap(row => Object.keys(row.figures)))];
	const cell = (row: ResultRow, name: string) => {
		const value = row.figures[name];
		return typeof value === 'number' ? String(Number(value.toFixed(3))) : value ?? '';
	};

	console.log(`${result.experiment}, ${result.options.deployment}, seed ${result.options.seed}`);
	console.log(columns([['', ...names], ...result.rows.map(row => [row.variant, ...names.map(name => cell(row, name))])]).join('\n'));
	for (const {aim, met} of result.aims) {
		console.log(`${met ? 'met   ' : 'MISSED'} ${aim}`);
	}
}

const experiment = experiments.find(({name}) => name === cli.input[0]);
if (!experiment) {
	cli.showHelp(2);
}

const options = {seed: cli.flags.seed, deployment: cli.flags.deployment as DeploymentName};
const result: ExperimentResult = {experiment: experiment!.name, options, ...await experiment!.run(options)};
print(result);
if (cli.flags.json !== undefined) {
	await writeFile(cli.flags.json, JSON.stringify(result, undefined, 2));
}

process.exitCode = 0;
