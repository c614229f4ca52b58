import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {storeKeys} from '../../src/decisions/fleet/daemon-documents.js';
import {LogEvent, type LogFields} from '../../src/model/events.js';
import {HoldMeter, unheldKeys} from '../../standins/hold-meter.js';
import type {KeyHolder} from '../../standins/key-holder.js';
import {HoldStart, LateOrders, exactly} from '../../standins/late-orders.js';
import {PlatformDeployment} from '../../standins/platform-deployment.js';

/** Time within which the keys of a target that does not answer get another owner, in milliseconds; see docs/platform.md. */
const unownedLimitMs = 5000;

/** Time for which the target leaves orders unanswered, and for which it is deaf to orders after that, in milliseconds. */
const unansweredMs = 900;
const deafMs = 6000;

/** Time from the call of an order until it is carried out, in milliseconds; `fleetbench kinds`, applied_late: "2 to 12 s later". */
const lateMs = 8000;

/** Time in which the hold of a late grant runs out, in milliseconds. */
const holdRunsOutMs = 2500;

/** Time after the takeover at which the leader changes, in milliseconds; the move is finished in the store by then. */
const leaderChangeMs = 300;

/** Time between a grant and the fault, in milliseconds, so that the next grant, 700 ms after it, falls into the middle of the unanswered orders. */
const phaseMs = 250;

/** Interval between checks, in milliseconds. */
const checkIntervalMs = 5;

const lateKey = 0;

type Case = {
	title: string;
	network: string;
	isLeaderStopped: boolean;
};

const cases: Case[] = [
	{title: 'after the takeover', network: '127.54', isLeaderStopped: false},
	{title: 'after the takeover and a change of leader', network: '127.55', isLeaderStopped: true},
];

/** Shuts down the daemon that the store names as leader. */
async function stopLeader({store, daemons}: PlatformDeployment): Promise<void> {
	const {daemon} = JSON.parse(store.get(storeKeys.leader)?.value ?? '{}') as {daemon?: string};
	await daemons[Number(daemon?.split('-')[1])].shutdown();
}

function holderOf(holders: readonly KeyHolder[], key: number): KeyHolder {
	const found = holders.find(holder => holder.isHolding(key));
	if (!found) {
		throw new Error(`no target holds key ${key}`);
	}

	return found;
}

for (const {title, network, isLeaderStopped} of cases) {
	test(`should not leave keys to a target that carries a grant out 8 s late, ${title}`, async t => {
		const events: Array<{event: LogEvent} & LogFields> = [];
		const deployment = new PlatformDeployment({
			network, daemonCount: 3, targetCount: 3, isKeyed: true, workMs: 20,
			log: {
				record(event, fields) {
					events.push({event, ...fields});
				},
			},
			onRun() {
				// Only holds are checked.
			},
		});
		await deployment.start();
		const holders = deployment.targets.map(({holder}) => holder);
		const lateHolder = holderOf(holders, lateKey);
		const {grantCount} = lateHolder;
		while (lateHolder.grantCount === grantCount) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			await delay(checkIntervalMs);
		}

		await delay(phaseMs);
		lateHolder.lateOrders = new LateOrders({
			share: 1, lateness: exactly(lateMs), holdStart: HoldStart.Execution, areProbesLate: true, seed: 1,
		});
		const meter = new HoldMeter();
		const startedAt = performance.now();
		let takenOverAt = Infinity;
		let isLeaderDue = isLeaderStopped;
		for (let now = startedAt; now < startedAt + unansweredMs + lateMs + holdRunsOutMs; now = performance.now()) {
			const passedMs = now - startedAt;
			if (passedMs >= unansweredMs) {
				lateHolder.lateOrders = undefined;
				lateHolder.isUnreachable = passedMs < unansweredMs + deafMs;
			}

			if (holders.some(holder => holder !== lateHolder && holder.isHolding(lateKey))) {
				takenOverAt = Math.min(takenOverAt, now);
			}

			if (isLeaderDue && now >= takenOverAt + leaderChangeMs) {
				isLeaderDue = false;
				void stopLeader(deployment);
			}

			meter.check(holders);
			// eslint-disable-next-line no-await-in-loop -- polling.
			await delay(checkIntervalMs);
		}

		const unheld = unheldKeys(holders);
		const termCount = events.filter(({event}) => event === LogEvent.LeadershipTaken).length;
		await deployment.stop();
		const lastGrant = events.find(({event, target}) => event === LogEvent.HoldRanOut && target === lateHolder.incarnation.id)?.lastGrant;
		t.log(`two holders for ${Math.round(meter.longestOverlapMs)} ms, no holder for ${Math.round(meter.maxGapMs())} ms`);
		t.log(`takeover after ${Math.round(takenOverAt - startedAt)} ms, ${termCount} terms, last grant ${lastGrant}; ${meter.overlaps[0]}`);
		// The target answers orders before it carries out the late grant, so that it can be told of a higher token.
		t.deepEqual(meter.overlaps.slice(0, 3), []);
		t.true(takenOverAt - startedAt < unownedLimitMs, 'the keys of the target were not taken over in time');
		t.is(termCount, isLeaderStopped ? 2 : 1);
		t.deepEqual(unheld, []);
		t.true(meter.maxGapMs() <= unownedLimitMs, `a key had no holder for ${meter.maxGapMs()} ms`);
	});
}
