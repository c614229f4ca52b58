/**
 * Finds the route of a request and the service that receives it.
 */
import type {Route, RouteConfiguration, ServiceRule} from '../../model/route-configuration.js';

type IndexedRoute = {
	route: Route;
	/** Current weight of each share; the share with the highest is next. */
	currentWeights: number[];
	totalWeight: number;
};

/** Index of the routes of one configuration version. */
export class RouteIndex {
	private readonly byHost = new Map<string, IndexedRoute[]>();

	constructor(readonly configuration: RouteConfiguration) {
		for (const route of configuration.routes) {
			const routes = this.byHost.get(route.host) ?? [];
			const totalWeight = route.shares.reduce((sum, {weight}) => sum + weight, 0);
			routes.push({route, currentWeights: route.shares.map(() => 0), totalWeight});
			this.byHost.set(route.host, routes);
		}

		for (const routes of this.byHost.values()) {
			routes.sort((left, right) => right.route.prefix.length - left.route.prefix.length);
		}
	}

	/** Returns the route with the longest matching path prefix. */
	routeOf(host: string, path: string): Route | undefined {
		return this.findRoute(host, path)?.route;
	}

	/** Distributes the requests of a route among its services, exactly in proportion to their weights. */
	nextService(host: string, path: string): ServiceRule | undefined {
		const indexed = this.findRoute(host, path);
		if (!indexed) {
			return undefined;
		}

		const share = indexed.route.shares[nextShare(indexed)];
		return share && this.configuration.services.get(share.service);
	}

	private findRoute(host: string, path: string): IndexedRoute | undefined {
		const name = host.toLowerCase().replace(/:\d+$/v, '');
		return this.byHost.get(name)?.find(({route}) => path.startsWith(route.prefix));
	}
}

/** Smooth weighted round robin: shares are interleaved and keep their proportions over any span of requests. */
function nextShare({route, currentWeights, totalWeight}: IndexedRoute): number {
	let best = 0;
	for (const [index, {weight}] of route.shares.entries()) {
		currentWeights[index] = (currentWeights[index] ?? 0) + weight;
		if ((currentWeights[index] ?? 0) > (currentWeights[best] ?? 0)) {
			best = index;
		}
	}

	currentWeights[best] = (currentWeights[best] ?? 0) - totalWeight;
	return best;
}
