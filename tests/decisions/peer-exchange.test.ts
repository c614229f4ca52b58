import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {splitUpdate} from '../../src/decisions/fleet/store-update.js';
import {ZoneHubs} from '../../src/decisions/fleet/zone-hubs.js';
import type {StoreChange} from '../../src/model/coordination-store.js';
import {StoreUnavailableError} from '../../src/model/errors.js';
import {StoreFault, type MemoryStoreClient} from '../../standins/memory-coordination-store.js';
import {datagramBytes, RelayedFleet, target} from '../../standins/relayed-fleet.js';

async function withFleet(play: (fleet: RelayedFleet, tick: (ms: number) => Promise<unknown>) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	const fleet = new RelayedFleet();
	try {
		// Daemons find each other, and the watches that they began alone end.
		await clock.tickAsync(6000);
		await play(fleet, async ms => clock.tickAsync(ms));
	} finally {
		fleet.close();
		clock.uninstall();
	}
}

test.serial('should watch the store from one daemon of each availability zone', async t => {
	await withFleet(async (fleet, tick) => {
		const before = fleet.daemons.map(({watches}) => watches);
		await tick(9000);
		const watching = fleet.daemons.filter(({watches}, index) => watches > before[index]).map(({member}) => member.daemon);
		t.deepEqual(watching, ['one-1', 'two-1']);
	});
});

type Trouble = {
	title: string;
	/** Time within which every daemon has to know a change, in milliseconds. */
	limitMs: number;
	begin(fleet: RelayedFleet): void;
};

/** Configurations have to be in force after two seconds; changes are gathered for a part of this. */
const troubles: Trouble[] = [
	{
		title: 'in the calm', limitMs: 400, begin() {
			// Nothing happens.
		},
	},
	{
		title: 'though the watching daemon is lost', limitMs: 1700, begin(fleet) {
			fleet.daemon('one-1').isLost = true;
			fleet.daemon('one-1').client.isCut = true;
		},
	},
	{
		title: 'though updates between daemons are lost', limitMs: 1500, begin(fleet) {
			fleet.losesUpdates = true;
		},
	},
	{
		title: 'though most daemons are cut off from the store', limitMs: 3000, begin(fleet) {
			for (const name of ['one-1', 'one-2', 'two-1']) {
				fleet.daemon(name).client.isCut = true;
			}
		},
	},
];

for (const {title, limitMs, begin} of troubles) {
	test.serial(`should bring changes of the store to every daemon ${title}`, async t => {
		await withFleet(async (fleet, tick) => {
			begin(fleet);
			fleet.store.put('targets/new', '');
			await tick(limitMs);
			t.deepEqual(fleet.unaware('new'), []);
		});
	});
}

type SlowAnswers = {
	title: string;
	/** Changes in intervals of 250 ms, of which the last one counts. */
	changes: number;
	/** Time within which every daemon has to know it, in milliseconds. */
	limitMs: number;
	isSlow: (daemon: string) => boolean;
};

const isWatcher = (daemon: string): boolean => daemon.endsWith('-1');

/** Time of an answer behind a small link or a busy processor, in milliseconds; within the limit of 1200 ms for a call. */
const slowAnswerMs = 900;

/**
 * Configurations have to be in force after two seconds, after three at most. Where all answers are late, those to the watcher and
 * to the daemon itself come in a row; while changes go on, both are added to the two seconds.
 */
const slowAnswers: SlowAnswers[] = [
	{
		title: 'a follower', changes: 1, limitMs: 2000, isSlow: daemon => daemon === 'one-3',
	},
	{
		title: 'all followers', changes: 1, limitMs: 2000, isSlow: daemon => !isWatcher(daemon),
	},
	{
		title: 'a watcher', changes: 1, limitMs: 2000, isSlow: daemon => daemon === 'one-1',
	},
	{
		title: 'all followers while changes go on', changes: 13, limitMs: 2000, isSlow: daemon => !isWatcher(daemon),
	},
	{
		title: 'a watcher while changes go on', changes: 13, limitMs: 2000, isSlow: daemon => daemon === 'one-1',
	},
	{
		title: 'all watchers', changes: 1, limitMs: 2000, isSlow: isWatcher,
	},
	{
		title: 'all watchers while changes go on', changes: 13, limitMs: 3000, isSlow: isWatcher,
	},
	{
		title: 'all daemons', changes: 1, limitMs: 3000, isSlow: () => true,
	},
	{
		title: 'all daemons while changes go on', changes: 13, limitMs: 3800, isSlow: () => true,
	},
];

