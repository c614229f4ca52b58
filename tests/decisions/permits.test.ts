import FakeTimers from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {PermitDecision, PermitQueue} from '../../src/decisions/limits/permit-queue.js';
import {allowedCount, silentStatement} from '../../standins/limited-target.js';
import {PermitFleet} from '../../standins/permit-fleet.js';
import {target} from '../../standins/relayed-fleet.js';

/** Time until the first issuers begin, in milliseconds. */
const settleMs = 2000;

/** Step of the load, in milliseconds. */
const stepMs = 5;

const secondMs = 1000;

/** Share of the limit that a target must get over ten seconds if more is asked for. */
const usedShare = 0.6;

type Run = {
	fleet: PermitFleet;
	/** A number from 0 to 999. */
	draw(): number;
	tick(ms: number): Promise<void>;
	/** Sends this many requests a second, at daemons at random. */
	load(durationMs: number, perS: number, onStep?: () => void): Promise<void>;
};

async function withFleet(count: number, seed: number, run: (run: Run) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	const fleet = new PermitFleet(count);
	const generator = xoroshiro128plus(seed);
	const draw = (): number => uniformInt(generator, 0, 999);
	const tick = async (ms: number): Promise<void> => {
		await clock.tickAsync(ms);
	};

	const load = async (durationMs: number, perS: number, onStep?: () => void): Promise<void> => {
		let due = 0;
		for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
			for (due += perS * stepMs / secondMs; due >= 1; due -= 1) {
				void fleet.daemons[draw() % fleet.daemons.length]?.request();
			}

			onStep?.();
			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await tick(stepMs);
		}
	};

	try {
		await tick(settleMs);
		await run({
			fleet, draw, tick, load,
		});
	} finally {
		fleet.close();
		clock.uninstall();
	}
}

function checkLimit(t: ExecutionContext, {limited}: PermitFleet, limitPerS: number, detail = ''): void {
	const count = limited.highestCount();
	t.true(count <= allowedCount(limitPerS), `${count} requests in 4 s at a limit of ${limitPerS} ${detail}`);
}

test.serial('should keep any limit and use most of it, for any number of daemons, load, loss of messages, joins and stops', async t => {
	const cases = fc.record({
		count: fc.integer({min: 1, max: 200}),
		limitPerS: fc.double({min: 0.25, max: 50, noNaN: true}),
		loadFactor: fc.integer({min: 1, max: 8}),
		lossPercent: fc.integer({min: 0, max: 15}),
		changeCount: fc.integer({min: 0, max: 2}),
		seed: fc.integer(),
	});
	await fc.assert(fc.asyncProperty(cases, async ({count, limitPerS, loadFactor, lossPercent, changeCount, seed}) => {
		await withFleet(count, seed, async ({fleet, draw, load}) => {
			const perS = Math.max(10, limitPerS * loadFactor);
			await load(500, perS);
			fleet.limited.limitPerS = limitPerS;
			fleet.setLossRule(() => draw() < lossPercent * 10);
			const namedAt = performance.now();
			const noticeMs = (): number => draw();
			let joined = 0;
			await load(14_000, perS, () => {
				if (draw() === 0 && joined < changeCount) {
					joined += 1;
					fleet.join(`joined-${joined}`, noticeMs);
					const stopped = fleet.daemons[draw() % fleet.daemons.length];
					if (stopped && fleet.daemons.length > 2) {
						fleet.stop(stopped, noticeMs);
					}
				}
			});
			const detail = JSON.stringify({
				count, limitPerS, perS, lossPercent, joined, seed,
			});
			checkLimit(t, fleet, limitPerS, detail);
			const used = fleet.limited.countBetween(namedAt + 4000, namedAt + 14_000);
			t.true(used >= Math.floor(usedShare * Math.min(limitPerS, perS) * 10), `${used} requests in 10 s: ${detail}`);
		});
	}), {numRuns: 20, seed: 25});
});

