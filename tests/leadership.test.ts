import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {IntentKind} from '../src/model/plan.js';
import {configurationBodySchema} from '../src/model/configuration.js';
import {FakeDeployment, fakeCredentials} from '../standins/fake-deployment.js';
import {ProcessState} from '../standins/fake-network.js';

const configuration = configurationBodySchema.parse({
	services: [{
		name: 'registry', customer: 'customer', pathPrefix: '/registry', divided: true, shardCount: 8, key: {source: 'path', name: '1'}, classes: [{
			name: 'read', methods: ['GET'], priority: 'read', deadlineMs: 1000, idempotent: true,
		}],
	}],
	servers: [{
		id: 'server-1', service: 'registry', address: '127.0.0.1:1', zone: 'zone-1',
	}],
});

const ignore = () => undefined;

for (const daemons of [3, 9, 24]) {
	test.serial(`should change the leader once when it stops during a store outage, with ${daemons} daemons`, async t => {
		const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
		const deployment = new FakeDeployment({
			daemons,
			servers: 1,
			hasFencing: true,
			seed: 1,
			observer: {
				onLog: ignore, onPublish: ignore, onOrder: ignore, onDrained: ignore, onSend: ignore, onExecute: ignore,
			},
		});
		const assignment = () => deployment.cores.get(survivor)!.replica.assignment('registry')!.value;
		let survivor = 'daemon-1';
		try {
			await clock.tickAsync(500);
			const manager = deployment.cores.get('daemon-1')!.planManager;
			const submitted = manager.submit({id: 'first', kind: IntentKind.Configure, configuration}, fakeCredentials.operator);
			await clock.tickAsync(300);
			await submitted;
			const confirmed = manager.confirm('first', fakeCredentials.veto);
			await clock.tickAsync(3000);
			await confirmed;
			t.is(assignment().term, 1);
			const {leader} = assignment();
			survivor = deployment.daemons.find(daemon => daemon !== leader)!;
			// Every standby suspects the leader during the store outage, but only one may take over when the store is back.
			deployment.storeFaults.isDown = true;
			deployment.stopDaemon(leader, ProcessState.Silent);
			await clock.tickAsync(2000);
			deployment.storeFaults.isDown = false;
			await clock.tickAsync(3000);
			t.is(assignment().term, 2);
			t.not(assignment().leader, leader);
		} finally {
			deployment.close();
			clock.uninstall();
		}
	});
}
