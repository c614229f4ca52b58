import test from 'ava';
import {ConfigurationFreshness} from '../../src/decisions/fleet/configuration-freshness.js';
import {FleetSync} from '../../src/decisions/fleet/fleet-sync.js';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {Forwarder} from '../../src/decisions/forwarding/forwarder.js';
import {TargetLoads} from '../../src/decisions/forwarding/target-loads.js';
import {currentMoment} from '../../src/decisions/ownership/moment.js';
import {HistoryLostError} from '../../src/model/errors.js';
import {TargetState} from '../../src/model/fleet.js';
import {AttemptEnd, OutcomeKind} from '../../src/model/forwarding.js';
import {decodeConfiguration} from '../../src/platform/documents.js';
import {PlatformTargetProtocol} from '../../src/platform/target-protocol.js';
import {AnswerKind} from '../../src/transport/target-exchange.js';
import {createLonePermits} from '../../standins/lone-permits.js';
import {callerRequest} from '../../standins/caller-request.js';
import {MemoryCoordinationStore, StoreFault} from '../../standins/memory-coordination-store.js';
import {
	configurationDocument, documents, initialListing, ScriptedStore, withPausedClock,
} from '../../standins/scripted-store.js';
import {RelayedFleet} from '../../standins/relayed-fleet.js';

const quiet = {record: () => undefined};

test.serial('should request watches of whole milliseconds whatever the bound', async t => {
	await withPausedClock(async clock => {
		const store = new ScriptedStore(initialListing);
		const sync = new FleetSync(store, new FleetView(new ConfigurationFreshness(2501)), documents, {log: quiet});
		void sync.run();
		await clock.tickAsync(10);
		sync.stop();
		t.true(store.watchWaitsMs.length > 0 && store.watchWaitsMs.every(wait => Number.isInteger(wait)));
	});
});

test.serial('should count each missing version from its own report, not from the report of an earlier version', async t => {
	await withPausedClock(async clock => {
		const freshness = new ConfigurationFreshness(2000);
		freshness.recordActiveVersion(1);
		freshness.recordPeerVersion(2);
		await clock.tickAsync(900);
		freshness.recordPeerVersion(3);
		freshness.recordActiveVersion(2);
		await clock.tickAsync(200);
		t.false(freshness.isOutdated);
	});
});

test.serial('should not treat a malformed version as decoded after a late read of an older version', async t => {
	await withPausedClock(async clock => {
		const store = new ScriptedStore(initialListing);
		const view = new FleetView(new ConfigurationFreshness(2000));
		const sync = new FleetSync(store, view, documents, {log: quiet});
		void sync.run();
		await clock.tickAsync(10);
		void sync.refresh('configuration');
		// The watch returns a version that cannot be decoded. Then the answer to the read arrives, which the store gave before it.
		store.watchResolvers.at(-1)?.({changes: [{key: 'configuration', value: '{"version":"2.0","resources":[]}', revision: 6}], revision: 6});
		await clock.tickAsync(50);
		store.readResolvers.at(-1)?.(initialListing.items[0]);
		await clock.tickAsync(1000);
		for (let round = 0; round < 5; round += 1) {
			// eslint-disable-next-line no-await-in-loop -- one watch after another.
			await clock.tickAsync(1001);
			store.watchResolvers.at(-1)?.({changes: [], revision: 6});
		}

		await clock.tickAsync(10);
		sync.stop();
		t.false(view.freshness.isFresh, `age ${view.freshness.roundedAgeMs}`);
	});
});

test.serial('should detect that the store does not have the revision that a peer sent', async t => {
	await withPausedClock(async clock => {
		const fleet = new RelayedFleet();
		fleet.store.put('targets/a', '');
		fleet.putConfiguration(1, ['/old/']);
		await clock.tickAsync(6000);
		for (const {exchange, view} of fleet.daemons) {
			exchange.receive({
				daemon: 'stranger', availabilityZone: 'far', revision: view.revision, assignments: {}, isStoreReachable: true,
				update: {after: 0, changes: [], revision: view.revision + 500_000},
			});
		}

		await clock.tickAsync(3000);
		fleet.putConfiguration(2, ['/old/', '/new/']);
		await clock.tickAsync(10_000);
		const outcomes = fleet.daemons.map(async ({forwarder}) => forwarder.forward(callerRequest('/new/a')));
		await clock.tickAsync(1000);
		const answers = await Promise.all(outcomes);
		const kinds = answers.map(({kind}) => kind);
		const versions = fleet.daemons.map(({view}) => view.configuration?.version);
		fleet.close();
		t.deepEqual(kinds, kinds.map(() => OutcomeKind.Answered), `${kinds.join(',')}; versions ${versions.join(',')}`);
	});
});

