import test from 'ava';
import {MalformedDocumentError} from '../../src/model/errors.js';
import {decodeConfiguration} from '../../src/platform/documents.js';
import {parseSettings} from '../../src/platform/settings.js';

const deep = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;

/** Most faults of a document, and characters of each; each fault is a line of the log. */
const maxFaults = 100;
const maxFaultCharacters = 400;

const route = {
	host: 'host.example', prefix: '/a/', kind: 'safe', timeoutMs: 800, targetLatencyMs: 300, priority: 2, maxAttempts: 2, service: 'one',
};
const service = {
	healthPath: '/health', maxConnections: 110, sharded: true, warmS: 3,
};
const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

const specifications: Record<string, Record<string, unknown>> = {routes: route, services: service, limits};

const names: Record<string, Record<string, string>> = {routes: {name: 'split'}, services: {name: 'one'}, limits: {}};

/** The configuration with a field of the first route, of the first service or of the limits replaced by JSON text. */
function withField(type: string, field: string, json: string): string {
	const resources = Object.entries(specifications).map(([resourceType, specification]) => ({
		resourceType, metadata: names[resourceType], spec: {...specification, ...(resourceType === type && {[field]: '?'})},
	}));
	const others = [
		{resourceType: 'routes', metadata: {name: 'order'}, spec: {...route, prefix: '/b/', service: 'two'}},
		{resourceType: 'services', metadata: {name: 'two'}, spec: service},
	];
	return JSON.stringify({version: 7, resources: [...resources, ...others]}).replace('"?"', () => json);
}

const oddFields: Array<{type: string; field: string; json: string[]}> = [
	{type: 'routes', field: 'host', json: ['""', '7', String.raw`"host\u0000"`, JSON.stringify('x'.repeat(8193)), deep]},
	{type: 'routes', field: 'prefix', json: ['""', 'null', JSON.stringify(`/${'x'.repeat(8192)}`), deep]},
	{type: 'routes', field: 'kind', json: ['"constructor"', '"__proto__"', '7', deep]},
	{type: 'routes', field: 'timeoutMs', json: ['0', '-1', '86400001', '1e308', '1e400', '"800"', deep]},
	{type: 'routes', field: 'targetLatencyMs', json: ['-1', '86400001', '1e308', '1e400', deep]},
	{type: 'routes', field: 'priority', json: ['-1', '0.5', '1e300', '9007199254740992', deep]},
	{type: 'routes', field: 'maxAttempts', json: ['0', '1.5', '1e300', deep]},
	{type: 'routes', field: 'service', json: ['""', '"__proto__"', JSON.stringify('x'.repeat(201)), '7', deep]},
	{type: 'routes', field: 'trafficSplit', json: ['{}', '7', '[null]', '[{"service": "one", "weight": 1e308}]', '[{"service": "one", "weight": -1}]', `[{"service": ${deep}, "weight": 1}]`, deep]},
	{type: 'services', field: 'healthPath', json: ['""', '"health"', '"/a b"', String.raw`"/a\r\nb"`, '"/größe"', JSON.stringify(`/${'x'.repeat(8192)}`), '7', deep]},
	{type: 'services', field: 'maxConnections', json: ['0', '1000001', '1e308', '9007199254740991', '"110"', deep]},
	{type: 'services', field: 'sharded', json: ['1', '"true"', deep]},
	{type: 'services', field: 'warmS', json: ['-1', '86401', '1e308', '1e400', deep]},
	{type: 'limits', field: 'maxHeaderBytes', json: ['0', '1e300', deep]},
	{type: 'limits', field: 'maxBodyBytes', json: ['-1', '1e400', deep]},
	{type: 'limits', field: 'headerTimeoutMs', json: ['0', '86400001', '9007199254740991', deep]},
	{type: 'limits', field: 'idleTimeoutMs', json: ['0', '86400001', '9007199254740991', deep]},
];

const cases = oddFields.flatMap(({type, field, json}) => json.map((text, index) => ({
	title: `${field} number ${index + 1}, ${text.slice(0, 40)}, of ${type}`, text: withField(type, field, text),
})));

