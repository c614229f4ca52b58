/**
 * Fault matrix: npm run matrix [-- --seed N] [--fault F] [--step S] [--unchecked] [--pairs N] [--mutants]
 */
import process from 'node:process';
import * as fastCheck from 'fast-check';
import meow from 'meow';
import {Promised, type Violation} from './matrix/checker.js';
import {allFaults} from './matrix/faults.js';
import {mutants} from './matrix/mutants.js';
import {runScenario, type Cell, type ScenarioResult} from './matrix/scenario.js';
import {allSteps} from './matrix/steps.js';
import {isKnownRed, matrixCells} from './matrix/table.js';

const cli = meow('Usage: matrix [--seed N] [--fault F] [--step S] [--unchecked] [--pairs N] [--mutants]', {
	importMeta: import.meta,
	flags: {
		seed: {type: 'number', default: 1},
		fault: {type: 'string'},
		step: {type: 'string'},
		unchecked: {type: 'boolean', default: false},
		pairs: {type: 'number', default: 0},
		mutants: {type: 'boolean', default: false},
	},
});
const {seed} = cli.flags;

function describe(violations: Violation[]): string {
	return violations.slice(0, 3).map(({promise, detail}) => `${promise}: ${detail}`).join('; ');
}

function mark(result: ScenarioResult): string {
	if (result.reached.length === 0) {
		return '-';
	}

	return result.violations.length > 0 ? 'X' : '.';
}

async function runMatrix(): Promise<number> {
	const {cells, skipped} = matrixCells(!cli.flags.unchecked);
	const red: string[] = [];
	let known = 0;
	let run = 0;
	let unreached = 0;
	for (const fault of allFaults.filter(candidate => cli.flags.fault === undefined || String(candidate) === cli.flags.fault)) {
		let line = '';
		let gapMs = 0;
		for (const cell of cells.filter(candidate => candidate.fault === fault && (cli.flags.step === undefined || String(candidate.step) === cli.flags.step))) {
			// eslint-disable-next-line no-await-in-loop -- the clock of the process belongs to one scenario at a time.
			const result = await runScenario({seed, cells: [cell], checks: !cli.flags.unchecked});
			line += mark(result);
			run += result.reached.length > 0 ? 1 : 0;
			unreached += result.reached.length === 0 ? 1 : 0;
			gapMs = Math.max(gapMs, result.longestGapMs);
			if (result.violations.length > 0) {
				known += isKnownRed(cell) ? 1 : 0;
				red.push(`${isKnownRed(cell) ? 'known: ' : ''}${cell.fault} at ${cell.step}: ${describe(result.violations)}`);
			}
		}

		console.log(`${fault.padEnd(36)} ${line.padEnd(allSteps.length)} longest gap ${Math.round(gapMs)} ms`);
	}

	for (const line of red) {
		console.log(`violated: ${line}`);
	}

	for (const {fault, step, reason} of skipped) {
		console.log(`not applicable: ${fault} at ${step}: ${reason}`);
	}

	console.log(`seed ${seed}: cells run ${run}, not reached ${unreached}, not applicable ${skipped.length}, violated ${red.length} (known ${known})`);
	return red.length - known;
}

async function runPairs(count: number): Promise<number> {
	const {cells} = matrixCells();
	const cell = fastCheck.constantFrom(...cells);
	const property = fastCheck.asyncProperty(cell, cell, fastCheck.integer({min: 1, max: 1000}), async (first: Cell, second: Cell, scenarioSeed: number) => {
		const result = await runScenario({seed: scenarioSeed, cells: [first, second], checks: !cli.flags.unchecked});
		// Two faults at once may take more than a second to recover from; the other promises hold all the same.
		const violations = result.violations.filter(violation => violation.promise !== Promised.ServedAgain);
		return violations.length === 0;
	});
	const details = await fastCheck.check(property, {seed, numRuns: count, endOnFailure: true});
	console.log(details.failed
		? `pairs: failed after ${details.numRuns} runs, seed ${details.seed}, counterexample ${JSON.stringify(details.counterexample)}`
		: `pairs: ${details.numRuns} runs, seed ${details.seed}, violated 0`);
	return details.failed ? 1 : 0;
}

async function runMutants(): Promise<number> {
	let survivors = 0;
	for (const mutant of mutants) {
		const restore = mutant.apply();
		const red: string[] = [];
		try {
			for (const cell of mutant.cells) {
				// eslint-disable-next-line no-await-in-loop -- one scenario at a time.
				const result = await runScenario({seed, cells: [cell], checks: mutant.checks});
				if (result.violations.length > 0) {
					red.push(`${cell.fault} at ${cell.step} (${result.violations[0].promise})`);
				}
			}
		} finally {
			restore();
		}

		survivors += red.length === 0 ? 1 : 0;
		console.log(`${red.length === 0 ? 'SURVIVED' : 'killed  '} ${mutant.name}: ${red.join(', ') || 'no cell is red'}`);
	}

	console.log(`mutants ${mutants.length}, survived ${survivors}`);
	return survivors;
}

let failures: number;
if (cli.flags.mutants) {
	failures = await runMutants();
} else if (cli.flags.pairs > 0) {
	failures = await runPairs(cli.flags.pairs);
} else {
	failures = await runMatrix();
}

process.exitCode = failures === 0 ? 0 : 1;
