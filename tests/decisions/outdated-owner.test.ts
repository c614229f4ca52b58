import test from 'ava';
import {wordReachMs} from '../../src/decisions/fleet/leader-word.js';
import {ownerEvidenceLifetimeMs} from '../../src/decisions/fleet/owner-freshness.js';
import {OutcomeKind, OutcomeReason, type Outcome} from '../../src/model/forwarding.js';
import {callerRequest} from '../../standins/caller-request.js';
import {
	moveAsLeader, moveKeys, recordSent, withLedFleet, type LedRun,
} from '../../standins/led-fleet.js';
import {sizes, withLimitedTarget, type LimitedRun} from '../../standins/limited-fleet.js';
import {StoreFault} from '../../standins/memory-coordination-store.js';
import {
	success, type FleetSize, type RelayedDaemon, type RelayedFleet,
} from '../../standins/relayed-fleet.js';

/** Interval between the requests of one daemon, in milliseconds. */
const intervalMs = 50;

/** The same if all daemons of a fleet send. */
const fleetIntervalMs = 250;

/** Longest wait of a request for evidence, in milliseconds. */
const evidenceWaitMs = 300;

/** Most evidence requests of a daemon in a second. */
const requestsPerS = 2;

/** Time in which all requests have to be served, in milliseconds. */
const calmMs = 6000;

/** Duration of other faults, in milliseconds; twice the lifetime of evidence. */
const faultMs = 2 * ownerEvidenceLifetimeMs;

/** Longest store outage that is bridged, in milliseconds. */
const outageMs = 9000;

/** Three, ten, seventy and 195 daemons. */
const allSizes: FleetSize[] = [{availabilityZones: ['one'], daemonsPerZone: 3}, ...sizes];

function daemonCount({availabilityZones, daemonsPerZone}: FleetSize): number {
	return availabilityZones.length * daemonsPerZone;
}

/** Sends requests through one daemon at regular intervals. */
async function sendThrough(name: string, durationMs: number, {fleet, wait}: LimitedRun): Promise<void> {
	for (let passed = 0; passed < durationMs; passed += intervalMs) {
		void fleet.daemon(name).forwarder.forward(callerRequest('/a/x'));
		// eslint-disable-next-line no-await-in-loop -- one request after another.
		await wait(intervalMs);
	}
}

for (const size of allSizes) {
	test.serial(`should send nothing to an old owner once another may hold the keys, from a daemon without the store and peers, of ${daemonCount(size)}`, async t => {
		await withLimitedTarget(size, {targetCount: 2}, async run => {
			const {fleet} = run;
			moveKeys(fleet, 'a');
			await run.wait(1000);
			const sent = recordSent(fleet);
			fleet.daemon('one-3').client.isDisconnected = true;
			fleet.dropMessagesTo('one-3');
			moveKeys(fleet, 'b', 3);
			const movedAt = performance.now();
			await sendThrough('one-3', 3 * ownerEvidenceLifetimeMs, run);
			t.true(sent.some(({daemon}) => daemon === 'one-3'));
			t.is(sent.filter(({target: id, at}) => id === 'a' && at > movedAt + ownerEvidenceLifetimeMs).length, 0);
		});
	});
}

/** A request and how it ended. */
type Ended = {
	daemon: string;
	/** Since the beginning of the requests, in milliseconds. */
	afterMs: number;
	/** Age of the daemon's evidence when the request arrived, in milliseconds. */
	evidenceAgeMs: number;
	outcome: Outcome;
};

function isUnconfirmed({outcome}: Ended): boolean {
	return outcome.kind === OutcomeKind.NotRun && outcome.reason === OutcomeReason.OwnersUnconfirmed;
}

/** Sends requests through daemons, each at regular intervals, and waits for their ends. */
async function sendThroughAll(daemons: readonly RelayedDaemon[], durationMs: number, {wait}: Pick<LimitedRun, 'wait'>, stepMs = fleetIntervalMs): Promise<Ended[]> {
	const ended: Ended[] = [];
	for (let passed = 0; passed < durationMs; passed += stepMs) {
		for (const {forwarder, member: {daemon}, view, isStopped} of daemons) {
			const evidenceAgeMs = view.ownerFreshness.ageMs;
			if (!isStopped) {
				void forwarder.forward(callerRequest('/a/x')).then(outcome => {
					ended.push({
						daemon, afterMs: passed, evidenceAgeMs, outcome,
					});
				});
			}
		}

		// eslint-disable-next-line no-await-in-loop -- time passes in steps.
		await wait(stepMs);
	}

	await wait(evidenceWaitMs);
	return ended;
}

