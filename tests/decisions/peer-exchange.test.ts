import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {FleetSync} from '../../src/decisions/fleet/fleet-sync.js';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {PeerExchange, type PeerMessage} from '../../src/decisions/fleet/peer-exchange.js';
import {splitUpdate} from '../../src/decisions/fleet/store-update.js';
import {ZoneHubs} from '../../src/decisions/fleet/zone-hubs.js';
import {TargetLoads} from '../../src/decisions/forwarding/target-loads.js';
import type {StoreChange} from '../../src/model/coordination-store.js';
import {TargetState, type Member, type Target} from '../../src/model/fleet.js';
import {MemoryCoordinationStore, StoreFault, type MemoryStoreClient} from '../../standins/memory-coordination-store.js';

/** Interval in which daemons do what is due, in milliseconds. */
const tickMs = 20;

/** Time of a datagram in milliseconds. */
const linkMs = 1;

/** Largest datagram in bytes. */
const datagramBytes = 60_000;

const quiet = {
	record() {
		// Lines are not checked.
	},
};

function target(id: string, availabilityZone = 'one'): Target {
	return {
		id, bornAt: 1, address: `10.0.0.1:${id}`, service: 'service', availabilityZone, softwareVersion: '', slots: 3, state: TargetState.Ready, warmUpLeftMs: 0,
	};
}

/** A daemon without sockets. */
class Daemon {
	readonly view = new FleetView();
	readonly loads = new TargetLoads();
	readonly client: MemoryStoreClient;
	readonly sync: FleetSync;
	readonly exchange: PeerExchange;
	isLost = false;
	watches = 0;
	private readonly timer: NodeJS.Timeout;

	constructor(readonly member: Member, fleet: Fleet) {
		this.client = fleet.store.clientOf();
		const watch = this.client.watch.bind(this.client);
		this.client.watch = async (...parameters) => {
			this.watches += 1;
			return watch(...parameters);
		};

		this.sync = new FleetSync(this.client, this.view, {
			configurationKey: 'configuration',
			targetsPrefix: 'targets/',
			decodeConfiguration() {
				throw new TypeError('not used');
			},
			decodeTarget: (key, text) => ({...target(key), id: key.slice('targets/'.length), softwareVersion: text}),
		}, {
			log: quiet,
			relay: {
				isFollowing: () => this.exchange.isFollowing(),
				publish: update => {
					this.exchange.publish(update);
				},
			},
		});
		this.exchange = new PeerExchange({
			daemon: member.daemon,
			availabilityZone: member.availabilityZone,
			view: this.view,
			loads: this.loads,
			sync: this.sync,
			hubs: new ZoneHubs(member, this.view),
			sender: {
				send: (message, members) => {
					fleet.send(this, message, members);
				},
			},
			noteKeys() {
				// No leader.
			},
		});
		void this.sync.run();
		this.timer = setInterval(() => {
			if (!this.isLost) {
				this.exchange.tick();
				this.sync.tick();
			}
		}, tickMs);
	}

	close(): void {
		clearInterval(this.timer);
		this.sync.stop();
	}
}

/** Daemons in two availability zones, three in each. */
class Fleet {
	readonly store = new MemoryCoordinationStore();
	readonly daemons: Daemon[] = [];
	/** Messages between availability zones. */
	remoteMessages = 0;
	losesUpdates = false;

	constructor() {
		for (const availabilityZone of ['one', 'two']) {
			for (const number of [1, 2, 3]) {
				const daemon = `${availabilityZone}-${number}`;
				const member: Member = {
					daemon, availabilityZone, ip: daemon, port: 1,
				};
				this.store.put(`eelgrasswheel/members/${daemon}`, JSON.stringify(member));
				this.daemons.push(new Daemon(member, this));
			}
		}
	}

	send(from: Daemon, message: PeerMessage, members: Iterable<Member>): void {
		const text = JSON.stringify(message);
		if (from.isLost || text.length > datagramBytes || (this.losesUpdates && message.update)) {
			return;
		}

		for (const {daemon, availabilityZone} of members) {
			this.remoteMessages += availabilityZone === from.member.availabilityZone ? 0 : 1;
			const to = this.daemon(daemon);
			setTimeout(() => {
				if (!to.isLost) {
					to.exchange.hear(JSON.parse(text) as PeerMessage);
				}
			}, linkMs);
		}
	}

	daemon(name: string): Daemon {
		return this.daemons.find(({member}) => member.daemon === name)!;
	}

	close(): void {
		for (const daemon of this.daemons) {
			daemon.close();
		}
	}

	/** Daemons that do not know a target. */
	unaware(id: string): string[] {
		return this.daemons.filter(({view, isLost}) => !isLost && !view.listedTarget(id)).map(({member}) => member.daemon);
	}
}

async function withFleet(play: (fleet: Fleet, tick: (ms: number) => Promise<unknown>) => Promise<void>): Promise<void> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	const fleet = new Fleet();
	try {
		// Daemons find each other, and the watches that they began alone end.
		await clock.tickAsync(6000);
		await play(fleet, async ms => clock.tickAsync(ms));
	} finally {
		fleet.close();
		clock.uninstall();
	}
}

