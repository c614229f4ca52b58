/**
 * A fleet with one target that says something of itself, under load on a paused clock.
 */
import FakeTimers from '@sinonjs/fake-timers';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {encodeAssignment} from '../src/decisions/fleet/assignment-codec.js';
import {initialAssignment} from '../src/decisions/ownership/assignment-draft.js';
import type {Outcome} from '../src/model/forwarding.js';
import {callerRequest} from './caller-request.js';
import {LimitedTarget} from './limited-target.js';
import {RelayedFleet, target, type FleetSize} from './relayed-fleet.js';

/** Time until all daemons follow the store, in milliseconds. */
const startMs = 4500;

/** Interval between requests, in milliseconds; sixty a second. */
const requestIntervalMs = 1000 / 60;

/** Time that a request takes at the target, in milliseconds. */
const workMs = 50;

/** Ten, seventy and 195 daemons. */
export const sizes: FleetSize[] = [
	{availabilityZones: ['one', 'two'], daemonsPerZone: 5},
	{availabilityZones: ['one', 'two', 'three', 'four', 'five'], daemonsPerZone: 14},
	{availabilityZones: ['one', 'two', 'three', 'four', 'five'], daemonsPerZone: 39},
];

export type LimitedRun = {
	fleet: RelayedFleet;
	limited: LimitedTarget;
	/** Outcomes of the requests so far. */
	outcomes: Outcome[];
	/** Sends requests to daemons at random for this time. */
	load(durationMs: number): Promise<void>;
	/** Lets time pass without requests. */
	wait(durationMs: number): Promise<void>;
};

/** Runs a fleet whose first target names limits; requests are sent for keys of that target if the service is keyed. */
export async function withLimitedTarget(size: FleetSize, {isKeyed = true, targetCount = 1}, run: (run: LimitedRun) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	const fleet = new RelayedFleet(size);
	const outcomes: Outcome[] = [];
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
			void daemon?.forwarder.forward(callerRequest('/a/x')).then(outcome => {
				outcomes.push(outcome);
			});
			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await clock.tickAsync(requestIntervalMs);
		}
	};

	try {
		await clock.tickAsync(startMs);
		await run({
			fleet,
			limited,
			load,
			outcomes,
			async wait(durationMs) {
				await clock.tickAsync(durationMs);
			},
		});
	} finally {
		fleet.close();
		clock.uninstall();
	}
}

