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
	/** Whether the leader reports that it reaches the store; no answer if absent. */
	leaderReachesStore?: boolean;
	/** True if another daemon recently got an answer from the leader. */
	isReachedByOthers?: boolean;
	isConfirmed?: boolean;
	expected: boolean;
};

const cases: Case[] = [
	{title: 'take over from a leader that no daemon reaches', expected: true},
	{title: 'not take over from a leader that another daemon reaches', isReachedByOthers: true, expected: false},
	{title: 'not take over from a leader that answers', leaderReachesStore: true, expected: false},
	{title: 'take over from a leader that cannot reach the store', leaderReachesStore: false, expected: true},
	{title: 'not lead without a fresh confirmation by the store', isConfirmed: false, expected: false},
];

function confirmationOf(daemon: string, {leaderReachesStore, isReachedByOthers}: Case): PeerConfirmation {
	return {
		daemon,
		canAttest: true,
		reachesStore: daemon !== leader || leaderReachesStore === true,
		known: {configuration: 1, assignments: {}},
		heard: isReachedByOthers === true && daemon !== leader ? [leader] : [],
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
		const confirmation = {storeReachable: true, hasFreshConfirmation: () => example.isConfirmed ?? true, recordResponse: () => undefined} as unknown as Confirmation;
		const watch = new LeaderWatch('registry', {
			daemon: 'b', peers, confirmation, directory, timing: defaultTiming,
		});
		let hasTakenOver = false;
		for (let round = 0; round < 200 && !hasTakenOver; round++) {
			// eslint-disable-next-line no-await-in-loop -- rounds follow one another.
			hasTakenOver = await watch.shouldTakeOver(leader, 1);
			// eslint-disable-next-line no-await-in-loop -- time passes between rounds.
			await clock.tickAsync(20);
		}

		clock.uninstall();
		t.is(hasTakenOver, example.expected);
	});
}
