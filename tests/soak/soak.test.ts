import test from 'ava';
import {
	createSchedule, FaultKind, Subject, type Step,
} from '../../soak/schedule.js';
import {Soak} from '../../soak/soak.js';

const options = {
	daemonCount: 3, targetCount: 6, delayLimitMs: 1500, logFolder: undefined,
};

/** Bound of each run in milliseconds: the schedule, the grace period, the recovery and the time in which requests could still run. */
const runLimitMs = 60_000;

function step(kind: FaultKind, changes: Partial<Step>): Step {
	return {
		atMs: 0, durationMs: 300, kind, daemon: 0, target: 0, amount: 0, signals: [], earlySignals: [], ...changes,
	};
}

type SoakCase = {
	name: string;
	seed: number;
	network: string;
	steps: Step[];
};

const cases: SoakCase[] = [
	{
		name: 'answer what targets ran at daemons that get signals in series',
		seed: 15,
		network: '127.99',
		steps: createSchedule({...options, seed: 15, durationMs: 8000}),
	},
	{
		name: 'have one holder for each key while orders arrive late',
		seed: 101,
		network: '127.98',
		steps: [
			step(FaultKind.LinkDelay, {daemon: Subject.All, durationMs: 5000, amount: options.delayLimitMs}),
			step(FaultKind.LinkDelay, {
				atMs: 6000, daemon: Subject.Leader, target: 1, durationMs: 4000, amount: options.delayLimitMs,
			}),
		],
	},
	{
		name: 'go on beside documents of other writers',
		seed: 102,
		network: '127.97',
		steps: Array.from({length: 12}, (_, index) => [
			step(FaultKind.OddEntry, {atMs: index * 200, durationMs: 4000, amount: index}),
			step(FaultKind.OddConfiguration, {atMs: (index * 200) + 100, amount: index}),
		]).flat(),
	},
];

for (const {name, seed, network, steps} of cases) {
	test.serial.failing(`should ${name}`, async t => {
		t.timeout(runLimitMs);
		const {violations, counts} = await new Soak({
			...options, seed, network, durationMs: 0, steps,
		}).run();
		t.deepEqual(violations.map(({rule, detail}) => `${rule}: ${detail}`), []);
		t.true(counts.undisturbed > 0);
	});
}
