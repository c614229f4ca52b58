import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {splitUpdate} from '../../src/decisions/fleet/store-update.js';
import {ZoneHubs} from '../../src/decisions/fleet/zone-hubs.js';
import type {StoreChange} from '../../src/model/coordination-store.js';
import {StoreUnavailableError} from '../../src/model/errors.js';
import {StoreFault, type MemoryStoreClient} from '../../standins/memory-coordination-store.js';
import {maxDatagramBytes, RelayedFleet, target} from '../../standins/relayed-fleet.js';

async function withFleet(run: (fleet: RelayedFleet, tick: (ms: number) => Promise<unknown>) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	const fleet = new RelayedFleet();
	try {
		// Daemons discover each other, and the watches end that each began on its own.
		await clock.tickAsync(6000);
		await run(fleet, async ms => clock.tickAsync(ms));
	} finally {
		fleet.close();
		clock.uninstall();
	}
}

test.serial('should watch the store from one daemon of each availability zone', async t => {
	await withFleet(async (fleet, tick) => {
		const before = fleet.daemons.map(({watchCount}) => watchCount);
		await tick(9000);
		const watching = fleet.daemons.filter(({watchCount}, index) => watchCount > before[index]).map(({member}) => member.daemon);
		t.deepEqual(watching, ['one-1', 'two-1']);
	});
});

type FaultCase = {
	title: string;
	/** Time within which every daemon has to receive a change, in milliseconds. */
	limitMs: number;
	inject(fleet: RelayedFleet): void;
};

/** Configurations have to be active after two seconds; batching of changes takes a part of this. */
const faultCases: FaultCase[] = [
	{
		title: 'in normal operation', limitMs: 400, inject() {
			// No fault.
		},
	},
	{
		title: 'although the watching daemon has stopped', limitMs: 1700, inject(fleet) {
			fleet.daemon('one-1').isStopped = true;
			fleet.daemon('one-1').client.isDisconnected = true;
		},
	},
	{
		title: 'although updates between daemons are lost', limitMs: 1500, inject(fleet) {
			fleet.dropsUpdates = true;
		},
	},
	{
		title: 'although most daemons are cut off from the store', limitMs: 3000, inject(fleet) {
			for (const name of ['one-1', 'one-2', 'two-1']) {
				fleet.daemon(name).client.isDisconnected = true;
			}
		},
	},
];

for (const {title, limitMs, inject} of faultCases) {
	test.serial(`should bring changes of the store to every daemon ${title}`, async t => {
		await withFleet(async (fleet, tick) => {
			inject(fleet);
			fleet.store.put('targets/new', '');
			await tick(limitMs);
			t.deepEqual(fleet.daemonsMissingTarget('new'), []);
		});
	});
}

type SlowAnswerCase = {
	title: string;
	/** Number of changes, one every 250 ms; the last one is checked. */
	changes: number;
	/** Time within which every daemon has to receive it, in milliseconds. */
	limitMs: number;
	isSlow: (daemon: string) => boolean;
};

const isWatcher = (daemon: string): boolean => daemon.endsWith('-1');

/** Duration of a store call over a slow link or on a busy processor, in milliseconds; within the timeout of 1200 ms. */
const slowAnswerMs = 900;

/**
 * Configurations have to be active after two seconds, and after three at most. Where all answers are slow, those to the watcher
 * and to the daemon itself follow one another; while further changes arrive, both are added to the two seconds.
 */
const slowAnswerCases: SlowAnswerCase[] = [
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
		title: 'all followers while further changes arrive', changes: 13, limitMs: 2000, isSlow: daemon => !isWatcher(daemon),
	},
	{
		title: 'a watcher while further changes arrive', changes: 13, limitMs: 2000, isSlow: daemon => daemon === 'one-1',
	},
	{
		title: 'all watchers', changes: 1, limitMs: 2000, isSlow: isWatcher,
	},
	{
		title: 'all watchers while further changes arrive', changes: 13, limitMs: 3000, isSlow: isWatcher,
	},
	{
		title: 'all daemons', changes: 1, limitMs: 3000, isSlow: () => true,
	},
	{
		title: 'all daemons while further changes arrive', changes: 13, limitMs: 3800, isSlow: () => true,
	},
];

