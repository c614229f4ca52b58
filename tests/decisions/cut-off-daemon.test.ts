import test from 'ava';
import {AttemptEnd, OutcomeKind, type Outcome} from '../../src/model/forwarding.js';
import {callerRequest} from '../../standins/caller-request.js';
import {CutMode} from '../../standins/cut-connections.js';
import {sizes, withLimitedTarget, type LimitedRun} from '../../standins/limited-fleet.js';
import {success, type FleetSize, type RelayedDaemon} from '../../standins/relayed-fleet.js';

/** Time from the beginning of the cut from which callers must be served, in milliseconds. */
const stableWindowMs = 3000;

/** Share of the requests that a cut daemon has to serve, of what the others serve. */
const servedShare = 2 / 3;

const requestCount = 30;

/** Time by which all earlier requests are answered, in milliseconds. */
const requestMs = 200;

/** Time of a slow request at a target, in milliseconds; within the time budget of a request. */
const slowWorkMs = 790;

/** Interval between the requests of one daemon, in milliseconds. */
const intervalMs = 50;

const [smallFleet, mediumFleet, largeFleet] = sizes as [FleetSize, FleetSize, FleetSize];

/** Outcomes of requests, and the runs of their ids at targets. */
type Observed = {
	outcomes: Array<{requestId: string; outcome: Outcome}>;
	runs: Map<string, number>;
};

/** Counts the runs of requests at targets that answer at once. */
function observeRuns({fleet}: LimitedRun): Observed['runs'] {
	const runs = new Map<string, number>();
	fleet.setTargetAnswer(async (_daemon, _attempt, {requestId}) => {
		runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
		return success;
	});
	return runs;
}

/** Sends requests to daemons at regular intervals, while others send to the rest of the fleet. */
async function sendTo(daemons: readonly RelayedDaemon[], {load}: LimitedRun, {count, name}: {count: number; name: string}): Promise<Observed['outcomes']> {
	const outcomes: Observed['outcomes'] = [];
	for (let index = 0; index < count; index += 1) {
		for (const {forwarder, member} of daemons) {
			const requestId = `${name} ${member.daemon} ${index}`;
			void forwarder.forward(callerRequest('/a/x', {requestId, key: (index * 7919) % 65_536})).then(outcome => {
				outcomes.push({requestId, outcome});
			});
		}

		// eslint-disable-next-line no-await-in-loop -- one request after another.
		await load(intervalMs);
	}

	return outcomes;
}

function served({outcomes}: Pick<Observed, 'outcomes'>): number {
	return outcomes.filter(({outcome: {kind}}) => kind === OutcomeKind.Answered).length;
}

for (const size of sizes) {
	const count = size.availabilityZones.length * size.daemonsPerZone;
	test.serial(`should serve the requests of a daemon that is cut off from all targets but not from its peers, with ${count} daemons`, async t => {
		await withLimitedTarget(size, {isKeyed: false, targetCount: 3}, async run => {
			run.fleet.cutOff('one-1', CutMode.Refused);
			await run.load(stableWindowMs);
			const outcomes = await sendTo([run.fleet.daemon('one-1')], run, {count: requestCount, name: 'request'});
			t.true(served({outcomes}) >= servedShare * requestCount, `${served({outcomes})} of ${requestCount} served`);
		});
	});
}

type CutCase = {
	title: string;
	size: FleetSize;
	mode: CutMode;
	isKeyed?: boolean;
	kind?: string;
	/** True if the daemon belongs to those that are cut off. */
	isCut(name: string): boolean;
};

const isFirst = (name: string): boolean => name === 'one-1';

const cutCases: CutCase[] = [
	...Object.values(CutMode).filter(mode => mode !== CutMode.ConnectionLimit).flatMap(mode => [
		{
			title: `one daemon with connections ${mode}`, size: smallFleet, mode, isCut: isFirst,
		},
		{
			title: `one daemon with connections ${mode}, for keys`, size: smallFleet, mode, isKeyed: true, isCut: isFirst,
		},
		{
			title: `one daemon with connections ${mode}, for requests that must not be repeated`, size: smallFleet, mode, kind: 'unsafe', isCut: isFirst,
		},
	]),
	{
		title: 'one daemon of a larger fleet with connections hanging', size: mediumFleet, mode: CutMode.Hanging, isCut: isFirst,
	},
	{
		title: 'most of an availability zone', size: smallFleet, mode: CutMode.Hanging, kind: 'unsafe', isCut: name => name.startsWith('one-') && name !== 'one-5',
	},
	{
		title: 'a whole availability zone', size: smallFleet, mode: CutMode.Hanging, isKeyed: true, isCut: name => name.startsWith('one-'),
	},
	{
		title: 'a whole availability zone of a large fleet', size: largeFleet, mode: CutMode.Refused, isCut: name => name.startsWith('one-'),
	},
];

