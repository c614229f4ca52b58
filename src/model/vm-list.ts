/**
 * Interface of the platform's list of VMs.
 */
import type {Deadline} from './deadline.js';

/** State of a VM in the list. */
export enum VmState {
	Live = 'live',
	Leaving = 'leaving',
}

/** What runs on a VM. */
export enum VmRole {
	Entry = 'entry',
	Target = 'target',
}

/** A VM of the list. */
export type Vm = {
	id: string;
	role: VmRole;
	/** IP:PORT of the control listener on entry VMs; IP on target VMs. */
	address: string;
	/** IP:PORT of the callers' listener on entry VMs; without it no work is forwarded to the daemon. */
	gateway?: string | undefined;
	zone: string;
	state: VmState;
};

/** The lagging list of VMs: "gone" is safe to believe, "live" is not. */
export type VmList = {
	read(deadline: Deadline): Promise<Vm[]>;
	close(): Promise<void>;
};
