import test from 'ava';
import {EvacuationLog} from '../../src/decisions/fleet/evacuation-log.js';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {ViewWriter} from '../../src/decisions/fleet/view-writer.js';
import {LogEvent, type LogFields} from '../../src/model/events.js';
import {AttemptEnd, OutcomeKind, OutcomeReason} from '../../src/model/forwarding.js';
import {callerRequest} from '../../standins/caller-request.js';
import {sizes, withLimitedTarget, type LimitedRun} from '../../standins/limited-fleet.js';
import {
	success, target, type RelayedDaemon, type RelayedFleet,
} from '../../standins/relayed-fleet.js';
import {documents} from '../../standins/scripted-store.js';

/** Time within which no daemon may send to the zone any more, in milliseconds; less than a third of the bound of the users. */
const quickMs = 1500;

const evacuationKey = `${documents.evacuationsPrefix}one`;

/** Puts each target into a zone of its own; the first one stays in zone one. */
function placeTargets({fleet}: LimitedRun, zones: readonly string[]): void {
	for (const [index, zone] of zones.entries()) {
		const id = String.fromCodePoint(97 + index);
		fleet.targetZones.set(id, zone);
		fleet.store.put(`targets/${id}`, 'placed');
	}
}

function daemonsOf(fleet: RelayedFleet, zone: string): RelayedDaemon[] {
	return fleet.daemons.filter(({member}) => member.availabilityZone === zone);
}

function disconnect(daemons: readonly RelayedDaemon[], isDisconnected: boolean): void {
	for (const {client} of daemons) {
		client.isDisconnected = isDisconnected;
	}
}

type Disturbance = {
	title: string;
	/** Time before the evacuation at which it starts, in milliseconds. */
	leadMs: number;
	start(fleet: RelayedFleet): void;
	end(fleet: RelayedFleet): void;
};

const disturbances: Disturbance[] = [
	{
		title: 'nothing else happens', leadMs: 0, start: () => undefined, end: () => undefined,
	},
	{
		title: 'the daemon that watches for a zone loses the store',
		leadMs: 100,
		start(fleet) {
			disconnect(fleet.daemons.filter(({member: {daemon}}) => daemon.endsWith('-1')), true);
		},
		end(fleet) {
			disconnect(fleet.daemons, false);
		},
	},
	{
		title: 'a whole zone of daemons is cut off from the store but not from its peers',
		leadMs: 1500,
		start(fleet) {
			disconnect(daemonsOf(fleet, 'two'), true);
		},
		end(fleet) {
			disconnect(fleet.daemons, false);
		},
	},
	{
		title: 'the watches of a whole zone of daemons bring no answer',
		leadMs: 2500,
		start(fleet) {
			for (const {client} of daemonsOf(fleet, 'two')) {
				client.isWatchSilent = true;
			}
		},
		end(fleet) {
			for (const {client} of fleet.daemons) {
				client.isWatchSilent = false;
			}
		},
	},
	{
		title: 'a daemon is cut off from its peers but not from the store',
		leadMs: 50,
		start(fleet) {
			fleet.isolated.add('two-2');
		},
		end(fleet) {
			fleet.isolated.clear();
		},
	},
	{
		title: 'the store becomes unavailable soon after it acknowledged the key',
		leadMs: -400,
		start(fleet) {
			disconnect(fleet.daemons, true);
		},
		end(fleet) {
			disconnect(fleet.daemons, false);
		},
	},
];

const fleets = [
	{size: sizes[0], isKeyed: false},
	{size: sizes[1], isKeyed: false},
	// No daemon leads here, so that the keys of the zone stay where they are and requests for them are refused.
	{size: sizes[0], isKeyed: true},
];