for (const {title, size, mode, isKeyed = false, kind = 'safe', isCut} of cutCases) {
	test.serial(`should keep all promises and serve the requests of cut daemons: ${title}`, async t => {
		await withLimitedTarget(size, {isKeyed, targetCount: 3}, async run => {
			const {fleet} = run;
			const runs = observeRuns(run);
			fleet.putConfiguration(2, ['/a/'], isKeyed, kind);
			await run.load(stableWindowMs);
			const cut = fleet.daemons.filter(({member}) => isCut(member.daemon));
			for (const {member} of cut) {
				fleet.cutOff(member.daemon, mode);
			}

			const early = await sendTo(cut, run, {count: stableWindowMs / intervalMs, name: 'early'});
			const late = await sendTo(cut, run, {count: requestCount, name: 'late'});
			await run.load(stableWindowMs);
			const sentCount = requestCount * cut.length;
			t.true(served({outcomes: late}) >= servedShare * sentCount, `${served({outcomes: late})} of ${sentCount} served`);
			for (const {requestId, outcome} of [...early, ...late]) {
				const runCount = runs.get(requestId) ?? 0;
				t.false(outcome.kind === OutcomeKind.NotRun && runCount > 0, `${requestId} was refused and ran`);
				t.true(kind === 'safe' || runCount <= 1, `${requestId} ran ${runCount} times`);
			}

			for (const {member} of cut) {
				fleet.reconnect(member.daemon);
			}

			await run.load(1000);
			const relayed = fleet.relayCount;
			const direct = await sendTo(cut, run, {count: requestCount, name: 'direct'});
			t.is(served({outcomes: direct}), sentCount);
			t.is(fleet.relayCount, relayed, 'direct traffic returns');
		});
	});
}

/** Faults of targets that relaying would not help against. */
const targetFaults: Array<{title: string; isKeyed: boolean; downTargets: string[]; relaysPerS: number}> = [
	{
		title: 'not relay requests if one target is down', isKeyed: false, downTargets: ['a'], relaysPerS: 0,
	},
	{
		title: 'not relay requests if the owner of keys is down', isKeyed: true, downTargets: ['a'], relaysPerS: 0,
	},
	{
		title: 'relay two trials a second at most of each daemon if all targets are down', isKeyed: false, downTargets: ['a', 'b', 'c'], relaysPerS: 20,
	},
];

/** Time after which no answer of a target is recent, in milliseconds. */
const evidenceMs = 5000;

for (const {title, isKeyed, downTargets, relaysPerS} of targetFaults) {
	test.serial(`should ${title}`, async t => {
		await withLimitedTarget(smallFleet, {isKeyed, targetCount: 3}, async ({fleet, load}) => {
			fleet.setTargetAnswer(async (_daemon, {target: {id}}) => downTargets.includes(id) ? {end: AttemptEnd.NotSent, detail: 'refused'} : success);
			for (const id of downTargets) {
				fleet.unreachableAddresses.add(`10.0.0.1:targets/${id}`);
			}

			await load(evidenceMs);
			const before = relaysPerS === 0 ? 0 : fleet.relayCount;
			await load(evidenceMs);
			const relayed = fleet.relayCount - before;
			t.true(relayed <= relaysPerS * evidenceMs / 1000, `${relayed} relayed`);
		});
	});
}

test.serial('should use open connections while no target of any daemon accepts new ones', async t => {
	await withLimitedTarget(smallFleet, {isKeyed: false, targetCount: 3}, async ({fleet, load, wait, outcomes}) => {
		await load(1000);
		for (const {member} of fleet.daemons) {
			fleet.cutOff(member.daemon, CutMode.ConnectionLimit);
		}

		// More requests at once than there are open connections.
		const burst = fleet.daemons.flatMap(({forwarder}) => Array.from({length: 12}, async () => forwarder.forward(callerRequest('/a/x'))));
		await Promise.all([...burst, wait(requestMs)]);
		await load(stableWindowMs);
		await wait(requestMs);
		const failed = outcomes.filter(({kind}) => kind !== OutcomeKind.Answered);
		t.deepEqual(failed, []);
	});
});

test.serial('should probe three targets at most on account of a slow request', async t => {
	await withLimitedTarget(smallFleet, {isKeyed: false, targetCount: 3}, async ({fleet, load, wait}) => {
		await load(1000);
		await wait(requestMs);
		fleet.setTargetAnswer(async () => {
			await new Promise(resolve => {
				setTimeout(resolve, slowWorkMs);
			});
			return success;
		});
		const {forwarder} = fleet.daemon('one-1');
		const before = fleet.probeCount;
		const [outcome] = await Promise.all([forwarder.forward(callerRequest('/a/x')), wait(slowWorkMs)]);
		t.is(outcome.kind, OutcomeKind.Answered);
		t.true(fleet.probeCount - before <= 3, `${fleet.probeCount - before} probes`);
	});
});
