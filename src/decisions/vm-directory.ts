/**
 * Knowledge of a daemon about VMs, from the platform's lagging list and the servers' own word.
 */
import type {Server} from '../model/configuration.js';
import {Deadline} from '../model/deadline.js';
import {
	VmRole, VmState, type Vm, type VmList,
} from '../model/vm-list.js';
import {hash} from './shard-hash.js';
import {leaderRanking} from './leadership.js';

/** Time limit of one read of the list in milliseconds. */
const readLimitMs = 500;

/** Bound on the lag of the list in milliseconds: a VM missing for longer never was there or is gone. */
const listLagMs = 10_000;

/**
 * Keeps the last list that could be read. "Gone" is believed, "live" is not evidence of anything.
 */
export class VmDirectory {
	private vms = new Map<string, Vm>();
	private everSeen = new Set<string>();
	private firstReadAt: number | undefined;
	private readonly leavingDaemons = new Set<string>();
	private readonly leavingByOwnWord = new Set<string>();

	constructor(private readonly daemon: string, private readonly list: VmList) {}

	/** Reads the list; keeps the last one when the platform does not answer. */
	async refresh(): Promise<void> {
		try {
			const vms = await this.list.read(Deadline.after(readLimitMs, 'reading the VM list'));
			this.vms = new Map(vms.map(vm => [vm.id, vm]));
			this.firstReadAt ??= performance.now();
			this.everSeen = new Set([...this.everSeen, ...this.vms.keys()]);
		} catch {
			// The last list stays in use.
		}
	}

	/** Notes a server's own word on whether it is leaving. */
	noteOwnWord(server: string, leaving: boolean): void {
		if (leaving) {
			this.leavingByOwnWord.add(server);
			return;
		}

		this.leavingByOwnWord.delete(server);
	}

	/** Entry VMs other than this daemon's own. */
	peers(): Vm[] {
		return [...this.vms.values()].filter(vm => vm.role === VmRole.Entry && vm.id !== this.daemon);
	}

	/** Ids of all daemons that may exist, this one included. */
	members(): string[] {
		return [this.daemon, ...this.peers().map(vm => vm.id)].toSorted();
	}

	/** Returns the entry VM that long work for a server goes through: one of those that stay, by rendezvous hashing. */
	homeOf(server: string): Vm | undefined {
		const home = leaderRanking(server, this.stableMembers(), hash)[0];
		return home === undefined ? undefined : this.vms.get(home);
	}

	/** True if a daemon's VM is gone, which is safe to believe. */
	isDaemonGone(daemon: string): boolean {
		if (daemon === this.daemon || this.vms.has(daemon) || this.firstReadAt === undefined) {
			return false;
		}

		return this.everSeen.has(daemon) || performance.now() - this.firstReadAt > listLagMs;
	}

	/** Notes a daemon's own word that it is shutting down. */
	noteDaemonLeaving(daemon: string): void {
		this.leavingDaemons.add(daemon);
	}

	/** Notes that a daemon has started again. */
	noteDaemonStarted(daemon: string): void {
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

	/** True if the list showed the server's VM once and does not any more. */
	isGone(server: Server): boolean {
		const vm = server.vm ?? server.id;
		return this.everSeen.has(vm) && !this.vms.has(vm);
	}

	/** Returns the server with everything known about its leaving. */
	resolve(server: Server): Server {
		const vm = this.vms.get(server.vm ?? server.id);
		const leaving = server.leaving || vm?.state === VmState.Leaving || this.leavingByOwnWord.has(server.id);
		return {...server, leaving};
	}
}
