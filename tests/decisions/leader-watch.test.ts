import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type {Confirmation} from '../../src/decisions/confirmation.js';
import {LeaderWatch} from '../../src/decisions/leader-watch.js';
import {VmDirectory} from '../../src/decisions/vm-directory.js';
import {PeerUnavailableError} from '../../src/model/errors.js';
import type {PeerConfirmation, PeerNetwork} from '../../src/model/peer.js';
import {defaultTiming} from '../../src/model/timing.js';
import {VmRole, VmState} from '../../src/model/vm-list.js';

const daemons = ['a', 'b', 'c', 'd'];
const leader = 'a';

type Case = {
	title: string;
	/** What the leader answers; no answer if absent. */
	leaderReachesStore?: boolean;
	/** True if another daemon has heard the leader. */
	isHeardByOthers?: boolean;
	hasProof?: boolean;
	expected: boolean;
};

const cases: Case[] = [
	{title: 'take the place of a leader that nobody hears', expected: true},
	{title: 'leave a leader that another daemon hears', isHeardByOthers: true, expected: false},
	{title: 'leave a leader that answers', leaderReachesStore: true, expected: false},
	{title: 'take the place of a leader that is cut off from the store', leaderReachesStore: false, expected: true},
	{title: 'not lead without a proof from the store', hasProof: false, expected: false},
];

function confirmationOf(daemon: string, {leaderReachesStore, isHeardByOthers}: Case): PeerConfirmation {
	return {
		daemon,
		canAttest: true,
		reachesStore: daemon !== leader || leaderReachesStore === true,
		known: {configuration: 1, assignments: {}},
		heard: isHeardByOthers === true && daemon !== leader ? [leader] : [],
	};
}

for (const example of cases) {
	test.serial(`should ${example.title}`, async t => {
		const clock = FakeTimers.install({now: 0, toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date']});
		const directory = new VmDirectory('b', {
			read: async () => daemons.map(id => ({
				id, role: VmRole.Entry, address: id, zone: 'z', state: VmState.Live,
			})),
			async close() {
				// Nothing is open.
			},
		});
		const read = directory.refresh();
		await clock.tickAsync(1);
		await read;
		const peers = {
			members: () => daemons.filter(daemon => daemon !== 'b'),
			async confirm(daemon: string) {
				if (daemon === leader && example.leaderReachesStore === undefined) {
					throw new PeerUnavailableError(daemon, 'no answer');
				}

				return confirmationOf(daemon, example);
			},
		} as unknown as PeerNetwork;
		const confirmation = {storeReachable: true, hasProof: () => example.hasProof ?? true, noteHeard: () => undefined} as unknown as Confirmation;
		const watch = new LeaderWatch('registry', {
			daemon: 'b', peers, confirmation, directory, timing: defaultTiming,
		});
		let isTaken = false;
		for (let round = 0; round < 200 && !isTaken; round++) {
			// eslint-disable-next-line no-await-in-loop -- rounds follow one another.
			isTaken = await watch.shouldTakeOver(leader, 1);
			// eslint-disable-next-line no-await-in-loop -- time passes between rounds.
			await clock.tickAsync(20);
		}

		clock.uninstall();
		t.is(isTaken, example.expected);
	});
}
