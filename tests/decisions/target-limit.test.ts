import test from 'ava';
import {encodeAssignment} from '../../src/decisions/fleet/assignment-codec.js';
import {initialAssignment} from '../../src/decisions/ownership/assignment-draft.js';
import {allowedCount} from '../../standins/limited-target.js';
import {sizes, withLimitedTarget} from '../../standins/limited-fleet.js';
import {target} from '../../standins/relayed-fleet.js';

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

test.serial('should use the limit of a keyed target although other keys change owner all the time', async t => {
	await withLimitedTarget(sizes[0], {isKeyed: true, targetCount: 2}, async ({fleet, limited, load}) => {
		limited.limitPerS = 4;
		await load(3000);
		const startedAt = performance.now();
		for (let round = 0; round < 80; round += 1) {
			fleet.store.put('eelgrasswheel/assignments/service', encodeAssignment({...initialAssignment('service', [target('a'), target('b')]), writeId: `write-${round}`}));
			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await load(125);
		}

		const served = limited.countBetween(startedAt, startedAt + 10_000);
		t.true(served >= usedShare * 4 * 10, `${served} requests in 10 s`);
	});
});
