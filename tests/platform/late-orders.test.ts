import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {LogEvent} from '../../src/model/events.js';
import {lastKey} from '../../src/model/key-ownership.js';
import {PlatformDeployment} from '../../standins/platform-deployment.js';

/** Time by which orders and answers are late, in milliseconds. */
const lateMs = 1500;

/** Time within which the keys of a target that does not answer get another owner, in milliseconds; see docs/platform.md. */
const unownedLimitMs = 5000;

/** Interval between checks, in milliseconds. */
const checkIntervalMs = 5;

const checkedKeys = Array.from({length: 64}, (_, index) => Math.floor(index * lastKey / 63));

test('should not grant keys that a target holds by a grant that arrives 1,500 ms late', async t => {
	const events: LogEvent[] = [];
	const deployment = new PlatformDeployment({
		network: '127.51', daemonCount: 3, targetCount: 3, isKeyed: true, workMs: 20, hasProxies: true,
		log: {
			record(event) {
				events.push(event);
			},
		},
		onRun() {
			// Only holds are checked.
		},
	});
	await deployment.start();
	await Promise.all(deployment.proxies.slice(0, 1).map(async ({toServer, toCaller}) => {
		toServer.delayMs = lateMs;
		toCaller.delayMs = lateMs;
	}));
	const overlaps: string[] = [];
	const endsAt = performance.now() + unownedLimitMs + lateMs;
	while (performance.now() < endsAt) {
		for (const key of checkedKeys) {
			const holders = deployment.targets.filter(({holder}) => holder.isHolding(key));
			if (holders.length > 1) {
				overlaps.push(`key ${key}: ${holders.map(({holder}) => `${holder.incarnation.id} with fence ${holder.fenceOf(key)}`).join(', ')}`);
			}
		}

		// eslint-disable-next-line no-await-in-loop -- polling.
		await delay(checkIntervalMs);
	}

	const areKeysServed = checkedKeys.every(key => deployment.targets.some(({holder}) => holder.isHolding(key)));
	await deployment.stop();
	t.deepEqual(overlaps.slice(0, 3), []);
	t.true(events.includes(LogEvent.HoldRanOut) || events.includes(LogEvent.RangeReleased), 'the keys of the target were not moved');
	t.true(areKeysServed, 'a key has no holder');
});
