/**
 * Detection of lost servers by a leader, from its own evidence and that of witnesses.
 */
import type {Assignment} from '../model/assignment.js';
import type {Server, Service, StandingPolicy} from '../model/configuration.js';
import {Deadline} from '../model/deadline.js';
import {LogEvent, type EventLog} from '../model/events.js';
import type {PeerNetwork} from '../model/peer.js';
import type {Timing} from '../model/timing.js';
import {EjectionVerdict, decideEjection} from './ejection.js';
import {ServerOpinion, type ServerDetector} from './server-detector.js';
import {settleSome} from './settle-some.js';
import type {VmDirectory} from './vm-directory.js';

/** What a loss detector needs. */
export type LossDetectorParts = {
	daemon: string;
	peers: PeerNetwork;
	directory: VmDirectory;
	detector: ServerDetector;
	timing: Timing;
	log: EventLog;
};

/** Number of witnesses whose evidence is waited for. */
const witnessCount = 2;

type PeerEvidence = {
	answers: boolean[];
	asked: number;
};

/**
 * Asks other daemons about doubtful servers and says which servers may be declared lost.
 */
export class LossDetector {
	private readonly peerEvidence = new Map<string, PeerEvidence>();
	private readonly verdicts = new Map<string, EjectionVerdict>();

	constructor(private readonly parts: LossDetectorParts) {}

	/** Asks the witnesses about every doubtful server. */
	async askWitnesses(servers: Server[]): Promise<void> {
		const {peers, daemon, detector, timing, directory} = this.parts;
		const suspects = servers.filter(server => detector.isDoubtful(server.id) || directory.isGone(server));
		this.peerEvidence.clear();
		const others = peers.members().filter(member => member !== daemon);
		await Promise.all(suspects.map(async server => {
			const asked = others.map(async other => peers.probeServer(other, server.id, Deadline.after(timing.peerCallMs, `evidence of ${other}`)));
			const answers: boolean[] = [];
			await settleSome(asked, witnessCount, evidence => {
				answers.push(evidence.reachable);
			});
			this.peerEvidence.set(server.id, {answers, asked: asked.length});
		}));
	}

	/** Returns the servers that may be declared lost now. */
	ejectable(assignment: Assignment, service: Service, servers: Server[], policy: StandingPolicy): string[] {
		const {directory, detector} = this.parts;
		const ejectable: string[] = [];
		for (const server of servers) {
			const evidence = this.peerEvidence.get(server.id);
			if (!evidence || assignment.lost.includes(server.id)) {
				continue;
			}

			const vmGone = directory.isGone(server);
			const opinion = vmGone ? ServerOpinion.Gone : detector.opinion(server.id);
			const suspicion = {
				server: server.id, opinion, witnesses: evidence.answers, asked: evidence.asked, vmGone,
			};
			const lostCount = assignment.lost.length + ejectable.length;
			const verdict = decideEjection(suspicion, service, servers, {policy, lostCount});
			if (verdict === EjectionVerdict.Eject) {
				ejectable.push(server.id);
			}

			this.noteVerdict(service.name, server.id, verdict);
		}

		return ejectable;
	}

	/** Logs a refused ejection once, until the verdict changes. */
	private noteVerdict(service: string, server: string, verdict: EjectionVerdict): void {
		if (this.verdicts.get(server) === verdict) {
			return;
		}

		this.verdicts.set(server, verdict);
		if (verdict === EjectionVerdict.Forbidden || verdict === EjectionVerdict.Unproven) {
			this.parts.log.record(LogEvent.EjectionRefused, {service, server, verdict});
		}
	}
}