for (const {
	title, changes, limitMs, isSlow,
} of slowAnswerCases) {
	test.serial(`should bring changes of the store to every daemon although updates are lost and answers of the store are slow for ${title}`, async t => {
		await withFleet(async (fleet, tick) => {
			fleet.dropsUpdates = true;
			for (const {client, member} of fleet.daemons) {
				client.answerDelayMs = isSlow(member.daemon) ? slowAnswerMs : client.answerDelayMs;
			}

			for (let count = 1; count < changes; count += 1) {
				fleet.store.put(`targets/change-${count}`, '');
				// eslint-disable-next-line no-await-in-loop -- time passes in steps.
				await tick(250);
			}

			fleet.store.put('targets/new', '');
			await tick(limitMs);
			t.deepEqual(fleet.daemonsMissingTarget('new'), []);
		});
	});
}

/** Interval of lease renewals, in milliseconds. */
const renewalMs = 3000;

for (const answerMs of [1500, 2500]) {
	test.serial(`should catch up although an answer of the store takes ${answerMs} ms and updates are lost, while small answers are fast`, async t => {
		await withFleet(async (fleet, tick) => {
			fleet.dropsUpdates = true;
			for (const {client, member} of fleet.daemons) {
				client.answerDelayMs = isWatcher(member.daemon) ? client.answerDelayMs : answerMs;
			}

			// In the first round, a catch-up query times out and a renewal is answered before the query is repeated with a longer timeout.
			for (const [round, limitMs] of [2000 + renewalMs + answerMs, 2000 + answerMs].entries()) {
				fleet.store.put(`targets/new-${round}`, '');
				for (let passedMs = 0; passedMs < limitMs; passedMs += 500) {
					if (passedMs % renewalMs === 1000) {
						for (const {sync} of fleet.daemons) {
							sync.recordStoreAnswer();
						}
					}

					// eslint-disable-next-line no-await-in-loop -- time passes in steps.
					await tick(500);
				}

				t.deepEqual(fleet.daemonsMissingTarget(`new-${round}`), []);
			}
		});
	});
}

const listingFaults: Array<{title: string; inject(client: MemoryStoreClient): void}> = [
	{
		title: 'fails', inject(client) {
			client.list = async () => {
				throw new StoreUnavailableError('status 503');
			};
		},
	},
	{
		// The listing has several pages, each within the timeout of a call.
		title: 'takes long', inject(client) {
			client.answerDelayMs = 4000;
		},
	},
];

for (const {title, inject} of listingFaults) {
	test.serial(`should apply updates from peers after the history is lost while the listing ${title}`, async t => {
		await withFleet(async (fleet, tick) => {
			const {client, view} = fleet.daemon('one-3');
			inject(client);
			fleet.dropsUpdates = true;
			fleet.store.put('targets/old', '');
			await tick(100);
			fleet.store.compact();
			// The daemon queries the store, which no longer has the history that the daemon is missing.
			await tick(1100);
			t.is(view.listedTarget('old'), undefined);
			fleet.dropsUpdates = false;
			fleet.store.put('targets/new', '');
			await tick(2000);
			t.deepEqual(fleet.daemonsMissingTarget('new'), []);
			fleet.store.delete('targets/old');
			await tick(400);
			for (let count = 0; count < 20; count += 1) {
				// The answer to an earlier listing may arrive after the removal.
				t.is(view.listedTarget('old'), undefined);
				// eslint-disable-next-line no-await-in-loop -- time passes in steps.
				await tick(200);
			}

			t.deepEqual(fleet.daemonsMissingTarget('new'), []);
		});
	});
}

for (const silenceMs of [4000, 4700, 5400]) {
	test.serial(`should catch up soon after the connections to the store were silent for ${silenceMs} ms, although updates are lost`, async t => {
		await withFleet(async (fleet, tick) => {
			fleet.dropsUpdates = true;
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
			t.deepEqual(fleet.daemonsMissingTarget('new'), []);
		});
	});
}

