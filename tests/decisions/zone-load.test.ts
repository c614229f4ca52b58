import test from 'ava';
import {ZoneLoad} from '../../src/decisions/fleet/zone-load.js';

/** Targets choose their own ids. */
const ids = ['target-1', 'constructor', 'toString', 'valueOf', 'hasOwnProperty'];

for (const id of ids) {
	test(`should sum the load of a target whose id is ${id} instead of failing or sending text in place of a number`, t => {
		const load = new ZoneLoad();
		load.add('daemon-1', {inFlight: {[id]: 2}, samples: {[id]: [1, 40]}}, 0);
		load.add('daemon-2', {inFlight: {[id]: 3}, samples: {[id]: [2, 60]}}, 0);
		t.deepEqual(load.takeReport(0), {inFlight: {[id]: 5}, samples: {[id]: [3, 100]}});
		t.deepEqual(load.takeReport(0), {inFlight: {[id]: 5}, samples: {}});
	});
}
