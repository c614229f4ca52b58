import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';
import {OutcomeKind, OutcomeReason} from '../../src/model/forwarding.js';
import {callerRequest} from '../../standins/caller-request.js';
import {StoreFault} from '../../standins/memory-coordination-store.js';
import {RelayedFleet} from '../../standins/relayed-fleet.js';

/** Time in which a configuration has to be active everywhere, in milliseconds; the shortest in the users' requirements. */
const applyMs = 2000;

async function withFleet(run: (fleet: RelayedFleet, tick: (ms: number) => Promise<unknown>) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	const fleet = new RelayedFleet();
	fleet.store.put('targets/a', '');
	fleet.putConfiguration(1, ['/old/']);
	try {
		await clock.tickAsync(6000);
		await run(fleet, async ms => clock.tickAsync(ms));
	} finally {
		fleet.close();
		clock.uninstall();
	}
}

/** Sends a request to every running daemon and returns the kinds of the outcomes. */
async function forwardToAll(fleet: RelayedFleet, path: string, tick: (ms: number) => Promise<unknown>): Promise<OutcomeKind[]> {
	const outcomes = fleet.daemons.filter(({isStopped}) => !isStopped).map(async ({forwarder}) => forwarder.forward(callerRequest(path)));
	await tick(1000);
	const answers = await Promise.all(outcomes);
	return answers.map(({kind}) => kind);
}

type FaultCase = {
	title: string;
	inject(fleet: RelayedFleet): void;
};

const faultCases: FaultCase[] = [
	{
		title: 'while one daemon receives nothing from the store and its peers', inject(fleet) {
			fleet.daemon('two-2').client.isDisconnected = true;
			fleet.dropMessagesTo('two-2');
		},
	},
	{
		title: 'while the watches of all daemons are silent', inject(fleet) {
			for (const {client} of fleet.daemons) {
				client.isWatchSilent = true;
			}
		},
	},
	{
		title: 'while messages between daemons take three seconds and only one daemon reaches the store', inject(fleet) {
			for (const {client} of fleet.daemons.slice(1)) {
				client.isDisconnected = true;
			}

			fleet.setDeliveryDelays(() => [3000]);
		},
	},
];

for (const {title, inject} of faultCases) {
	test.serial(`should reject no request permanently because of an outdated configuration ${title}`, async t => {
		await withFleet(async (fleet, tick) => {
			inject(fleet);
			await tick(100);
			fleet.putConfiguration(2, ['/old/', '/new/']);
			await tick(applyMs);
			const kinds = await forwardToAll(fleet, '/new/a', tick);
			t.deepEqual(kinds.filter(kind => kind === OutcomeKind.NoRoute), []);
		});
	});
}

test.serial('should serve a route that is newer than the daemon\'s configuration as soon as a peer or the store reports it', async t => {
	await withFleet(async (fleet, tick) => {
		fleet.dropsUpdates = true;
		fleet.putConfiguration(2, ['/old/', '/new/']);
		await tick(20);
		t.deepEqual(await forwardToAll(fleet, '/new/a', tick), fleet.daemons.map(() => OutcomeKind.Answered));
	});
});

test.serial('should not serve from a configuration that peers replaced long ago, and serve again with the newer one', async t => {
	await withFleet(async (fleet, tick) => {
		const late = fleet.daemon('two-2');
		const others = fleet.daemons.filter(daemon => daemon !== late);
		fleet.dropsUpdates = true;
		late.client.isDisconnected = true;
		fleet.putConfiguration(2, ['/new/']);
		await tick(applyMs - 500);
		t.deepEqual(others.map(({view}) => view.configuration?.version), others.map(() => 2));
		t.is(late.view.configuration?.version, 1);
		const refused = late.forwarder.forward(callerRequest('/old/a'));
		await tick(1000);
		t.like(await refused, {kind: OutcomeKind.NotRun, reason: OutcomeReason.ConfigurationOutdated});
		late.client.isDisconnected = false;
		await tick(1000);
		const served = late.forwarder.forward(callerRequest('/new/a'));
		await tick(1000);
		t.like(await served, {kind: OutcomeKind.Answered});
	});
});

enum Step {
	Configure = 'configure',
	Cut = 'cut',
	Heal = 'heal',
	SilenceWatch = 'silence the watch',
	DropIncoming = 'drop incoming messages',
	DropUpdates = 'drop updates',
	Delay = 'delay messages',
	Deliver = 'deliver messages',
	StopStore = 'stop the store',
	StartStore = 'start the store',
	Compact = 'compact the store',
	Restart = 'restart',
	Wait = 'wait',
}

type History = Array<{step: Step; daemon: number; waitMs: number}>;

/** Time in which daemons recover after the last fault, in milliseconds: a silent watch ends, and entries return. */
const recoveryMs = 8000;

