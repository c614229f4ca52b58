/**
 * Interface of the platform's list of VMs.
 */
import type {Deadline} from './deadline.js';

/** State of a VM in the list. */
export enum VmState {
	Live = 'live',
	Leaving = 'leaving',
}

/** Role of a VM. */
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
	/** IP:PORT of the callers' listener on entry VMs; without it no requests are forwarded to the daemon. */
	gateway?: string | undefined;
	zone: string;
	state: VmState;
};

/** The platform's list of VMs, which lags behind: a removed VM has certainly stopped, but a listed one may have stopped too. */
export type VmList = {
	read(deadline: Deadline): Promise<Vm[]>;
	close(): Promise<void>;
};
