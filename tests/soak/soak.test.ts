import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {regressions} from '../../soak/regressions.js';

const programPath = fileURLToPath(new URL('../../soak/main.js', import.meta.url));

/** Bound of each run in milliseconds: the start, the schedule, the grace period, the recovery and the time in which requests could still run. */
const runLimitMs = 60_000;

/** Runs a schedule in a process of its own and returns its exit code and output. */
async function runSoak(regression: string): Promise<{code: number; output: string}> {
	return new Promise(resolve => {
		const child = execFile(process.execPath, [programPath, '--regression', regression], (_error, output, failure) => {
			resolve({code: child.exitCode ?? -1, output: `${output}${failure}`});
		});
	});
}

for (const {name} of regressions) {
	test.serial(`should keep the promises under ${name}`, async t => {
		t.timeout(runLimitMs);
		const {code, output} = await runSoak(name);
		t.log(output);
		t.is(code, 0);
	});
}
