/**
 * Finds the route of a request and the service that takes it.
 */
import type {Route, RouteConfiguration, ServiceRule} from '../../model/route-configuration.js';

type IndexedRoute = {
	route: Route;
	/** Credit of each share; the share with the most is next. */
	credits: number[];
	totalWeight: number;
};

/** Routes of one version of the configuration. */
export class RouteIndex {
	private readonly byHost = new Map<string, IndexedRoute[]>();

	constructor(readonly configuration: RouteConfiguration) {
		for (const route of configuration.routes) {
			const routes = this.byHost.get(route.host) ?? [];
			const totalWeight = route.shares.reduce((sum, {weight}) => sum + weight, 0);
			routes.push({route, credits: route.shares.map(() => 0), totalWeight});
			this.byHost.set(route.host, routes);
		}

		for (const routes of this.byHost.values()) {
			routes.sort((left, right) => right.route.prefix.length - left.route.prefix.length);
		}
	}

	/** Returns the route with the longest prefix that begins the path. */
	routeOf(host: string, path: string): Route | undefined {
		return this.entry(host, path)?.route;
	}

	/** Deals the requests of a route to its services exactly by weight. */
	nextService(host: string, path: string): ServiceRule | undefined {
		const indexed = this.entry(host, path);
		if (!indexed) {
			return undefined;
		}

		const share = indexed.route.shares[nextShare(indexed)];
		return share && this.configuration.services.get(share.service);
	}

	private entry(host: string, path: string): IndexedRoute | undefined {
		const name = host.toLowerCase().replace(/:\d+$/v, '');
		return this.byHost.get(name)?.find(({route}) => path.startsWith(route.prefix));
	}
}

/** Smooth weighted round robin: shares interleave and keep their proportions over any span. */
function nextShare({route, credits, totalWeight}: IndexedRoute): number {
	let best = 0;
	for (const [index, {weight}] of route.shares.entries()) {
		credits[index] = (credits[index] ?? 0) + weight;
		if ((credits[index] ?? 0) > (credits[best] ?? 0)) {
			best = index;
		}
	}

	credits[best] = (credits[best] ?? 0) - totalWeight;
	return best;
}
