import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {initialAssignment} from '../../src/decisions/ownership/assignment-draft.js';
import {balanceKeys, type OwnerCandidate} from '../../src/decisions/ownership/key-balance.js';
import {meanLifetimeS, type KeyCount} from '../../src/decisions/ownership/key-request-rates.js';
import {spreadKeys} from '../../src/decisions/ownership/key-spread.js';
import {LogEvent} from '../../src/model/events.js';
import {TargetState} from '../../src/model/fleet.js';
import {findRange, lastKey, type OwnedRange} from '../../src/model/key-ownership.js';
import {KeyedFleet, keyedService} from '../../standins/keyed-fleet.js';
import {StoreFault} from '../../standins/memory-coordination-store.js';

/** Time within which all keys have to be served outside of the zone, in milliseconds; a fifth of the bound of the users. */
const servedMs = 1000;

const evacuationKey = 'op/evacuate/one';

/** Interval of reports of requested keys, in milliseconds. */
const reportMs = 100;

type Scene = {
	fleet: KeyedFleet;
	/** Lets time pass under even load of so many requests a second. */
	run(durationMs: number, requestsPerS?: number): Promise<void>;
	/** Ids of targets in the zone that own keys or may hold them, by the view of each daemon. */
	ownersInZone(): string[];
	/** Requests a second of each target under the load of `run`, by the view of the leader. */
	loads(requestsPerS: number): Map<string, number>;
};

async function withZones({zoneSize, targetCount}: {zoneSize: number; targetCount: number}, play: (scene: Scene) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	const fleet = new KeyedFleet(3, targetCount);
	const inZone = new Set([...fleet.holders.values()].slice(0, zoneSize).map(({incarnation}) => incarnation.id));
	for (const holder of fleet.holders.values()) {
		fleet.putEntry(holder, TargetState.Ready, {availabilityZone: inZone.has(holder.incarnation.id) ? 'one' : 'two'});
	}

	let lastRequested = 0;
	const nextKey = (): number => {
		lastRequested = (lastRequested + 40_503) % (lastKey + 1);
		return lastRequested;
	};

	const rangesOf = (daemon: (typeof fleet.daemons)[number]): OwnedRange[] => daemon.view.assignments.get(keyedService)?.assignment.ranges ?? [];
	try {
		await play({
			fleet,
			async run(durationMs, requestsPerS = 800) {
				for (let passedMs = 0; passedMs < durationMs; passedMs += reportMs) {
					const keys = Array.from({length: requestsPerS * reportMs / 1000}, nextKey);
					for (const {leader} of fleet.daemons) {
						leader.recordKeys(keyedService, keys);
					}

					// eslint-disable-next-line no-await-in-loop -- load arrives over time.
					await fleet.run(Math.min(reportMs, durationMs - passedMs), async ms => clock.tickAsync(ms));
				}
			},
			ownersInZone: () => fleet.daemons.flatMap(daemon => rangesOf(daemon).flatMap(({owner, previous}) => [owner, ...previous])).map(({id}) => id).filter(id => inZone.has(id)),
			loads(requestsPerS) {
				const loads = new Map<string, number>();
				for (const {first, last, owner} of rangesOf(fleet.daemons[0])) {
					loads.set(owner.id, (loads.get(owner.id) ?? 0) + (requestsPerS * (last - first + 1) / (lastKey + 1)));
				}

				return loads;
			},
		});
	} finally {
		fleet.stop();
		clock.uninstall();
	}
}

async function measureMove({run, ownersInZone}: Scene, limitMs: number): Promise<number> {
	const beganAt = performance.now();
	while (ownersInZone().length > 0 && performance.now() - beganAt < limitMs) {
		// eslint-disable-next-line no-await-in-loop -- until the keys have moved.
		await run(10, 0);
	}

	return performance.now() - beganAt;
}

