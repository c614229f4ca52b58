/**
 * Selection of the daemons that issue permits for a target: a first one, and a second one that is asked if the first does not answer.
 *
 * Every daemon selects on its own from the members that it knows. The sum stays below one and a half times the limit even if both
 * issue at once, and a daemon that becomes an issuer waits until its peers know the members as well.
 */
import type {Member} from '../../model/fleet.js';
import type {FleetView} from '../fleet/fleet-view.js';
import {weightOf} from '../rendezvous.js';

/** Shares of the limit that the first and the second issuer issue. */
const issuedShares = [0.95, 0.4] as const;

/** Time without changes of the members until a daemon that they make an issuer begins, in milliseconds; relays take less. */
const settleMs = 1500;

/** The issuers for one target. */
type Selection = {
	names: string[];
	/** Share of the limit that this daemon issues. */
	ownShare: number;
};

export class PermitIssuers {
	private known = new Set<string>();
	private changedAt = -Infinity;
	/** The members before the latest changes. */
	private settled = new Set<string>();
	private readonly selections = new Map<string, Selection>();

	constructor(private readonly daemon: string, private readonly view: FleetView) {}

	/** Called periodically; notices changes of the members. */
	tick(now: number): void {
		if (this.settled !== this.known && now - this.changedAt >= settleMs) {
			this.settled = this.known;
			this.selections.clear();
		}

		const {members} = this.view;
		if (members.size !== this.known.size || [...members.keys()].some(name => !this.known.has(name))) {
			this.known = new Set(members.keys());
			this.changedAt = now;
			this.selections.clear();
		}
	}

	/** The daemons that issue permits for a target, in the order in which they are asked; none while no members are known. */
	issuersOf(target: string): Member[] {
		return this.selectionOf(target).names.map(name => this.view.members.get(name)).filter(member => member !== undefined);
	}

	/** Share of the target's limit that this daemon issues; 0 if it is not an issuer, or not one long enough. */
	issuedShare(target: string): number {
		return this.selectionOf(target).ownShare;
	}

	private selectionOf(target: string): Selection {
		const known = this.selections.get(target);
		if (known) {
			return known;
		}

		const names = highestTwo(this.known, target);
		const wasIssuer = highestTwo(this.settled, target).includes(this.daemon);
		const selection = {names, ownShare: wasIssuer ? issuedShares[names.indexOf(this.daemon)] ?? 0 : 0};
		this.selections.set(target, selection);
		return selection;
	}
}

/** Highest random weight: a daemon that joins or leaves changes the issuers of few targets. */
function highestTwo(daemons: Iterable<string>, target: string): string[] {
	let first: {name: string; weight: number} | undefined;
	let second: {name: string; weight: number} | undefined;
	for (const name of daemons) {
		const candidate = {name, weight: weightOf(`${name} ${target}`)};
		if (!first || candidate.weight > first.weight) {
			second = first;
			first = candidate;
		} else if (!second || candidate.weight > second.weight) {
			second = candidate;
		}
	}

	return [first, second].filter(candidate => candidate !== undefined).map(({name}) => name);
}
