/**
 * Directory of VMs in one daemon, from the platform's delayed list and from what servers and daemons report themselves.
 */
import type {Server} from '../model/configuration.js';
import {Deadline} from '../model/deadline.js';
import {
	VmRole, VmState, type Vm, type VmList,
} from '../model/vm-list.js';
import {hash} from './shard-hash.js';
import {leaderRanking} from './leadership.js';

/** Timeout of one read of the list in milliseconds. */
const readTimeoutMs = 500;

/** Longest delay of the list in milliseconds. A VM that is missing for longer never existed or has been removed. */
const maxListLagMs = 10_000;

/**
 * Keeps the last list that could be read. A VM that the list no longer shows has stopped, but one that it still shows as
 * live may have stopped too.
 */
export class VmDirectory {
	private vms = new Map<string, Vm>();
	private seenIds = new Set<string>();
	private firstReadAt: number | undefined;
	private readonly leavingDaemons = new Set<string>();
	private readonly reportedLeaving = new Set<string>();

	constructor(private readonly daemon: string, private readonly list: VmList) {}

	/** Reads the list; keeps the last one when the platform does not answer. */
	async refresh(): Promise<void> {
		try {
			const vms = await this.list.read(Deadline.after(readTimeoutMs, 'reading the VM list'));
			this.vms = new Map(vms.map(vm => [vm.id, vm]));
			this.firstReadAt ??= performance.now();
			this.seenIds = new Set([...this.seenIds, ...this.vms.keys()]);
		} catch {
			// The last list stays in use.
		}
	}

	/** Records whether a server reports that it is leaving. */
	recordLeaving(server: string, leaving: boolean): void {
		if (leaving) {
			this.reportedLeaving.add(server);
			return;
		}

		this.reportedLeaving.delete(server);
	}

	/** Entry VMs other than this daemon's own. */
	peers(): Vm[] {
		return [...this.vms.values()].filter(vm => vm.role === VmRole.Entry && vm.id !== this.daemon);
	}

	/** Ids of all daemons that may exist, this one included. */
	members(): string[] {
		return [this.daemon, ...this.peers().map(vm => vm.id)].toSorted();
	}

	/** Returns the entry VM that long requests for a server go through: one that is not leaving, by rendezvous hashing. */
	homeOf(server: string): Vm | undefined {
		const home = leaderRanking(server, this.stableMembers(), hash)[0];
		return home === undefined ? undefined : this.vms.get(home);
	}

	/** True if a daemon's VM has been removed: the list omits a VM that it showed before only after the VM has stopped. */
	isDaemonRemoved(daemon: string): boolean {
		if (daemon === this.daemon || this.vms.has(daemon) || this.firstReadAt === undefined) {
			return false;
		}

		return this.seenIds.has(daemon) || performance.now() - this.firstReadAt > maxListLagMs;
	}

	/** Records that a daemon announced its shutdown. */
	addLeavingDaemon(daemon: string): void {
		this.leavingDaemons.add(daemon);
	}

	/** Records that a daemon has started again. */
	removeLeavingDaemon(daemon: string): void {
		this.leavingDaemons.delete(daemon);
	}

	/** Daemons that are not leaving. */
	stableMembers(): string[] {
		const leaving = new Set(this.leavingDaemons);
		for (const vm of this.peers()) {
			if (vm.state === VmState.Leaving) {
				leaving.add(vm.id);
			}
		}

		const own = this.vms.get(this.daemon);
		if (own?.state === VmState.Leaving) {
			leaving.add(this.daemon);
		}

		return this.members().filter(member => !leaving.has(member));
	}

	/** True if an earlier list showed the server's VM and the last one does not. */
	isVmRemoved(server: Server): boolean {
		const vm = server.vm ?? server.id;
		return this.seenIds.has(vm) && !this.vms.has(vm);
	}

	/** Returns the server with `leaving` resolved from the configuration, the VM list and the server's own report. */
	resolve(server: Server): Server {
		const vm = this.vms.get(server.vm ?? server.id);
		const leaving = server.leaving || vm?.state === VmState.Leaving || this.reportedLeaving.has(server.id);
		return {...server, leaving};
	}
}