/** Counts evidence requests by their sender, and answers to them. */
function countEvidence(fleet: RelayedFleet): {requests: Map<string, number>; answers: Map<string, number>} {
	const counts = {requests: new Map<string, number>(), answers: new Map<string, number>()};
	const send = fleet.send.bind(fleet);
	fleet.send = (from, message, members) => {
		const counted = message.wants?.evidence === undefined ? message.evidence && counts.answers : counts.requests;
		counted?.set(message.daemon, (counted.get(message.daemon) ?? 0) + 1);
		send(from, message, members);
	};

	return counts;
}

type CalmCase = {
	title: string;
	/** Interval between moves of keys, in milliseconds. */
	moveIntervalMs: number;
	lossPercent?: number;
};

const calmCases: CalmCase[] = [
	{title: 'in calm', moveIntervalMs: 60_000},
	{title: 'while owners change four times a second', moveIntervalMs: 250},
	{title: 'while owners change and one message in twenty is lost', moveIntervalMs: 900, lossPercent: 5},
];

for (const size of allSizes) {
	for (const {title, moveIntervalMs, lossPercent = 0} of calmCases) {
		test.serial(`should serve all requests with two evidence requests a second of each daemon at most ${title}, with ${daemonCount(size)} daemons`, async t => {
			await withLedFleet(size, async run => {
				const {fleet, leader} = run;
				fleet.setDeliveryDelays(() => fleet.random() * 100 < lossPercent ? [] : [1]);
				const counts = countEvidence(fleet);
				let fence = 2;
				const timer = setInterval(() => {
					fence += 1;
					void moveAsLeader(leader, fence % 2 === 0 ? 'a' : 'b', fence);
				}, moveIntervalMs);
				const durationMs = calmMs;
				const ended = await sendThroughAll(fleet.daemons, durationMs, run);
				clearInterval(timer);
				t.is(ended.length, fleet.daemons.length * durationMs / fleetIntervalMs);
				t.deepEqual(ended.filter(each => isUnconfirmed(each)).map(({daemon, afterMs}) => ({daemon, afterMs})), []);
				const highest = Math.max(...counts.requests.values());
				const total = [...counts.requests.values()].reduce((sum, count) => sum + count, 0);
				t.true(highest <= requestsPerS * durationMs / 1000, `${highest} evidence requests of a daemon`);
				const answers = Math.max(0, ...counts.answers.values());
				t.log(`evidence requests of a daemon in 6 s: ${Math.round(total / fleet.daemons.length)}, highest ${highest}; most answers ${answers}`);
			});
		});
	}
}

type FaultCase = {
	title: string;
	sizes: FleetSize[];
	durationMs: number;
	/** When the first request is refused by one of the affected daemons, in milliseconds; missing if none may be. */
	refusedFromMs?: {min: number; max: number};
	isAffected?(name: string): boolean;
	inject(run: LedRun): void;
	/** Ends the fault. */
	heal?(run: LimitedRun): void;
};

/** Time after a fault within which requests are served again, in milliseconds; a failed watch is repeated after 250 ms. */
const healingMs = 1000;

const [smallFleet, mediumFleet, largeFleet] = allSizes as [FleetSize, FleetSize, FleetSize];
const mostSizes = [smallFleet, mediumFleet, largeFleet];

/** Evidence of a daemon is renewed from half of its lifetime on, and may be a quarter of the lifetime old then. */
const oldestEvidenceMs = ownerEvidenceLifetimeMs * 0.75;

/** The time of a first refusal if the last evidence is of the beginning of the fault or renewed a little before. */
const afterLifetime = {min: ownerEvidenceLifetimeMs - oldestEvidenceMs, max: ownerEvidenceLifetimeMs + fleetIntervalMs};

