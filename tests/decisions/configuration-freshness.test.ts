import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {ConfigurationFreshness} from '../../src/decisions/fleet/configuration-freshness.js';
import {currentMoment} from '../../src/decisions/ownership/moment.js';
import {Cancellation} from '../../src/model/cancellation.js';

/** Time in which configurations have to be active, in milliseconds. */
const boundMs = 2000;

type Clock = ReturnType<typeof FakeTimers.install>;

function withFreshness<Result>(run: (freshness: ConfigurationFreshness, clock: Clock) => Result): Result {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
	try {
		return run(new ConfigurationFreshness(boundMs), clock);
	} finally {
		clock.uninstall();
	}
}

type FreshnessCase = {
	title: string;
	isFresh: boolean;
	isOutdated?: boolean;
	run(freshness: ConfigurationFreshness, clock: Clock): void;
};

const freshnessCases: FreshnessCase[] = [
	{
		title: 'not be fresh without evidence', isFresh: false, run(freshness) {
			freshness.recordActiveVersion(1);
		},
	},
	{
		title: 'be fresh until the bound of the next version has passed', isFresh: true, run(freshness, clock) {
			freshness.confirm(currentMoment());
			clock.tick(boundMs);
		},
	},
	{
		title: 'not be fresh after the bound of the next version has passed', isFresh: false, run(freshness, clock) {
			freshness.confirm(currentMoment());
			clock.tick(boundMs + 1);
		},
	},
	{
		title: 'not lose its freshness to older evidence', isFresh: true, run(freshness, clock) {
			const before = currentMoment();
			clock.tick(boundMs);
			freshness.confirm(currentMoment());
			freshness.confirm(before);
			clock.tick(boundMs);
		},
	},
	{
		title: 'not be fresh after a suspension, which the monotonic clock does not count', isFresh: false, run(freshness, clock) {
			freshness.confirm(currentMoment());
			clock.setSystemTime(Date.now() + boundMs + 1);
		},
	},
	{
		title: 'not stay fresh for longer when the time of day is set back', isFresh: false, run(freshness, clock) {
			freshness.confirm(currentMoment());
			clock.setSystemTime(Date.now() - 60_000);
			clock.tick(boundMs + 1);
		},
	},
	{
		title: 'not be fresh while a peer has a newer version', isFresh: false, run(freshness) {
			freshness.confirm(currentMoment());
			freshness.recordActiveVersion(1);
			freshness.recordPeerVersion(2);
		},
	},
	{
		title: 'be fresh again once the newer version of a peer is active', isFresh: true, run(freshness, clock) {
			freshness.confirm(currentMoment());
			freshness.recordPeerVersion(2);
			clock.tick(boundMs / 2);
			freshness.recordActiveVersion(2);
		},
	},
	{
		title: 'be outdated when the newer version of a peer does not arrive', isFresh: false, isOutdated: true, run(freshness, clock) {
			freshness.confirm(currentMoment());
			freshness.recordPeerVersion(2);
			clock.tick((boundMs / 2) + 1);
		},
	},
	{
		title: 'not be outdated while new versions keep arriving', isFresh: false, run(freshness, clock) {
			freshness.confirm(currentMoment());
			for (let version = 2; version < 200; version += 1) {
				freshness.recordPeerVersion(version + 1);
				clock.tick(boundMs / 4);
				freshness.recordActiveVersion(version);
			}
		},
	},
	{
		title: 'not be outdated by a version that the store does not have', isFresh: true, run(freshness, clock) {
			freshness.recordPeerVersion(2);
			clock.tick((boundMs / 2) + 1);
			freshness.confirm(currentMoment());
		},
	},
	{
		title: 'not be confirmed by evidence that is older than a peer\'s report of a newer version', isFresh: false, isOutdated: true, run(freshness, clock) {
			const before = currentMoment();
			clock.tick(1);
			freshness.recordPeerVersion(2);
			clock.tick((boundMs / 2) + 1);
			freshness.confirm(before);
		},
	},
];

for (const {title, isFresh, isOutdated = false, run} of freshnessCases) {
	test.serial(`should ${title}`, t => {
		withFreshness((freshness, clock) => {
			run(freshness, clock);
			t.is(freshness.isFresh, isFresh);
			t.is(freshness.isOutdated, isOutdated);
		});
	});
}

type WaitCase = {
	title: string;
	expected: {isFresh: boolean; afterMs: number};
	run(freshness: ConfigurationFreshness, cancellation: Cancellation): void;
};

const waitCases: WaitCase[] = [
	{
		title: 'as soon as evidence arrives', expected: {isFresh: true, afterMs: 50}, run(freshness) {
			setTimeout(() => {
				freshness.confirm(currentMoment());
			}, 50);
		},
	},
	{
		title: 'at once with evidence', expected: {isFresh: true, afterMs: 0}, run(freshness) {
			freshness.confirm(currentMoment());
		},
	},
	{
		title: 'after the timeout of the wait', expected: {isFresh: false, afterMs: 300}, run(freshness) {
			setTimeout(() => {
				freshness.confirm({monotonic: performance.now() - boundMs - 1, wall: Date.now() - boundMs - 1});
			}, 50);
		},
	},
	{
		title: 'as soon as the request for evidence fails', expected: {isFresh: false, afterMs: 50}, run(freshness) {
			setTimeout(() => {
				freshness.recordFailure();
			}, 50);
		},
	},
	{
		title: 'at once after a request for evidence failed', expected: {isFresh: false, afterMs: 0}, run(freshness) {
			freshness.recordFailure();
		},
	},
	{
		title: 'as soon as the caller leaves', expected: {isFresh: false, afterMs: 50}, run(_freshness, cancellation) {
			setTimeout(() => {
				cancellation.cancel();
			}, 50);
		},
	},
];

for (const {title, expected, run} of waitCases) {
	test.serial(`should end the wait of a request without a route ${title}`, async t => {
		const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
		try {
			const freshness = new ConfigurationFreshness(boundMs);
			const cancellation = new Cancellation();
			run(freshness, cancellation);
			const startedAt = performance.now();
			const evidence = freshness.waitForEvidence(cancellation).then(isFresh => ({isFresh, afterMs: performance.now() - startedAt}));
			await clock.tickAsync(1000);
			t.deepEqual(await evidence, expected);
			t.false(freshness.isEvidenceNeeded);
		} finally {
			clock.uninstall();
		}
	});
}
