import test from 'ava';
import {AttemptEnd, OutcomeKind, type Outcome} from '../../src/model/forwarding.js';
import {callerRequest} from '../../standins/caller-request.js';
import {sizes, withLimitedTarget} from '../../standins/limited-fleet.js';
import {success} from '../../standins/relayed-fleet.js';

/** Time from the beginning of the cut from which callers must be served, in milliseconds. */
const stableWindowMs = 3000;

/** Share of the requests that a cut daemon has to serve, of what the others serve. */
const servedShare = 2 / 3;

const requestCount = 30;

for (const size of sizes) {
	const count = size.availabilityZones.length * size.daemonsPerZone;
	test.serial.failing(`should serve the requests of a daemon that is cut off from all targets but not from its peers, with ${count} daemons`, async t => {
		await withLimitedTarget(size, {isKeyed: false, targetCount: 3}, async ({fleet, load}) => {
			const cut = fleet.daemon('one-1');
			fleet.setTargetAnswer(async daemon => daemon === cut.member.daemon ? {end: AttemptEnd.NotSent, detail: 'refused'} : success);
			await load(stableWindowMs);
			const outcomes: Outcome[] = [];
			const send = async (): Promise<void> => {
				outcomes.push(await cut.forwarder.forward(callerRequest('/a/x')));
			};

			for (let index = 0; index < requestCount; index += 1) {
				void send();
				// eslint-disable-next-line no-await-in-loop -- one request after another.
				await load(50);
			}

			const served = outcomes.filter(({kind}) => kind === OutcomeKind.Answered).length;
			t.true(served >= servedShare * requestCount, `${served} of ${requestCount} served`);
		});
	});
}