test.serial('should serve during a store outage whatever version a single message names', async t => {
	await withPausedClock(async clock => {
		const fleet = new RelayedFleet();
		fleet.store.put('targets/a', '');
		fleet.putConfiguration(1, ['/old/']);
		await clock.tickAsync(6000);
		fleet.store.fault = StoreFault.Down;
		for (const {exchange, view} of fleet.daemons) {
			exchange.receive({
				daemon: 'stranger', availabilityZone: 'far', revision: view.revision, assignments: {}, isStoreReachable: true, configurationVersion: view.configuration!.version + 1000,
			});
		}

		await clock.tickAsync(3000);
		const outcomes = fleet.daemons.map(async ({forwarder}) => forwarder.forward(callerRequest('/old/a')));
		await clock.tickAsync(1000);
		const answers = await Promise.all(outcomes);
		const kinds = answers.map(({kind}) => kind);
		fleet.close();
		t.deepEqual(kinds, kinds.map(() => OutcomeKind.Answered));
	});
});

test.serial('should count evidence from the start of a watch if its empty answer ended early and was delivered late', async t => {
	await withPausedClock(async clock => {
		const store = new ScriptedStore(initialListing);
		const view = new FleetView(new ConfigurationFreshness(2000));
		const sync = new FleetSync(store, view, documents, {log: quiet});
		void sync.run();
		await clock.tickAsync(10);
		// The store ended the watch without events after 100 ms, version 2 was written after 150 ms, and the answer waited in a queue.
		await clock.tickAsync(1300);
		store.watchResolvers.at(-1)?.({changes: [], revision: 5});
		await clock.tickAsync(1400);
		sync.stop();
		// Version 2 is older than 2000 ms by now.
		t.false(view.freshness.isFresh, `age ${view.freshness.roundedAgeMs}`);
	});
});

test('should report unknown routes when the host of a known route becomes unreadable', t => {
	const earlier = decodeConfiguration(configurationDocument(1, ['/a/']));
	const moved = {
		resourceType: 'routes', metadata: {name: '/a/'}, spec: {
			host: ['host', 'other'], prefix: '/a/', kind: 'safe', service: 'service', timeoutMs: 1000, targetLatencyMs: 300, priority: 1, maxAttempts: 1,
		},
	};
	t.true(decodeConfiguration(JSON.stringify({version: 2, resources: [moved]}), earlier).hasUnknownRoutes);
});

test('should report unknown limits when a part that may hold them has no readable type', t => {
	const earlier = decodeConfiguration(configurationDocument(1, ['/a/']));
	t.true(decodeConfiguration(JSON.stringify({version: 2, resources: [{resourceType: 7, metadata: {}, spec: {maxBodyBytes: 5}}]}), earlier).hasUnknownLimits);
});

test('should forward no 3xx or 4xx answer without a seal', t => {
	const answerKind = new PlatformTargetProtocol().classify(callerRequest('/a'), {isIdempotent: true}, 404, {'attempt-id': 'request-1'});
	t.not(answerKind, AnswerKind.Answer);
});

test.serial('should not use a target again that was removed long before a store outage', async t => {
	await withPausedClock(async clock => {
		const store = new MemoryCoordinationStore();
		const view = new FleetView();
		const client = store.createClient();
		const sync = new FleetSync(client, view, documents, {log: quiet});
		store.put('servers/a', JSON.stringify({
			service: 'one', address: '10.0.0.1:80', zone: 'zone', version: 'v1', slots: 3, state: 'ready', warmupLeftMs: 0, sequence: 1, born: 1,
		}));
		void sync.run();
		await clock.tickAsync(4000);
		store.delete('servers/a');
		await clock.tickAsync(9000);
		t.deepEqual(view.readyTargets('one'), []);
		// One watch fails.
		client.isDisconnected = true;
		await clock.tickAsync(1100);
		client.isDisconnected = false;
		await clock.tickAsync(1000);
		const ids = view.readyTargets('one').map(({id}) => id);
		sync.stop();
		t.deepEqual(ids, []);
	});
});