test.serial('should serve all keys elsewhere within a second without overload when 35 of 99 owners are evacuated, and use the zone again', async t => {
	await withZones({zoneSize: 35, targetCount: 99}, async scene => {
		const {fleet, run, ownersInZone, loads} = scene;
		await run(6000);
		const owners = new Set(ownersInZone());
		t.is(owners.size, 35);
		const rangesBefore = fleet.daemons[0].view.assignments.get(keyedService)?.assignment.ranges.length ?? 0;
		fleet.resetGaps();
		// Watches pause after any change, and targets answer a release once the requests for its keys have ended.
		fleet.putMemberEntry('daemon-9');
		for (const {link} of [...fleet.holders.values()].slice(0, 35)) {
			link.toDaemonMs = 200;
		}

		await run(20);
		fleet.store.put(evacuationKey, '{}');
		const movedMs = await measureMove(scene, 5000);
		const after = [...loads(800).values()];
		const mean = 800 / 64;
		const ranges = fleet.daemons[0].view.assignments.get(keyedService)?.assignment.ranges.length ?? 0;
		t.log(`moved within ${movedMs} ms, without a holder for ${fleet.maxGapMs()} ms; ${rangesBefore} ranges became ${ranges}; busiest ${(Math.max(...after) / mean).toFixed(2)} times the mean`);
		t.true(movedMs <= servedMs);
		t.true(Math.max(...after) <= 1.3 * mean);
		t.true(ranges <= rangesBefore + 64);
		t.deepEqual(fleet.overlappingHolds, []);
		fleet.store.delete(evacuationKey);
		const endedAt = performance.now();
		while (new Set(ownersInZone()).size < 35 && performance.now() - endedAt < 5000) {
			// eslint-disable-next-line no-await-in-loop -- until all targets have keys again.
			await run(100);
		}

		t.log(`all targets of the zone own keys again after ${performance.now() - endedAt} ms`);
		t.true(performance.now() - endedAt <= 3000);
		t.deepEqual(fleet.overlappingHolds, []);
	});
});

const cases: Array<{title: string; limitMs: number; start(scene: Scene): void}> = [
	{
		title: 'the store loses the replies of writes',
		limitMs: 3000,
		start({fleet}) {
			fleet.store.fault = StoreFault.LosesReplies;
		},
	},
	{
		title: 'the leader ends at the same time',
		limitMs: 4500,
		start({fleet}) {
			fleet.leaderDaemon()?.stop();
		},
	},
];

for (const {title, start, limitMs} of cases) {
	test.serial(`should move the keys out of a zone when ${title}`, async t => {
		await withZones({zoneSize: 4, targetCount: 12}, async scene => {
			const {fleet, run} = scene;
			await run(6000);
			fleet.store.put(evacuationKey, '{}');
			start(scene);
			const stopped = fleet.daemons.filter(({isPaused}) => isPaused);
			for (const daemon of stopped) {
				fleet.daemons.splice(fleet.daemons.indexOf(daemon), 1);
			}

			const movedMs = await measureMove(scene, 8000);
			t.log(`moved within ${movedMs} ms`);
			t.true(movedMs <= limitMs);
			t.deepEqual(fleet.overlappingHolds, []);
		});
	});
}

test.serial('should keep the owners and renew their holds while all targets are evacuated', async t => {
	await withZones({zoneSize: 6, targetCount: 6}, async ({fleet, run}) => {
		await run(6000);
		fleet.resetGaps();
		const before = fleet.store.get(`eelgrasswheel/assignments/${keyedService}`)?.revision;
		fleet.store.put(evacuationKey, '{}');
		await run(8000);
		t.is(fleet.maxGapMs(), 0);
		t.is(fleet.store.get(`eelgrasswheel/assignments/${keyedService}`)?.revision, before);
		fleet.store.delete(evacuationKey);
		await run(1000);
		t.is(fleet.maxGapMs(), 0);
	});
});

test.serial('should give cold targets no more requests than they tolerate', async t => {
	await withZones({zoneSize: 3, targetCount: 9}, async scene => {
		const {fleet, run, loads, ownersInZone} = scene;
		const {configuration} = fleet;
		const rule = configuration.services.get(keyedService)!;
		fleet.configuration = {...configuration, version: 2, services: new Map([[keyedService, {...rule, warmUpPerS: 5.4}]])};
		fleet.store.put('configuration', '{}');
		await run(6000, 150);
		fleet.store.put(evacuationKey, '{}');
		await measureMove(scene, 5000);
		for (const id of ['target-0', 'target-1']) {
			const holder = fleet.holders.get(`${id}:1`)!;
			fleet.putEntry(holder, TargetState.Ready, {availabilityZone: 'one', warmUpLeftMs: 20_000});
		}

		fleet.store.delete(evacuationKey);
		await run(6000, 150);
		t.true(new Set(ownersInZone()).size === 3);
		const cold = [...loads(150)].filter(([id]) => ['target-0', 'target-1'].includes(id));
		t.log(cold.map(([id, load]) => `${id}: ${load.toFixed(1)}`).join(', '));
		t.true(cold.every(([, load]) => load <= 5.4));
	});
});

