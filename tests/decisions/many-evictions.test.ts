import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {LogEvent} from '../../src/model/events.js';
import {KeyedFleet} from '../../standins/keyed-fleet.js';
import {HoldStart, LateOrders, exactly} from '../../standins/late-orders.js';

/** RULES.md, OWNER: "Two servers that are up hold the same keys for over half a second, with requests or without". */
const statedOverlapMs = 500;

/** `fleetbench kinds`, applied_late: "carried out 2 to 12 s later". */
const lateMs = 8000;

/** Time for which the late target answers no order and then gets none, in milliseconds. */
const unansweredMs = 900;
const deafMs = 6000;

/** Time after its return within which the late target has to be released, in milliseconds; the late grant follows after 1,100 ms. */
const releasedInMs = 1000;

type Case = {
	targetCount: number;
	lostCount: number;
};

const cases: Case[] = [
	{targetCount: 60, lostCount: 0},
	{targetCount: 60, lostCount: 20},
	{targetCount: 60, lostCount: 32},
	{targetCount: 60, lostCount: 40},
	{targetCount: 120, lostCount: 40},
];

for (const {targetCount, lostCount} of cases) {
	test.serial(`should release the keys of a target that returns and carries a grant out late while ${lostCount} of ${targetCount - 1} others do not return`, async t => {
		const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
		const fleet = new KeyedFleet(3, targetCount);
		const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
		try {
			await run(6000);
			const holder = fleet.holder(targetCount - 1);
			const lost = [...fleet.holders.values()].slice(0, lostCount);
			for (const other of lost) {
				other.isUnreachable = true;
			}

			holder.lateOrders = new LateOrders({
				share: 1, lateness: exactly(lateMs), holdStart: HoldStart.Execution, areProbesLate: true, seed: 1,
			});
			await run(unansweredMs);
			holder.lateOrders = undefined;
			holder.isUnreachable = true;
			await run(deafMs);
			holder.isUnreachable = false;
			const returnedAt = performance.now();
			await run(12_000);
			const evictedAt = fleet.events.find(({event, target}) => event === LogEvent.TargetEvicted && target === holder.incarnation.id)?.at ?? Infinity;
			t.log(`two holders for ${fleet.longestOverlapMs} ms, released ${evictedAt - returnedAt} ms after the return`);
			t.true(fleet.longestOverlapMs <= statedOverlapMs, `two targets held a key for ${fleet.longestOverlapMs} ms`);
			t.true(evictedAt - returnedAt <= releasedInMs);
		} finally {
			fleet.stop();
			clock.uninstall();
		}
	});
}