for (const {title, text} of cases) {
	test(`should lose nothing but one part of a configuration because of ${title}`, t => {
		const good = decodeConfiguration(withField('none', '', ''));
		const decoded = decodeConfiguration(text, good);
		t.is(decoded.version, 7);
		t.deepEqual(decoded.routes.find(({name}) => name === 'order'), good.routes[1]);
		t.deepEqual(decoded.limits, good.limits);
		t.is(decoded.routes.length, 2);
		t.true(decoded.faults.length > 0 && decoded.faults.every(fault => fault.length <= maxFaultCharacters));
		t.deepEqual(decoded.services, good.services);
		const {timeoutMs, targetLatencyMs, shares} = decoded.routes[0];
		t.deepEqual({timeoutMs, targetLatencyMs}, {timeoutMs: 800, targetLatencyMs: 300});
		t.true(shares.every(({weight}) => weight <= 1e9));
	});
}

test('should not log a line for each of very many malformed resources', t => {
	const resources = Array.from({length: 20_000}, (_, index) => ({resourceType: 'x'.repeat(300), metadata: {name: `${'n'.repeat(150)}${index}`}}));
	const {faults} = decodeConfiguration(JSON.stringify({version: 7, resources}));
	t.is(faults.length, maxFaults);
	t.true(faults.every(fault => fault.length <= maxFaultCharacters));
});

test('should skip unknown parts of a configuration however deep they are', t => {
	const good = decodeConfiguration(withField('none', '', ''));
	t.deepEqual(decodeConfiguration(withField('routes', 'unknown', deep)).routes, good.routes);
	t.deepEqual(decodeConfiguration(withField('none', '', '').replace('{', `{"unknown":${deep},`)).routes, good.routes);
});

for (const name of ['__proto__', 'x'.repeat(201), 'name\u0000', 'name\uFFFD']) {
	test(`should use the other parts of a configuration beside a resource that is named ${JSON.stringify(name.slice(0, 20))}`, t => {
		const good = decodeConfiguration(withField('none', '', ''));
		const decoded = decodeConfiguration(withField('none', '', '').replace('"split"', JSON.stringify(name)), good);
		t.deepEqual(decoded.routes.map(({prefix}) => prefix), ['/a/', '/b/']);
		t.true(decoded.routes.every(each => each.name.length <= 200 && each.name !== '__proto__'));
		t.is(decoded.faults.length, 1);
	});
}

const settings = {
	daemon: 'daemon-1',
	availabilityZone: 'zone-a',
	ip: '10.0.0.1',
	callerAddress: '10.0.0.1:80',
	readinessAddress: '10.0.0.1:81',
	peerPorts: [7000, 7010],
	storeAddress: '10.0.0.2:80',
	cores: 1,
	linkMbps: 1000,
	leaseMinimumMs: 1000,
	targetHeartbeatMs: 1000,
	drainMs: 2000,
	configurationApplyMs: 2000,
	shutdownGraceS: 6,
	retryRatio: 0.2,
	retryWindowS: 10,
	retryReserve: 60,
	holdLimitMs: 10_000,
	thawSlackMs: 300,
};

test('should parse settings within their bounds', t => {
	t.deepEqual(parseSettings(JSON.stringify(settings)), settings as ReturnType<typeof parseSettings>);
});

const oddSettings: Record<string, string[]> = {
	callerAddress: ['"10.0.0.1:99999"', '"999.0.0.1:80"', '"10.0.0.1:0"', deep],
	storeAddress: ['"store:80"', '"10.0.0.2"', deep],
	peerPorts: ['[]', '[0, 1]', '[7000, 65536]', '[7010, 7000]', '[1e400, 1e400]', '7000', deep],
	leaseMinimumMs: ['0', '600001', '1e308'],
	shutdownGraceS: ['-1', '86401', '1e308', deep],
	holdLimitMs: ['999', '86400001', '1e400'],
	unknown: [deep],
};

for (const [field, values] of Object.entries(oddSettings)) {
	for (const [index, json] of values.entries()) {
		test(`should reject settings with ${field} number ${index + 1}, ${json.slice(0, 40)}, with no other error`, t => {
			t.throws(() => parseSettings(JSON.stringify({...settings, [field]: '?'}).replace('"?"', () => json)), {instanceOf: MalformedDocumentError});
		});
	}
}
