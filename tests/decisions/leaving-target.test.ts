import test from 'ava';
import {OutcomeKind, OutcomeReason} from '../../src/model/forwarding.js';
import {sizes, withLimitedTarget} from '../../standins/limited-fleet.js';
import {target} from '../../standins/relayed-fleet.js';

/** Time after which a daemon that passed on that a target leaves sends it nothing, in milliseconds. */
const drainMs = 2000;

for (const size of sizes) {
	const count = size.availabilityZones.length * size.daemonsPerZone;
	test.serial(`should send nothing to a target that says that it is leaving, with ${count} daemons`, async t => {
		await withLimitedTarget(size, {isKeyed: false, targetCount: 3}, async ({fleet, limited, load}) => {
			await load(1000);
			limited.isLeaving = true;
			await load(drainMs);
			t.deepEqual(fleet.daemons.filter(({view}) => view.isReady(target('a'))).map(({member}) => member.daemon), []);
			const learnedAt = performance.now();
			// The store says otherwise for the same incarnation.
			fleet.store.put('targets/a', 'again');
			await load(4000);
			t.is(limited.countBetween(learnedAt, Infinity), 0);
		});
	});

	test.serial(`should send at most two requests to a target that wants none for a time, with ${count} daemons`, async t => {
		await withLimitedTarget(size, {isKeyed: true}, async ({fleet, limited, load, outcomes}) => {
			limited.pauseMs = 3000;
			const startedAt = performance.now();
			await load(2900);
			const firstAt = new Map(limited.arrivals.toReversed().map(({daemon, at}) => [daemon, at]));
			const late = limited.arrivals.filter(({daemon, at}) => at - (firstAt.get(daemon) ?? at) > 600);
			t.deepEqual(late, []);
			t.true(limited.countBetween(startedAt, Infinity) >= Math.min(fleet.daemons.length, 60));
			const refused = outcomes.filter(({reason}) => reason === OutcomeReason.TargetPaused);
			t.true(refused.length > 0 && refused.every(({kind, retryAfterMs = 0}) => kind === OutcomeKind.NotRun && retryAfterMs > 0 && retryAfterMs <= 3000));
			limited.pauseMs = undefined;
			await load(4000);
			const resumedAt = performance.now();
			await load(1000);
			t.true(limited.countBetween(resumedAt, Infinity) >= 50, 'the pause ends');
		});
	});
}

test.serial('should use the other targets of an undivided service while one wants no requests', async t => {
	await withLimitedTarget(sizes[0], {isKeyed: false, targetCount: 3}, async ({limited, load, outcomes}) => {
		limited.pauseMs = 10_000;
		await load(3000);
		outcomes.splice(0);
		await load(2000);
		t.deepEqual(outcomes.filter(({kind}) => kind !== OutcomeKind.Answered), []);
	});
});