test.serial('should not wait for a daemon whose watch is silent while further changes arrive', async t => {
	await withFleet(async (fleet, tick) => {
		const silent = fleet.daemon('one-1');
		silent.client.isWatchSilent = true;
		// Its entry expires as well, because its renewals get no answer either.
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
		t.deepEqual(fleet.daemonsMissingTarget('new').filter(daemon => daemon !== 'one-1'), []);
	});
});

test.serial('should reach the other availability zone although the entry of its hub has expired', async t => {
	await withFleet(async (fleet, tick) => {
		const hub = fleet.daemon('two-1');
		hub.client.isDisconnected = true;
		fleet.store.delete('eelgrasswheel/members/two-1');
		await tick(2000);
		for (const {loads, member} of fleet.daemons) {
			if (member.availabilityZone === 'one') {
				loads.startAttempt(target('a'));
			}
		}

		await tick(1000);
		t.is(fleet.daemon('two-3').loads.inFlight('a'), 3);
	});
});

test.serial('should read a change that is too large for a message from the store while further changes arrive', async t => {
	await withFleet(async (fleet, tick) => {
		fleet.store.put('targets/large', 'x'.repeat(maxDatagramBytes * 2));
		for (let count = 0; count < 5; count += 1) {
			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await tick(300);
			fleet.store.put(`targets/small-${count}`, '');
		}

		t.deepEqual(fleet.daemonsMissingTarget('large'), []);
	});
});

test.serial('should receive changes soon after an outage in which no daemon reached the store', async t => {
	await withFleet(async (fleet, tick) => {
		fleet.store.fault = StoreFault.Down;
		await tick(6000);
		fleet.store.fault = StoreFault.None;
		fleet.store.put('targets/new', '');
		await tick(1700);
		t.deepEqual(fleet.daemonsMissingTarget('new'), []);
	});
});

test.serial('should exchange the load of all availability zones with few messages between them', async t => {
	await withFleet(async (fleet, tick) => {
		for (const {loads} of fleet.daemons) {
			loads.startAttempt(target('a'));
		}

		await tick(400);
		t.deepEqual(fleet.daemons.map(({loads}) => loads.inFlight('a')), [6, 6, 6, 6, 6, 6]);
		fleet.crossZoneMessages = 0;
		await tick(1000);
		// Each of two hubs sends at most one message in 50 ms.
		t.true(fleet.crossZoneMessages <= 40);
	});
});

test.serial('should receive the load of the other availability zone again after its hub stops', async t => {
	await withFleet(async (fleet, tick) => {
		fleet.daemon('two-1').isStopped = true;
		await tick(1200);
		fleet.daemon('two-2').loads.startAttempt(target('a'));
		await tick(1200);
		t.is(fleet.daemon('one-3').loads.inFlight('a'), 1);
	});
});

const contactCases: Array<{title: string; members: string[]; receivedMsAgo: number | undefined; expected: string[]}> = [
	{
		title: 'the daemon that sent a message as its hub recently', members: ['two-1', 'two-2'], receivedMsAgo: 500, expected: ['two-1'],
	},
	{
		title: 'all daemons when none sent a message as its hub', members: ['two-1', 'two-2'], receivedMsAgo: undefined, expected: ['two-1', 'two-2'],
	},
	{
		title: 'all daemons when none sent a message as its hub recently', members: ['two-1', 'two-2'], receivedMsAgo: 1500, expected: ['two-1', 'two-2'],
	},
	{
		title: 'all daemons when the entry of its hub has expired', members: ['two-2', 'two-3'], receivedMsAgo: 500, expected: ['two-2', 'two-3'],
	},
];