test.serial('should not get a new retry budget each time a member joins or leaves', async t => {
	await withPausedClock(async clock => {
		const view = new FleetView(new ConfigurationFreshness(2000));
		view.applyConfiguration(decodeConfiguration(configurationDocument(1, ['/a/']).replaceAll('"maxAttempts":1', '"maxAttempts":2')));
		for (let index = 0; index < 3; index += 1) {
			view.applyTarget({
				id: `t${index}`, service: 'service', address: `10.0.0.${index}:80`, availabilityZone: 'zone', softwareVersion: 'v', slots: 3, state: TargetState.Ready, warmUpLeftMs: 0, bornAt: 1,
			});
		}

		let attempts = 0;
		const forwarder = new Forwarder({
			availabilityZone: 'zone', view, loads: new TargetLoads(), log: quiet, retryRatio: 0, retryReserve: 60, random: () => 0.5, recordKey: () => undefined,
			...createLonePermits({record: () => undefined}),
			transport: {
				async send() {
					attempts += 1;
					return {end: AttemptEnd.Answered, answer: {status: 500, headers: {}}, body: new Uint8Array()};
				},
			},
		});
		let requests = 0;
		for (let round = 0; round < 40; round += 1) {
			// The lease of one other daemon expires and is renewed in turn.
			view.members.clear();
			for (let member = 0; member < 6 - (round % 2); member += 1) {
				view.members.set(`m${member}`, {
					daemon: `m${member}`, availabilityZone: 'zone', ip: '127.0.0.1', port: 1, room: 1,
				});
			}

			for (let request = 0; request < 20; request += 1) {
				requests += 1;
				void forwarder.forward(callerRequest('/a/x'));
			}

			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await clock.tickAsync(5);
		}

		t.true(attempts - requests <= 60, `${attempts - requests} retries of one daemon, while all daemons together may make 60`);
	});
});

test.serial('should not keep reading the store for evidence while the newest configuration is malformed', async t => {
	await withPausedClock(async clock => {
		const fleet = new RelayedFleet();
		fleet.store.put('targets/a', '');
		fleet.putConfiguration(1, ['/old/']);
		await clock.tickAsync(6000);
		fleet.store.put('configuration', '{"version":"2.0","resources":[]}');
		await clock.tickAsync(3000);
		const reads = fleet.daemons.map(daemon => daemon.readCount);
		const waits: number[] = [];
		for (let request = 0; request < 100; request += 1) {
			for (const {forwarder} of fleet.daemons) {
				const startedAt = performance.now();
				void forwarder.forward(callerRequest('/nowhere/a')).then(() => {
					waits.push(performance.now() - startedAt);
				});
			}

			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await clock.tickAsync(100);
		}

		fleet.close();
		t.true(fleet.daemons.every((daemon, index) => daemon.readCount <= (reads[index] ?? 0) + 1));
	});
});

test.serial('should keep serving through a store outage that begins right after a large configuration', async t => {
	await withPausedClock(async clock => {
		const fleet = new RelayedFleet();
		fleet.store.put('targets/a', '');
		fleet.putConfiguration(1, ['/old/']);
		await clock.tickAsync(6000);
		const many = Array.from({length: 250}, (_value, index) => `/route-${index}/`);
		fleet.putConfiguration(2, ['/old/', ...many]);
		await clock.tickAsync(400);
		fleet.store.fault = StoreFault.Down;
		await clock.tickAsync(3000);
		const outcomes = fleet.daemons.map(async ({forwarder}) => forwarder.forward(callerRequest('/old/a')));
		await clock.tickAsync(1000);
		const answers = await Promise.all(outcomes);
		const kinds = answers.map(({kind}) => kind);
		fleet.close();
		t.deepEqual(kinds, kinds.map(() => OutcomeKind.Answered));
	});
});

test.serial('should not be outdated at once when the time of day steps forward', async t => {
	await withPausedClock(async clock => {
		const freshness = new ConfigurationFreshness(2000);
		freshness.recordActiveVersion(1);
		freshness.confirm(currentMoment());
		freshness.recordPeerVersion(2);
		clock.setSystemTime(Date.now() + 5000);
		await clock.tickAsync(50);
		t.false(freshness.isOutdated);
	});
});

test('should report a fault when it cannot decode whether a service is keyed', t => {
	const document = JSON.stringify({version: 2, resources: [{resourceType: 'services', metadata: {name: 's'}, spec: {healthPath: '/h', maxConnections: 9, sharded: {by: 'key'}}}]});
	t.not(decodeConfiguration(document).faults.length, 0);
});

test.serial('should have no evidence while a newer configuration that was omitted as too large has yet to be read', async t => {
	await withPausedClock(async clock => {
		const store = new ScriptedStore(initialListing);
		const view = new FleetView(new ConfigurationFreshness(2000));
		const sync = new FleetSync(store, view, documents, {log: quiet});
		void sync.run();
		await clock.tickAsync(10);
		sync.applyPeerUpdate({after: 5, changes: [{key: 'configuration', revision: 6, isOmitted: true}], revision: 6});
		for (let round = 0; round < 3; round += 1) {
			// eslint-disable-next-line no-await-in-loop -- one watch after another.
			await clock.tickAsync(1001);
			store.watchResolvers.at(-1)?.({changes: [], revision: 6});
		}

		await clock.tickAsync(10);
		t.false(view.freshness.isFresh);
		store.readResolvers.at(-1)?.({key: 'configuration', value: configurationDocument(2, ['/new/']), revision: 6});
		await clock.tickAsync(10);
		sync.stop();
		t.is(view.configuration?.version, 2);
		t.is(store.readResolvers.length, 1);
	});
});

