import test from 'ava';
import {Fault} from '../bench/matrix/faults.js';
import {mutants} from '../bench/matrix/mutants.js';
import {runScenario, type Cell} from '../bench/matrix/scenario.js';
import {Step} from '../bench/matrix/steps.js';

const cells: Cell[] = [
	{fault: Fault.LeaderLost, step: Step.MovePaused},
	{fault: Fault.LeaderLost, step: Step.OwnerWritten},
	{fault: Fault.DaemonLost, step: Step.RequestExecuting},
	{fault: Fault.LeaderPaused, step: Step.MovePaused},
	{fault: Fault.DaemonLost, step: Step.Drained},
	{fault: Fault.DaemonPaused, step: Step.MoveRecorded},
	{fault: Fault.CutLeaderStore, step: Step.MovePaused},
	{fault: Fault.CutDaemonStoreOneWay, step: Step.Distributed},
	{fault: Fault.CutDaemons, step: Step.MoveRecorded},
	{fault: Fault.CutDaemonServer, step: Step.RequestSent},
	{fault: Fault.CutZone, step: Step.RequestClaimed},
	{fault: Fault.StoreDown, step: Step.Submitted},
	{fault: Fault.StoreDown, step: Step.LeaderSteppingDown},
	{fault: Fault.StoreSlow, step: Step.Committed},
	{fault: Fault.ReplyLost, step: Step.Confirmed},
	{fault: Fault.ServerLost, step: Step.Granted},
	{fault: Fault.ServerSilent, step: Step.Released},
	{fault: Fault.ServerPaused, step: Step.RequestExecuting},
	{fault: Fault.LeaderAndServer, step: Step.RequestSent},
	{fault: Fault.VmListLagging, step: Step.ShutdownReadiness},
	{fault: Fault.HealthMisleading, step: Step.RequestAccepted},
	{fault: Fault.MessagesDelayed, step: Step.MovePaused},
	{fault: Fault.MessagesDuplicated, step: Step.Granted},
	{fault: Fault.CompetingIntent, step: Step.MoveRecorded},
];

for (const cell of cells) {
	test.serial(`should keep every guarantee: ${cell.fault} at ${cell.step}`, async t => {
		const result = await runScenario({seed: 1, cells: [cell], hasFencing: true});
		t.deepEqual(result.reached, [cell]);
		t.deepEqual(result.violations, []);
	});
}

const cellsWithoutFencing: Cell[] = [
	{fault: Fault.LeaderPaused, step: Step.MovePaused},
	{fault: Fault.CutDaemons, step: Step.MoveRecorded},
	{fault: Fault.ServerLost, step: Step.RequestSent},
	{fault: Fault.MessagesDelayed, step: Step.MoveRecorded},
];

for (const cell of cellsWithoutFencing) {
	test.serial(`should keep every guarantee with servers without fencing: ${cell.fault} at ${cell.step}`, async t => {
		const result = await runScenario({seed: 1, cells: [cell], hasFencing: false});
		t.deepEqual(result.violations, []);
	});
}

for (const mutant of mutants) {
	test.serial(`should detect the mutation: ${mutant.name}`, async t => {
		const restore = mutant.apply();
		try {
			const result = await runScenario({seed: 1, cells: [mutant.cells[0]], hasFencing: mutant.hasFencing});
			t.true(result.violations.length > 0);
		} finally {
			restore();
		}
	});
}

test.serial('should produce the same result with the same seed', async t => {
	const options = {seed: 7, cells: [{fault: Fault.MessagesDelayed, step: Step.RequestSent}], hasFencing: true};
	const first = await runScenario(options);
	const second = await runScenario(options);
	t.deepEqual(second, first);
});