test.serial('should watch the store from one daemon of each availability zone', async t => {
	await withFleet(async (fleet, tick) => {
		const before = fleet.daemons.map(({watches}) => watches);
		await tick(9000);
		const watching = fleet.daemons.filter(({watches}, index) => watches > before[index]).map(({member}) => member.daemon);
		t.deepEqual(watching, ['one-1', 'two-1']);
	});
});

type Trouble = {
	title: string;
	/** Time within which every daemon has to know a change, in milliseconds. */
	limitMs: number;
	begin(fleet: Fleet): void;
};

/** Configurations have to be in force after two seconds; changes are gathered for a part of this. */
const troubles: Trouble[] = [
	{
		title: 'in the calm', limitMs: 400, begin() {
			// Nothing happens.
		},
	},
	{
		title: 'though the watching daemon is lost', limitMs: 1700, begin(fleet) {
			fleet.daemon('one-1').isLost = true;
			fleet.daemon('one-1').client.isCut = true;
		},
	},
	{
		title: 'though updates between daemons are lost', limitMs: 1500, begin(fleet) {
			fleet.losesUpdates = true;
		},
	},
	{
		title: 'though most daemons are cut off from the store', limitMs: 3000, begin(fleet) {
			for (const name of ['one-1', 'one-2', 'two-1']) {
				fleet.daemon(name).client.isCut = true;
			}
		},
	},
];

for (const {title, limitMs, begin} of troubles) {
	test.serial(`should bring changes of the store to every daemon ${title}`, async t => {
		await withFleet(async (fleet, tick) => {
			begin(fleet);
			fleet.store.put('targets/new', '');
			await tick(limitMs);
			t.deepEqual(fleet.unaware('new'), []);
		});
	});
}

test.serial('should ask the store for a change that is too large for a message, while further changes come', async t => {
	await withFleet(async (fleet, tick) => {
		fleet.store.put('targets/large', 'x'.repeat(datagramBytes * 2));
		for (let count = 0; count < 5; count += 1) {
			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await tick(300);
			fleet.store.put(`targets/small-${count}`, '');
		}

		t.deepEqual(fleet.unaware('large'), []);
	});
});

test.serial('should watch the store itself while the others do not reach it', async t => {
	await withFleet(async (fleet, tick) => {
		fleet.store.fault = StoreFault.Down;
		await tick(6000);
		fleet.store.fault = StoreFault.None;
		fleet.store.put('targets/new', '');
		await tick(1700);
		t.deepEqual(fleet.unaware('new'), []);
	});
});

test.serial('should know the load of all availability zones with few messages between them', async t => {
	await withFleet(async (fleet, tick) => {
		for (const {loads} of fleet.daemons) {
			loads.begin(target('a'));
		}

		await tick(400);
		t.deepEqual(fleet.daemons.map(({loads}) => loads.inFlight('a')), [6, 6, 6, 6, 6, 6]);
		fleet.remoteMessages = 0;
		await tick(1000);
		// Each of two hubs sends at most one message in 50 ms.
		t.true(fleet.remoteMessages <= 40);
	});
});

test.serial('should know the load of the other availability zone again after its hub is lost', async t => {
	await withFleet(async (fleet, tick) => {
		fleet.daemon('two-1').isLost = true;
		await tick(1200);
		fleet.daemon('two-2').loads.begin(target('a'));
		await tick(1200);
		t.is(fleet.daemon('one-3').loads.inFlight('a'), 1);
	});
});

const change = (revision: number, bytes: number): StoreChange => ({key: `key-${revision}`, value: 'x'.repeat(bytes), revision});

const updates: Array<{title: string; changes: StoreChange[]; parts: Array<[number, number[], number]>}> = [
	{title: 'a small update', changes: [change(5, 10), change(6, 10)], parts: [[4, [5, 6], 9]]},
	{title: 'no change', changes: [], parts: [[4, [], 9]]},
	{title: 'changes beyond the limit', changes: [change(5, 60), change(6, 60)], parts: [[4, [5], 5], [5, [6], 9]]},
	{title: 'changes of one revision', changes: [change(5, 30), change(5, 30), change(6, 60)], parts: [[4, [5, 5], 5], [5, [6], 9]]},
	{title: 'a change that is too large', changes: [change(5, 10), change(6, 200), change(7, 10)], parts: [[4, [5], 5], [6, [7], 9]]},
	{title: 'nothing but a change that is too large', changes: [change(6, 200)], parts: [[6, [], 9]]},
];

for (const {title, changes, parts} of updates) {
	test(`should divide updates between revisions: ${title}`, t => {
		const divided = splitUpdate({after: 4, changes, revision: 9}, 100);
		t.deepEqual(divided.map(part => [part.after, part.changes.map(({revision}) => revision), part.revision]), parts);
	});
}
