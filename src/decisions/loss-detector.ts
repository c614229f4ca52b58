/**
 * Detection of lost servers by a leader, from its own probes and those of its peers.
 */
import type {Assignment} from '../model/assignment.js';
import type {Server, Service, StandingPolicy} from '../model/configuration.js';
import {Deadline} from '../model/deadline.js';
import {LogEvent, type EventLog} from '../model/events.js';
import type {PeerNetwork} from '../model/peer.js';
import type {Timing} from '../model/timing.js';
import {EjectionVerdict, decideEjection} from './ejection.js';
import {ServerCondition, type ServerDetector} from './server-detector.js';
import {settleSome} from './settle-some.js';
import type {VmDirectory} from './vm-directory.js';

/** Dependencies of a loss detector. */
export type LossDetectorParts = {
	daemon: string;
	peers: PeerNetwork;
	directory: VmDirectory;
	detector: ServerDetector;
	timing: Timing;
	log: EventLog;
};

/** Number of peers whose probe results are awaited. */
const requiredPeerAnswers = 2;

type PeerProbes = {
	results: boolean[];
	requested: number;
};

/**
 * Has peers probe the servers that failed a probe, and decides which servers may be declared lost.
 */
export class LossDetector {
	private readonly peerProbes = new Map<string, PeerProbes>();
	private readonly verdicts = new Map<string, EjectionVerdict>();

	constructor(private readonly parts: LossDetectorParts) {}

	/** Has peers probe every server that did not answer last time or whose VM was removed from the list. */
	async probeThroughPeers(servers: Server[]): Promise<void> {
		const {peers, daemon, detector, timing, directory} = this.parts;
		const suspects = servers.filter(server => detector.isSuspected(server.id) || directory.isVmRemoved(server));
		this.peerProbes.clear();
		const others = peers.members().filter(member => member !== daemon);
		await Promise.all(suspects.map(async server => {
			const requests = others.map(async other => peers.probeServer(other, server.id, Deadline.after(timing.peerCallMs, `probe by ${other}`)));
			const results: boolean[] = [];
			await settleSome(requests, requiredPeerAnswers, result => {
				results.push(result.reachable);
			});
			this.peerProbes.set(server.id, {results, requested: requests.length});
		}));
	}

	/** Returns the servers that may be declared lost now. */
	ejectable(assignment: Assignment, service: Service, servers: Server[], policy: StandingPolicy): string[] {
		const {directory, detector} = this.parts;
		const ejectable: string[] = [];
		for (const server of servers) {
			const probes = this.peerProbes.get(server.id);
			if (!probes || assignment.lost.includes(server.id)) {
				continue;
			}

			const isVmRemoved = directory.isVmRemoved(server);
			const condition = isVmRemoved ? ServerCondition.Stopped : detector.condition(server.id);
			const suspicion = {
				server: server.id, condition, peerResults: probes.results, peersRequested: probes.requested, isVmRemoved,
			};
			const lostCount = assignment.lost.length + ejectable.length;
			const verdict = decideEjection(suspicion, service, servers, {policy, lostCount});
			if (verdict === EjectionVerdict.Eject) {
				ejectable.push(server.id);
			}

			this.logVerdict(service.name, server.id, verdict);
		}

		return ejectable;
	}

	/** Logs a refused ejection once, until the verdict changes. */
	private logVerdict(service: string, server: string, verdict: EjectionVerdict): void {
		if (this.verdicts.get(server) === verdict) {
			return;
		}

		this.verdicts.set(server, verdict);
		if (verdict === EjectionVerdict.Forbidden || verdict === EjectionVerdict.Unconfirmed) {
			this.parts.log.record(LogEvent.EjectionRefused, {service, server, verdict});
		}
	}
}
