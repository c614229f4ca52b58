import test from 'ava';
import {
	createSchedule, FaultKind, type ScheduleOptions,
} from '../../soak/schedule.js';

/** The delay of links is not from the pages. */
const options: ScheduleOptions = {
	seed: 1, durationMs: 60_000, daemonCount: 3, targetCount: 6, delayLimitMs: 1500, restoresStore: true, refusesRuns: true,
};
/** Bounds by the pages: `fleetbench kinds`, applied_late (share and lateness) and platform_lost, late. */
const pageBounds = {orderShare: [0.5, 0.7], orderLatenessMs: [2000, 12_000], writeLatenessMs: [1000, 6000]};

function isWithin(value: number, [least, largest]: number[]): boolean {
	return value >= least && value <= largest;
}

const seeds = Array.from({length: 30}, (_, index) => index + 1);

test('should decide the same steps for the same seed, and others for another', t => {
	t.deepEqual(createSchedule(options), createSchedule(options));
	t.notDeepEqual(createSchedule(options), createSchedule({...options, seed: 2}));
});

test('should play every kind of fault within a few seeds', t => {
	const kinds = new Set(seeds.flatMap(seed => createSchedule({...options, seed})).map(({kind}) => kind));
	t.deepEqual(Object.values(FaultKind).filter(kind => !kinds.has(kind)), []);
});

test('should stay within the bounds of the deployment and the schedule', t => {
	for (const seed of seeds) {
		const steps = createSchedule({...options, seed});
		t.true(steps.every(({daemon}) => typeof daemon === 'string' || (daemon >= 0 && daemon < options.daemonCount)));
		t.true(steps.every(({target}) => target === undefined || (target >= 0 && target < options.targetCount)));
		t.true(steps.every(({kind, amount}) => kind !== FaultKind.LinkDelay || amount <= options.delayLimitMs));
		t.true(steps.every(({kind, amount}) => kind !== FaultKind.StoreWritesLate || isWithin(amount, pageBounds.writeLatenessMs)));
		t.true(steps.every(({lateOrders: {share, lateness}}) => isWithin(share, pageBounds.orderShare) && Object.values(lateness).every(bound => isWithin(bound, pageBounds.orderLatenessMs))));
		t.true(steps.every(({atMs, durationMs}) => atMs >= 0 && durationMs > 0 && atMs + durationMs <= options.durationMs));
		t.deepEqual(steps.map(({atMs}) => atMs), steps.map(({atMs}) => atMs).toSorted((left, right) => left - right));
	}
});

test('should overlap faults and repeat signals', t => {
	const steps = seeds.flatMap(seed => createSchedule({...options, seed}));
	t.true(steps.some(({atMs, durationMs}, index) => (steps[index + 1]?.atMs ?? 0) > atMs && (steps[index + 1]?.atMs ?? 0) < atMs + durationMs));
	t.true(steps.some(({signals}) => signals.length > 1));
	t.true(steps.some(({earlySignals}) => earlySignals.length > 1));
});
