import test from 'ava';
import {majorityOf, mayServeWithoutStore, type StoreOutageState} from '../../src/decisions/store-outage-rule.js';
import type {PeerConfirmation} from '../../src/model/peer.js';

const voters = ['a', 'b', 'c', 'd', 'e'];

function peer(daemon: string, changes: Partial<PeerConfirmation> = {}): PeerConfirmation {
	return {
		daemon, canAttest: true, reachesStore: false, known: {configuration: 1, assignments: {registry: 5}}, heard: [], ...changes,
	};
}

const base: StoreOutageState = {
	daemon: 'a', canAttest: true, service: 'registry', version: 5, voters, confirmations: [peer('b'), peer('c')],
};

const cases: Array<{title: string; evidence: StoreOutageState; expected: boolean}> = [
	{title: 'serve with a majority that knows no newer version', evidence: base, expected: true},
	{title: 'not serve without a majority', evidence: {...base, confirmations: [peer('b')]}, expected: false},
	{title: 'not count a restarted daemon', evidence: {...base, confirmations: [peer('b'), peer('c', {canAttest: false})]}, expected: false},
	{title: 'not serve after its own restart', evidence: {...base, canAttest: false}, expected: false},
	{title: 'not serve when a peer has a fresh confirmation by the store', evidence: {...base, confirmations: [peer('b'), peer('c'), peer('d', {proofAgeMs: 20})]}, expected: false},
	{
		title: 'not serve when a peer knows a newer version',
		evidence: {...base, confirmations: [peer('b'), peer('c'), peer('d', {known: {configuration: 1, assignments: {registry: 6}}})]},
		expected: false,
	},
	{title: 'not count a daemon that is no voter', evidence: {...base, confirmations: [peer('b'), peer('x')]}, expected: false},
	{title: 'not count a voter twice', evidence: {...base, confirmations: [peer('b'), peer('b')]}, expected: false},
	{title: 'serve as a daemon that is no voter', evidence: {...base, daemon: 'x', confirmations: [peer('a'), peer('b'), peer('c')]}, expected: true},
];

for (const {title, evidence: state, expected} of cases) {
	test(`should ${title}`, t => {
		t.is(mayServeWithoutStore(state), expected);
	});
}

test('should need more than half for a majority', t => {
	t.deepEqual([1, 2, 3, 4, 5].map(size => majorityOf(size)), [1, 2, 2, 3, 3]);
});
