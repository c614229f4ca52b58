import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {FenceRejectedError} from '../../src/model/errors.js';
import {KeyedFleet} from '../../standins/keyed-fleet.js';

/** Time in which targets know the later leader, in milliseconds. */
const takeoverMs = 3000;

// OWNER: such a leader goes on to renew, and a target that restarts without its memory takes a renewal while another one holds the keys.
test.failing('should give no further orders once a target has refused one because of a later leader', async t => {
	const clock = FakeTimers.install({now: 1_800_000_000_000});
	try {
		const fleet = new KeyedFleet(3, 4);
		const run = async (durationMs: number): Promise<void> => {
			await fleet.run(durationMs, async ms => clock.tickAsync(ms));
		};

		await run(5000);
		const leader = fleet.leaderDaemon()!;
		const seen: {refusedAt: number | undefined; laterMs: number[]} = {refusedAt: undefined, laterMs: []};
		const grant = leader.orders.grant.bind(leader.orders);
		leader.orders.grant = async (target, order) => {
			if (seen.refusedAt !== undefined && performance.now() > seen.refusedAt) {
				seen.laterMs.push(Math.round(performance.now() - seen.refusedAt));
			}

			try {
				await grant(target, order);
			} catch (error) {
				if (error instanceof FenceRejectedError) {
					seen.refusedAt ??= performance.now();
				}

				throw error;
			}
		};

		leader.client.isDisconnected = true;
		fleet.revokeLeadership();
		await run(takeoverMs);
		fleet.stop();
		t.not(seen.refusedAt, undefined);
		t.deepEqual(seen.laterMs, []);
	} finally {
		clock.uninstall();
	}
});
