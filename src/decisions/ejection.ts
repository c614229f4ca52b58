/**
 * Decision on which suspected servers may be declared lost.
 */
import {
	Fencing, type Server, type Service, type StandingPolicy,
} from '../model/configuration.js';
import {ServerCondition} from './server-detector.js';

/** What is known about a suspected server. */
export type Suspicion = {
	server: string;
	condition: ServerCondition;
	/** Whether each peer that answered could reach the server. */
	peerResults: boolean[];
	/** Number of peers that were requested to probe the server. */
	peersRequested: number;
	/** True if the VM list no longer shows the server's VM. */
	isVmRemoved: boolean;
};

/** Result of the decision. */
export enum EjectionVerdict {
	Eject = 'eject',
	/** The server answers this daemon or a peer, or no peer has reported yet. */
	Wait = 'wait',
	/** The standing policy does not allow another lost server. */
	Forbidden = 'forbidden',
	/** A server without fencing may still be running; it is ejected only once its process or VM has stopped. */
	Unconfirmed = 'unproven',
}

/** Returns the number of servers of a service that may be declared lost at the same time. */
export function ejectionLimit(servers: number, policy: StandingPolicy): number {
	return Math.min(policy.maxLostServers, Math.floor(servers * policy.maxLostShare));
}

/**
 * Decides whether a suspected server is declared lost.
 *
 * @param options.lostCount servers of the service that are already declared lost
 */
export function decideEjection(suspicion: Suspicion, service: Service, servers: Server[], options: {policy: StandingPolicy; lostCount: number}): EjectionVerdict {
	const {policy, lostCount} = options;
	if (suspicion.condition === ServerCondition.Healthy) {
		return EjectionVerdict.Wait;
	}

	const isContradicted = suspicion.peerResults.some(Boolean);
	const isConfirmed = suspicion.peersRequested === 0 || suspicion.peerResults.length > 0;
	if (isContradicted || !isConfirmed) {
		return EjectionVerdict.Wait;
	}

	const hasProcessStopped = suspicion.condition === ServerCondition.Stopped || suspicion.isVmRemoved;
	if (service.fencing === Fencing.None && !hasProcessStopped) {
		return EjectionVerdict.Unconfirmed;
	}

	if (!policy.failover || lostCount >= ejectionLimit(servers.length, policy)) {
		return EjectionVerdict.Forbidden;
	}

	return EjectionVerdict.Eject;
}
