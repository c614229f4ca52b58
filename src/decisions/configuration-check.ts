/**
 * Checks a configuration before it is sent, and compares it with the active configuration.
 */
import {
	initialLimits, parserMaxHeaderBytes, type Route, type RouteConfiguration, type ServiceRule,
} from '../model/route-configuration.js';

/** Result of a check. Requests are refused or lost on account of errors; warnings have no effect, or not the intended one. */
export type ConfigurationReport = {
	errors: string[];
	warnings: string[];
	/** Differences from the active configuration by route, service and limit. */
	differences: string[];
};

/** Checks a decoded configuration. */
export function checkConfiguration(configuration: RouteConfiguration, active?: RouteConfiguration): ConfigurationReport {
	const {routes, services, limits, version, faults} = configuration;
	const usedServices = new Set(routes.flatMap(({shares}) => shares.map(({service}) => service)));
	const errors = [
		...faults,
		...routes.filter(({shares}) => shares.length === 0).map(({name}) => `route ${name}: without services, its requests are refused`),
		...routes.flatMap(route => route.shares
			.filter(({service}) => !services.has(service))
			.map(({service}) => `route ${route.name}: service ${service} is not defined`)),
	];
	const warnings = [
		...routes.flatMap((route, index) => routeWarnings(route, routes.slice(0, index))),
		...[...services.keys()].filter(name => !usedServices.has(name)).map(name => `service ${name}: no route uses it`),
	];
	if (!statesLimits(configuration)) {
		warnings.push('limits: none are stated, so that running daemons keep the active ones');
	}

	if (limits.maxHeaderBytes > parserMaxHeaderBytes) {
		warnings.push(`limits: maxHeaderBytes ${limits.maxHeaderBytes} is above the ${parserMaxHeaderBytes} bytes that a daemon reads`);
	}

	if (active && version <= active.version) {
		warnings.push(`version ${version} is not above version ${active.version} of the active configuration`);
	}

	return {errors, warnings, differences: active ? differencesOf(active, configuration) : []};
}

/** @param earlier routes before this one in the document */
function routeWarnings(route: Route, earlier: Route[]): string[] {
	const {name, host, prefix, timeoutMs, targetLatencyMs} = route;
	const warnings: string[] = [];
	const shadow = earlier.find(other => other.host === host && other.prefix === prefix);
	if (shadow) {
		warnings.push(`route ${name}: never matches, because route ${shadow.name} has the same host and prefix`);
	}

	if (/:\d+$/v.test(host)) {
		warnings.push(`route ${name}: never matches, because host ${host} has a port`);
	}

	if (!prefix.startsWith('/') || prefix.includes('?')) {
		warnings.push(`route ${name}: never matches, because prefix ${prefix} is not the beginning of a path`);
	}

	if (targetLatencyMs > timeoutMs) {
		warnings.push(`route ${name}: targetLatencyMs ${targetLatencyMs} is above timeoutMs ${timeoutMs}`);
	}

	return warnings;
}

function differencesOf(before: RouteConfiguration, after: RouteConfiguration): string[] {
	return [
		...compareNamed('route', byName(before.routes), byName(after.routes)),
		...compareNamed('service', before.services, after.services),
		...(statesLimits(after) ? compareFields('limits', before.limits, after.limits) : []),
	];
}

/** False for a document without readable limits, whose place the decoder fills with the initial ones. */
function statesLimits({limits}: RouteConfiguration): boolean {
	return limits !== initialLimits;
}

function byName(routes: Route[]): Map<string, Route> {
	return new Map(routes.map(route => [route.name, route]));
}

function compareNamed(kind: string, before: Map<string, Route | ServiceRule>, after: Map<string, Route | ServiceRule>): string[] {
	return [...new Set([...before.keys(), ...after.keys()])].flatMap(name => {
		const [old, current] = [before.get(name), after.get(name)];
		if (!old || !current) {
			return [`${kind} ${name}: ${current ? 'added' : 'removed'}`];
		}

		return compareFields(`${kind} ${name}`, old, current);
	});
}

function compareFields(title: string, before: Record<string, unknown>, after: Record<string, unknown>): string[] {
	return [...new Set([...Object.keys(before), ...Object.keys(after)])].flatMap(field => {
		const [from, to] = [before, after].map(fields => JSON.stringify(fields[field]) ?? 'none');
		return from === to ? [] : [`${title}: ${field} ${from} becomes ${to}`];
	});
}
