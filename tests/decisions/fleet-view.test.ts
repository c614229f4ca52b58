import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {FleetSync} from '../../src/decisions/fleet/fleet-sync.js';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {RouteIndex} from '../../src/decisions/routing/route-index.js';
import {LogEvent} from '../../src/model/events.js';
import {TargetState, type Target} from '../../src/model/fleet.js';
import type {Route, RouteConfiguration} from '../../src/model/route-configuration.js';
import {decodeEvacuation, decodeTarget} from '../../src/platform/documents.js';
import {MemoryCoordinationStore, StoreFault} from '../../standins/memory-coordination-store.js';
import {target as createTarget} from '../../standins/relayed-fleet.js';

function route(name: string, prefix: string, shares = [{service: 'one', weight: 1}]): Route {
	return {
		name, host: 'host', prefix, shares, isIdempotent: true, timeoutMs: 1, targetLatencyMs: 1, priority: 1, maxAttempts: 1,
	};
}

function configurationOf(version: number, routes: Route[] = []): RouteConfiguration {
	const rule = (name: string) => ({
		name, healthPath: '/health', maxConnections: 1, isKeyed: false, keyWarmUpMs: 0,
	});
	return {
		version,
		routes,
		services: new Map([['one', rule('one')], ['two', rule('two')]]),
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		hasUnknownRoutes: false,
		hasUnknownLimits: false,
		faults: [],
	};
}

function entryOf(state: string, born = 1): string {
	return JSON.stringify({
		service: 'one', address: '10.0.0.1:80', zone: 'zone', version: 'v1', slots: 3, state, warmupLeftMs: 0, sequence: 1, born,
	});
}

test('should keep the warm-up times of targets whose entry expired, because they may still be used', t => {
	const view = new FleetView();
	view.applyTarget({...createTarget('listed'), warmUpLeftMs: 1000}, 0);
	view.applyTarget({...createTarget('reported'), warmUpLeftMs: 0}, 0);
	view.extendWarmUp('reported', 2000, 0);
	view.removeTarget('listed', 100);
	view.removeTarget('reported', 100);
	t.is(view.warmUpLeft('listed', 200), 800);
	t.is(view.warmUpLeft('reported', 200), 1800);
	t.true(view.extendWarmUp('listed', 3000, 1500), 'a report counts after the entry expired');
	t.is(view.warmUpLeft('listed', 1500), 3000);
	view.prune(10_000_000);
	t.is(view.warmUpLeft('listed', 1500), 0);
});

test('should take the route with the longest prefix', t => {
	const index = new RouteIndex(configurationOf(1, [route('short', '/a/'), route('long', '/a/b/')]));
	t.is(index.routeOf('HOST:80', '/a/b/c')?.name, 'long');
	t.is(index.routeOf('host', '/a/c')?.name, 'short');
	t.is(index.routeOf('host', '/a'), undefined);
	t.is(index.routeOf('other', '/a/c'), undefined);
});

test('should distribute requests by weight over any span', t => {
	const index = new RouteIndex(configurationOf(1, [route('split', '/a/', [{service: 'one', weight: 90}, {service: 'two', weight: 10}])]));
	const services = Array.from({length: 100}, () => index.nextService('host', '/a/x')?.name);
	t.is(services.filter(name => name === 'two').length, 10);
	t.is(services.slice(0, 50).filter(name => name === 'two').length, 5);
});

test('should never go back to an older configuration', t => {
	const view = new FleetView();
	t.true(view.applyConfiguration(configurationOf(5)));
	t.false(view.applyConfiguration(configurationOf(3)));
	t.is(view.configuration?.version, 5);
});

type Setup = {
	store: MemoryCoordinationStore;
	view: FleetView;
	events: LogEvent[];
	tick(ms: number): Promise<unknown>;
};

async function withSync(run: (setup: Setup) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
	const store = new MemoryCoordinationStore();
	const view = new FleetView();
	const events: LogEvent[] = [];
	const sync = new FleetSync(store.createClient(), view, {
		configurationKey: 'op/config',
		targetsPrefix: 'servers/',
		evacuationsPrefix: 'op/evacuate/',
		decodeConfiguration: text => configurationOf(Number(text)),
		decodeTarget,
		decodeEvacuation,
	}, {
		log: {
			record(event) {
				events.push(event);
			},
		},
	});
	try {
		void sync.run();
		await run({
			store, view, events, tick: async ms => clock.tickAsync(ms),
		});
	} finally {
		sync.stop();
		clock.uninstall();
	}
}

