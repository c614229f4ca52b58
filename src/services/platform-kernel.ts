/**
 * The micro-kernel on the users' platform: services that find each other by name inside one process.
 */
import {ServiceBroker, type Context, type ServiceSchema} from 'moleculer';
import type {FleetSync} from '../decisions/fleet/fleet-sync.js';
import type {FleetView} from '../decisions/fleet/fleet-view.js';
import type {Membership} from '../decisions/fleet/membership.js';
import type {PeerExchange} from '../decisions/fleet/peer-exchange.js';
import type {Forwarder} from '../decisions/forwarding/forwarder.js';
import type {TargetLoads} from '../decisions/forwarding/target-loads.js';
import {describeFailure} from '../model/errors.js';
import type {KeyLeader} from '../decisions/ownership/key-leader.js';
import {LogEvent, type EventLog} from '../model/events.js';
import type {CallerRequest, Outcome} from '../model/forwarding.js';

/** Interval of the work that is due by time, in milliseconds; orders and reports have intervals of their own. */
const tickMs = 20;

/** Interval in which services look for those that they depend on, in milliseconds; the library's second would delay every restart. */
const dependencyMs = 2;

/** Interval in which forgotten targets and peers are dropped, in milliseconds. */
const pruneMs = 500;

/** Parts of the daemon that the services run. */
export type PlatformParts = {
	view: FleetView;
	sync: FleetSync;
	membership: Membership;
	exchange: PeerExchange;
	forwarder: Forwarder;
	loads: TargetLoads;
	leader: KeyLeader;
	log: EventLog;
};

/** Creates the broker; it uses no transporter, discovery or balancing. */
export function createPlatformKernel(daemon: string, parts: PlatformParts, edges: ServiceSchema[]): ServiceBroker {
	let contexts = 0;
	const broker = new ServiceBroker({
		// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the library.
		nodeID: daemon,
		transporter: null,
		logger: false,
		internalServices: false,
		internalMiddlewares: false,
		validator: false,
		dependencyInterval: dependencyMs,
		skipProcessEventRegistration: true,
		// Contexts never leave the process, so that a count names them well enough; random ids cost more than a call.
		uidGenerator() {
			contexts += 1;
			return String(contexts);
		},
	});
	for (const service of [createFleetService(parts), createOwnershipService(parts), createDispatcherService(parts), ...edges]) {
		broker.createService(service);
	}

	return broker;
}

/** Service "fleet": the view of the store, the entry of this daemon and the reports between daemons. */
function createFleetService({
	view, sync, membership, exchange, loads, log,
}: PlatformParts): ServiceSchema {
	const timers = new TimerSet(log);
	return {
		name: 'fleet',
		started() {
			void sync.run();
			timers.repeat(tickMs, () => {
				membership.tick();
				exchange.tick();
				sync.tick();
			});
			timers.repeat(pruneMs, () => {
				view.prune();
				loads.prune(id => view.rememberedTarget(id) !== undefined);
			});
		},
		stopped() {
			timers.clear();
			sync.stop();
		},
	};
}

/** Service "ownership": leadership and the owners of keys. */
function createOwnershipService({leader, log}: PlatformParts): ServiceSchema {
	const timers = new TimerSet(log);
	return {
		name: 'ownership',
		dependencies: ['fleet'],
		actions: {
			async resign() {
				await leader.leadership.resign();
			},
		},
		started() {
			timers.repeat(tickMs, () => {
				leader.tick();
			});
		},
		stopped() {
			timers.clear();
		},
	};
}

/** Service "dispatcher": takes requests to targets. */
function createDispatcherService({forwarder}: PlatformParts): ServiceSchema {
	return {
		name: 'dispatcher',
		dependencies: ['fleet'],
		actions: {
			async forward(context: Context<CallerRequest>): Promise<Outcome> {
				return forwarder.forward(context.params);
			},
			load(): number {
				return forwarder.load;
			},
		},
	};
}

/** Timers of one service. */
class TimerSet {
	private readonly timers: NodeJS.Timeout[] = [];

	constructor(private readonly log: EventLog) {}

	/** A callback that throws is called again after the interval. */
	repeat(intervalMs: number, callback: () => void): void {
		this.timers.push(setInterval(() => {
			try {
				callback();
			} catch (error) {
				this.log.record(LogEvent.InternalFailure, {detail: describeFailure(error)});
			}
		}, intervalMs));
	}

	clear(): void {
		for (const timer of this.timers.splice(0)) {
			clearInterval(timer);
		}
	}
}