for (const {
	title, changes, limitMs, isSlow,
} of slowAnswers) {
	test.serial(`should bring changes of the store to every daemon though updates are lost and answers of the store come late to ${title}`, async t => {
		await withFleet(async (fleet, tick) => {
			fleet.losesUpdates = true;
			for (const {client, member} of fleet.daemons) {
				client.answerMs = isSlow(member.daemon) ? slowAnswerMs : client.answerMs;
			}

			for (let count = 1; count < changes; count += 1) {
				fleet.store.put(`targets/change-${count}`, '');
				// eslint-disable-next-line no-await-in-loop -- time passes in steps.
				await tick(250);
			}

			fleet.store.put('targets/new', '');
			await tick(limitMs);
			t.deepEqual(fleet.unaware('new'), []);
		});
	});
}

/** Interval in which a daemon renews its lease, in milliseconds. */
const renewalMs = 3000;

for (const answerMs of [1500, 2500]) {
	test.serial(`should catch up though an answer of the store takes ${answerMs} ms and updates are lost, while small answers come soon`, async t => {
		await withFleet(async (fleet, tick) => {
			fleet.losesUpdates = true;
			for (const {client, member} of fleet.daemons) {
				client.answerMs = isWatcher(member.daemon) ? client.answerMs : answerMs;
			}

			// The first time, one question is given up and a renewal answered before it is asked with more time.
			for (const [round, limitMs] of [2000 + renewalMs + answerMs, 2000 + answerMs].entries()) {
				fleet.store.put(`targets/new-${round}`, '');
				for (let passedMs = 0; passedMs < limitMs; passedMs += 500) {
					if (passedMs % renewalMs === 1000) {
						for (const {sync} of fleet.daemons) {
							sync.noteStoreAnswer();
						}
					}

					// eslint-disable-next-line no-await-in-loop -- time passes in steps.
					await tick(500);
				}

				t.deepEqual(fleet.unaware(`new-${round}`), []);
			}
		});
	});
}

const listings: Array<{title: string; begin(client: MemoryStoreClient): void}> = [
	{
		title: 'fails', begin(client) {
			client.list = async () => {
				throw new StoreUnavailableError('status 503');
			};
		},
	},
	{
		// Some pages, each within the limit of a call.
		title: 'takes long', begin(client) {
			client.answerMs = 4000;
		},
	},
];

for (const {title, begin} of listings) {
	test.serial(`should take what peers know after the history is lost while the listing ${title}`, async t => {
		await withFleet(async (fleet, tick) => {
			const {client, view} = fleet.daemon('one-3');
			begin(client);
			fleet.losesUpdates = true;
			fleet.store.put('targets/old', '');
			await tick(100);
			fleet.store.compact();
			// The daemon asks the store, which has forgotten what it lacks.
			await tick(1100);
			t.is(view.listedTarget('old'), undefined);
			fleet.losesUpdates = false;
			fleet.store.put('targets/new', '');
			await tick(2000);
			t.deepEqual(fleet.unaware('new'), []);
			fleet.store.delete('targets/old');
			await tick(400);
			for (let count = 0; count < 20; count += 1) {
				// A listing that was asked for before comes after it.
				t.is(view.listedTarget('old'), undefined);
				// eslint-disable-next-line no-await-in-loop -- time passes in steps.
				await tick(200);
			}

			t.deepEqual(fleet.unaware('new'), []);
		});
	});
}

for (const silenceMs of [4000, 4700, 5400]) {
	test.serial(`should catch up soon after the connections to the store were silent for ${silenceMs} ms, though updates are lost`, async t => {
		await withFleet(async (fleet, tick) => {
			fleet.losesUpdates = true;
			const silent = fleet.daemons.filter(({member}) => member.daemon !== 'two-1');
			for (const {client} of silent) {
				client.isWatchSilent = true;
			}

			for (let passedMs = 0; passedMs < silenceMs; passedMs += 100) {
				fleet.store.put('targets/change', String(passedMs));
				// eslint-disable-next-line no-await-in-loop -- time passes in steps.
				await tick(100);
			}

			for (const {client} of silent) {
				client.isWatchSilent = false;
			}

			fleet.store.put('targets/new', '');
			await tick(2000);
			t.deepEqual(fleet.unaware('new'), []);
		});
	});
}

