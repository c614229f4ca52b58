/**
 * Decodes the documents that the operator and the targets write to the platform's store.
 */
import {MalformedDocumentError} from '../model/errors.js';
import {TargetState, type Target} from '../model/fleet.js';
import {
	initialLimits, type CallerLimits, type Route, type RouteConfiguration, type ServiceRule, type ServiceShare,
} from '../model/route-configuration.js';
import {highestLimitPerS} from '../model/target-statement.js';
import {
	DocumentReader, faultLimit, isName, longestTimeMs, type DocumentBounds,
} from './document-reader.js';
import {wireKeys} from './wire.js';

/** Milliseconds in a second. */
const secondMs = 1000;

/** Bounds of a target's entry, which has ten short fields on one level. */
const entryBounds: DocumentBounds = {maxCharacters: 16_384, maxDepth: 16};

/**
 * Bounds of the configuration. An answer of the store with a larger one is not read. Its depth is not bounded: unknown parts are
 * skipped however deep they are, and one of them must not cost the others.
 */
const configurationBounds: DocumentBounds = {maxCharacters: 16_777_216};

/** Most requests that a target processes concurrently; far more than one process can. */
const maxSlots = 100_000;

/** Longest warm-up of a target in milliseconds, one hour; targets warm up within seconds. */
const maxWarmUpMs = 3_600_000;

/**
 * Latest start of a target: the year 2100 in Unix milliseconds. The VM's clock is no bound, because clocks jump; an earlier start
 * than the true one does no harm, because a later one replaces it.
 */
const latestBirth = 4_102_444_800_000;

/** Lowest and highest rate of a cold target that is used, in requests a second; a rate of 0 would keep it cold without any use. */
const warmUpRateBounds = {minimum: 0.1, maximum: highestLimitPerS};

/** Rate of a cold target of a service whose configuration states one that cannot be read, in requests a second. */
const unreadableWarmUpPerS = 1;

/** Longest host or path, in characters; larger ones do not fit into the headers of a request. */
const longestPath = 8192;

/** Highest weight of a share, and most connections to a target; sums of them stay exact. */
const highestWeight = 1e9;
const maxConnections = 1_000_000;

/** For each kind of route, whether its requests may be repeated. */
const isIdempotentByKind: ReadonlyMap<string, boolean> = new Map([
	['safe', true],
	['unsafe', false],
	// Safe requests with large answers.
	['download', true],
]);

/** Timeout of a route without a readable one, in milliseconds. It is the longest timeout of the users' short request kinds. */
const defaultTimeoutMs = 1000;

/** Priority of a route without a readable one. It is the least urgent. */
const defaultPriority = 9;

/**
 * Decodes the operator's configuration. A malformed resource is reported in `faults` and does not affect the others.
 *
 * @param earlier active configuration; its values replace malformed fields, such as host and prefix of a route that refuses requests
 * @throws {MalformedDocumentError} if the version or the list of resources is missing
 */
export function decodeConfiguration(text: string, earlier?: RouteConfiguration): RouteConfiguration {
	const reader = DocumentReader.parse('configuration', text, configurationBounds);
	const version = reader.integer('version');
	const resources = reader.list('resources');
	reader.throwOnFaults();
	const configuration: RouteConfiguration = {
		version, routes: [], services: new Map(), limits: earlier?.limits ?? initialLimits, hasUnknownRoutes: false, hasUnknownLimits: false, faults: [],
	};
	const known = new Set<string>();
	for (const [index, value] of resources.entries()) {
		addResource(configuration, value, {name: nameOf(value) ?? `#${index}`, earlier, known});
	}

	return configuration;
}

type ResourceContext = {
	/** Name of the resource, or its index if it has none. */
	name: string;
	earlier: RouteConfiguration | undefined;
	/** Types and names of the resources before this one. */
	known: Set<string>;
};

function addResource(configuration: RouteConfiguration, value: unknown, {name, earlier, known}: ResourceContext): void {
	const reader = new DocumentReader(name, value);
	const specification = reader.object('spec');
	const type = reader.text('resourceType');
	switch (type) {
		case 'routes': {
			const route = decodeRoute(name, specification, earlier?.routes.find(route => route.name === name));
			configuration.hasUnknownRoutes ||= !hasMatchFields(specification);
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
			reader.addFault(`unknown resource type ${type}`);
			configuration.hasUnknownRoutes ||= type === '';
			configuration.hasUnknownLimits ||= type === '';
		}
	}

	if (hasUnreadableName(value)) {
		reader.addFault('expected a readable name');
	}

	if (known.has(`${type} ${name}`)) {
		reader.addFault(`an earlier resource of type ${type} has the same name`);
	}

	known.add(`${type} ${name}`);

	configuration.faults.push(...reader.foundFaults.slice(0, faultLimit - configuration.faults.length));
}

function nameOf(resource: unknown): string | undefined {
	const name = (resource as {metadata?: {name?: unknown}} | undefined)?.metadata?.name;
	return typeof name === 'string' && isName(name) ? name : undefined;
}

function hasUnreadableName(resource: unknown): boolean {
	return nameOf(resource) === undefined && Boolean((resource as {metadata?: {name?: unknown}} | undefined)?.metadata?.name);
}

/**
 * Decodes the entry of a target.
 *
 * @param key key of the entry; the only place that holds the target's id
 * @throws {MalformedDocumentError}
 */
