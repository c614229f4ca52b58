/**
 * Documents that the operator and the targets write to the platform's store.
 */
import {TargetState, type Target} from '../model/fleet.js';
import type {
	CallerLimits, Route, RouteConfiguration, ServiceRule, ServiceShare,
} from '../model/route-configuration.js';
import {DocumentReader} from './document-reader.js';
import {wireKeys} from './wire.js';

/** Milliseconds in a second. */
const secondMs = 1000;

/**
 * Decodes the operator's configuration.
 *
 * @throws {MalformedDocumentError}
 */
export function decodeConfiguration(text: string): RouteConfiguration {
	const reader = DocumentReader.parse('configuration', text);
	const routes: Route[] = [];
	const services = new Map<string, ServiceRule>();
	let limits: CallerLimits | undefined;
	for (const [index, value] of reader.list('resources').entries()) {
		const resource = reader.entry(index, value);
		const specification = resource.object('spec');
		switch (resource.oneOf('resourceType', ['routes', 'services', 'limits'])) {
			case 'routes': {
				routes.push(decodeRoute(resource.object('metadata').text('name'), specification));
				break;
			}

			case 'services': {
				const name = resource.object('metadata').text('name');
				services.set(name, decodeService(name, specification));
				break;
			}

			case 'limits': {
				limits = decodeLimits(specification);
				break;
			}
		}
	}

	const configuration = {
		version: reader.whole('version'), routes, services, limits: limits ?? decodeLimits(reader.object('limits')),
	};
	reader.finish();
	return configuration;
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

function decodeRoute(name: string, reader: DocumentReader): Route {
	return {
		name,
		host: reader.text('host').toLowerCase(),
		prefix: reader.text('prefix'),
		shares: decodeShares(reader),
		isIdempotent: reader.oneOf('kind', ['safe', 'unsafe']) === 'safe',
		timeoutMs: reader.number('timeoutMs', 1),
		targetLatencyMs: reader.number('targetLatencyMs'),
		priority: reader.whole('priority'),
		maxAttempts: reader.whole('maxAttempts', 1),
	};
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

function decodeService(name: string, reader: DocumentReader): ServiceRule {
	return {
		name,
		healthPath: reader.text('healthPath'),
		maxConnections: reader.whole('maxConnections', 1),
		isKeyed: reader.isTrue('sharded'),
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
