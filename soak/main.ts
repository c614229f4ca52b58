#!/usr/bin/env node
/**
 * Soak of the platform's daemons: npm run soak -- --seed N --minutes M [--daemons D] [--targets T]
 */
import process from 'node:process';
import meow from 'meow';
import {daemonLimit} from './addresses.js';
import {regressions} from './regressions.js';
import {createSchedule, type Step} from './schedule.js';
import {
	describeStep, Soak, type SoakOptions, type SoakResult,
} from './soak.js';

const minuteMs = 60_000;

/** Second parts of the addresses of networks, so that soaks of different seeds can run at the same time. */
const firstNetwork = 70;
const networkCount = 30;

/** Exit code of a violation. */
const violationExitCode = 1;

/** Exit code of a run that a signal ended. */
const abortedExitCode = 2;

const cli = meow(`
  Usage
    $ soak --seed N --minutes M

  Options
    --seed          seed of the schedule (default 1)
    --minutes       duration of the schedule (default 0.5)
    --daemons       number of daemons (default 4)
    --targets       number of targets (default 6)
    --delay-limit   longest delay of a link per direction in milliseconds (default 1500)
    --regression    name of a schedule that failed once, instead of a seed: ${regressions.map(({name}) => `"${name}"`).join(', ')}
    --network       first two parts of the addresses (default: by the seed)
    --restores      the store names its era and is restored from copies
    --refused-runs  targets answer some requests after the run as if they had not run
    --logs          folder for the logs of the processes of a run with violations
    --schedule      print the schedule without running it
`, {
	importMeta: import.meta,
	flags: {
		seed: {type: 'number', default: 1},
		minutes: {type: 'number', default: 0.5},
		daemons: {type: 'number', default: 4},
		targets: {type: 'number', default: 6},
		delayLimit: {type: 'number', default: 1500},
		regression: {type: 'string', choices: regressions.map(({name}) => name)},
		network: {type: 'string'},
		restores: {type: 'boolean', default: false},
		refusedRuns: {type: 'boolean', default: false},
		logs: {type: 'string'},
		schedule: {type: 'boolean', default: false},
	},
	allowUnknownFlags: false,
});

function readOptions(): SoakOptions {
	const {flags} = cli;
	const regression = regressions.find(({name}) => name === flags.regression);
	const options = regression?.options ?? {
		seed: flags.seed,
		durationMs: flags.minutes * minuteMs,
		daemonCount: Math.min(flags.daemons, daemonLimit),
		targetCount: flags.targets,
		delayLimitMs: flags.delayLimit,
		restoresStore: flags.restores,
		refusesRuns: flags.refusedRuns,
	};
	return {
		...options,
		network: flags.network ?? `127.${firstNetwork + (options.seed % networkCount)}`,
		logFolder: flags.logs,
		isStrict: regression?.isStrict ?? false,
		hasEra: flags.restores,
		steps: regression?.steps ?? createSchedule(options),
	};
}

function describeCounts<Kind extends string>(counts: Map<Kind, number>): string {
	return [...counts].map(([kind, count]) => `${kind} ${count}`).join(', ') || 'none';
}

function printResult(seed: number, {violations, playedByKind, counts, ...result}: SoakResult): void {
	console.log(`played: ${describeCounts(playedByKind)}`);
	console.log(`checked: ${counts.requests} requests, ${counts.served} served, ${counts.undisturbed} ran undisturbed, ${counts.aroundStops} of them around stops`);
	console.log(`granted: ${result.grantCount} grants, ${result.lateGrantCount} of them taken late`);
	console.log(`excused losses: ${describeCounts(result.excuses)}`);
	console.log([`excused overlaps of holders: ${result.excusedOverlaps.length}`, ...result.excusedOverlaps].join('\n    '));
	console.log(`all keys served ${Math.round(result.recoveryMs)} ms after the last fault; longest stall of the soak ${Math.round(result.longestStallMs)} ms`);
	console.log(`${result.killedAfterGraceCount} stops ended by SIGKILL; ${result.endedBeforeLoadCount} processes ended by a signal before the program was loaded`);
	console.log(`seed ${seed}: ${violations.length === 0 ? 'held' : `${violations.length} violations: ${[...new Set(violations.map(({rule}) => rule))].join(', ')}`}`);
}

async function runSoak(options: SoakOptions & {steps: Step[]}): Promise<number> {
	const soak = new Soak(options, report => {
		console.log(report);
	});
	const abort = async (): Promise<void> => {
		await soak.abort();
		process.exit(abortedExitCode);
	};

	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.once(signal, () => {
			void abort();
		});
	}

	const result = await soak.run();
	printResult(options.seed, result);
	return result.violations.length === 0 ? 0 : violationExitCode;
}

const options = readOptions();
for (const step of options.steps) {
	console.log(describeStep(step));
}

// A socket that is reset while its end is being sent keeps its process alive.
process.exit(cli.flags.schedule ? 0 : await runSoak(options));
