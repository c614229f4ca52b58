import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {LeaderWord, wordReachMs} from '../../src/decisions/fleet/leader-word.js';
import {OwnerFreshness, ownerEvidenceLifetimeMs} from '../../src/decisions/fleet/owner-freshness.js';
import {HoldPolicy, type HoldLimits} from '../../src/decisions/ownership/hold-policy.js';
import {currentMoment, shiftMoment} from '../../src/decisions/ownership/moment.js';
import {Cancellation} from '../../src/model/cancellation.js';
import {createPlatformSettings} from '../../standins/platform-settings.js';

type Clock = ReturnType<typeof FakeTimers.install>;

const settings: HoldLimits = createPlatformSettings({daemon: '', ip: '', storeIp: ''});

async function withClock(run: (clock: Clock) => Promise<void> | void): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
	try {
		await run(clock);
	} finally {
		clock.uninstall();
	}
}

type FreshnessCase = {
	title: string;
	isFresh: boolean;
	run(freshness: OwnerFreshness, clock: Clock): void;
};

const freshnessCases: FreshnessCase[] = [
	{
		title: 'not be fresh without evidence', isFresh: false, run: () => undefined,
	},
	{
		title: 'be fresh to the end of the lifetime', isFresh: true, run(freshness, clock) {
			freshness.confirm(currentMoment());
			clock.tick(ownerEvidenceLifetimeMs);
		},
	},
	{
		title: 'not be fresh after the lifetime', isFresh: false, run(freshness, clock) {
			freshness.confirm(currentMoment());
			clock.tick(ownerEvidenceLifetimeMs + 1);
		},
	},
	{
		title: 'not be fresh after the lifetime, counted from the moment of the evidence and not from its arrival', isFresh: false, run(freshness, clock) {
			freshness.confirm(shiftMoment(currentMoment(), -1500));
			clock.tick(501);
		},
	},
	{
		title: 'not lose the freshness of owners to older evidence', isFresh: true, run(freshness, clock) {
			freshness.confirm(currentMoment());
			clock.tick(ownerEvidenceLifetimeMs);
			freshness.confirm(shiftMoment(currentMoment(), -ownerEvidenceLifetimeMs - 1));
		},
	},
	{
		title: 'be fresh again with newer evidence', isFresh: true, run(freshness, clock) {
			freshness.confirm(currentMoment());
			clock.tick(3 * ownerEvidenceLifetimeMs);
			freshness.confirm(currentMoment());
		},
	},
	{
		title: 'not be fresh after a suspension, which the monotonic clock does not count', isFresh: false, run(freshness, clock) {
			freshness.confirm(currentMoment());
			clock.setSystemTime(Date.now() + ownerEvidenceLifetimeMs + 1);
		},
	},
	{
		title: 'not become fresh by evidence that was requested before a suspension', isFresh: false, run(freshness, clock) {
			const requestedAt = currentMoment();
			clock.setSystemTime(Date.now() + ownerEvidenceLifetimeMs + 1);
			freshness.confirm(requestedAt);
		},
	},
	{
		title: 'not stay fresh for longer when the time of day is set back', isFresh: false, run(freshness, clock) {
			freshness.confirm(currentMoment());
			clock.setSystemTime(Date.now() - 60_000);
			clock.tick(ownerEvidenceLifetimeMs + 1);
		},
	},
];

for (const {title, isFresh, run} of freshnessCases) {
	test.serial(`should ${title}`, async t => {
		await withClock(clock => {
			const freshness = new OwnerFreshness();
			run(freshness, clock);
			t.is(freshness.isFresh, isFresh);
		});
	});
}

type WaitCase = {
	title: string;
	expected: {isFresh: boolean; afterMs: number};
	leftMs?: number;
	run(freshness: OwnerFreshness, cancellation: Cancellation): void;
};

