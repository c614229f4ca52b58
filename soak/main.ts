/**
 * Soak of the platform's daemons: npm run soak -- --seed N --minutes M [--daemons D] [--targets T]
 */
import process from 'node:process';
import meow from 'meow';
import {daemonLimit} from './addresses.js';
import {createSchedule} from './schedule.js';
import {describeStep, Soak} from './soak.js';

const minuteMs = 60_000;

/** Second parts of the addresses of networks, so that soaks of different seeds can run at the same time. */
const firstNetwork = 70;
const networkCount = 30;

const cli = meow(`
  Usage
    $ soak --seed N --minutes M

  Options
    --seed          seed of the schedule (default 1)
    --minutes       duration of the schedule (default 0.5)
    --daemons       number of daemons (default 4)
    --targets       number of targets (default 6)
    --delay-limit   longest delay of a link per direction in milliseconds (default 1500)
    --network       first two parts of the addresses (default: by the seed)
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
		network: {type: 'string'},
		logs: {type: 'string'},
		schedule: {type: 'boolean', default: false},
	},
	allowUnknownFlags: false,
});

const {seed, minutes, daemons, targets, delayLimit, logs} = cli.flags;
const options = {
	seed,
	durationMs: minutes * minuteMs,
	daemonCount: Math.min(daemons, daemonLimit),
	targetCount: targets,
	delayLimitMs: delayLimit,
	network: cli.flags.network ?? `127.${firstNetwork + (seed % networkCount)}`,
	logFolder: logs,
};

for (const step of createSchedule(options)) {
	console.log(describeStep(step));
}

if (!cli.flags.schedule) {
	const soak = new Soak(options, (_violation, report) => {
		console.log(report);
	});
	const result = await soak.run();
	const {violations, counts} = result;
	console.log(`played: ${[...result.playedByKind].map(([kind, count]) => `${kind} ${count}`).join(', ')}`);
	console.log(`checked: ${counts.requests} requests, ${counts.served} served, ${counts.undisturbed} ran undisturbed, ${counts.aroundStops} of them around stops, ${result.grantCount} grants`);
	console.log(`excused losses: ${[...result.excuses].map(([excuse, count]) => `${excuse} ${count}`).join(', ') || 'none'}`);
	console.log(`all keys served ${Math.round(result.recoveryMs)} ms after the last fault; longest stall of the soak ${Math.round(result.longestStallMs)} ms`);
	console.log(`${result.killedAfterGraceCount} stops ended by SIGKILL; ${result.endedBeforeLoadCount} processes ended by a signal before the program was loaded`);
	console.log(`seed ${seed}: ${violations.length === 0 ? 'held' : `${violations.length} violations: ${[...new Set(violations.map(({rule}) => rule))].join(', ')}`}`);
	process.exitCode = violations.length === 0 ? 0 : 1;
}
