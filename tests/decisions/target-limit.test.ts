import test from 'ava';
import {allowedCount} from '../../standins/limited-target.js';
import {sizes, withLimitedTarget} from '../../standins/limited-fleet.js';

/** Time for which requests are sent, in milliseconds. */
const loadMs = 14_000;

/** Share of the limit that a target must get over ten seconds if more is asked for. */
const usedShare = 0.6;

for (const size of sizes) {
	const count = size.availabilityZones.length * size.daemonsPerZone;
	for (const isKeyed of [true, false]) {
		test.serial(`should keep the limit that a target of ${isKeyed ? 'a keyed' : 'an undivided'} service names, with ${count} daemons in sum`, async t => {
			await withLimitedTarget(size, {isKeyed, targetCount: isKeyed ? 1 : 3}, async ({limited, load}) => {
				await load(1000);
				limited.limitPerS = 4;
				const namedAt = performance.now();
				await load(loadMs);
				t.true(limited.highestCount() <= allowedCount(4), `${limited.highestCount()} requests in 4 s`);
				const served = limited.countBetween(namedAt + 4000, namedAt + loadMs);
				t.true(served >= usedShare * 4 * 10, `${served} requests in 10 s`);
			});
		});
	}
}