for (const {title, members, receivedMsAgo, expected} of contactCases) {
	test(`should send messages to another availability zone through ${title}`, t => {
		const view = new FleetView();
		for (const daemon of ['one-1', ...members]) {
			view.members.set(daemon, {
				daemon, availabilityZone: daemon.slice(0, 3), ip: '127.0.0.1', port: 1, room: 1,
			});
		}

		const now = 10_000;
		const hubs = new ZoneHubs({daemon: 'one-1', availabilityZone: 'one'}, view);
		if (receivedMsAgo !== undefined) {
			hubs.recordContact('two', 'two-1', now - receivedMsAgo);
		}

		t.deepEqual(hubs.remoteRecipients(now).map(({daemon}) => daemon), expected);
	});
}

const change = (revision: number, bytes: number): StoreChange => ({key: `key-${revision}`, value: 'x'.repeat(bytes), revision});

const splitCases: Array<{title: string; changes: StoreChange[]; parts: Array<[number, number[], number]>}> = [
	{title: 'a small update', changes: [change(5, 10), change(6, 10)], parts: [[4, [5, 6], 9]]},
	{title: 'no change', changes: [], parts: [[4, [], 9]]},
	{title: 'changes beyond the limit', changes: [change(5, 60), change(6, 60)], parts: [[4, [5], 5], [5, [6], 9]]},
	{title: 'changes of one revision', changes: [change(5, 30), change(5, 30), change(6, 60)], parts: [[4, [5, 5], 5], [5, [6], 9]]},
	{title: 'a change that is too large', changes: [change(5, 10), change(6, 200), change(7, 10)], parts: [[4, [5], 5], [6, [7], 9]]},
	{title: 'nothing but a change that is too large', changes: [change(6, 200)], parts: [[6, [], 9]]},
];

for (const {title, changes, parts} of splitCases) {
	test(`should split updates between revisions: ${title}`, t => {
		const divided = splitUpdate({after: 4, changes, revision: 9}, 100);
		t.deepEqual(divided.map(part => [part.after, part.changes.map(({revision}) => revision), part.revision]), parts);
	});
}

/** One step of a random history: an action, and the delays of the messages after it. */
type RandomStep = {
	action: 'put' | 'delete' | 'compact' | 'cut' | 'heal' | 'wait';
	target: number;
	daemon: number;
	/** Delays of successive messages in milliseconds; a message with a negative delay is lost. */
	delaysMs: number[];
	afterMs: number;
};

const randomStep: fc.Arbitrary<RandomStep> = fc.record({
	action: fc.constantFrom('put', 'put', 'delete', 'compact', 'cut', 'heal', 'wait'),
	target: fc.nat(3),
	daemon: fc.nat(5),
	delaysMs: fc.array(fc.integer({min: -60, max: 200}), {minLength: 3, maxLength: 9}),
	afterMs: fc.integer({min: 1, max: 900}),
});

function applyStep(fleet: RelayedFleet, step: RandomStep, count: number): void {
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
			daemon.client.isDisconnected = step.action === 'cut';
			break;
		}

		case 'wait': {
			break;
		}
	}

	let sent = 0;
	fleet.setDeliveryDelays(() => {
		sent += 1;
		const delayMs = step.delaysMs[sent % step.delaysMs.length];
		if (delayMs < 0) {
			return [];
		}

		// Some messages arrive twice, the second time after later messages.
		return sent % 7 === 0 ? [delayMs, delayMs * 3] : [delayMs];
	});
}

/** Longest time after the last fault in which a daemon may be behind, in milliseconds: a failed call, a watch and the batching of changes. */
const settleMs = 8000;

test.serial('should bring every daemon to the contents of the store whatever happens to messages', async t => {
	await fc.assert(fc.asyncProperty(fc.array(randomStep, {minLength: 3, maxLength: 12}), async steps => {
		await withFleet(async (fleet, tick) => {
			for (const [count, step] of steps.entries()) {
				applyStep(fleet, step, count);
				// eslint-disable-next-line no-await-in-loop -- time passes in steps.
				await tick(step.afterMs);
			}

			fleet.setDeliveryDelays(() => [1]);
			for (const {client} of fleet.daemons) {
				client.isDisconnected = false;
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