function applyStep(fleet: RelayedFleet, {step, daemon: index}: History[number], configure: () => void): void {
	const {member: {daemon: name}} = fleet.daemons[index % fleet.daemons.length];
	const {client} = fleet.daemon(name);
	switch (step) {
		case Step.Configure: {
			configure();
			break;
		}

		case Step.Cut: {
			client.isDisconnected = true;
			break;
		}

		case Step.Heal: {
			client.isDisconnected = false;
			client.isWatchSilent = false;
			fleet.dropMessagesTo(name, false);
			break;
		}

		case Step.SilenceWatch: {
			client.isWatchSilent = true;
			break;
		}

		case Step.DropIncoming: {
			fleet.dropMessagesTo(name);
			break;
		}

		case Step.DropUpdates: {
			fleet.dropsUpdates = true;
			break;
		}

		case Step.Delay: {
			fleet.setDeliveryDelays(() => [1500]);
			break;
		}

		case Step.Deliver: {
			fleet.dropsUpdates = false;
			fleet.setDeliveryDelays(() => [1]);
			break;
		}

		case Step.StopStore: {
			fleet.store.fault = StoreFault.Down;
			break;
		}

		case Step.StartStore: {
			fleet.store.fault = StoreFault.None;
			break;
		}

		case Step.Compact: {
			fleet.store.compact();
			break;
		}

		case Step.Restart: {
			fleet.restart(name);
			break;
		}

		case Step.Wait: {
			break;
		}
	}
}

/** Ends all faults. */
function endFaults(fleet: RelayedFleet): void {
	fleet.store.fault = StoreFault.None;
	fleet.dropsUpdates = false;
	fleet.setDeliveryDelays(() => [1]);
	for (const {client, member} of fleet.daemons) {
		client.isDisconnected = false;
		client.isWatchSilent = false;
		fleet.dropMessagesTo(member.daemon, false);
	}
}

/** Requests the newest route and a missing one after each step; returns the wrong outcomes that callers would get. */
async function checkHistory(fleet: RelayedFleet, history: History, tick: (ms: number) => Promise<unknown>): Promise<string[]> {
	const violations: string[] = [];
	const pending: Array<Promise<void>> = [];
	const newest = {version: 1, writtenAt: performance.now()};
	const prefixes = ['/old/'];
	const expectNot = (daemon: string, path: string, wrong: OutcomeKind): void => {
		const {forwarder} = fleet.daemon(daemon);
		pending.push(forwarder.forward(callerRequest(path)).then(({kind}) => {
			if (kind === wrong) {
				violations.push(`${daemon} ${path} ${kind}`);
			}
		}));
	};

	for (const entry of history) {
		applyStep(fleet, entry, () => {
			if (fleet.store.fault === StoreFault.None) {
				newest.version += 1;
				newest.writtenAt = performance.now();
				prefixes.push(`/v${newest.version}/`);
				fleet.putConfiguration(newest.version, prefixes);
			}
		});
		// eslint-disable-next-line no-await-in-loop -- time passes in steps.
		await tick(entry.waitMs);
		for (const {member} of fleet.daemons) {
			expectNot(member.daemon, '/nowhere/a', OutcomeKind.Answered);
			if (newest.version > 1 && performance.now() - newest.writtenAt >= applyMs) {
				expectNot(member.daemon, `/v${newest.version}/a`, OutcomeKind.NoRoute);
			}
		}
	}

	endFaults(fleet);
	await tick(recoveryMs);
	await Promise.all(pending);
	const path = newest.version > 1 ? `/v${newest.version}/a` : '/old/a';
	const [served, refused] = [await forwardToAll(fleet, path, tick), await forwardToAll(fleet, '/nowhere/a', tick)];
	violations.push(...served.filter(kind => kind !== OutcomeKind.Answered), ...refused.filter(kind => kind !== OutcomeKind.NoRoute));
	return violations;
}

test.serial('should reject no request permanently because of an outdated configuration in any history of faults', async t => {
	const steps = fc.array(fc.record({
		step: fc.constantFrom(...Object.values(Step)), daemon: fc.nat({max: 5}), waitMs: fc.constantFrom(50, 300, 900, 2100),
	}), {minLength: 5, maxLength: 25});
	await t.notThrowsAsync(async () => fc.assert(fc.asyncProperty(steps, async history => {
		await withFleet(async (fleet, tick) => {
			const violations = await checkHistory(fleet, history, tick);
			if (violations.length > 0) {
				throw new Error(violations.join(', '));
			}
		});
	}), {seed: 1, numRuns: 40}));
});

test.serial('should permanently reject a request without a route in normal operation', async t => {
	await withFleet(async (fleet, tick) => {
		t.deepEqual(await forwardToAll(fleet, '/nowhere/a', tick), fleet.daemons.map(() => OutcomeKind.NoRoute));
		await tick(10_000);
		t.deepEqual(await forwardToAll(fleet, '/nowhere/a', tick), fleet.daemons.map(() => OutcomeKind.NoRoute));
	});
});
