import test from 'ava';
import {encodeAssignment} from '../../src/decisions/fleet/assignment-codec.js';
import {initialAssignment} from '../../src/decisions/ownership/assignment-draft.js';
import {callerRequest} from '../../standins/caller-request.js';
import {sizes, withLimitedTarget, type LimitedRun} from '../../standins/limited-fleet.js';
import {
	success, target, type FleetSize, type RelayedFleet,
} from '../../standins/relayed-fleet.js';

/** Time after the write of a move without proof before which the new owner is granted no keys, in milliseconds. */
const ownerEvidenceLifetimeMs = 2000;

/** Interval between the requests of one daemon, in milliseconds. */
const intervalMs = 50;

/** Three, ten, seventy and 195 daemons. */
const allSizes: FleetSize[] = [{availabilityZones: ['one'], daemonsPerZone: 3}, ...sizes];

function daemonCount({availabilityZones, daemonsPerZone}: FleetSize): number {
	return availabilityZones.length * daemonsPerZone;
}

/** A request that was handed to the transport. */
type Sent = {
	daemon: string;
	target: string;
	at: number;
};

/** Records what daemons send to targets that answer at once. */
function recordSent(fleet: RelayedFleet): Sent[] {
	const sent: Sent[] = [];
	fleet.setTargetAnswer(async (daemon, {target: {id}}) => {
		sent.push({daemon, target: id, at: performance.now()});
		return success;
	});
	return sent;
}

/** Gives all keys to another target in the store, as the leader does. */
function moveKeys(fleet: RelayedFleet, owner: string, fence = 2): void {
	fleet.store.put('eelgrasswheel/assignments/service', encodeAssignment({...initialAssignment('service', [target(owner)]), fence}));
}

/** Sends requests through one daemon at regular intervals. */
async function sendThrough(name: string, durationMs: number, {fleet, wait}: LimitedRun): Promise<void> {
	for (let passed = 0; passed < durationMs; passed += intervalMs) {
		void fleet.daemon(name).forwarder.forward(callerRequest('/a/x'));
		// eslint-disable-next-line no-await-in-loop -- one request after another.
		await wait(intervalMs);
	}
}

for (const size of allSizes) {
	test.serial.failing(`should send nothing to an old owner once another may hold the keys, from a daemon without the store and peers, of ${daemonCount(size)}`, async t => {
		await withLimitedTarget(size, {targetCount: 2}, async run => {
			const {fleet} = run;
			moveKeys(fleet, 'a');
			await run.wait(1000);
			const sent = recordSent(fleet);
			fleet.daemon('one-3').client.isDisconnected = true;
			fleet.dropMessagesTo('one-3');
			moveKeys(fleet, 'b', 3);
			const movedAt = performance.now();
			await sendThrough('one-3', 3 * ownerEvidenceLifetimeMs, run);
			t.true(sent.some(({daemon}) => daemon === 'one-3'));
			t.is(sent.filter(({target: id, at}) => id === 'a' && at > movedAt + ownerEvidenceLifetimeMs).length, 0);
		});
	});
}