const faultCases: FaultCase[] = [
	{
		title: 'while the store is down for 9 s', sizes: allSizes, durationMs: outageMs, inject({fleet}) {
			fleet.store.fault = StoreFault.Down;
		},
	},
	{
		title: 'until the word of the leader ends in a store outage of 14 s', sizes: mostSizes, durationMs: 14_000, inject({fleet}) {
			fleet.store.fault = StoreFault.Down;
		}, heal({fleet}) {
			fleet.store.fault = StoreFault.None;
		}, isAffected: () => true, refusedFromMs: {min: outageMs - 1000, max: outageMs + ownerEvidenceLifetimeMs + fleetIntervalMs},
	},
	{
		title: 'while the store is slow', sizes: mostSizes, durationMs: faultMs, inject({fleet}) {
			for (const {client} of fleet.daemons) {
				client.answerDelayMs = 900;
			}
		},
	},
	{
		title: 'of a daemon that is cut off from the store only', sizes: allSizes, durationMs: faultMs, inject({fleet}) {
			fleet.daemon('one-3').client.isDisconnected = true;
		},
	},
	{
		title: 'of a daemon that is cut off from the store, so that its entry has expired', sizes: mostSizes, durationMs: faultMs, inject({fleet}) {
			fleet.daemon('one-3').client.isDisconnected = true;
			fleet.store.delete('eelgrasswheel/members/one-3');
		},
	},
	{
		title: 'of all daemons but one that is cut off from the store and its peers', sizes: allSizes, durationMs: faultMs, inject({fleet}) {
			fleet.daemon('one-3').client.isDisconnected = true;
			fleet.dropMessagesTo('one-3');
		}, heal({fleet}) {
			fleet.daemon('one-3').client.isDisconnected = false;
			fleet.dropMessagesTo('one-3', false);
		}, isAffected: name => name === 'one-3', refusedFromMs: afterLifetime,
	},
	{
		title: 'after the daemon that watches the store has stopped', sizes: allSizes, durationMs: faultMs, inject({fleet}) {
			fleet.daemon('one-1').isStopped = true;
			fleet.daemon('one-1').client.isDisconnected = true;
		},
	},
	{
		title: 'while the watch of the store brings no answer', sizes: mostSizes, durationMs: faultMs, inject({fleet}) {
			fleet.daemon('one-1').client.isWatchSilent = true;
		},
	},
	{
		title: 'while the daemon that watches the store receives no message', sizes: mostSizes, durationMs: faultMs, inject({fleet}) {
			fleet.dropMessagesTo('one-1');
		},
	},
	{
		title: 'while messages take 300 ms', sizes: mostSizes, durationMs: faultMs, inject({fleet}) {
			fleet.setDeliveryDelays(() => [300]);
		},
	},
	{
		title: 'after the leader has stopped', sizes: allSizes, durationMs: faultMs, inject({leader}) {
			leader.isStopped = true;
			leader.client.isDisconnected = true;
		},
	},
	{
		title: 'until the lifetime of evidence ends after the leader has stopped and the store is down', sizes: mostSizes, durationMs: faultMs, inject({fleet, leader}) {
			leader.isStopped = true;
			fleet.store.fault = StoreFault.Down;
		}, isAffected: () => true, refusedFromMs: afterLifetime,
	},
];

/** Describes first refusals and last other outcomes of the affected daemons outside of their bounds. */
function untimelyRefusals(ended: readonly Ended[], bounds: FaultCase['refusedFromMs']): string[] {
	if (!bounds) {
		return [];
	}

	const times = (isRefused: boolean): number[] => ended.filter(each => isUnconfirmed(each) === isRefused).map(({afterMs}) => afterMs);
	const firstRefusedMs = Math.min(...times(true));
	const lastServedMs = Math.max(...times(false));
	const isTimely = firstRefusedMs >= bounds.min && firstRefusedMs <= bounds.max && lastServedMs <= bounds.max;
	return isTimely ? [] : [`first refused after ${firstRefusedMs} ms, last served after ${lastServedMs} ms`];
}

for (const {
	title, sizes: ofSizes, durationMs, inject, heal, refusedFromMs, isAffected = () => false,
} of faultCases) {
	for (const size of ofSizes) {
		test.serial(`should serve requests ${title}, with ${daemonCount(size)} daemons`, async t => {
			await withLedFleet(size, async run => {
				const {fleet} = run;
				const late: string[] = [];
				fleet.setTargetAnswer(async daemon => {
					const {ageMs} = fleet.daemon(daemon).view.ownerFreshness;
					late.push(...ageMs > ownerEvidenceLifetimeMs ? [`${daemon} sent with evidence of ${ageMs} ms`] : []);
					return success;
				});
				const counts = countEvidence(fleet);
				inject(run);
				const ended = await sendThroughAll(fleet.daemons, durationMs, run);
				t.deepEqual(late, []);
				const refused = ended.filter(each => isUnconfirmed(each));
				t.deepEqual(refused.filter(({daemon}) => !isAffected(daemon)).map(({daemon, afterMs, evidenceAgeMs}) => ({daemon, afterMs, evidenceAgeMs})), []);
				// A request that waits for evidence arrives up to 300 ms before the evidence is too old.
				t.is(refused.filter(({evidenceAgeMs}) => evidenceAgeMs <= ownerEvidenceLifetimeMs).length, 0);
				const highest = Math.max(0, ...counts.requests.values());
				t.true(highest <= (requestsPerS * durationMs / 1000) + 4, `${highest} evidence requests of a daemon`);
				t.log(`most evidence requests of a daemon: ${highest}; refused: ${refused.length}`);
				t.deepEqual(untimelyRefusals(ended.filter(({daemon}) => isAffected(daemon)), refusedFromMs), []);
				heal?.(run);
				await run.wait(healingMs);
				const healed = await sendThroughAll(heal ? fleet.daemons : [], healingMs, run);
				t.deepEqual(healed.filter(each => isUnconfirmed(each)), []);
			});
		});
	}
}