const waitCases: WaitCase[] = [
	{
		title: 'at once with evidence', expected: {isFresh: true, afterMs: 0}, run(freshness) {
			freshness.confirm(currentMoment());
		},
	},
	{
		title: 'as soon as evidence arrives', expected: {isFresh: true, afterMs: 50}, run(freshness) {
			setTimeout(() => {
				freshness.confirm(currentMoment());
			}, 50);
		},
	},
	{
		title: 'after 300 ms, although outdated evidence arrives', expected: {isFresh: false, afterMs: 300}, run(freshness) {
			setTimeout(() => {
				freshness.confirm(shiftMoment(currentMoment(), -ownerEvidenceLifetimeMs - 1));
			}, 50);
		},
	},
	{
		title: 'when the time of the caller ends', expected: {isFresh: false, afterMs: 20}, leftMs: 20, run: () => undefined,
	},
	{
		title: 'as soon as the caller leaves', expected: {isFresh: false, afterMs: 50}, run(_freshness, cancellation) {
			setTimeout(() => {
				cancellation.cancel();
			}, 50);
		},
	},
];

for (const {title, expected, leftMs, run} of waitCases) {
	test.serial(`should end the wait of a request for evidence of owners ${title}`, async t => {
		await withClock(async clock => {
			const freshness = new OwnerFreshness();
			const cancellation = new Cancellation();
			run(freshness, cancellation);
			const startedAt = performance.now();
			const evidence = freshness.waitForEvidence(cancellation, leftMs).then(isFresh => ({isFresh, afterMs: performance.now() - startedAt}));
			await clock.tickAsync(1000);
			t.deepEqual(await evidence, expected);
			t.false(freshness.isEvidenceNeeded);
		});
	});
}

test.serial('should not wait again for evidence of owners within 500 ms of a wait in vain', async t => {
	await withClock(async clock => {
		const freshness = new OwnerFreshness();
		const cancellation = new Cancellation();
		const first = freshness.waitForEvidence(cancellation);
		await clock.tickAsync(300);
		t.false(await first);
		await clock.tickAsync(500);
		t.false(await freshness.waitForEvidence(cancellation));
		await clock.tickAsync(1);
		const second = freshness.waitForEvidence(cancellation);
		t.true(freshness.isEvidenceNeeded);
		freshness.confirm(currentMoment());
		t.true(await second);
	});
});

type WordCase = {
	title: string;
	isFresh: boolean;
	isLeader?: boolean;
	confirmationAgeMs?: number;
	limits?: HoldLimits;
	canRead?: boolean;
};

const wordCases: WordCase[] = [
	{title: 'count while the store confirms the leadership', isFresh: true},
	{title: 'count for 9 s after the store last confirmed the leadership', confirmationAgeMs: 9000, isFresh: true},
	{title: 'not count any longer', confirmationAgeMs: 9001, isFresh: false},
	{title: 'not count if this daemon does not lead', isLeader: false, isFresh: false},
	{title: 'not count before the owners of earlier leaders are read', canRead: false, isFresh: false},
	{
		title: 'count for less time if another leader waits less for holds to expire', limits: {holdLimitMs: 2100, thawSlackMs: 300}, confirmationAgeMs: 1700, isFresh: false,
	},
];

for (const {title, isFresh, isLeader = true, confirmationAgeMs = 0, limits = settings, canRead = true} of wordCases) {
	test.serial(`should let the word of the leader ${title}`, async t => {
		await withClock(async clock => {
			const ownerFreshness = new OwnerFreshness();
			const word = new LeaderWord({
				leadership: {isLeader, termCount: 1, confirmationAgeMs: () => confirmationAgeMs}, ownerFreshness, limits, readOwners: async () => canRead,
			});
			word.tick();
			await clock.tickAsync(20);
			word.tick();
			t.is(ownerFreshness.isFresh, isFresh);
		});
	});
}

test.serial('should let the word of the leader count in a new term only after the owners were read again', async t => {
	await withClock(async clock => {
		const ownerFreshness = new OwnerFreshness();
		const leadership = {isLeader: true, termCount: 1, confirmationAgeMs: () => 0};
		let readCount = 0;
		const word = new LeaderWord({
			leadership, ownerFreshness, limits: settings, async readOwners() {
				readCount += 1;
				return readCount < 2;
			},
		});
		word.tick();
		await clock.tickAsync(20);
		word.tick();
		t.true(ownerFreshness.isFresh);
		leadership.termCount = 2;
		await clock.tickAsync(ownerEvidenceLifetimeMs + 1);
		word.tick();
		await clock.tickAsync(20);
		word.tick();
		t.false(ownerFreshness.isFresh);
		t.is(readCount, 2);
	});
});

test('should end all evidence from the word of a leader before the holds that its successor waits for', t => {
	t.true(wordReachMs < new HoldPolicy(settings).inheritedHold(0).expiresBy);
});
