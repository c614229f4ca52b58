/**
 * Routes and documents of a soak.
 */
import {createHash} from 'node:crypto';
import {healthPath} from '../standins/platform-target-server.js';

/** Names of the routes; each is the first segment of its paths. */
export enum RouteName {
	/** Not to be repeated, with a key. */
	Records = 'records',
	/** Safe, with a key. */
	Lookup = 'lookup',
	Status = 'status',
	/** Not to be repeated. */
	Orders = 'orders',
	/** Large answers. */
	Files = 'files',
}

export enum ServiceName {
	Keyed = 'registry',
	Plain = 'archive',
}

export type TrafficRoute = {
	isKeyed: boolean;
	isSafe: boolean;
	timeoutMs: number;
	longestWorkMs: number;
	bodyBytes: [number, number];
};

export const trafficRoutes: Record<RouteName, TrafficRoute> = {
	[RouteName.Records]: {
		isKeyed: true, isSafe: false, timeoutMs: 1500, longestWorkMs: 300, bodyBytes: [10, 2000],
	},
	[RouteName.Lookup]: {
		isKeyed: true, isSafe: true, timeoutMs: 1500, longestWorkMs: 200, bodyBytes: [10, 20_000],
	},
	[RouteName.Status]: {
		isKeyed: false, isSafe: true, timeoutMs: 2000, longestWorkMs: 1200, bodyBytes: [10, 20_000],
	},
	[RouteName.Orders]: {
		isKeyed: false, isSafe: false, timeoutMs: 3000, longestWorkMs: 1200, bodyBytes: [10, 2000],
	},
	[RouteName.Files]: {
		isKeyed: false, isSafe: true, timeoutMs: 4000, longestWorkMs: 100, bodyBytes: [200_000, 3_000_000],
	},
};

export const hostName = 'soak.example';

export const keyCount = 65_536;

/** Bytes of a target's answer. */
export function bodyOf(requestId: string, byteCount: number): Uint8Array {
	return new TextEncoder().encode(requestId.padEnd(byteCount, requestId));
}

/** Seal of a target's answer; a body that is not whole does not match it. */
export function sealOf(requestId: string, status: number, body: Uint8Array): string {
	return createHash('sha1').update(`${requestId} ${status} `).update(body).digest('hex');
}

/** Text of the operator's configuration. Each version adds a route of its own. */
export function configurationText(version: number, oddResources: unknown[] = []): string {
	return JSON.stringify({
		version,
		resources: [
			...Object.values(RouteName).map(name => routeResource(name, name)),
			routeResource(`version-${version}`, RouteName.Status),
			{
				resourceType: 'services', metadata: {name: ServiceName.Keyed}, spec: {
					healthPath, maxConnections: 300, sharded: true, warmS: 1,
				},
			},
			{resourceType: 'services', metadata: {name: ServiceName.Plain}, spec: {healthPath, maxConnections: 300}},
			{
				resourceType: 'limits', metadata: {name: 'limits'}, spec: {
					maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
				},
			},
			...oddResources,
		],
	});
}

function routeResource(prefix: string, name: RouteName): unknown {
	const {isKeyed, isSafe, timeoutMs} = trafficRoutes[name];
	return {
		resourceType: 'routes', metadata: {name: prefix}, spec: {
			host: hostName, prefix: `/${prefix}/`, kind: isSafe ? 'safe' : 'unsafe', timeoutMs, targetLatencyMs: 300, priority: 1,
			service: isKeyed ? ServiceName.Keyed : ServiceName.Plain, maxAttempts: 2,
		},
	};
}

/** Levels of a nested value, more than a recursive reader survives. */
const nestingLevels = 20_000;

/** Larger than any whole number that a double holds exactly. */
const hugeNumber = 1e308;

const entry = {
	service: ServiceName.Keyed, address: '127.0.0.1:80', zone: 'zone-a', version: 'v1', slots: 3, state: 'ready', warmupLeftMs: 0, sequence: 1, born: 1,
};

/** Text of an entry of another writer. Each names a server that does not exist. */
export function oddEntryText(index: number): string {
	const deep = `${'['.repeat(nestingLevels)}${']'.repeat(nestingLevels)}`;
	const texts = [
		JSON.stringify({...entry, address: '127.0.0.1:99999'}),
		JSON.stringify({...entry, address: '999.0.0.1:80'}),
		JSON.stringify({...entry, service: ServiceName.Plain, address: '999.0.0.1:80'}),
		JSON.stringify({...entry, service: '__proto__'}),
		`${JSON.stringify(entry).slice(0, -1)},"__proto__":{"state":"ready"},"address":7}`,
		`${JSON.stringify(entry).slice(0, -1)},"state":${deep}}`,
		deep,
		`${JSON.stringify(entry).slice(0, -1)},"address":null,"slots":${hugeNumber},"born":${hugeNumber}}`,
		JSON.stringify({...entry, address: '127.0.0.1:0'}),
		JSON.stringify({...entry, state: 'gone', slots: -1}),
		'null',
		'{"service":',
	];
	return texts[index % texts.length];
}

/** Odd resources of a configuration that the store accepts; none of them concerns the other resources. */
export function oddResources(index: number): unknown[] {
	const spec = {
		host: 'odd.example', prefix: '/odd/', kind: 'safe', timeoutMs: 1000, targetLatencyMs: 300, priority: 1, service: ServiceName.Plain, maxAttempts: 2,
	};
	const odd: unknown[] = [
		{resourceType: 'quotas', metadata: {name: 'odd'}, spec: {}},
		{resourceType: 'routes', metadata: {name: '__proto__'}, spec},
		{resourceType: 'routes', metadata: {name: 'odd'}, spec: {...spec, timeoutMs: hugeNumber, priority: Number.MAX_SAFE_INTEGER}},
		{resourceType: 'services', metadata: {name: '__proto__'}, spec: {healthPath, maxConnections: Number.MAX_SAFE_INTEGER}},
		{resourceType: 'routes', metadata: {name: 'odd'}, spec: {...spec, trafficSplit: 'all'}},
		{resourceType: 'routes', metadata: {name: 'odd'}, spec: {...spec, kind: 'unknown', service: 'constructor'}},
	];
	return [odd[index % odd.length]];
}