for (const {size, isKeyed} of fleets) {
	for (const {title, leadMs, start, end} of disturbances) {
		const count = size.availabilityZones.length * size.daemonsPerZone;
		test.serial(`should send nothing to an evacuated zone, and use it again afterwards, when ${title}, with ${count} daemons${isKeyed ? ' and keys' : ''}`, async t => {
			await withLimitedTarget(size, {isKeyed, targetCount: 3}, async run => {
				const {fleet, limited, load} = run;
				// Daemons prefer targets in their own zone, so that those that are cut off would use the one that is evacuated.
				placeTargets(run, ['two', 'one', 'three']);
				await load(1500);
				const beforeAt = performance.now() - 1000;
				t.true(limited.countBetween(beforeAt, Infinity) > 0, 'the zone is used before');
				if (leadMs > 0) {
					start(fleet);
					await load(leadMs);
				}

				// The value is unreadable and too large for a message between daemons.
				fleet.store.put(`${documents.evacuationsPrefix}two`, '?'.repeat(50_000));
				const beganAt = performance.now();
				if (leadMs < 0) {
					await load(-leadMs);
					start(fleet);
				}

				while (fleet.daemons.some(({view}) => !view.evacuatedZones.has('two')) && performance.now() - beganAt < 5000) {
					// eslint-disable-next-line no-await-in-loop -- time passes in steps.
					await load(1);
				}

				const knownMs = performance.now() - beganAt;
				await load(5000);
				const lastAt = Math.max(beganAt, ...limited.arrivals.map(({at}) => at));
				t.log(`known to all daemons after ${Math.round(knownMs)} ms, last request after ${Math.round(lastAt - beganAt)} ms`);
				t.true(knownMs <= quickMs);
				t.true(lastAt - beganAt <= quickMs, `a request reached the zone after ${lastAt - beganAt} ms`);
				end(fleet);
				await load(1500);
				fleet.store.delete(`${documents.evacuationsPrefix}two`);
				await load(1000);
				const endedAt = performance.now();
				await load(1000);
				t.true(limited.countBetween(endedAt, Infinity) > 0, 'the zone is used again');
			});
		});
	}
}

test.serial('should end an evacuation that a listing no longer contains', async t => {
	await withLimitedTarget(sizes[0], {isKeyed: false, targetCount: 2}, async run => {
		const {fleet, wait} = run;
		placeTargets(run, ['one', 'two']);
		fleet.store.put(evacuationKey, '{}');
		await wait(1000);
		t.true(fleet.daemons.every(({view}) => view.evacuatedZones.has('one')));
		disconnect(fleet.daemons, true);
		await wait(1500);
		fleet.store.delete(evacuationKey);
		fleet.store.compact();
		disconnect(fleet.daemons, false);
		await wait(3000);
		t.deepEqual(fleet.daemons.filter(({view}) => view.evacuatedZones.size > 0), []);
	});
});

test.serial('should send nothing from a daemon that has started and not listed the evacuations yet', async t => {
	await withLimitedTarget(sizes[0], {isKeyed: false, targetCount: 2}, async run => {
		const {fleet, wait} = run;
		placeTargets(run, ['one', 'two']);
		fleet.store.put(evacuationKey, '{}');
		await wait(1000);
		const restarted = fleet.restart('two-3');
		restarted.client.isDisconnected = true;
		await wait(3000);
		const refused = await restarted.forwarder.forward(callerRequest('/a/x'));
		t.is(refused.reason, OutcomeReason.NoConfiguration);
		restarted.client.isDisconnected = false;
		await wait(1000);
		t.deepEqual(restarted.view.readyTargets('service').map(({id}) => id), ['b']);
	});
});

for (const isKeyed of [false, true]) {
	const kind = isKeyed ? 'keyed' : 'undivided';

	test.serial(`should refuse at once if no target of a service that is ${kind} is left`, async t => {
		await withLimitedTarget(sizes[0], {isKeyed, targetCount: 2}, async run => {
			const {fleet, wait} = run;
			placeTargets(run, ['one', 'one']);
			fleet.store.put(evacuationKey, '{}');
			await wait(1000);
			const [{forwarder}] = fleet.daemons;
			const startedAt = performance.now();
			const outcome = await forwarder.forward(callerRequest('/a/x'));
			t.is(performance.now(), startedAt);
			t.is(outcome.kind, OutcomeKind.NotRun);
			t.is(outcome.reason, OutcomeReason.ZoneEvacuated);
			t.is(outcome.retryAfterMs, 1000);
			fleet.store.delete(evacuationKey);
			await wait(1000);
			const answered = forwarder.forward(callerRequest('/a/x'));
			await wait(100);
			const {kind: kindAfterwards} = await answered;
			t.is(kindAfterwards, OutcomeKind.Answered);
		});
	});

	test.serial(`should not send a request of a service that is ${kind} whose connection opens after the evacuation is known`, async t => {
		await withLimitedTarget(sizes[0], {isKeyed, targetCount: 2}, async run => {
			const {fleet, wait} = run;
			placeTargets(run, ['one', 'two']);
			const [{forwarder, view}] = fleet.daemons;
			const sent: string[] = [];
			fleet.setTargetAnswer(async (_daemon, attempt) => {
				await new Promise(resolve => {
					setTimeout(resolve, 300);
				});
				if (attempt.mayBeSent?.() === false) {
					return {end: AttemptEnd.NotSent};
				}

				sent.push(attempt.target.id);
				return success;
			});
			await wait(1000);
			const forwarded = Array.from({length: 6}, async () => forwarder.forward(callerRequest('/a/x', {key: 7})));
			await wait(1);
			view.beginEvacuation('one');
			await wait(2500);
			const outcomes = await Promise.all(forwarded);
			t.false(sent.includes('a'));
			t.deepEqual(new Set(outcomes.map(outcome => outcome.kind)), new Set([isKeyed ? OutcomeKind.NotRun : OutcomeKind.Answered]));
		});
	});
}

