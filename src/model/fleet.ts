/**
 * Targets as they announce themselves, and the daemons that share the work.
 */

/** What a target says of itself. */
export enum TargetState {
	Ready = 'ready',
	/** The target ends soon and takes no new work. */
	Draining = 'draining',
}

/** One life of a target's process; a restart under the same id is another life. */
export type TargetLife = {
	id: string;
	/** Unix time of the start of the process in milliseconds. */
	bornAt: number;
	/** IP and port. */
	address: string;
};

/** A target that may be used. */
export type Target = TargetLife & {
	service: string;
	availabilityZone: string;
	softwareVersion: string;
	/** Requests that it processes at a time. */
	slots: number;
	state: TargetState;
	/** Time for which the process is still slow after its start, in milliseconds. */
	warmUpLeftMs: number;
};

/** A daemon as it announces itself to its peers. */
export type Member = {
	daemon: string;
	availabilityZone: string;
	ip: string;
	/** UDP port for messages between daemons. */
	port: number;
	/** Work for others that the VM can take, as a share of a usual one; daemons with more of it speak for their zone and lead. */
	room: number;
};

/** Order in which daemons take work for others: by room, then by name, so that all daemons see the same order. */
export function compareByRoom(left: Member, right: Member): number {
	return right.room - left.room || (left.daemon < right.daemon ? -1 : 1);
}

/** True if both stand for the same life of a target. */
export function isSameLife(left: TargetLife, right: TargetLife): boolean {
	return left.id === right.id && left.bornAt === right.bornAt;
}
