import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {TargetState} from '../../src/model/fleet.js';
import {KeyHolder} from '../../standins/key-holder.js';
import {KeyedFleet} from '../../standins/keyed-fleet.js';

/** Longest time without a holder after the loss of a target, in milliseconds; see docs/platform.md. */
const unownedLimitMs = 5000;

/** Time until the keys of a lost target have moved and its entry is gone, in milliseconds. */
const movedMs = 7000;

for (const {title, targetCount} of [{title: 'none', targetCount: 2}, {title: 'one', targetCount: 3}]) {
	test.serial(`should give keys to a target at the address of one that was lost before, with ${title} left besides after another loss`, async t => {
		const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
		const fleet = new KeyedFleet(3, targetCount);
		const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
		try {
			await run(6000);
			const [second, first] = fleet.holders.values();
			first.isStopped = true;
			await run(movedMs);
			t.deepEqual(fleet.unheldKeys(), []);
			fleet.removeEntry(first);
			const {address} = first.incarnation;
			const successor = new KeyHolder({id: 'target-9', bornAt: 9, address});
			fleet.holders.set(address, successor);
			fleet.putEntry(successor, TargetState.Ready);
			await run(3000);
			second.isStopped = true;
			await run(unownedLimitMs * 2);
			t.log(`${successor.grantCount} grants, ${fleet.unheldKeys().length} of 32 sampled keys without a holder ${unownedLimitMs * 2} ms after the second loss`);
			t.true(successor.grantCount > 0, 'the target at the address was granted no keys');
			t.deepEqual(fleet.unheldKeys(), []);
		} finally {
			fleet.stop();
			clock.uninstall();
		}
	});
}