test.serial('should not send requests that wait for a permit of a target in the zone', async t => {
	await withLimitedTarget(sizes[0], {isKeyed: true, targetCount: 2}, async run => {
		const {fleet, limited, load, wait} = run;
		placeTargets(run, ['one', 'two']);
		limited.limitPerS = 20;
		await load(2000);
		for (const {view} of fleet.daemons) {
			view.beginEvacuation('one');
		}

		const beganAt = performance.now();
		await wait(3000);
		t.is(limited.countBetween(beganAt, Infinity), 0);
	});
});

const keyCases: Array<{title: string; name: string; isMalformed: boolean}> = [
	{title: 'the name of a zone', name: 'one', isMalformed: false},
	{title: 'no name', name: '', isMalformed: true},
	{title: 'a control character', name: 'one\u0000', isMalformed: true},
	{title: 'too long a name', name: 'z'.repeat(201), isMalformed: true},
];

for (const {title, name, isMalformed} of keyCases) {
	test(`should ${isMalformed ? 'report' : 'apply'} an evacuation whose key ends with ${title}`, t => {
		const events: LogEvent[] = [];
		const view = new FleetView();
		const writer = new ViewWriter(view, documents, {
			record(event) {
				events.push(event);
			},
		});
		const key = `${documents.evacuationsPrefix}${name}`;
		for (const [index, value] of ['{}', 'unreadable', '', '[]'].entries()) {
			writer.apply({key, value, revision: index + 1});
			t.deepEqual([...view.evacuatedZones], isMalformed ? [] : [name]);
		}

		t.deepEqual(events, isMalformed ? [LogEvent.DocumentRejected] : []);
		writer.apply({key, value: undefined, revision: 9});
		t.is(view.evacuatedZones.size, 0);
		t.false(writer.isMalformed(key));
	});
}

test.serial('should leave out targets in the zone whose entries have expired', t => {
	const view = new FleetView();
	view.applyTarget(target('a'));
	view.tolerateExpiry(performance.now() + 10_000);
	view.removeTarget('a');
	t.true(view.isReady(target('a')));
	view.beginEvacuation('one');
	t.false(view.isReady(target('a')));
	t.deepEqual(view.readyTargets('service'), []);
	t.true(view.isEvacuated('service'));
	t.false(view.isEvacuated('other'));
});

test('should log the begin, the last request and the end of an evacuation once', t => {
	const view = new FleetView();
	const lines: Array<{event: LogEvent} & LogFields> = [];
	let inFlight = 1;
	const log = new EvacuationLog({
		view,
		loads: {inFlight: () => inFlight},
		log: {
			record(event, fields) {
				lines.push({event, ...fields});
			},
		},
	});
	view.applyTarget(target('a'));
	view.beginEvacuation('one');
	for (let now = 0; now <= 3000; now += 100) {
		inFlight = now < 1000 ? 1 : 0;
		log.tick(now);
	}

	view.endEvacuation('one');
	log.tick(4000);
	log.tick(4100);
	const fields = {availabilityZone: 'one', targets: 1, ranges: 0};
	t.deepEqual(lines, [
		{event: LogEvent.EvacuationBegan, ...fields, sinceMs: 0},
		{event: LogEvent.EvacuationKeysMoved, ...fields, sinceMs: 0},
		{event: LogEvent.EvacuationIdle, ...fields, sinceMs: 900},
		{event: LogEvent.EvacuationEnded, ...fields, sinceMs: 4000},
	]);
});