test.serial('should send nothing to an old owner from a daemon that is suspended, by messages that it finds in its socket', async t => {
	await withLedFleet(mediumFleet, async run => {
		const {fleet, leader, wait} = run;
		const daemon = fleet.daemon('one-3');
		const sent = recordSent(fleet);
		const outcomes: Array<Promise<Outcome>> = [];
		const forward = (): void => {
			outcomes.push(daemon.forwarder.forward(callerRequest('/a/x')));
		};

		// The answer to this request waits in the socket.
		daemon.exchange.requestEvidence();
		const suspendedMs = 5000;
		// One request is read before the messages, another one after them.
		setTimeout(forward, suspendedMs);
		daemon.suspend(suspendedMs);
		setTimeout(forward, suspendedMs);
		await wait(10);
		// The messages about the move are lost.
		fleet.dropMessagesTo('one-3');
		const move = moveAsLeader(leader, 'b', 3);
		await wait(suspendedMs);
		fleet.dropMessagesTo('one-3', false);
		t.truthy(await move);
		await sendThrough('one-3', 1000, run);
		const ofDaemon = sent.filter(each => each.daemon === 'one-3');
		t.deepEqual(ofDaemon.filter(({target: id}) => id === 'a'), []);
		t.true(ofDaemon.length >= 20, `${ofDaemon.length} sent`);
		t.is(outcomes.length, 2);
	});
});

test.serial('should not count its own watch as evidence for owners if it may have missed a message with them as a follower', async t => {
	await withLedFleet(smallFleet, async run => {
		const {fleet, leader, wait} = run;
		const daemon = fleet.daemon('one-3');
		const sent = recordSent(fleet);
		fleet.dropMessagesTo('one-3');
		const before = daemon.view.revision;
		const move = moveAsLeader(leader, 'b', 3);
		await wait(20);
		const movedAt = await move ?? Infinity;
		const {revision} = fleet.store;
		// The update says that the view is complete up to the revision; owners are sent separately.
		daemon.exchange.receive({
			daemon: 'one-1', availabilityZone: 'one', revision, assignments: {}, isStoreReachable: false, update: {after: before, changes: [], revision},
		});
		// From now on, this daemon watches the store.
		daemon.exchange.receive({
			daemon: 'one-2', availabilityZone: 'one', revision: before, assignments: {}, isStoreReachable: false,
		});
		t.false(daemon.exchange.isFollowing());
		t.is(daemon.view.revision, revision);
		t.not(daemon.view.assignments.get('service')?.revision, revision);
		await sendThrough('one-3', 3 * ownerEvidenceLifetimeMs, run);
		const late = sent.filter(({daemon: name, at}) => name === 'one-3' && at > movedAt + ownerEvidenceLifetimeMs);
		t.deepEqual(late.filter(({target: id}) => id === 'a'), []);
		t.true(late.length > 0);
	});
});

test.serial('should end the word of a leader that is cut off before its successor may move keys without proof', async t => {
	await withLedFleet(mediumFleet, async run => {
		const {fleet, leader, wait} = run;
		const sent = recordSent(fleet);
		const successor = fleet.daemon('two-1');
		successor.compete(() => fleet.random());
		const follower = fleet.daemon('one-3');
		for (const daemon of [leader, follower]) {
			daemon.client.isDisconnected = true;
			fleet.isolated.add(daemon.member.daemon);
		}

		const cutAt = performance.now();
		while (successor.leadership?.isConfirmed !== true) {
			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await wait(10);
		}

		const takenOverAt = performance.now();
		await sendThrough('one-3', wordReachMs - ownerEvidenceLifetimeMs, run);
		const move = moveAsLeader(successor, 'b', 3);
		await sendThrough('one-3', 2 * ownerEvidenceLifetimeMs, run);
		t.truthy(await move);
		const lastSentAt = Math.max(...sent.filter(({daemon}) => daemon === 'one-3').map(({at}) => at));
		t.true(lastSentAt - cutAt > outageMs, `sent until ${lastSentAt - cutAt} ms after the cut`);
		t.true(lastSentAt < takenOverAt + wordReachMs, `sent until ${lastSentAt - takenOverAt} ms after the takeover`);
		t.log(`sent until ${lastSentAt - cutAt} ms after the cut, ${lastSentAt - takenOverAt} ms after the takeover`);
	});
});
