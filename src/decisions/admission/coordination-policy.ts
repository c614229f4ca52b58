/**
 * Decides whether requests for a service ask a coordinator for a slot before they are sent.
 */
import type {Route, ServiceRule} from '../../model/route-configuration.js';

/** Number of the latest requests for a service that are considered. */
const consideredCount = 200;

/** Requests among them that a route needs to count; a tenth, so that a few requests do not change how a service is served. */
const minRouteCount = consideredCount / 10;

type RouteTraffic = {
	priority: number;
	count: number;
};

/** The latest requests for one service. */
class ServiceTraffic {
	isContended = false;
	private readonly routes = new Map<string, RouteTraffic>();
	/** Routes of the latest requests; the oldest one is at `position` once the list is full. */
	private readonly latest: string[] = [];
	private position = 0;

	record({name, priority}: Route): void {
		const oldest = this.latest[this.position];
		if (oldest !== undefined) {
			this.remove(oldest);
		}

		this.latest[this.position] = name;
		this.position = (this.position + 1) % consideredCount;
		// A new configuration may have changed the priority.
		this.routes.set(name, {priority, count: (this.routes.get(name)?.count ?? 0) + 1});
		const counting = [...this.routes.values()].filter(({count}) => count >= minRouteCount);
		this.isContended = counting.some(route => route.priority !== counting[0]?.priority);
	}

	private remove(name: string): void {
		const route = this.routes.get(name);
		if (!route) {
			return;
		}

		route.count -= 1;
		if (route.count === 0) {
			this.routes.delete(name);
		}
	}
}

/** Follows the requests that this daemon receives. */
export class CoordinationPolicy {
	private readonly services = new Map<string, ServiceTraffic>();

	recordRequest(service: string, route: Route): void {
		const traffic = this.services.get(service) ?? new ServiceTraffic();
		this.services.set(service, traffic);
		traffic.record(route);
	}

	/** True if the service bounds its cold targets, or if routes of different priorities compete for its targets. */
	isCoordinated({name, warmUpPerS}: ServiceRule): boolean {
		return warmUpPerS !== undefined || this.services.get(name)?.isContended === true;
	}
}
