import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {wordReachMs} from '../../src/decisions/fleet/leader-word.js';
import {ownerEvidenceLifetimeMs} from '../../src/decisions/fleet/owner-freshness.js';
import {LogEvent} from '../../src/model/events.js';
import {KeyedFleet} from '../../standins/keyed-fleet.js';
import {StoreFault} from '../../standins/memory-coordination-store.js';

/** A key that the lost target owns. */
const lostKey = 20_000;

type Context = {
	fleet: KeyedFleet;
	run(durationMs: number): Promise<void>;
};

type Case = {
	title: string;
	/** Makes target 1 silent; returns the time before which no other target may be granted its keys. */
	lose(context: Context): Promise<number>;
};

/** Time at which an event was first logged after another time. */
function timeOf(fleet: KeyedFleet, wanted: LogEvent, after: number): number {
	return fleet.events.find(({event, at}) => event === wanted && at > after)?.at ?? Infinity;
}

const cases: Case[] = [
	{
		title: 'the lifetime of evidence for the owners before has ended since the move was written',
		async lose({fleet, run}) {
			const lostAt = performance.now();
			fleet.holder(1).isUnreachable = true;
			fleet.store.fault = StoreFault.DelaysWrites;
			await run(4400);
			fleet.store.fault = StoreFault.None;
			await run(600);
			return timeOf(fleet, LogEvent.AssignmentRejected, lostAt) + ownerEvidenceLifetimeMs;
		},
	},
	{
		title: 'the word of an earlier leader has ended',
		async lose({fleet, run}) {
			const stoppedAt = performance.now();
			fleet.leaderDaemon()?.stop();
			await run(3000);
			fleet.holder(1).isUnreachable = true;
			return timeOf(fleet, LogEvent.LeadershipTaken, stoppedAt) + wordReachMs;
		},
	},
];

for (const {title, lose} of cases) {
	test.serial(`should not grant keys without proof before ${title}`, async t => {
		const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
		const fleet = new KeyedFleet(3, 4);
		const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
		try {
			await run(6000);
			const earliestAt = await lose({fleet, run});
			const others = [...fleet.holders.values()].filter((_, index) => index !== 1);
			while (!others.some(holder => holder.isHolding(lostKey)) && performance.now() < earliestAt + 5000) {
				// eslint-disable-next-line no-await-in-loop -- polling.
				await run(10);
			}

			const earlyMs = earliestAt - performance.now();
			t.true(earlyMs < 0, `granted ${earlyMs} ms too early`);
			t.true(earlyMs > -1000, `granted ${-earlyMs} ms late`);
		} finally {
			fleet.stop();
			clock.uninstall();
		}
	});
}
