/**
 * The micro-kernel on the users' platform: a broker for services that call each other by name inside one process.
 */
import {ServiceBroker, type Context, type ServiceSchema} from 'moleculer';
import type {EvacuationLog} from '../decisions/fleet/evacuation-log.js';
import type {FleetSync} from '../decisions/fleet/fleet-sync.js';
import type {LeaderWord} from '../decisions/fleet/leader-word.js';
import type {FleetView} from '../decisions/fleet/fleet-view.js';
import type {Membership} from '../decisions/fleet/membership.js';
import type {PeerExchange} from '../decisions/fleet/peer-exchange.js';
import type {Forwarder} from '../decisions/forwarding/forwarder.js';
import type {TargetLoads} from '../decisions/forwarding/target-loads.js';
import type {TargetStatements} from '../decisions/limits/target-statements.js';
import {describeFailure} from '../model/errors.js';
import type {KeyLeader} from '../decisions/ownership/key-leader.js';
import {LogEvent, type EventLog} from '../model/events.js';
import type {CallerRequest, Outcome} from '../model/forwarding.js';

/** Interval at which components check for due work, in milliseconds; orders and reports have intervals of their own. */
const tickMs = 20;

/** Interval at which services check for their dependencies, in milliseconds; the library's default of 1 s would delay every restart. */
const dependencyCheckMs = 2;

/** Interval at which data about removed targets and silent peers is dropped, in milliseconds. */
const pruneMs = 500;

/** Components of the daemon that the services run. */
export type PlatformComponents = {
	view: FleetView;
	sync: FleetSync;
	membership: Membership;
	exchange: PeerExchange;
	evacuationLog: EvacuationLog;
	forwarder: Forwarder;
	loads: TargetLoads;
	statements: TargetStatements;
	leader: KeyLeader;
	leaderWord: LeaderWord;
	log: EventLog;
};

/** Creates the broker, without transporter, discovery or balancing. `edgeServices` listen for HTTP. */
export function createPlatformKernel(daemon: string, components: PlatformComponents, edgeServices: ServiceSchema[]): ServiceBroker {
	let contextCount = 0;
	const broker = new ServiceBroker({
		// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the library.
		nodeID: daemon,
		transporter: null,
		logger: false,
		internalServices: false,
		internalMiddlewares: false,
		validator: false,
		dependencyInterval: dependencyCheckMs,
		skipProcessEventRegistration: true,
		// Contexts never leave the process, so a counter is unique enough; generating a random id costs more than a call.
		uidGenerator() {
			contextCount += 1;
			return String(contextCount);
		},
	});
	for (const service of [createFleetService(components), createOwnershipService(components), createDispatcherService(components), ...edgeServices]) {
		broker.createService(service);
	}

	return broker;
}

/** Service "fleet": the view of the store, the membership of this daemon and the exchange between daemons. */
function createFleetService({
	view, sync, membership, exchange, evacuationLog, loads, statements, log,
}: PlatformComponents): ServiceSchema {
	const timers = new TimerSet(log);
	return {
		name: 'fleet',
		started() {
			void sync.run();
			const isKnown = (id: string): boolean => view.findTarget(id) !== undefined;
			timers.repeat(tickMs, () => {
				membership.tick();
			}, () => {
				exchange.tick();
			}, () => {
				sync.tick();
			}, () => {
				evacuationLog.tick();
			});
			timers.repeat(pruneMs, () => {
				view.prune();
			}, () => {
				statements.prune(isKnown);
			}, () => {
				loads.prune(isKnown);
			});
		},
		stopped() {
			timers.clear();
			sync.stop();
		},
	};
}

/** Service "ownership": leadership and the assignment of keys to owners. */
function createOwnershipService({leader, leaderWord, log}: PlatformComponents): ServiceSchema {
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
			}, () => {
				leaderWord.tick();
			});
		},
		stopped() {
			timers.clear();
		},
	};
}

/** Service "dispatcher": forwards requests to targets. */
function createDispatcherService({forwarder, log}: PlatformComponents): ServiceSchema {
	const timers = new TimerSet(log);
	return {
		name: 'dispatcher',
		dependencies: ['fleet'],
		started() {
			timers.repeat(tickMs, () => {
				forwarder.tick();
			});
		},
		stopped() {
			timers.clear();
		},
		actions: {
			async forward(context: Context<CallerRequest>): Promise<Outcome> {
				return forwarder.forward(context.params);
			},
			/** From now on, requests that are not expected to end by this time are refused. */
			endAt(context: Context<{time: number}>): void {
				forwarder.endAt(context.params.time);
			},
			/** Ends the requests that have no answer; the process ends afterwards. */
			endRequests(): void {
				forwarder.endRequests();
			},
			load(): number {
				return forwarder.inFlightCount;
			},
		},
	};
}

/** Timers of one service. */
class TimerSet {
	private readonly timers: NodeJS.Timeout[] = [];

	constructor(private readonly log: EventLog) {}

	/** Logs what a callback throws; neither the other callbacks nor the interval end. */
	repeat(intervalMs: number, ...callbacks: ReadonlyArray<() => void>): void {
		this.timers.push(setInterval(() => {
			for (const callback of callbacks) {
				this.run(callback);
			}
		}, intervalMs));
	}

	clear(): void {
		for (const timer of this.timers.splice(0)) {
			clearInterval(timer);
		}
	}

	private run(callback: () => void): void {
		try {
			callback();
		} catch (error) {
			this.log.record(LogEvent.InternalFailure, {detail: describeFailure(error)});
		}
	}
}