test.serial('should not wait for a daemon whose watch is silent while changes go on', async t => {
	await withFleet(async (fleet, tick) => {
		const silent = fleet.daemon('one-1');
		silent.client.isWatchSilent = true;
		// Its entry lapses as well, because its renewals get no answer either.
		for (let count = 0; count < 12; count += 1) {
			fleet.store.put(`targets/change-${count}`, '');
			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await tick(400);
		}

		t.false(silent.sync.isStoreReachable);
		fleet.store.delete('eelgrasswheel/members/one-1');
		await tick(2000);
		fleet.store.put('targets/new', '');
		await tick(400);
		t.deepEqual(fleet.unaware('new').filter(daemon => daemon !== 'one-1'), []);
	});
});

test.serial('should reach the other availability zone though the entry of its hub has lapsed', async t => {
	await withFleet(async (fleet, tick) => {
		const hub = fleet.daemon('two-1');
		hub.client.isCut = true;
		fleet.store.delete('eelgrasswheel/members/two-1');
		await tick(2000);
		for (const {loads, member} of fleet.daemons) {
			if (member.availabilityZone === 'one') {
				loads.begin(target('a'));
			}
		}

		await tick(1000);
		t.is(fleet.daemon('two-3').loads.inFlight('a'), 3);
	});
});

test.serial('should ask the store for a change that is too large for a message, while further changes come', async t => {
	await withFleet(async (fleet, tick) => {
		fleet.store.put('targets/large', 'x'.repeat(datagramBytes * 2));
		for (let count = 0; count < 5; count += 1) {
			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await tick(300);
			fleet.store.put(`targets/small-${count}`, '');
		}

		t.deepEqual(fleet.unaware('large'), []);
	});
});

test.serial('should watch the store itself while the others do not reach it', async t => {
	await withFleet(async (fleet, tick) => {
		fleet.store.fault = StoreFault.Down;
		await tick(6000);
		fleet.store.fault = StoreFault.None;
		fleet.store.put('targets/new', '');
		await tick(1700);
		t.deepEqual(fleet.unaware('new'), []);
	});
});

test.serial('should know the load of all availability zones with few messages between them', async t => {
	await withFleet(async (fleet, tick) => {
		for (const {loads} of fleet.daemons) {
			loads.begin(target('a'));
		}

		await tick(400);
		t.deepEqual(fleet.daemons.map(({loads}) => loads.inFlight('a')), [6, 6, 6, 6, 6, 6]);
		fleet.remoteMessages = 0;
		await tick(1000);
		// Each of two hubs sends at most one message in 50 ms.
		t.true(fleet.remoteMessages <= 40);
	});
});

test.serial('should know the load of the other availability zone again after its hub is lost', async t => {
	await withFleet(async (fleet, tick) => {
		fleet.daemon('two-1').isLost = true;
		await tick(1200);
		fleet.daemon('two-2').loads.begin(target('a'));
		await tick(1200);
		t.is(fleet.daemon('one-3').loads.inFlight('a'), 1);
	});
});

const contacts: Array<{title: string; members: string[]; heardMsAgo: number | undefined; expected: string[]}> = [
	{
		title: 'the daemon that spoke for it lately', members: ['two-1', 'two-2'], heardMsAgo: 500, expected: ['two-1'],
	},
	{
		title: 'all daemons when none spoke', members: ['two-1', 'two-2'], heardMsAgo: undefined, expected: ['two-1', 'two-2'],
	},
	{
		title: 'all daemons when none spoke lately', members: ['two-1', 'two-2'], heardMsAgo: 1500, expected: ['two-1', 'two-2'],
	},
	{
		title: 'all daemons when the entry of the one that spoke has lapsed', members: ['two-2', 'two-3'], heardMsAgo: 500, expected: ['two-2', 'two-3'],
	},
];

for (const {title, members, heardMsAgo, expected} of contacts) {
	test(`should talk to another availability zone by way of ${title}`, t => {
		const view = new FleetView();
		for (const daemon of ['one-1', ...members]) {
			view.members.set(daemon, {
				daemon, availabilityZone: daemon.slice(0, 3), ip: daemon, port: 1, room: 1,
			});
		}

		const now = 10_000;
		const hubs = new ZoneHubs({daemon: 'one-1', availabilityZone: 'one'}, view);
		if (heardMsAgo !== undefined) {
			hubs.recordContact('two', 'two-1', now - heardMsAgo);
		}

		t.deepEqual(hubs.remoteRecipients(now).map(({daemon}) => daemon), expected);
	});
}

