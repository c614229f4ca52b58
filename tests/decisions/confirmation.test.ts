import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {Confirmation} from '../../src/decisions/confirmation.js';
import {Replica} from '../../src/decisions/replica.js';
import {emptyConfiguration} from '../../src/model/configuration.js';
import {PeerUnavailableError, StoreUnavailableError} from '../../src/model/errors.js';
import type {KeyValueStore} from '../../src/model/key-value-store.js';
import type {DocumentUpdate, PeerNetwork} from '../../src/model/peer.js';
import {defaultTiming} from '../../src/model/timing.js';

/** Age of the peer's confirmation by the store, in milliseconds. */
const peerConfirmationAgeMs = 30;

type Case = {
	title: string;
	/** Version of the configuration that the peer knows. */
	peerVersion: number;
	/** The peer's answer to a request for newer documents; no answer if absent. */
	update?: DocumentUpdate;
	expected: {proofAgeMs: number | undefined; canAttest: boolean; configuration: number};
};

const newer: DocumentUpdate = {configuration: {value: {...emptyConfiguration, version: 2}, modRevision: 9}, assignments: []};

const cases: Case[] = [
	{
		title: 'relay the confirmation of a peer that knows no newer version',
		peerVersion: 0,
		expected: {proofAgeMs: peerConfirmationAgeMs, canAttest: true, configuration: 0},
	},
	{
		title: 'relay the confirmation of a peer after receiving its newer documents',
		peerVersion: 2,
		update: newer,
		expected: {proofAgeMs: peerConfirmationAgeMs, canAttest: true, configuration: 2},
	},
	{
		title: 'not confirm older documents through a peer whose newer ones did not arrive',
		peerVersion: 2,
		expected: {proofAgeMs: undefined, canAttest: false, configuration: 0},
	},
	{
		title: 'not confirm older documents through a peer whose newer ones arrived only in part',
		peerVersion: 3,
		update: newer,
		expected: {proofAgeMs: undefined, canAttest: false, configuration: 2},
	},
];

for (const {title, peerVersion, update, expected} of cases) {
	test.serial(`should ${title}`, async t => {
		const clock = FakeTimers.install({now: 0, toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date']});
		try {
			const replica = new Replica(defaultTiming.routeLeaseMs);
			const confirmation = new Confirmation({
				daemon: 'a',
				store: {
					async readVersions() {
						throw new StoreUnavailableError('down');
					},
				} as unknown as KeyValueStore,
				peers: {
					members: () => ['b'],
					confirm: async () => ({
						daemon: 'b', proofAgeMs: peerConfirmationAgeMs, canAttest: true, reachesStore: true, known: {configuration: peerVersion, assignments: {}}, heard: [],
					}),
					async fetchDocuments(daemon: string) {
						if (!update) {
							throw new PeerUnavailableError(daemon, 'no answer');
						}

						return update;
					},
				} as unknown as PeerNetwork,
				replica,
				timing: defaultTiming,
				log: {
					record() {
						// The test does not check the log.
					},
				},
			});
			await clock.tickAsync(100);
			await confirmation.refresh();
			const {proofAgeMs, canAttest, known} = confirmation.answer();
			t.deepEqual({proofAgeMs, canAttest, configuration: known.configuration}, expected);
		} finally {
			clock.uninstall();
		}
	});
}