test.serial('should count the evidence of a peer from the request, less the age that the peer reports', async t => {
	await withPausedClock(async clock => {
		const fleet = new RelayedFleet();
		fleet.store.put('targets/a', '');
		fleet.putConfiguration(1, ['/old/']);
		await clock.tickAsync(6000);
		const {view, exchange} = fleet.daemon('two-2');
		const watcher = fleet.daemon('two-1');
		exchange.requestEvidence();
		// The answer waits in a socket.
		fleet.setDeliveryDelays(() => [500]);
		await clock.tickAsync(1);
		const ageAtAnswerMs = watcher.view.freshness.ageMs;
		await clock.tickAsync(500);
		t.true(view.freshness.ageMs >= ageAtAnswerMs + 500);
		t.true(view.freshness.ageMs <= ageAtAnswerMs + 503);
		fleet.close();
	});
});

test.serial('should not treat a read without a result as evidence that the active configuration is the newest', async t => {
	await withPausedClock(async clock => {
		const store = new ScriptedStore(initialListing);
		const view = new FleetView(new ConfigurationFreshness(2000));
		const sync = new FleetSync(store, view, documents, {log: quiet});
		void sync.run();
		await clock.tickAsync(2500);
		void view.freshness.waitForEvidence(callerRequest('/a').cancellation);
		sync.tick();
		store.readResolvers.at(-1)?.(undefined);
		await clock.tickAsync(10);
		sync.stop();
		t.is(store.readResolvers.length, 1);
		t.false(view.freshness.isFresh);
	});
});

test.serial('should stop interrupting watches after a single message with a wrong revision', async t => {
	await withPausedClock(async clock => {
		const fleet = new RelayedFleet();
		fleet.store.put('targets/a', '');
		fleet.putConfiguration(1, ['/old/']);
		await clock.tickAsync(6000);
		for (const {exchange, view} of fleet.daemons) {
			exchange.receive({
				daemon: 'stranger', availabilityZone: 'far', revision: view.revision + 900_000, assignments: {}, isStoreReachable: true,
			});
		}

		await clock.tickAsync(10_000);
		const watches = fleet.daemons.reduce((sum, daemon) => sum + daemon.watchCount, 0);
		await clock.tickAsync(10_000);
		fleet.close();
		// Two availability zones need 20 in normal operation.
		t.true(fleet.daemons.reduce((sum, daemon) => sum + daemon.watchCount, -watches) <= 30);
	});
});

test.serial('should not serve a removed route for seconds after the bound when watches hang while reads are answered', async t => {
	await withPausedClock(async clock => {
		const fleet = new RelayedFleet();
		fleet.store.put('targets/a', '');
		fleet.putConfiguration(1, ['/old/']);
		await clock.tickAsync(6000);
		for (const {client} of fleet.daemons) {
			client.isWatchSilent = true;
		}

		await clock.tickAsync(1200);
		fleet.putConfiguration(2, ['/new/']);
		await clock.tickAsync(6000);
		const outcomes = fleet.daemons.map(async ({forwarder}) => forwarder.forward(callerRequest('/old/a')));
		await clock.tickAsync(1000);
		const answers = await Promise.all(outcomes);
		fleet.close();
		t.is(answers.filter(({kind}) => kind === OutcomeKind.Answered).length, 0);
	});
});

test.serial('should apply everything that a listing contains, although a peer sent a revision that the store does not have', async t => {
	await withPausedClock(async clock => {
		const store = new ScriptedStore(initialListing);
		const view = new FleetView(new ConfigurationFreshness(2000));
		const sync = new FleetSync(store, view, documents, {log: quiet});
		void sync.run();
		await clock.tickAsync(10);
		sync.applyPeerUpdate({after: 0, changes: [], revision: 500_000});
		store.list = async () => ({items: [{key: 'configuration', value: configurationDocument(2, ['/old/', '/new/']), revision: 6}], revision: 6});
		const pending = store.watchResolvers.at(-1);
		const watch = store.watch.bind(store);
		store.watch = async (...parameters) => {
			store.watch = watch;
			throw new HistoryLostError(parameters[1]);
		};

		pending?.({changes: [], revision: 5});
		await clock.tickAsync(1000);
		sync.stop();
		t.is(view.configuration?.version, 2);
	});
});
