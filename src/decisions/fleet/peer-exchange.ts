/**
 * What daemons tell each other: load of targets, the newest revision, and keys that were asked for.
 */
import type {Member} from '../../model/fleet.js';
import type {LoadReport, TargetLoads} from '../forwarding/target-loads.js';
import type {FleetSync} from './fleet-sync.js';
import type {FleetView, KnownAssignment} from './fleet-view.js';

/** A message between daemons. */
export type PeerMessage = {
	daemon: string;
	revision: number;
	load: LoadReport;
	/** Keys that were asked for since the last message, by service; only the leader gets them. */
	keys?: Record<string, number[]>;
	/** Owners that the leader has just written. */
	assignment?: KnownAssignment;
};

/** Sends messages to peers. */
export type PeerSender = {
	send(message: PeerMessage, members: Iterable<Member>): void;
};

/** Least interval of load reports in milliseconds; requests take longer. */
const reportMs = 50;

/** Interval of reports while nothing changes, in milliseconds. */
const quietReportMs = 400;

/** Interval in which keys are told to the leader, in milliseconds. */
const keyReportMs = 100;

/** Most keys of a service that are told at once; the rest is left out, which keeps the shares. */
const keyLimit = 2000;

/** What the exchange needs. */
export type PeerExchangeOptions = {
	daemon: string;
	view: FleetView;
	loads: TargetLoads;
	sync: FleetSync;
	sender: PeerSender;
	/** Takes keys that were asked for, at the leader. */
	noteKeys(service: string, keys: readonly number[]): void;
};

/** Sends and takes reports. */
export class PeerExchange {
	private keys = new Map<string, number[]>();
	private reportedAt = 0;
	private keysReportedAt = 0;
	private lastInFlight = '';

	constructor(private readonly options: PeerExchangeOptions) {}

	/** Notes the key of a request at this daemon. */
	noteKey(service: string, key: number): void {
		const keys = this.keys.get(service) ?? [];
		this.keys.set(service, keys);
		if (keys.length < keyLimit) {
			keys.push(key);
		}
	}

	/** Called regularly. */
	tick(now = performance.now()): void {
		this.reportLoad(now);
		this.reportKeys(now);
	}

	/** Tells peers the owners that were just written; they learn them from the store as well, but later. */
	announce(assignment: KnownAssignment): void {
		const {sender, daemon, view, loads} = this.options;
		const load = {inFlight: loads.inFlightNow(), samples: {}};
		sender.send({
			daemon, revision: view.revision, load, assignment,
		}, this.peers());
	}

	hear(message: PeerMessage): void {
		const {loads, sync, view, noteKeys, daemon} = this.options;
		if (message.daemon === daemon) {
			return;
		}

		loads.hear(message.daemon, message.load);
		sync.hearRevision(message.revision);
		if (message.assignment) {
			view.applyAssignment(message.assignment);
		}

		for (const [service, keys] of Object.entries(message.keys ?? {})) {
			noteKeys(service, keys);
		}
	}

	private reportLoad(now: number): void {
		if (now - this.reportedAt < reportMs) {
			return;
		}

		const {loads, sender, view, daemon} = this.options;
		const inFlight = JSON.stringify(loads.inFlightNow());
		if (inFlight === this.lastInFlight && now - this.reportedAt < quietReportMs) {
			return;
		}

		this.reportedAt = now;
		this.lastInFlight = inFlight;
		sender.send({daemon, revision: view.revision, load: loads.report()}, this.peers());
	}

	private reportKeys(now: number): void {
		if (now - this.keysReportedAt < keyReportMs || this.keys.size === 0) {
			return;
		}

		this.keysReportedAt = now;
		const {view, daemon, sender, noteKeys} = this.options;
		const {keys} = this;
		this.keys = new Map();
		if (view.leader?.daemon === daemon) {
			for (const [service, list] of keys) {
				noteKeys(service, list);
			}

			return;
		}

		const leader = view.members.get(view.leader?.daemon ?? '');
		if (leader) {
			const load = {inFlight: this.options.loads.inFlightNow(), samples: {}};
			sender.send({
				daemon, revision: view.revision, load, keys: Object.fromEntries(keys),
			}, [leader]);
		}
	}

	private peers(): Member[] {
		return [...this.options.view.members.values()].filter(({daemon}) => daemon !== this.options.daemon);
	}
}
