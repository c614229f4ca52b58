import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {OutcomeKind, OutcomeReason} from '../../src/model/forwarding.js';
import {callerRequest} from '../../standins/caller-request.js';
import {RelayedFleet} from '../../standins/relayed-fleet.js';

/** Time in which a configuration has to be in force everywhere, in milliseconds; the least of the users' sheets. */
const applyMs = 2000;

async function withFleet(play: (fleet: RelayedFleet, tick: (ms: number) => Promise<unknown>) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	const fleet = new RelayedFleet();
	fleet.store.put('targets/a', '');
	fleet.configure(1, ['/old/']);
	try {
		await clock.tickAsync(6000);
		await play(fleet, async ms => clock.tickAsync(ms));
	} finally {
		fleet.close();
		clock.uninstall();
	}
}

/** Sends a request to every daemon that runs and returns the kinds of the answers. */
async function ask(fleet: RelayedFleet, path: string, tick: (ms: number) => Promise<unknown>): Promise<OutcomeKind[]> {
	const outcomes = fleet.daemons.filter(({isLost}) => !isLost).map(async ({forwarder}) => forwarder.forward(callerRequest(path)));
	await tick(1000);
	const answers = await Promise.all(outcomes);
	return answers.map(({kind}) => kind);
}

type Trouble = {
	title: string;
	begin(fleet: RelayedFleet): void;
};

const troubles: Trouble[] = [
	{
		title: 'while one daemon hears neither the store nor its peers', begin(fleet) {
			fleet.daemon('two-2').client.isCut = true;
			fleet.deafen('two-2');
		},
	},
	{
		title: 'while the watches of all daemons are silent', begin(fleet) {
			for (const {client} of fleet.daemons) {
				client.isWatchSilent = true;
			}
		},
	},
	{
		title: 'while messages between daemons take three seconds and only one daemon reaches the store', begin(fleet) {
			for (const {client} of fleet.daemons.slice(1)) {
				client.isCut = true;
			}

			fleet.decideFates(() => [3000]);
		},
	},
];

for (const {title, begin} of troubles) {
	test.serial(`should refuse no request for good on account of an old configuration ${title}`, async t => {
		await withFleet(async (fleet, tick) => {
			begin(fleet);
			await tick(100);
			fleet.configure(2, ['/old/', '/new/']);
			await tick(applyMs);
			const kinds = await ask(fleet, '/new/a', tick);
			t.deepEqual(kinds.filter(kind => kind === OutcomeKind.NoRoute), []);
		});
	});
}

test.serial('should serve a route that is newer than the daemon\'s configuration as soon as a peer or the store tells of it', async t => {
	await withFleet(async (fleet, tick) => {
		fleet.losesUpdates = true;
		fleet.configure(2, ['/old/', '/new/']);
		await tick(20);
		t.deepEqual(await ask(fleet, '/new/a', tick), fleet.daemons.map(() => OutcomeKind.Answered));
	});
});

test.serial('should serve by no configuration that peers replaced long ago, and serve again with the newer one', async t => {
	await withFleet(async (fleet, tick) => {
		const late = fleet.daemon('two-2');
		const others = fleet.daemons.filter(daemon => daemon !== late);
		fleet.losesUpdates = true;
		late.client.isCut = true;
		fleet.configure(2, ['/new/']);
		await tick(applyMs - 500);
		t.deepEqual(others.map(({view}) => view.configuration?.version), others.map(() => 2));
		t.is(late.view.configuration?.version, 1);
		const refused = late.forwarder.forward(callerRequest('/old/a'));
		await tick(1000);
		t.like(await refused, {kind: OutcomeKind.NotRun, reason: OutcomeReason.ConfigurationOutdated});
		late.client.isCut = false;
		await tick(1000);
		const served = late.forwarder.forward(callerRequest('/new/a'));
		await tick(1000);
		t.like(await served, {kind: OutcomeKind.Answered});
	});
});

test.serial('should tell callers for good that no route takes their requests in the calm', async t => {
	await withFleet(async (fleet, tick) => {
		t.deepEqual(await ask(fleet, '/nowhere/a', tick), fleet.daemons.map(() => OutcomeKind.NoRoute));
		await tick(10_000);
		t.deepEqual(await ask(fleet, '/nowhere/a', tick), fleet.daemons.map(() => OutcomeKind.NoRoute));
	});
});