type EvidenceCase = {
	title: string;
	/** Age of the evidence in milliseconds, where a call to the store takes 4 and a watch waits 1000; undefined without evidence. */
	ageMs: number | undefined;
	run(setup: Setup): Promise<void>;
};

const evidenceCases: EvidenceCase[] = [
	{
		title: 'count the age of the evidence from the request that a listing answered',
		async run({store, tick}) {
			store.put('op/config', '1');
			await tick(20);
		},
		ageMs: 20,
	},
	{
		title: 'count the age of the evidence from the end of a watch without changes',
		async run({store, tick}) {
			store.put('op/config', '1');
			await tick(3050);
		},
		ageMs: 38,
	},
	{
		title: 'count the age of the evidence from the start of a watch that a change ended',
		async run({store, tick}) {
			store.put('op/config', '1');
			await tick(1000);
			store.put('servers/a', entryOf('ready'));
			await tick(10);
		},
		ageMs: 1006,
	},
	{
		title: 'let the evidence age while the store is down',
		async run({store, tick}) {
			store.put('op/config', '1');
			await tick(3050);
			store.fault = StoreFault.Down;
			await tick(5000);
		},
		ageMs: 5038,
	},
	{
		title: 'have no evidence without a configuration',
		async run({tick}) {
			await tick(100);
		},
		ageMs: undefined,
	},
];

for (const {title, run, ageMs} of evidenceCases) {
	test.serial(`should ${title}`, async t => {
		await withSync(async setup => {
			await run(setup);
			t.is(setup.view.freshness.roundedAgeMs, ageMs);
		});
	});
}

const ids = (targets: Target[]): string[] => targets.map(({id}) => id);

test.serial('should follow targets that are added, drain and are removed', async t => {
	await withSync(async ({store, view, tick}) => {
		store.put('servers/a', entryOf('ready'));
		await tick(100);
		t.deepEqual(ids(view.readyTargets('one')), ['a']);
		store.put('servers/a', entryOf('draining'));
		await tick(500);
		t.deepEqual(ids(view.readyTargets('one')), []);
		t.is(view.listedTarget('a')?.state, TargetState.Draining);
		store.delete('servers/a');
		await tick(500);
		t.is(view.listedTarget('a'), undefined);
	});
});

test.serial('should remove a target whose entry cannot be decoded and log this once', async t => {
	await withSync(async ({store, view, events, tick}) => {
		store.put('servers/a', entryOf('ready'));
		store.put('servers/b', entryOf('ready'));
		await tick(2500);
		store.put('servers/a', '{"state": "asleep"}');
		await tick(500);
		store.put('servers/a', '{"state": "asleep again"}');
		await tick(500);
		t.deepEqual(ids(view.readyTargets('one')), ['b']);
		t.is(events.filter(event => event === LogEvent.DocumentRejected).length, 1);
	});
});

test.serial('should list everything again when the history is lost', async t => {
	await withSync(async ({store, view, tick}) => {
		store.put('op/config', '1');
		store.put('servers/a', entryOf('ready'));
		await tick(2500);
		store.put('op/config', '2');
		store.delete('servers/a');
		store.put('servers/b', entryOf('ready'));
		store.compact();
		await tick(2500);
		t.is(view.configuration?.version, 2);
		t.deepEqual(ids(view.readyTargets('one')), ['b']);
	});
});

test.serial('should keep using targets whose entries expired during a store outage, until they had time to return', async t => {
	await withSync(async ({store, view, tick}) => {
		store.put('servers/a', entryOf('ready'));
		await tick(3000);
		store.fault = StoreFault.Down;
		store.delete('servers/a');
		await tick(9000);
		store.fault = StoreFault.None;
		await tick(800);
		t.deepEqual(ids(view.readyTargets('one')), ['a']);
		await tick(3000);
		t.deepEqual(ids(view.readyTargets('one')), []);
	});
});

test.serial('should stop using a target at once whose entry is removed in normal operation', async t => {
	await withSync(async ({store, view, tick}) => {
		store.put('servers/a', entryOf('ready'));
		await tick(4000);
		store.delete('servers/a');
		await tick(400);
		t.deepEqual(ids(view.readyTargets('one')), []);
	});
});
