import test from 'ava';
import {Acknowledgements, type MoveContext} from '../../src/decisions/acknowledgements.js';
import {EjectionVerdict, decideEjection, type Suspicion} from '../../src/decisions/ejection.js';
import {shouldTakeLeadership, type LeaderObservations} from '../../src/decisions/leadership.js';
import {ContactResult, ServerDetector, ServerCondition} from '../../src/decisions/server-detector.js';
import {
	emptyAssignment, MoveKind, MovePhase, type Move,
} from '../../src/model/assignment.js';
import {
	Fencing, serverSchema, serviceSchema, standingPolicySchema,
} from '../../src/model/configuration.js';
import {defaultTiming} from '../../src/model/timing.js';

const service = serviceSchema.parse({
	name: 'registry', customer: 'c', pathPrefix: '/r', divided: true, key: {source: 'path', name: '1'}, classes: [{
		name: 'read', methods: ['GET'], priority: 'read', deadlineMs: 1000, idempotent: true,
	}],
});
const servers = Array.from({length: 4}, (_, index) => serverSchema.parse({
	id: `s${index}`, service: 'registry', address: '127.0.0.1:1', zone: 'z',
}));
const policy = standingPolicySchema.parse({maxLostServers: 1});
const silent: Suspicion = {
	server: 's0', condition: ServerCondition.Silent, peerResults: [false], peersRequested: 2, isVmRemoved: false,
};

const ejectionCases: Array<{title: string; suspicion: Suspicion; fencing?: Fencing; lostCount?: number; expected: EjectionVerdict}> = [
	{title: 'eject a silent server that a peer cannot reach either', suspicion: silent, expected: EjectionVerdict.Eject},
	{title: 'wait when a peer reaches the server', suspicion: {...silent, peerResults: [false, true]}, expected: EjectionVerdict.Wait},
	{title: 'wait when no peer has answered', suspicion: {...silent, peerResults: []}, expected: EjectionVerdict.Wait},
	{title: 'decide alone when there is no other daemon', suspicion: {...silent, peerResults: [], peersRequested: 0}, expected: EjectionVerdict.Eject},
	{
		title: 'not eject more servers than the policy allows', suspicion: silent, lostCount: 1, expected: EjectionVerdict.Forbidden,
	},
	{
		title: 'not eject a silent server without fencing', suspicion: silent, fencing: Fencing.None, expected: EjectionVerdict.Unconfirmed,
	},
	{
		title: 'eject a server without fencing when its process has stopped', suspicion: {...silent, condition: ServerCondition.Stopped}, fencing: Fencing.None, expected: EjectionVerdict.Eject,
	},
	{
		title: 'eject a server without fencing when its VM was removed from the list', suspicion: {...silent, isVmRemoved: true}, fencing: Fencing.None, expected: EjectionVerdict.Eject,
	},
];

for (const {title, suspicion, fencing = Fencing.Epoch, lostCount = 0, expected} of ejectionCases) {
	test(`should ${title}`, t => {
		t.is(decideEjection(suspicion, {...service, fencing}, servers, {policy, lostCount}), expected);
	});
}

const detectorCases: Array<{title: string; contacts: ContactResult[]; expected: ServerCondition}> = [
	{title: 'consider a server healthy after two silent probes', contacts: [ContactResult.Silent, ContactResult.Silent], expected: ServerCondition.Healthy},
	{title: 'suspect a server after three silent probes', contacts: [ContactResult.Silent, ContactResult.Silent, ContactResult.Silent], expected: ServerCondition.Silent},
	{title: 'consider a process stopped after two refused connections', contacts: [ContactResult.Refused, ContactResult.Refused], expected: ServerCondition.Stopped},
	{
		title: 'consider a server healthy when it answers between silent probes',
		contacts: [ContactResult.Silent, ContactResult.Silent, ContactResult.Answered, ContactResult.Silent],
		expected: ServerCondition.Healthy,
	},
];

for (const {title, contacts, expected} of detectorCases) {
	test(`should ${title}`, t => {
		const detector = new ServerDetector(defaultTiming);
		for (const [index, contact] of contacts.entries()) {
			detector.observe('s', contact, index * 100);
		}

		t.is(detector.condition('s'), expected);
	});
}

const leaderObservations: LeaderObservations = {
	daemon: 'b', leader: 'a', members: ['a', 'b', 'c'], failedProbes: 3, isConnectionRefused: false, suspectedForMs: 0, hasFreshConfirmation: true,
};
const leadershipCases: Array<{title: string; changes: Partial<LeaderObservations>; expected: boolean}> = [
	{title: 'take over from a silent leader', changes: {}, expected: true},
	{title: 'not take over from a leader that answers', changes: {failedProbes: 1}, expected: false},
	{title: 'not lead without a fresh confirmation by the store', changes: {hasFreshConfirmation: false}, expected: false},
	{title: 'take a vacant leadership', changes: {daemon: 'a', leader: '', failedProbes: 0}, expected: true},
	{title: 'let a higher-ranked daemon take over first', changes: {daemon: 'c'}, expected: false},
	{title: 'take over when the higher-ranked daemon does not', changes: {daemon: 'c', suspectedForMs: 200}, expected: true},
];

