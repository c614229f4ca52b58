import {readFile} from 'node:fs/promises';
import test from 'ava';
import fc from 'fast-check';
import {MalformedDocumentError} from '../../src/model/errors.js';
import {TargetState} from '../../src/model/fleet.js';
import {decodeConfiguration, decodeTarget} from '../../src/platform/documents.js';
import {parseSettings} from '../../src/platform/settings.js';
import {readCallerHeaders} from '../../src/platform/target-protocol.js';

const entry = {
	service: 'service', address: '10.0.0.1:80', zone: 'zone-a', version: 'v1', slots: 3, state: 'ready', warmupLeftMs: 0, sequence: 4, born: 1_800_000_000_000,
};

const configuration = {
	version: 7,
	resources: [
		{
			resourceType: 'routes',
			metadata: {name: 'split'},
			spec: {
				host: 'Host.example',
				prefix: '/a/',
				kind: 'safe',
				timeoutMs: 800,
				targetLatencyMs: 300,
				priority: 2,
				trafficSplit: [{service: 'one', weight: 90}, {service: 'two', weight: 10}],
				maxAttempts: 2,
			},
		},
		{
			resourceType: 'routes',
			metadata: {name: 'order'},
			spec: {
				host: 'host.example', prefix: '/b/', kind: 'unsafe', timeoutMs: 1000, targetLatencyMs: 400, priority: 1, service: 'two', maxAttempts: 3,
			},
		},
		{
			resourceType: 'services', metadata: {name: 'one'}, spec: {
				healthPath: '/health', maxConnections: 110, sharded: true, warmS: 3,
			},
		},
		{resourceType: 'services', metadata: {name: 'two'}, spec: {healthPath: '/health', maxConnections: 90}},
		{
			resourceType: 'limits',
			metadata: {},
			spec: {
				maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
		},
	],
};

test('should decode a configuration into routes, services and limits', t => {
	const decoded = decodeConfiguration(JSON.stringify(configuration));
	t.is(decoded.version, 7);
	t.deepEqual(decoded.routes.map(({name, host, isIdempotent, shares}) => ({
		name, host, isIdempotent, shares,
	})), [
		{
			name: 'split', host: 'host.example', isIdempotent: true, shares: [{service: 'one', weight: 90}, {service: 'two', weight: 10}],
		},
		{
			name: 'order', host: 'host.example', isIdempotent: false, shares: [{service: 'two', weight: 1}],
		},
	]);
	t.deepEqual([...decoded.services.values()].map(({name, isKeyed, keyWarmUpMs}) => ({name, isKeyed, keyWarmUpMs})), [
		{name: 'one', isKeyed: true, keyWarmUpMs: 3000},
		{name: 'two', isKeyed: false, keyWarmUpMs: 0},
	]);
	t.is(decoded.limits.idleTimeoutMs, 15_000);
});

type Resource = {resourceType: string; metadata: Record<string, unknown>; spec: Record<string, unknown>};

/** The configuration with some fields of the first route replaced. */
function withRoute(specification: Record<string, unknown>): string {
	const [route, ...others] = configuration.resources as Resource[];
	return JSON.stringify({...configuration, resources: [{...route, spec: {...route?.spec, ...specification}}, ...others]});
}

const kinds = [
	{kind: 'safe', isIdempotent: true, faults: 0},
	{kind: 'unsafe', isIdempotent: false, faults: 0},
	{kind: 'download', isIdempotent: true, faults: 0},
	{kind: 'of the future', isIdempotent: false, faults: 1},
	{kind: undefined, isIdempotent: false, faults: 2},
];

for (const {kind, isIdempotent, faults} of kinds) {
	test(`should decode a route whose kind is ${kind ?? 'missing'}`, t => {
		const decoded = decodeConfiguration(withRoute({kind}));
		t.is(decoded.routes[0]?.isIdempotent, isIdempotent);
		t.is(decoded.routes[0]?.shares.length, 2);
		t.is(decoded.faults.length, faults);
	});
}

const malformedRoutes: Array<{title: string; specification: Record<string, unknown>; expected: Record<string, unknown> | undefined}> = [
	{title: 'no host', specification: {host: undefined}, expected: {host: 'host.example', prefix: '/a/', shares: []}},
	{title: 'a malformed prefix', specification: {prefix: 7}, expected: {host: 'host.example', prefix: '/a/', shares: []}},
	{title: 'no service', specification: {trafficSplit: undefined}, expected: {host: 'host.example', prefix: '/a/', shares: []}},
	{title: 'a traffic share without weight', specification: {trafficSplit: [{service: 'one'}]}, expected: {shares: []}},
	{title: 'a malformed timeout', specification: {timeoutMs: 'soon'}, expected: {timeoutMs: 800}},
	{title: 'a negative target latency', specification: {targetLatencyMs: -1}, expected: {targetLatencyMs: 300}},
	{title: 'no priority', specification: {priority: null}, expected: {priority: 2}},
	{title: 'an attempt limit of 0', specification: {maxAttempts: 0}, expected: {maxAttempts: 1}},
];

for (const {title, specification, expected} of malformedRoutes) {
	test(`should use the other parts of a configuration in which a route has ${title}`, t => {
		const earlier = decodeConfiguration(JSON.stringify(configuration));
		const decoded = decodeConfiguration(withRoute(specification), earlier);
		t.like(decoded.routes[0], expected!);
		t.deepEqual(decoded.routes[1], earlier.routes[1]);
		t.true(decoded.faults.length > 0);
		t.true(decoded.faults.every(fault => fault.startsWith('split')));
	});
}

type UnknownResource = {
	title: string;
	resource: Record<string, unknown>;
	hasUnknownRoutes: boolean;
	hasUnknownLimits: boolean;
};

const unknownResources: UnknownResource[] = [
	{
		title: 'a new route without a host',
		resource: {resourceType: 'routes', metadata: {name: 'new'}, spec: {prefix: '/c/', kind: 'safe', service: 'one'}},
		hasUnknownRoutes: true,
		hasUnknownLimits: false,
	},
	{
		title: 'a new route without a prefix',
		resource: {resourceType: 'routes', metadata: {name: 'new'}, spec: {host: 'h', kind: 'safe', service: 'one'}},
		hasUnknownRoutes: true,
		hasUnknownLimits: false,
	},
	{
		title: 'a known route without a host',
		resource: {resourceType: 'routes', metadata: {name: 'split'}, spec: {prefix: '/a/', kind: 'safe', service: 'one'}},
		hasUnknownRoutes: true,
		hasUnknownLimits: false,
	},
	{
		title: 'a resource without a type',
		resource: {metadata: {name: 'new'}, spec: {}},
		hasUnknownRoutes: true,
		hasUnknownLimits: true,
	},
	{
		title: 'a resource of an unknown type',
		resource: {resourceType: 'quotas', metadata: {name: 'new'}, spec: {}},
		hasUnknownRoutes: false,
		hasUnknownLimits: false,
	},
	{
		title: 'malformed limits',
		resource: {resourceType: 'limits', metadata: {}, spec: {maxHeaderBytes: 'many'}},
		hasUnknownRoutes: false,
		hasUnknownLimits: true,
	},
];

for (const {title, resource, hasUnknownRoutes, hasUnknownLimits} of unknownResources) {
	test(`should mark which parts of a configuration with ${title} are unknown`, t => {
		const earlier = decodeConfiguration(JSON.stringify(configuration));
		const decoded = decodeConfiguration(JSON.stringify({...configuration, resources: [...configuration.resources, resource]}), earlier);
		t.like(decoded, {hasUnknownRoutes, hasUnknownLimits});
	});
}

test('should not lose other routes and services because of a malformed resource', t => {
	const earlier = decodeConfiguration(JSON.stringify(configuration));
	fc.assert(fc.property(fc.jsonValue(), fc.constantFrom('resourceType', 'metadata', 'spec'), fc.boolean(), (value, field, isKnown) => {
		const [route, ...others] = configuration.resources as Resource[];
		const text = JSON.stringify({...configuration, resources: [{...route, [field]: value}, ...others]});
		const decoded = decodeConfiguration(text, isKnown ? earlier : undefined);
		t.deepEqual(decoded.routes.find(({name}) => name === 'order'), earlier.routes[1]);
		t.deepEqual([...decoded.services.keys()].filter(name => name === 'one' || name === 'two'), ['one', 'two']);
	}), {seed: 1, numRuns: 300});
});

const rejectedConfigurations = [
	{title: 'no version', text: JSON.stringify({...configuration, version: undefined})},
	{title: 'no list of resources', text: JSON.stringify({...configuration, resources: {}})},
	{title: 'null instead of an object', text: 'null'},
];

for (const {title, text} of rejectedConfigurations) {
	test(`should reject a configuration with ${title}`, t => {
		t.throws(() => decodeConfiguration(text), {instanceOf: MalformedDocumentError});
	});
}

test('should decode the entry of a target and take its id from the key', t => {
	const target = decodeTarget('servers/i-1', JSON.stringify(entry));
	t.is(target.id, 'i-1');
	t.is(target.bornAt, entry.born);
	t.is(target.state, TargetState.Ready);
});

const malformedEntries: Array<{title: string; text: string}> = [
	{title: 'bytes that are not JSON', text: '\u0000\u0001'},
	{title: 'an array instead of an object', text: '[]'},
	{title: 'no service', text: JSON.stringify({...entry, service: undefined})},
	{title: 'an unknown state', text: JSON.stringify({...entry, state: 'asleep'})},
	{title: 'slots of the wrong type', text: JSON.stringify({...entry, slots: '3'})},
	{title: 'no start time', text: JSON.stringify({...entry, born: undefined})},
	{title: 'a start time that is not an integer', text: JSON.stringify({...entry, born: 1.5})},
	{title: 'an address without a port', text: JSON.stringify({...entry, address: '10.0.0.1'})},
];

for (const {title, text} of malformedEntries) {
	test(`should reject the entry of a target with ${title}`, t => {
		t.throws(() => decodeTarget('servers/i-1', text), {instanceOf: MalformedDocumentError});
	});
}

test('should report every fault of the settings at once', t => {
	const error = t.throws(() => parseSettings('{"daemon": 5, "callerAddress": "somewhere"}'), {instanceOf: MalformedDocumentError});
	t.true((error?.faults.length ?? 0) > 10);
	t.true(error?.faults.includes('settings.daemon: expected a non-empty string, found 5'));
	t.true(error?.faults.some(fault => fault.startsWith('settings.callerAddress: expected IP:PORT')));
});

test('should ignore unknown settings', async t => {
	const template = await readFile('deploy/settings.template.json', 'utf8');
	const values = new Map([
		['listen.front', '"10.0.0.1:1"'],
		['listen.readyAddress', '"10.0.0.1:2"'],
		['platform.address', '"10.0.0.2:3"'],
		['internalPorts', '[7000, 7010]'],
		['nodeName', '"front-1"'],
		['zone', '"zone-a"'],
		['ip', '"10.0.0.1"'],
	]);
	const text = template.replaceAll(/\{\{([\w.]+)\|json\}\}/gv, (_, name: string) => values.get(name) ?? '5000');
	const settings = parseSettings(text.replace('{', '{"unknown": 1, '));
	t.is(settings.daemon, 'front-1');
	t.deepEqual(settings.peerPorts, [7000, 7010]);
});

for (const {title, rendered, expected} of [
	{title: 'a value', rendered: '1.5', expected: 1.5},
	{title: 'nothing', rendered: '', expected: undefined},
	{title: 'null', rendered: 'null', expected: undefined},
]) {
	test(`should accept settings whose optional bounds are rendered as ${title}`, async t => {
		const template = await readFile('deploy/settings.template.json', 'utf8');
		const addresses = new Map([['internalPorts', '[7000, 7010]'], ['listen.front', '"10.0.0.1:1"'], ['listen.readyAddress', '"10.0.0.1:2"'], ['platform.address', '"10.0.0.2:3"']]);
		const names = new Set(['nodeName', 'zone', 'ip']);
		const text = template.replaceAll(/\{\{([\w.]+)\|json\}\}/gv, (_, name: string) => name.startsWith('bounds.warmup') ? rendered : addresses.get(name) ?? (names.has(name) ? '"name"' : '5000'));
		const settings = parseSettings(text);
		t.is(settings.warmUpOverrun, expected);
		t.is(settings.warmUpSlack, expected);
	});
}

test('should report an optional bound that is no number', t => {
	const error = t.throws(() => parseSettings('{"warmUpSlack": ["many"]}'), {instanceOf: MalformedDocumentError});
	t.true(error?.faults.includes('settings[0].warmUpSlack: expected a number from 0 to 1000000, found "many"'));
});

for (const {title, specification, expected} of [
	{title: 'no bound', specification: {}, expected: {}},
	{title: 'a bound', specification: {warmupPerS: 5.4, warmupS: 3}, expected: {warmUpPerS: 5.4, warmUpMs: 3000}},
	{title: 'the lowest bound if it is malformed', specification: {warmupPerS: 'all'}, expected: {warmUpPerS: 1}},
]) {
	test(`should decode a service with ${title} on cold targets`, t => {
		const text = JSON.stringify({version: 1, resources: [{resourceType: 'services', metadata: {name: 'one'}, spec: {healthPath: '/', maxConnections: 9, ...specification}}]});
		t.deepEqual(decodeConfiguration(text).services.get('one'), {
			name: 'one', healthPath: '/', maxConnections: 9, isKeyed: false, keyWarmUpMs: 0, ...expected,
		});
	});
}

test('should parse the headers of a caller and forward only end-to-end headers', t => {
	const headers = readCallerHeaders([
		'Host', 'h', 'Attempt-Id', 'a-1', 'Time-Budget-Ms', '800', 'Shard-Key', '77', 'Connection', 'keep-alive, X-Hop', 'X-Hop', '1', 'Target-Instance', 'forged', 'Content-Length', '3', 'X-Own', 'v',
	]);
	t.deepEqual(headers, {
		passed: ['Host', 'h', 'Attempt-Id', 'a-1', 'Shard-Key', '77', 'X-Own', 'v'], requestId: 'a-1', key: 77, budgetMs: 800,
	});
});
