/**
 * Documents that the operator and the targets write to the platform's store.
 */
import {TargetState, type Target} from '../model/fleet.js';
import {
	initialLimits, type CallerLimits, type Route, type RouteConfiguration, type ServiceRule, type ServiceShare,
} from '../model/route-configuration.js';
import {DocumentReader} from './document-reader.js';
import {wireKeys} from './wire.js';

/** Milliseconds in a second. */
const secondMs = 1000;

/** Kinds of routes, and whether their requests may run more than once. */
const routeKinds: ReadonlyMap<string, boolean> = new Map([
	['safe', true],
	['unsafe', false],
	// Safe requests with large answers.
	['download', true],
]);

/** Time limit of a route whose own cannot be read, in milliseconds; the longest of the users' short kinds of requests. */
const defaultTimeoutMs = 1000;

/** Rank of a route whose own cannot be read. */
const leastUrgentPriority = 9;

/**
 * Decodes the operator's configuration. A part that cannot be understood costs only itself and is named in `faults`.
 *
 * @param earlier configuration in force; says which requests a route that has become unreadable may concern
 * @throws {MalformedDocumentError} if the document has no list of resources or no version
 */
export function decodeConfiguration(text: string, earlier?: RouteConfiguration): RouteConfiguration {
	const reader = DocumentReader.parse('configuration', text);
	const version = reader.whole('version');
	const resources = reader.list('resources');
	reader.finish();
	const configuration: RouteConfiguration = {
		version, routes: [], services: new Map(), limits: earlier?.limits ?? initialLimits, hasUnknownRoutes: false, hasUnknownLimits: false, faults: [],
	};
	for (const [index, value] of resources.entries()) {
		addResource(configuration, value, {name: nameOf(value) ?? `#${index}`, earlier});
	}

	return configuration;
}

type ResourceContext = {
	/** Name in the document, or its place if it has none. */
	name: string;
	earlier: RouteConfiguration | undefined;
};

function addResource(configuration: RouteConfiguration, value: unknown, {name, earlier}: ResourceContext): void {
	const reader = new DocumentReader(name, value);
	const specification = reader.object('spec');
	const type = reader.text('resourceType');
	switch (type) {
		case 'routes': {
			const route = decodeRoute(name, specification, earlier?.routes.find(known => known.name === name));
			configuration.hasUnknownRoutes ||= !isPlaced(specification);
			if (route) {
				configuration.routes.push(route);
			}

			break;
		}

		case 'services': {
			configuration.services.set(name, decodeService(name, specification, earlier?.services.get(name)));
			break;
		}

		case 'limits': {
			const limits = decodeLimits(specification);
			configuration.hasUnknownLimits ||= reader.hasFaults;
			if (!reader.hasFaults) {
				configuration.limits = limits;
			}

			break;
		}

		default: {
			reader.noteFault(`the resource type ${type} is unknown`);
			configuration.hasUnknownRoutes ||= type === '';
			configuration.hasUnknownLimits ||= type === '';
		}
	}

	configuration.faults.push(...reader.foundFaults);
}

function nameOf(resource: unknown): string | undefined {
	const name = (resource as {metadata?: {name?: unknown}} | undefined)?.metadata?.name;
	return typeof name === 'string' && name !== '' ? name : undefined;
}

/**
 * Decodes the entry of a target.
 *
 * @param key key of the entry; the id of the target appears nowhere else
 * @throws {MalformedDocumentError}
 */
export function decodeTarget(key: string, text: string): Target {
	const reader = DocumentReader.parse(key, text);
	const target: Target = {
		id: key.slice(wireKeys.targets.length),
		bornAt: reader.whole('born'),
		address: reader.address('address'),
		service: reader.text('service'),
		availabilityZone: reader.text('zone'),
		softwareVersion: reader.text('version'),
		slots: reader.whole('slots', 1),
		state: reader.oneOf('state', ['ready', 'draining']) === 'ready' ? TargetState.Ready : TargetState.Draining,
		warmUpLeftMs: reader.number('warmupLeftMs'),
	};
	// The count of heartbeats serves nothing here, but an entry without it was written by someone else.
	reader.whole('sequence');
	reader.finish();
	return target;
}

/**
 * Decodes a route. Where it goes must be readable: requests are refused otherwise, because the services of an earlier
 * version may no longer run them. Other fields have defaults that keep every promise.
 */
function decodeRoute(name: string, reader: DocumentReader, earlier: Route | undefined): Route | undefined {
	const host = reader.text('host').toLowerCase() || earlier?.host;
	const prefix = reader.text('prefix') || earlier?.prefix;
	if (!host || !prefix) {
		return undefined;
	}

	const shares = decodeShares(reader);
	const isReadable = !reader.hasFaults;
	const kind = reader.text('kind');
	if (!routeKinds.has(kind)) {
		reader.noteFault(`the kind ${kind} is unknown, so that no request is repeated`);
	}

	return {
		name,
		host,
		prefix,
		shares: isReadable ? shares : [],
		isIdempotent: routeKinds.get(kind) ?? false,
		timeoutMs: reader.number('timeoutMs', 1, earlier?.timeoutMs ?? defaultTimeoutMs),
		targetLatencyMs: reader.number('targetLatencyMs', 0, earlier?.targetLatencyMs ?? defaultTimeoutMs),
		priority: reader.whole('priority', 0, earlier?.priority ?? leastUrgentPriority),
		maxAttempts: reader.whole('maxAttempts', 1, 1),
	};
}

/** True if a route says for which requests it is, so that no other request can be its own. */
function isPlaced(reader: DocumentReader): boolean {
	return reader.hasText('host') && reader.hasText('prefix');
}

function decodeShares(reader: DocumentReader): ServiceShare[] {
	if (!reader.has('trafficSplit')) {
		return [{service: reader.text('service'), weight: 1}];
	}

	return reader.list('trafficSplit').map((value, index) => {
		const share = reader.entry(index, value);
		return {service: share.text('service'), weight: share.number('weight')};
	});
}

function decodeService(name: string, reader: DocumentReader, earlier: ServiceRule | undefined): ServiceRule {
	return {
		name,
		healthPath: reader.text('healthPath', earlier?.healthPath ?? '/'),
		maxConnections: reader.whole('maxConnections', 1, earlier?.maxConnections ?? 1),
		isKeyed: reader.isTrue('sharded', earlier?.isKeyed ?? false),
		keyWarmUpMs: reader.has('warmS') ? reader.number('warmS') * secondMs : 0,
	};
}

function decodeLimits(reader: DocumentReader): CallerLimits {
	return {
		maxHeaderBytes: reader.whole('maxHeaderBytes', 1),
		maxBodyBytes: reader.whole('maxBodyBytes'),
		headerTimeoutMs: reader.whole('headerTimeoutMs', 1),
		idleTimeoutMs: reader.whole('idleTimeoutMs', 1),
	};
}