for (const count of [10, 70, 195]) {
	test.serial(`should follow a limit of ${count} daemons that falls and rises, and its end`, async t => {
		await withFleet(count, 1, async ({fleet, load}) => {
			const {limited} = fleet;
			limited.limitPerS = 40;
			await load(6000, 100);
			limited.limitPerS = 4;
			await load(4000, 100);
			const loweredAt = performance.now();
			await load(6000, 100);
			const afterwards = limited.countBetween(loweredAt, loweredAt + 4000);
			t.true(afterwards <= allowedCount(4), `${afterwards} requests in 4 s after the limit fell`);
			limited.limitPerS = 20;
			await load(3000, 100);
			const raisedAt = performance.now();
			await load(4000, 100);
			const raised = limited.countBetween(raisedAt, raisedAt + 4000);
			t.true(raised >= usedShare * 80 && raised <= allowedCount(20), `${raised} requests in 4 s after the limit rose`);
			limited.limitPerS = undefined;
			await load(3000, 100);
			const endedAt = performance.now();
			await load(1000, 100);
			t.true(limited.countBetween(endedAt, endedAt + 1000) >= 90, 'the limit has ended for all daemons');
		});
	});
}

test.serial('should keep the limit and use it after both issuers stop without notice', async t => {
	await withFleet(70, 1, async ({fleet, load}) => {
		fleet.limited.limitPerS = 5;
		await load(4000, 50);
		for (const daemon of fleet.daemons.toSorted((left, right) => right.permits.issuedCount - left.permits.issuedCount).slice(0, 2)) {
			fleet.stop(daemon, () => 3000);
		}

		await load(5000, 50);
		const resumedAt = performance.now();
		await load(10_000, 50);
		checkLimit(t, fleet, 5);
		t.true(fleet.limited.countBetween(resumedAt, resumedAt + 10_000) >= usedShare * 50);
	});
});

test.serial('should send nothing to a target with a limit while the members are unknown', async t => {
	await withFleet(1, 1, async ({fleet, load}) => {
		const [daemon] = fleet.daemons;
		fleet.limited.limitPerS = 5;
		await load(1000, 20);
		daemon?.removeMember(daemon);
		const cutAt = performance.now();
		await load(2000, 20);
		t.true(fleet.limited.countBetween(cutAt + 200, cutAt + 2000) === 0);
	});
});

test.serial('should not hold a denial against a target whose limit has ended, or against its next incarnation', async t => {
	await withFleet(2, 1, async ({fleet, load}) => {
		fleet.limited.limitPerS = 0.25;
		await load(2000, 20);
		const {permits, statements} = fleet.daemons[0];
		const limited = target('a');
		t.true(permits.deniedMs(limited, 1) > 0);
		t.is(permits.deniedMs({...limited, bornAt: 2}, 1), 0);
		statements.record(limited, silentStatement, performance.now());
		t.is(permits.deniedMs(limited, 1), 0);
	});
});

const request = {daemon: 'daemon', number: 1, waitMs: 200};

test('should give the turn to the request that matters most, and deny at once what it displaces', t => {
	const queue = new PermitQueue(5, 0);
	const first = queue.add({...request, number: 1, priority: 2}, 100);
	t.deepEqual(first.map(({decision}) => decision), [PermitDecision.Queued]);
	const second = queue.add({...request, number: 2, priority: 0}, 110);
	t.deepEqual(second.map(({request: {number}, decision}) => [number, decision]), [[2, PermitDecision.Queued], [1, PermitDecision.Denied]]);
	t.deepEqual(queue.advance(190), []);
	t.deepEqual(queue.advance(200).map(({request: {number}, decision}) => [number, decision]), [[2, PermitDecision.Granted]]);
});

test('should deny at once a request whose turn comes too late, with the time of its turn', t => {
	const queue = new PermitQueue(2, 0);
	t.deepEqual(queue.add({...request, priority: 0}, 100).map(({decision, turnMs}) => [decision, turnMs]), [[PermitDecision.Denied, 400]]);
});

test('should repeat a grant whose answer was lost, without another permit', t => {
	const queue = new PermitQueue(5, 0);
	const granted = queue.add({...request, priority: 0}, 300);
	t.deepEqual(queue.add({...request, priority: 0}, 380), granted);
	t.deepEqual(queue.add({
		...request, number: 2, waitMs: 0, priority: 0,
	}, 380).map(({decision}) => decision), [PermitDecision.Denied]);
});