test.serial('should move a whole range to one target if no zone is evacuated', async t => {
	await withZones({zoneSize: 2, targetCount: 6}, async ({fleet, run}) => {
		await run(6000, 0);
		const before = fleet.events.filter(({event}) => event === LogEvent.RangeGranted).length;
		fleet.putEntry(fleet.holder(0), TargetState.Draining);
		await run(2000, 0);
		t.is(fleet.events.filter(({event}) => event === LogEvent.RangeGranted).length, before + 1);
	});
});

function candidate(index: number, capacity: number, hasHardLimit = false): OwnerCandidate {
	return {incarnation: {id: `target-${index}`, bornAt: index, address: `target-${index}:1`}, capacity, hasHardLimit};
}

function evenCounts(perS: number): KeyCount[] {
	return Array.from({length: 2048}, (_, index) => ({key: index * 32, count: perS * meanLifetimeS / 2048}));
}

const spreadCases: Array<{title: string; remaining: OwnerCandidate[]; counts: KeyCount[]; isWithin(loads: Map<string, number>): boolean}> = [
	{
		title: 'evenly over equal targets',
		remaining: [2, 3, 4, 5].map(index => candidate(index, 40)),
		counts: evenCounts(60),
		isWithin: loads => Math.max(...loads.values()) <= 1.15 * 15,
	},
	{
		title: 'by spare capacity',
		remaining: [candidate(2, 100), candidate(3, 40), candidate(4, 40), candidate(5, 15)],
		counts: evenCounts(60),
		isWithin: loads => (loads.get('target-5') ?? 0) <= 13 && (loads.get('target-2') ?? 0) > 1.5 * (loads.get('target-3') ?? 0),
	},
	{
		title: 'within the limit of a cold target although all others are overloaded',
		remaining: [candidate(2, 12), candidate(3, 12), candidate(4, 12), candidate(5, 12, true)],
		counts: evenCounts(60),
		isWithin: loads => (loads.get('target-5') ?? 0) <= 12.5,
	},
	{
		title: 'although one key has half of the requests',
		remaining: [2, 3, 4, 5].map(index => candidate(index, 40)),
		counts: [...evenCounts(20).filter(({key}) => key !== 0), {key: 0, count: 20 * meanLifetimeS}].toSorted((left, right) => left.key - right.key),
		isWithin: loads => Math.max(...loads.values()) <= 28,
	},
	{
		title: 'although no request is counted',
		remaining: [2, 3, 4, 5].map(index => candidate(index, 40)),
		counts: [],
		isWithin: loads => loads.size === 4,
	},
];

for (const {title, remaining, counts, isWithin} of spreadCases) {
	test(`should divide the keys of two targets ${title}`, t => {
		const all = [candidate(0, 40), candidate(1, 40), ...remaining];
		const {ranges} = initialAssignment(keyedService, all.map(({incarnation}) => incarnation));
		const leaving = ranges.slice(0, 2);
		const moves = spreadKeys(leaving, {ranges, counts, candidates: remaining});
		const moved = moves.map(({range, to}) => ({...range, owner: to}));
		t.is(moved.reduce((sum, {first, last}) => sum + last - first + 1, 0), leaving.reduce((sum, {first, last}) => sum + last - first + 1, 0));
		t.true(moves.length <= leaving.length + remaining.length);
		const loads = new Map<string, number>();
		for (const {key, count} of counts.length > 0 ? counts : [{key: 0, count: 0}, {key: 6000, count: 0}, {key: 12_000, count: 0}, {key: 21_000, count: 0}]) {
			const id = findRange([...moved, ...ranges.slice(2)], key)?.owner.id ?? 'none';
			loads.set(id, (loads.get(id) ?? 0) + (count / meanLifetimeS));
		}

		t.log([...loads].map(([id, load]) => `${id}: ${load.toFixed(1)}`).join(', '));
		t.true(isWithin(loads));
	});
}

test('should not balance keys to a cold target beyond its limit although all others are overloaded', t => {
	const all = [candidate(0, 20), candidate(1, 20), candidate(2, 5.4, true)];
	const {ranges} = initialAssignment(keyedService, all.slice(0, 2).map(({incarnation}) => incarnation));
	const counts = evenCounts(90);
	const moves = balanceKeys(ranges, counts, all).filter(({to}) => to.id === 'target-2');
	const load = moves.flatMap(({range}) => counts.filter(({key}) => key >= range.first && key <= range.last)).reduce((sum, {count}) => sum + count, 0) / meanLifetimeS;
	t.true(load > 2 && load <= 5.4, `${load} requests a second`);
});
