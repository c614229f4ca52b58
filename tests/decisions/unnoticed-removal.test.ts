import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {storeKeys} from '../../src/decisions/fleet/daemon-documents.js';
import {LeaderWord} from '../../src/decisions/fleet/leader-word.js';
import {LogEvent} from '../../src/model/events.js';
import {KeyedFleet, keyedService, type FleetDaemon} from '../../standins/keyed-fleet.js';

/** RULES.md, OWNER: "Two servers that are up hold the same keys for over half a second, with requests or without". */
const statedOverlapMs = 500;

/** Time after which a new leader takes over keys without proof, with a margin, in milliseconds. */
const takeoverMs = 16_000;

/** Time after which a watch that was pending has ended, in milliseconds. */
const pendingWatchMs = 1000;

const lostTarget = 1;

type Scene = {
	fleet: KeyedFleet;
	/** The leader whose key was removed. */
	former: FleetDaemon;
	run(durationMs: number): Promise<void>;
};

/**
 * The store removes the key of the leader, whose lease goes on. Renewals are answered, watches are not, so that the leader does not
 * see it. One target reaches only that leader.
 */
async function play(examine: (scene: Scene) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	const fleet = new KeyedFleet(3, 4);
	const run = async (durationMs: number): Promise<void> => fleet.run(durationMs, async ms => clock.tickAsync(ms));
	try {
		await run(6000);
		const former = fleet.leaderDaemon();
		if (!former) {
			throw new Error('no daemon leads');
		}

		former.client.isWatchSilent = true;
		await run(pendingWatchMs);
		fleet.store.delete(storeKeys.leader);
		for (const daemon of fleet.daemons.filter(other => other !== former)) {
			daemon.orders.unreachable.add(fleet.holder(lostTarget).incarnation.id);
		}

		await examine({fleet, former, run});
	} finally {
		fleet.stop();
		clock.uninstall();
	}
}

test.serial('should not let two leaders grant a key to two targets when one does not see that the store removed its key', async t => {
	await play(async ({fleet, run}) => {
		await run(takeoverMs);
		t.log(`two holders for ${fleet.longestOverlapMs} ms`);
		t.true(fleet.events.filter(({event}) => event === LogEvent.LeadershipTaken).length >= 2);
		t.true(fleet.longestOverlapMs <= statedOverlapMs, `two targets held a key for ${fleet.longestOverlapMs} ms`);
	});
});

test.serial('should not confirm owners by the word of a leader that does not see that the store removed its key', async t => {
	await play(async ({fleet, former, run}) => {
		const {view, leader: {leadership}} = former;
		const word = new LeaderWord({
			leadership, ownerFreshness: view.ownerFreshness, limits: {holdLimitMs: 10_000, thawSlackMs: 300}, readOwners: async () => true,
		});
		let outdatedMs = 0;
		for (let passed = 0; passed < takeoverMs; passed += 10) {
			word.tick();
			// eslint-disable-next-line no-await-in-loop -- step by step.
			await run(10);
			const newest = fleet.store.get(`${storeKeys.assignments}${keyedService}`);
			const known = view.assignments.get(keyedService);
			outdatedMs = known?.revision === newest?.revision || !view.mayUseOwners ? 0 : outdatedMs + 10;
		}

		t.log(`owners that are ${outdatedMs} ms out of date are confirmed`);
		t.true(outdatedMs <= 2000);
	});
});
