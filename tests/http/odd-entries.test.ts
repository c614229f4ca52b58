import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {LogEvent, type LogFields} from '../../src/model/events.js';
import {wireKeys} from '../../src/platform/wire.js';
import {PlatformDeployment} from '../../standins/platform-deployment.js';

const daemonCount = 2;

/** Requests of each daemon beside the odd entries. */
const requestCount = 60;

const requestIntervalMs = 20;

const budgetMs = 2000;

/** Interval at which the odd entries are written again, in milliseconds; more often than targets write theirs. */
const rewriteMs = 200;

/** Time in which a configuration has to be active on all daemons, in milliseconds; must match the settings of the deployment. */
const configurationApplyMs = 2000;

const deep = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;

/** Fields that replace those of a good entry, as JSON text. */
const oddFields: Record<string, Record<string, string>> = {
	'port-too-high': {address: '"127.60.9.1:99999"'},
	'port-0': {address: '"127.60.9.1:0"'},
	'octet-too-high': {address: '"999.0.0.1:8647"'},
	'host-name': {address: '"target.invalid:8647"'},
	deep: {unknown: deep},
	'deep-slots': {slots: deep},
	'deep-state': {state: deep},
	'born-too-late': {born: '9007199254740991'},
	'slots-too-many': {slots: '9007199254740991'},
	'warm-up-too-long': {warmupLeftMs: '1e308'},
	infinite: {slots: '1e400'},
	'no-json': {sequence: 'NaN'},
	'no-state': {state: '"constructor"'},
	'no-service': {service: '"__proto__"'},
	['__proto__']: {},
};

function oddEntry(fields: Record<string, string>, sequence: number): string {
	const all = {
		service: '"registry"', address: '"127.60.9.9:1"', zone: '"zone-a"', version: '"v1"', slots: '1000', state: '"ready"', warmupLeftMs: '0', sequence: String(sequence), born: '1', ...fields,
	};
	return `{${Object.entries(all).map(([name, json]) => `"${name}":${json}`).join(',')}}`;
}

for (const {title, isKeyed, network} of [
	{title: 'is divided by key', isKeyed: true, network: '127.60'},
	{title: 'is not divided by key', isKeyed: false, network: '127.61'},
]) {
	test(`should neither refuse requests nor stop following the store beside odd entries of a service that ${title}`, async t => {
		const records: Array<{event: LogEvent; fields: LogFields}> = [];
		const deployment = new PlatformDeployment({
			network,
			daemonCount,
			targetCount: 3,
			isKeyed,
			workMs: 5,
			log: {
				record(event, fields) {
					records.push({event, fields});
				},
			},
			onRun: () => undefined,
		});
		await deployment.start();
		const {store} = deployment;
		let sequence = 0;
		const rewrite = (): void => {
			sequence += 1;
			for (const id of Object.keys(oddFields)) {
				store.put(`${wireKeys.targets}${id}`, oddEntry(oddFields[id] ?? {}, sequence));
			}
		};

		rewrite();
		const timer = setInterval(rewrite, rewriteMs);
		const requests: Array<Promise<number | undefined>> = [];
		for (let index = 0; index < requestCount; index += 1) {
			requests.push(...deployment.daemons.map(async (_, daemon) => {
				const answer = await deployment.send(daemon, budgetMs);
				return answer?.status;
			}));
			// eslint-disable-next-line no-await-in-loop -- requests start at intervals.
			await delay(requestIntervalMs);
		}

		const statuses = await Promise.all(requests);
		const configuration = JSON.parse(store.get(wireKeys.configuration)?.value ?? '') as {version: number};
		store.put(wireKeys.configuration, JSON.stringify({...configuration, version: 2}));
		await delay(configurationApplyMs);
		clearInterval(timer);
		await deployment.stop();
		t.deepEqual(statuses, Array.from<number>({length: requestCount * daemonCount}).fill(200));
		t.is(records.filter(({event, fields}) => event === LogEvent.ConfigurationInForce && fields.version === 2).length, daemonCount);
		t.deepEqual(records.filter(({event}) => event === LogEvent.InternalFailure), []);
		const rejectedKeys = records.filter(({event}) => event === LogEvent.DocumentRejected).map(({fields}) => fields.key);
		const lineCounts = Object.keys(oddFields).map(id => [id, rejectedKeys.filter(key => key === `${wireKeys.targets}${id}`).length]);
		t.deepEqual(lineCounts, Object.keys(oddFields).map(id => [id, daemonCount]));
		t.is(rejectedKeys.length, Object.keys(oddFields).length * daemonCount);
	});
}
