import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {ConfigurationCurrency} from '../../src/decisions/fleet/configuration-currency.js';
import {presentMoment} from '../../src/decisions/ownership/clock-watch.js';
import {Cancellation} from '../../src/model/cancellation.js';

/** Bound in which configurations have to be in force, in milliseconds. */
const boundMs = 2000;

type Clock = ReturnType<typeof FakeTimers.install>;

function withCurrency<Result>(play: (currency: ConfigurationCurrency, clock: Clock) => Result): Result {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
	try {
		return play(new ConfigurationCurrency(boundMs), clock);
	} finally {
		clock.uninstall();
	}
}

type CurrencyCase = {
	title: string;
	isCurrent: boolean;
	isOutdated?: boolean;
	play(currency: ConfigurationCurrency, clock: Clock): void;
};

const cases: CurrencyCase[] = [
	{
		title: 'not be current without evidence', isCurrent: false, play(currency) {
			currency.recordActiveVersion(1);
		},
	},
	{
		title: 'be current while the next version has its time', isCurrent: true, play(currency, clock) {
			currency.confirm(presentMoment());
			clock.tick(boundMs);
		},
	},
	{
		title: 'not be current after it', isCurrent: false, play(currency, clock) {
			currency.confirm(presentMoment());
			clock.tick(boundMs + 1);
		},
	},
	{
		title: 'not become older by older evidence', isCurrent: true, play(currency, clock) {
			const before = presentMoment();
			clock.tick(boundMs);
			currency.confirm(presentMoment());
			currency.confirm(before);
			clock.tick(boundMs);
		},
	},
	{
		title: 'not be current after a suspension, which the monotonic clock does not count', isCurrent: false, play(currency, clock) {
			currency.confirm(presentMoment());
			clock.setSystemTime(Date.now() + boundMs + 1);
		},
	},
	{
		title: 'not be current for longer when the time of day is set back', isCurrent: false, play(currency, clock) {
			currency.confirm(presentMoment());
			clock.setSystemTime(Date.now() - 60_000);
			clock.tick(boundMs + 1);
		},
	},
	{
		title: 'not be current while a peer knows a newer version', isCurrent: false, play(currency) {
			currency.confirm(presentMoment());
			currency.recordActiveVersion(1);
			currency.hearVersion(2);
		},
	},
	{
		title: 'be current again with that version', isCurrent: true, play(currency, clock) {
			currency.confirm(presentMoment());
			currency.hearVersion(2);
			clock.tick(boundMs / 2);
			currency.recordActiveVersion(2);
		},
	},
	{
		title: 'be outdated when the version of a peer does not come', isCurrent: false, isOutdated: true, play(currency, clock) {
			currency.confirm(presentMoment());
			currency.hearVersion(2);
			clock.tick((boundMs / 2) + 1);
		},
	},
	{
		title: 'not be outdated while one version after the other comes', isCurrent: false, play(currency, clock) {
			currency.confirm(presentMoment());
			for (let version = 2; version < 200; version += 1) {
				currency.hearVersion(version + 1);
				clock.tick(boundMs / 4);
				currency.recordActiveVersion(version);
			}
		},
	},
	{
		title: 'not be outdated by a version that the store does not hold', isCurrent: true, play(currency, clock) {
			currency.hearVersion(2);
			clock.tick((boundMs / 2) + 1);
			currency.confirm(presentMoment());
		},
	},
	{
		title: 'not take evidence from before a peer\'s word against it', isCurrent: false, isOutdated: true, play(currency, clock) {
			const before = presentMoment();
			clock.tick(1);
			currency.hearVersion(2);
			clock.tick((boundMs / 2) + 1);
			currency.confirm(before);
		},
	},
];

for (const {title, isCurrent, isOutdated = false, play} of cases) {
	test.serial(`a configuration should ${title}`, t => {
		withCurrency((currency, clock) => {
			play(currency, clock);
			t.is(currency.isCurrent, isCurrent);
			t.is(currency.isOutdated, isOutdated);
		});
	});
}

type WaitCase = {
	title: string;
	expected: {isCurrent: boolean; afterMs: number};
	play(currency: ConfigurationCurrency, cancellation: Cancellation): void;
};

const waits: WaitCase[] = [
	{
		title: 'until evidence comes', expected: {isCurrent: true, afterMs: 50}, play(currency) {
			setTimeout(() => {
				currency.confirm(presentMoment());
			}, 50);
		},
	},
	{
		title: 'not at all with evidence', expected: {isCurrent: true, afterMs: 0}, play(currency) {
			currency.confirm(presentMoment());
		},
	},
	{
		title: 'until the time is up', expected: {isCurrent: false, afterMs: 300}, play(currency) {
			setTimeout(() => {
				currency.confirm({monotonic: performance.now() - boundMs - 1, wall: Date.now() - boundMs - 1});
			}, 50);
		},
	},
	{
		title: 'until the question fails', expected: {isCurrent: false, afterMs: 50}, play(currency) {
			setTimeout(() => {
				currency.recordFailure();
			}, 50);
		},
	},
	{
		title: 'not at all after a question failed', expected: {isCurrent: false, afterMs: 0}, play(currency) {
			currency.recordFailure();
		},
	},
	{
		title: 'until the caller leaves', expected: {isCurrent: false, afterMs: 50}, play(_currency, cancellation) {
			setTimeout(() => {
				cancellation.cancel();
			}, 50);
		},
	},
];

for (const {title, expected, play} of waits) {
	test.serial(`a request without a route should wait ${title}`, async t => {
		const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
		try {
			const currency = new ConfigurationCurrency(boundMs);
			const cancellation = new Cancellation();
			play(currency, cancellation);
			const startedAt = performance.now();
			const evidence = currency.evidence(cancellation).then(isCurrent => ({isCurrent, afterMs: performance.now() - startedAt}));
			await clock.tickAsync(1000);
			t.deepEqual(await evidence, expected);
			t.false(currency.isEvidenceNeeded);
		} finally {
			clock.uninstall();
		}
	});
}
