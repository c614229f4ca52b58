/**
 * Fault matrix: npm run matrix [-- --seed N] [--fault F] [--step S] [--unchecked] [--pairs N] [--mutants]
 */
import process from 'node:process';
import * as fastCheck from 'fast-check';
import meow from 'meow';
import {Guarantee, type Violation} from './matrix/checker.js';
import {allFaults} from './matrix/faults.js';
import {mutants} from './matrix/mutants.js';
import {runScenario, type Cell, type ScenarioResult} from './matrix/scenario.js';
import {allSteps} from './matrix/steps.js';
import {isKnownRed, matrixCells} from './matrix/cells.js';

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
	return violations.slice(0, 3).map(({guarantee, detail}) => `${guarantee}: ${detail}`).join('; ');
}

function mark(result: ScenarioResult): string {
	if (result.reached.length === 0) {
		return '-';
	}

	return result.violations.length > 0 ? 'X' : '.';
}

async function runMatrix(): Promise<number> {
	const {cells, skipped} = matrixCells(!cli.flags.unchecked);
	const violatedCells: string[] = [];
	let knownCount = 0;
	let runCount = 0;
	let unreachedCount = 0;
	for (const fault of allFaults.filter(candidate => cli.flags.fault === undefined || String(candidate) === cli.flags.fault)) {
		let line = '';
		let gapMs = 0;
		for (const cell of cells.filter(candidate => candidate.fault === fault && (cli.flags.step === undefined || String(candidate.step) === cli.flags.step))) {
			// eslint-disable-next-line no-await-in-loop -- the paused clock is process-wide, so scenarios run one at a time.
			const result = await runScenario({seed, cells: [cell], hasFencing: !cli.flags.unchecked});
			line += mark(result);
			runCount += result.reached.length > 0 ? 1 : 0;
			unreachedCount += result.reached.length === 0 ? 1 : 0;
			gapMs = Math.max(gapMs, result.longestGapMs);
			if (result.violations.length > 0) {
				knownCount += isKnownRed(cell) ? 1 : 0;
				violatedCells.push(`${isKnownRed(cell) ? 'known: ' : ''}${cell.fault} at ${cell.step}: ${describe(result.violations)}`);
			}
		}

		console.log(`${fault.padEnd(36)} ${line.padEnd(allSteps.length)} longest gap ${Math.round(gapMs)} ms`);
	}

	for (const line of violatedCells) {
		console.log(`violated: ${line}`);
	}

	for (const {fault, step, reason} of skipped) {
		console.log(`not applicable: ${fault} at ${step}: ${reason}`);
	}

	console.log(`seed ${seed}: cells run ${runCount}, not reached ${unreachedCount}, not applicable ${skipped.length}, violated ${violatedCells.length} (known ${knownCount})`);
	return violatedCells.length - knownCount;
}

async function runPairs(count: number): Promise<number> {
	const {cells} = matrixCells();
	const cell = fastCheck.constantFrom(...cells);
	const property = fastCheck.asyncProperty(cell, cell, fastCheck.integer({min: 1, max: 1000}), async (first: Cell, second: Cell, scenarioSeed: number) => {
		const result = await runScenario({seed: scenarioSeed, cells: [first, second], hasFencing: !cli.flags.unchecked});
		// Recovery from two faults may take longer than one second; all other guarantees still apply.
		const violations = result.violations.filter(violation => violation.guarantee !== Guarantee.KeysServedAgain);
		return violations.length === 0;
	});
	const details = await fastCheck.check(property, {seed, numRuns: count, endOnFailure: true});
	console.log(details.failed
		? `pairs: failed after ${details.numRuns} runs, seed ${details.seed}, counterexample ${JSON.stringify(details.counterexample)}`
		: `pairs: ${details.numRuns} runs, seed ${details.seed}, violated 0`);
	return details.failed ? 1 : 0;
}

async function runMutants(): Promise<number> {
	let survivorCount = 0;
	for (const mutant of mutants) {
		const restore = mutant.apply();
		const violatedCells: string[] = [];
		try {
			for (const cell of mutant.cells) {
				// eslint-disable-next-line no-await-in-loop -- the paused clock is process-wide, so scenarios run one at a time.
				const result = await runScenario({seed, cells: [cell], hasFencing: mutant.hasFencing});
				if (result.violations.length > 0) {
					violatedCells.push(`${cell.fault} at ${cell.step} (${result.violations[0].guarantee})`);
				}
			}
		} finally {
			restore();
		}

		survivorCount += violatedCells.length === 0 ? 1 : 0;
		console.log(`${violatedCells.length === 0 ? 'SURVIVED' : 'killed  '} ${mutant.name}: ${violatedCells.join(', ') || 'no violation found'}`);
	}

	console.log(`mutants ${mutants.length}, survived ${survivorCount}`);
	return survivorCount;
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
