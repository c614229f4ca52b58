/**
 * Decision which suspected servers may be declared lost.
 */
import {
	Fencing, type Server, type Service, type StandingPolicy,
} from '../model/configuration.js';
import {ServerOpinion} from './server-detector.js';

/** What is known about a suspected server. */
export type Suspicion = {
	server: string;
	opinion: ServerOpinion;
	/** Opinions of the daemons that were asked as witnesses; only those that answered. */
	witnesses: boolean[];
	/** Number of daemons that were asked as witnesses. */
	asked: number;
	/** True if the VM list does not show the server's VM any more. */
	vmGone: boolean;
};

/** Result of the decision. */
export enum EjectionVerdict {
	Eject = 'eject',
	/** Not enough evidence yet. */
	Wait = 'wait',
	/** The standing policy does not allow one more lost server. */
	Forbidden = 'forbidden',
	/** Silence is no proof of death for servers that check no epoch. */
	Unproven = 'unproven',
}

/** Returns the number of servers of a service that may be lost at one time. */
export function ejectionLimit(servers: number, policy: StandingPolicy): number {
	return Math.min(policy.maxLostServers, Math.floor(servers * policy.maxLostShare));
}

/**
 * Decides whether a suspected server is declared lost.
 *
 * @param lostCount servers of the service that are lost already
 */
export function decideEjection(suspicion: Suspicion, service: Service, servers: Server[], options: {policy: StandingPolicy; lostCount: number}): EjectionVerdict {
	const {policy, lostCount} = options;
	if (suspicion.opinion === ServerOpinion.Healthy) {
		return EjectionVerdict.Wait;
	}

	const isContradicted = suspicion.witnesses.some(Boolean);
	const isConfirmed = suspicion.asked === 0 || suspicion.witnesses.length > 0;
	if (isContradicted || !isConfirmed) {
		return EjectionVerdict.Wait;
	}

	const isProcessGone = suspicion.opinion === ServerOpinion.Gone || suspicion.vmGone;
	if (service.fencing === Fencing.None && !isProcessGone) {
		return EjectionVerdict.Unproven;
	}

	if (!policy.failover || lostCount >= ejectionLimit(servers.length, policy)) {
		return EjectionVerdict.Forbidden;
	}

	return EjectionVerdict.Eject;
}
