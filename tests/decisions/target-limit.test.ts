import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {encodeAssignment} from '../../src/decisions/fleet/assignment-codec.js';
import {initialAssignment} from '../../src/decisions/ownership/assignment-draft.js';
import {callerRequest} from '../../standins/caller-request.js';
import {allowedCount, LimitedTarget} from '../../standins/limited-target.js';
import {RelayedFleet, target, type FleetSize} from '../../standins/relayed-fleet.js';

/** Time until all daemons follow the store, in milliseconds. */
const startMs = 4500;

/** Interval between requests, in milliseconds; sixty a second. */
const requestIntervalMs = 1000 / 60;

/** Time for which requests are sent, in milliseconds. */
const loadMs = 14_000;

/** Share of the limit that a target must get over ten seconds if more is asked for. */
const usedShare = 0.6;

/** Time that a request takes at the target, in milliseconds. */
const workMs = 50;

const sizes: FleetSize[] = [
	{availabilityZones: ['one', 'two'], daemonsPerZone: 5},
	{availabilityZones: ['one', 'two', 'three', 'four', 'five'], daemonsPerZone: 14},
	{availabilityZones: ['one', 'two', 'three', 'four', 'five'], daemonsPerZone: 39},
];

type Run = {
	fleet: RelayedFleet;
	limited: LimitedTarget;
	/** Sends requests to daemons at random for this time. */
	load(durationMs: number): Promise<void>;
};

/** Runs a fleet whose first target names limits; requests are sent for keys of that target if the service is keyed. */
async function withLimitedTarget(size: FleetSize, {isKeyed = true, targetCount = 1}, run: (run: Run) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	const fleet = new RelayedFleet(size);
	const generator = xoroshiro128plus(1);
	const limited = new LimitedTarget(workMs);
	const others = new LimitedTarget(workMs);
	fleet.setTargetAnswer(async (daemon, attempt) => (attempt.target.id === 'a' ? limited : others).answer(daemon, attempt));
	fleet.putConfiguration(1, ['/a/'], isKeyed);
	const targets = Array.from({length: targetCount}, (_, index) => target(String.fromCodePoint(97 + index)));
	for (const {id} of targets) {
		fleet.store.put(`targets/${id}`, '');
	}

	if (isKeyed) {
		fleet.store.put('eelgrasswheel/assignments/service', encodeAssignment(initialAssignment('service', targets)));
	}

	const load = async (durationMs: number): Promise<void> => {
		for (const endAt = performance.now() + durationMs; performance.now() < endAt;) {
			const daemon = fleet.daemons[uniformInt(generator, 0, fleet.daemons.length - 1)];
			void daemon?.forwarder.forward(callerRequest('/a/x'));
			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await clock.tickAsync(requestIntervalMs);
		}
	};

	try {
		await clock.tickAsync(startMs);
		await run({fleet, limited, load});
	} finally {
		fleet.close();
		clock.uninstall();
	}
}

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