for (const {title, changes, expected} of leadershipCases) {
	test(`should ${title}`, t => {
		t.is(shouldTakeLeadership({...leaderObservations, ...changes}, ['a', 'b', 'c'], defaultTiming), expected);
	});
}

const {routeLeaseMs, clockSkewMs} = defaultTiming;
const move: Move = {
	shard: 0, kind: MoveKind.Takeover, phase: MovePhase.Paused, from: 's0', to: 's1', sinceVersion: 5,
};
const assignment = {...emptyAssignment('registry', 1), version: 5, voters: ['a', 'b', 'c']};
const context: MoveContext = {
	fencing: Fencing.Epoch, members: ['a', 'b', 'c'], longestDeadlineMs: 1000, revoked: false,
};

type AcknowledgementCase = {
	title: string;
	acknowledgements: Array<{daemon: string; version?: number; inFlight?: number; startByRemainingMs?: number}>;
	move?: Partial<Move>;
	context?: Partial<MoveContext>;
	now: number;
	expected: boolean;
};

const acknowledgementCases: AcknowledgementCase[] = [
	{
		title: 'write the new owner at once when all daemons acknowledged', acknowledgements: [{daemon: 'a'}, {daemon: 'b'}, {daemon: 'c'}], now: 1, expected: true,
	},
	{
		title: 'wait for a majority however long it takes', acknowledgements: [{daemon: 'a'}], now: 1e9, expected: false,
	},
	{
		title: 'wait for the lease of a silent daemon', acknowledgements: [{daemon: 'a'}, {daemon: 'b'}], now: routeLeaseMs + clockSkewMs - 1, expected: false,
	},
	{
		title: 'write the new owner after the lease of a silent daemon has expired', acknowledgements: [{daemon: 'a'}, {daemon: 'b'}], now: routeLeaseMs + clockSkewMs, expected: true,
	},
	{
		title: 'not count an acknowledgement of an older version', acknowledgements: [{daemon: 'a'}, {daemon: 'b', version: 4}], now: 1e9, expected: false,
	},
	{
		title: 'wait for the start-by deadlines in a takeover', acknowledgements: [{daemon: 'a', startByRemainingMs: 200}, {daemon: 'b'}, {daemon: 'c'}], now: 200, expected: false,
	},
	{
		title: 'write the new owner after the start-by deadlines in a takeover',
		acknowledgements: [{daemon: 'a', startByRemainingMs: 200}, {daemon: 'b'}, {daemon: 'c'}],
		now: 200 + clockSkewMs,
		expected: true,
	},
	{
		title: 'not wait for a daemon whose VM was removed from the list', acknowledgements: [{daemon: 'a'}, {daemon: 'b'}], context: {members: ['a', 'b']}, now: 1, expected: true,
	},
	{
		title: 'wait for requests in flight in a planned move between servers without fencing',
		acknowledgements: [{daemon: 'a', inFlight: 1}, {daemon: 'b'}, {daemon: 'c'}],
		move: {kind: MoveKind.Planned},
		context: {fencing: Fencing.None},
		now: 100,
		expected: false,
	},
	{
		title: 'not wait for an unreachable daemon to report the end of requests that its server has ended',
		acknowledgements: [{daemon: 'a', inFlight: 1}, {daemon: 'b'}, {daemon: 'c'}],
		move: {kind: MoveKind.Planned},
		context: {revoked: true},
		now: 1,
		expected: true,
	},
	{
		title: 'stop waiting for an unreachable daemon once its requests must have ended',
		acknowledgements: [{daemon: 'a', inFlight: 1}, {daemon: 'b'}, {daemon: 'c'}],
		move: {kind: MoveKind.Planned},
		context: {fencing: Fencing.None},
		now: routeLeaseMs + clockSkewMs + 1000,
		expected: true,
	},
	{
		title: 'wait for the revocation in a planned move', acknowledgements: [{daemon: 'a'}, {daemon: 'b'}, {daemon: 'c'}], move: {kind: MoveKind.Planned}, now: 1, expected: false,
	},
	{
		title: 'wait longer for unreported requests at servers without fencing',
		acknowledgements: [{daemon: 'a'}, {daemon: 'b'}],
		context: {fencing: Fencing.None},
		now: routeLeaseMs + clockSkewMs + 999,
		expected: false,
	},
];

for (const {title, acknowledgements, move: moveChanges = {}, context: contextChanges = {}, now, expected} of acknowledgementCases) {
	test(`should ${title}`, t => {
		const collected = new Acknowledgements(defaultTiming);
		for (const {daemon, version = 5, inFlight = 0, startByRemainingMs = 0} of acknowledgements) {
			collected.observe({
				daemon, version, inFlight, startByRemainingMs,
			}, 0);
		}

		t.is(collected.isOldOwnerOut({...move, ...moveChanges}, assignment, {...context, ...contextChanges}, now), expected);
	});
}
