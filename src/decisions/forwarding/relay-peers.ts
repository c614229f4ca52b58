/**
 * Chooses the peers that forward requests for a daemon that is cut off from all targets.
 */
import type {Member} from '../../model/fleet.js';
import type {FleetView} from '../fleet/fleet-view.js';

/** Most requests that one peer forwards for this daemon at the same time. */
const peerRequestLimit = 32;

/** Time for which a peer is passed over that could not forward a request, in milliseconds. */
const passedOverMs = 1000;

/** Peers of an availability zone that have to be passed over at the same time until the whole zone is. */
const zoneFailureCount = 2;

/** Peers that are compared for each request. */
const comparedCount = 2;

/** Peers of one daemon, with the requests that they forward for it. */
export class RelayPeers {
	private readonly requestCounts = new Map<string, number>();
	private readonly passedOverUntil = new Map<string, number>();

	constructor(
		private readonly own: {daemon: string; availabilityZone: string},
		private readonly view: FleetView,
		private readonly random: () => number,
	) {}

	/** Returns a peer for a request that none of the excluded peers could forward; undefined if no peer has a turn for it. */
	choose(excludedPeers: ReadonlySet<string>, now = performance.now()): Member | undefined {
		const usable = [...this.view.members.values()].filter(({daemon}) => daemon !== this.own.daemon && !excludedPeers.has(daemon)
			&& (this.requestCounts.get(daemon) ?? 0) < peerRequestLimit);
		const fresh = usable.filter(({daemon}) => now >= (this.passedOverUntil.get(daemon) ?? 0));
		const zones = this.passedOverZones(now);
		const inUsableZones = fresh.filter(({availabilityZone}) => !zones.has(availabilityZone));
		const local = inUsableZones.filter(({availabilityZone}) => availabilityZone === this.own.availabilityZone);
		const candidates = [local, inUsableZones, fresh, usable].find(({length}) => length > 0) ?? [];
		let best: Member | undefined;
		for (let index = 0; index < comparedCount; index += 1) {
			const candidate = candidates[Math.min(candidates.length - 1, Math.floor(this.random() * candidates.length))];
			if (candidate && (!best || this.costOf(candidate) < this.costOf(best))) {
				best = candidate;
			}
		}

		return best;
	}

	/** Records that a request is relayed to a peer. */
	startRequest({daemon}: Member): void {
		this.requestCounts.set(daemon, (this.requestCounts.get(daemon) ?? 0) + 1);
	}

	/** Records the end of a relayed request. */
	endRequest({daemon}: Member, isUsable: boolean, now = performance.now()): void {
		const remaining = (this.requestCounts.get(daemon) ?? 0) - 1;
		if (remaining > 0) {
			this.requestCounts.set(daemon, remaining);
		} else {
			this.requestCounts.delete(daemon);
		}

		if (isUsable) {
			this.passedOverUntil.delete(daemon);
		} else {
			this.passedOverUntil.set(daemon, now + passedOverMs);
		}
	}

	/** A whole availability zone may be cut off; its other daemons need not be tried one by one. */
	private passedOverZones(now: number): Set<string> {
		const counts = new Map<string, number>();
		for (const [daemon, until] of this.passedOverUntil) {
			const availabilityZone = this.view.members.get(daemon)?.availabilityZone;
			if (now >= until || availabilityZone === undefined) {
				this.passedOverUntil.delete(daemon);
			} else {
				counts.set(availabilityZone, (counts.get(availabilityZone) ?? 0) + 1);
			}
		}

		return new Set([...counts].filter(([, count]) => count >= zoneFailureCount).map(([availabilityZone]) => availabilityZone));
	}

	private costOf({daemon, room}: Member): number {
		return ((this.requestCounts.get(daemon) ?? 0) + 1) / Math.max(room, Number.EPSILON);
	}
}