export function decodeTarget(key: string, text: string): Target {
	const reader = DocumentReader.parse(key, text, entryBounds);
	const target: Target = {
		id: key.slice(wireKeys.targets.length),
		bornAt: reader.integer('born', {maximum: latestBirth}),
		address: reader.address('address'),
		service: reader.text('service'),
		availabilityZone: reader.text('zone'),
		softwareVersion: reader.text('version'),
		slots: reader.integer('slots', {minimum: 1, maximum: maxSlots}),
		state: reader.oneOf('state', ['ready', 'draining']) === 'ready' ? TargetState.Ready : TargetState.Draining,
		warmUpLeftMs: reader.number('warmupLeftMs', {maximum: maxWarmUpMs}),
	};
	// The id is sent to the target in a header.
	if (!/^[\u0021-\u007E]+$/v.test(target.id) || !isName(target.id)) {
		reader.addFault('expected a key that ends with the id of a target');
	}

	// The heartbeat count is not used, but an entry without it was not written by a target.
	reader.integer('sequence');
	reader.throwOnFaults();
	return target;
}

/**
 * Returns the availability zone that a key evacuates. The value is ignored, so that an unreadable one does not disable the
 * evacuation.
 *
 * @throws {MalformedDocumentError} if the key ends with no name of a zone
 */
export function decodeEvacuation(key: string): string {
	const availabilityZone = key.slice(wireKeys.evacuations.length);
	if (!isName(availabilityZone)) {
		throw new MalformedDocumentError(key, ['expected a key that ends with the name of an availability zone']);
	}

	return availabilityZone;
}

/**
 * Decodes a route. If its host, prefix or services are malformed, its requests are refused, because the services of the
 * earlier version may no longer be allowed to run them. Other malformed fields get the earlier value or a safe default.
 */
function decodeRoute(name: string, reader: DocumentReader, earlier: Route | undefined): Route | undefined {
	const host = reader.text('host', {maxCharacters: longestPath}).toLowerCase() || earlier?.host;
	const prefix = reader.text('prefix', {maxCharacters: longestPath}) || earlier?.prefix;
	if (!host || !prefix) {
		return undefined;
	}

	const shares = decodeShares(reader);
	const isReadable = !reader.hasFaults;
	const kind = reader.text('kind');
	if (!isIdempotentByKind.has(kind)) {
		reader.addFault(`unknown kind ${kind}; requests will not be retried`);
	}

	return {
		name,
		host,
		prefix,
		shares: isReadable ? shares : [],
		isIdempotent: isIdempotentByKind.get(kind) ?? false,
		timeoutMs: reader.number('timeoutMs', {minimum: 1, maximum: longestTimeMs, fallback: earlier?.timeoutMs ?? defaultTimeoutMs}),
		targetLatencyMs: reader.number('targetLatencyMs', {maximum: longestTimeMs, fallback: earlier?.targetLatencyMs ?? defaultTimeoutMs}),
		priority: reader.integer('priority', {fallback: earlier?.priority ?? defaultPriority}),
		maxAttempts: reader.integer('maxAttempts', {minimum: 1}),
	};
}

/** True if a route states host and prefix, so that it is known which requests it matches. */
function hasMatchFields(reader: DocumentReader): boolean {
	return reader.hasText('host') && reader.hasText('prefix');
}

function decodeShares(reader: DocumentReader): ServiceShare[] {
	if (!reader.has('trafficSplit')) {
		return [{service: reader.text('service'), weight: 1}];
	}

	return reader.list('trafficSplit').map((value, index) => {
		const share = reader.listItem(index, value);
		return {service: share.text('service'), weight: share.number('weight', {maximum: highestWeight})};
	});
}

function decodeService(name: string, reader: DocumentReader, earlier: ServiceRule | undefined): ServiceRule {
	return {
		name,
		healthPath: decodePath(reader, earlier?.healthPath ?? '/'),
		maxConnections: reader.integer('maxConnections', {minimum: 1, maximum: maxConnections, fallback: earlier?.maxConnections ?? 1}),
		isKeyed: reader.boolean('sharded', earlier?.isKeyed ?? false),
		keyWarmUpMs: reader.has('warmS') ? reader.number('warmS', {maximum: longestTimeMs / secondMs, fallback: (earlier?.keyWarmUpMs ?? 0) / secondMs}) * secondMs : 0,
		...(reader.has('warmupPerS') && {warmUpPerS: reader.number('warmupPerS', {...warmUpRateBounds, fallback: earlier?.warmUpPerS ?? unreadableWarmUpPerS})}),
		...(reader.has('warmupS') && {warmUpMs: reader.number('warmupS', {maximum: maxWarmUpMs / secondMs, fallback: (earlier?.warmUpMs ?? 0) / secondMs}) * secondMs}),
	};
}

/** A path that is no path could not be requested, so that no target of the service would count as alive. */
function decodePath(reader: DocumentReader, fallback: string): string {
	const path = reader.text('healthPath', {fallback, maxCharacters: longestPath});
	if (/^\/[\u0021-\u007E]*$/v.test(path)) {
		return path;
	}

	reader.addFault('healthPath: expected a path');
	return fallback;
}

function decodeLimits(reader: DocumentReader): CallerLimits {
	return {
		maxHeaderBytes: reader.integer('maxHeaderBytes', {minimum: 1}),
		maxBodyBytes: reader.integer('maxBodyBytes'),
		headerTimeoutMs: reader.integer('headerTimeoutMs', {minimum: 1, maximum: longestTimeMs}),
		idleTimeoutMs: reader.integer('idleTimeoutMs', {minimum: 1, maximum: longestTimeMs}),
	};
}
