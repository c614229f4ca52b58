/**
 * Which daemon of an availability zone watches the store for the others there, and which is the hub that carries messages
 * between availability zones: the first by name that was heard lately. Nothing is agreed on; two daemons that both take
 * the part cost calls and messages, and do no harm.
 */
import type {Member} from '../../model/fleet.js';
import type {FleetView} from './fleet-view.js';

/** Silence after which another daemon takes the part, in milliseconds; the quietest daemons report every 400 ms. */
const silenceMs = 1000;

/** The daemon that decides for itself. */
export type OwnPlace = {
	daemon: string;
	availabilityZone: string;
};

type Neighbour = {
	heardAt: number;
	isStoreReachable: boolean;
};

type Contact = {
	daemon: string;
	heardAt: number;
};

/** Hubs as one daemon sees them. */
export class ZoneHubs {
	private readonly neighbours = new Map<string, Neighbour>();
	private readonly contacts = new Map<string, Contact>();

	constructor(private readonly own: OwnPlace, private readonly view: FleetView) {}

	/** Notes a message that came from a daemon of the same availability zone. */
	noteNeighbour(daemon: string, isStoreReachable: boolean, now: number): void {
		this.neighbours.set(daemon, {heardAt: now, isStoreReachable});
	}

	/** Notes that a daemon spoke for another availability zone. */
	noteContact(availabilityZone: string, daemon: string, now: number): void {
		this.contacts.set(availabilityZone, {daemon, heardAt: now});
	}

	/** True if this daemon talks to other availability zones for its own. */
	isHub(now: number): boolean {
		const {daemon} = this.own;
		return ![...this.neighbours].some(([neighbour, {heardAt}]) => neighbour < daemon && now - heardAt <= silenceMs);
	}

	/** Name of the daemon that watches the store for the own availability zone; nothing if none there reaches it. */
	watcher(isOwnStoreReachable: boolean, now: number): string | undefined {
		let watcher = isOwnStoreReachable ? this.own.daemon : undefined;
		for (const [daemon, {heardAt, isStoreReachable}] of this.neighbours) {
			if (isStoreReachable && now - heardAt <= silenceMs && (watcher === undefined || daemon < watcher)) {
				watcher = daemon;
			}
		}

		return watcher;
	}

	/** Other daemons of the own availability zone. */
	neighbourMembers(): Member[] {
		const {daemon, availabilityZone} = this.own;
		return [...this.view.members.values()].filter(member => member.availabilityZone === availabilityZone && member.daemon !== daemon);
	}

	/** One daemon for each other availability zone: the one that spoke for it lately, or all where none did. */
	remoteMembers(now: number): Member[] {
		return [...this.view.members.values()].filter(member => {
			if (member.availabilityZone === this.own.availabilityZone) {
				return false;
			}

			const contact = this.contact(member.availabilityZone, now);
			return contact === undefined || contact === member.daemon;
		});
	}

	/** Forgets daemons that are gone. */
	prune(): void {
		for (const daemon of this.neighbours.keys()) {
			if (!this.view.members.has(daemon)) {
				this.neighbours.delete(daemon);
			}
		}
	}

	/** The daemon that speaks for another availability zone; one whose entry has lapsed has no address any more, though it speaks. */
	private contact(availabilityZone: string, now: number): string | undefined {
		const contact = this.contacts.get(availabilityZone);
		const isKnown = contact !== undefined && now - contact.heardAt <= silenceMs && this.view.members.has(contact.daemon);
		return isKnown ? contact.daemon : undefined;
	}
}
