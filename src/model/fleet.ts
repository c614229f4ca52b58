/**
 * Targets and daemons, as they announce themselves.
 */

/** State that a target announces. */
export enum TargetState {
	Ready = 'ready',
	/** The target will stop soon and takes no new requests. */
	Draining = 'draining',
}

/** One run of a target's process; a restart under the same id is another incarnation. */
export type TargetIncarnation = {
	id: string;
	/** Unix time of the start of the process in milliseconds. */
	bornAt: number;
	/** IP and port. */
	address: string;
};

/** A target as it announces itself. */
export type Target = TargetIncarnation & {
	service: string;
	availabilityZone: string;
	softwareVersion: string;
	/** Number of requests that it processes concurrently. */
	slots: number;
	state: TargetState;
	/** Remaining warm-up time, for which the process is slower than usual, in milliseconds. */
	warmUpLeftMs: number;
};

/** A daemon as it announces itself to its peers. */
export type Member = {
	daemon: string;
	availabilityZone: string;
	ip: string;
	/** UDP port for messages between daemons. */
	port: number;
	/** Spare capacity of the VM for work on behalf of other daemons, in cores; daemons with the most become hubs and leaders. */
	room: number;
};

/** Orders daemons by spare capacity, largest first, then by name, so that all daemons derive the same order. */
export function compareBySpareCapacity(left: Member, right: Member): number {
	return right.room - left.room || (left.daemon < right.daemon ? -1 : 1);
}

/** True if both are the same incarnation of a target at the same address, which is where orders go. */
export function isSameIncarnation(left: TargetIncarnation, right: TargetIncarnation): boolean {
	return left.id === right.id && left.bornAt === right.bornAt && left.address === right.address;
}