const change = (revision: number, bytes: number): StoreChange => ({key: `key-${revision}`, value: 'x'.repeat(bytes), revision});

const updates: Array<{title: string; changes: StoreChange[]; parts: Array<[number, number[], number]>}> = [
	{title: 'a small update', changes: [change(5, 10), change(6, 10)], parts: [[4, [5, 6], 9]]},
	{title: 'no change', changes: [], parts: [[4, [], 9]]},
	{title: 'changes beyond the limit', changes: [change(5, 60), change(6, 60)], parts: [[4, [5], 5], [5, [6], 9]]},
	{title: 'changes of one revision', changes: [change(5, 30), change(5, 30), change(6, 60)], parts: [[4, [5, 5], 5], [5, [6], 9]]},
	{title: 'a change that is too large', changes: [change(5, 10), change(6, 200), change(7, 10)], parts: [[4, [5], 5], [6, [7], 9]]},
	{title: 'nothing but a change that is too large', changes: [change(6, 200)], parts: [[6, [], 9]]},
];

for (const {title, changes, parts} of updates) {
	test(`should divide updates between revisions: ${title}`, t => {
		const divided = splitUpdate({after: 4, changes, revision: 9}, 100);
		t.deepEqual(divided.map(part => [part.after, part.changes.map(({revision}) => revision), part.revision]), parts);
	});
}

/** What happens in one step of a random history, and to the messages meanwhile. */
type RandomStep = {
	action: 'put' | 'delete' | 'compact' | 'cut' | 'heal' | 'wait';
	target: number;
	daemon: number;
	/** Fates of messages in turn: times until they arrive in milliseconds; negative ones are lost. */
	fates: number[];
	afterMs: number;
};

const randomStep: fc.Arbitrary<RandomStep> = fc.record({
	action: fc.constantFrom('put', 'put', 'delete', 'compact', 'cut', 'heal', 'wait'),
	target: fc.nat(3),
	daemon: fc.nat(5),
	fates: fc.array(fc.integer({min: -60, max: 200}), {minLength: 3, maxLength: 9}),
	afterMs: fc.integer({min: 1, max: 900}),
});

function playStep(fleet: RelayedFleet, step: RandomStep, count: number): void {
	const key = `targets/${step.target}`;
	const daemon = fleet.daemons[step.daemon];
	switch (step.action) {
		case 'put': {
			fleet.store.put(key, String(count));
			break;
		}

		case 'delete': {
			fleet.store.delete(key);
			break;
		}

		case 'compact': {
			fleet.store.compact();
			break;
		}

		case 'cut':
		case 'heal': {
			daemon.client.isCut = step.action === 'cut';
			break;
		}

		case 'wait': {
			break;
		}
	}

	let sent = 0;
	fleet.decideFates(() => {
		sent += 1;
		const fate = step.fates[sent % step.fates.length];
		if (fate < 0) {
			return [];
		}

		// Some messages arrive twice, the second time behind later ones.
		return sent % 7 === 0 ? [fate, fate * 3] : [fate];
	});
}

/** Longest time after the last trouble in which a daemon may still be behind, in milliseconds: a failed call, a watch and the gathering of changes. */
const settleMs = 8000;

test.serial('should leave every daemon with what the store holds, whatever becomes of messages', async t => {
	await fc.assert(fc.asyncProperty(fc.array(randomStep, {minLength: 3, maxLength: 12}), async steps => {
		await withFleet(async (fleet, tick) => {
			for (const [count, step] of steps.entries()) {
				playStep(fleet, step, count);
				// eslint-disable-next-line no-await-in-loop -- time passes in steps.
				await tick(step.afterMs);
			}

			fleet.decideFates(() => [1]);
			for (const {client} of fleet.daemons) {
				client.isCut = false;
			}

			await tick(settleMs);
			const stored = fleet.store.list('targets/').items.map(({key, value}) => `${key}=${value}`).toSorted();
			for (const {view, member} of fleet.daemons) {
				const known = [...view.listedTargets()].map(({id, softwareVersion}) => `targets/${id}=${softwareVersion}`).toSorted();
				t.deepEqual({daemon: member.daemon, known}, {daemon: member.daemon, known: stored});
			}
		});
	}), {seed: 20_261_204, numRuns: 40});
});
