/**
 * Groups of the ready targets of a service, and the daemons that coordinate them.
 *
 * Every daemon derives both on its own from the targets and members that it knows. Highest random weight keeps the groups and
 * coordinators of most targets when a target or a member comes or goes.
 */
import type {Member, Target} from '../../model/fleet.js';
import type {FleetView} from '../fleet/fleet-view.js';
import {weightOf, weightRange} from '../rendezvous.js';

/** Targets of a group: enough to find a free slot at a utilization of 0.45, few enough for one VM to coordinate. */
const groupSize = 12;

/** Targets of a group of a keyed service, where requests name their target and a group only divides the work of coordinating. */
const keyedGroupSize = 8;

/** Smallest spare capacity that counts, in cores; members without any still have to differ by their hash. */
const minRoom = 0.01;

/** Targets with common coordinators. */
export type TargetGroup = {
	number: number;
	targets: Target[];
	/** Names of the first coordinator and of the one that is asked if the first does not answer. */
	coordinators: string[];
};

/** What groups are derived from. */
export type GroupView = Pick<FleetView, 'configuration' | 'readyTargets'> & {readonly members: ReadonlyMap<string, Member>};

type Grouping = {
	ready: readonly Target[];
	/** Numbers of the groups by target, which depend only on the number of groups. */
	numbers: Map<string, number>;
	groups: TargetGroup[];
};

export class TargetGroups {
	private readonly groupings = new Map<string, Grouping>();
	/** Spare capacity by name of the members from which the coordinators were derived. */
	private rooms = new Map<string, number>();

	constructor(private readonly view: GroupView) {}

	/** The groups of a service by number; a group may be empty. */
	groupsOf(service: string, now = performance.now()): readonly TargetGroup[] {
		this.followMembers();
		const ready = this.view.readyTargets(service, now);
		const known = this.groupings.get(service);
		if (known && isSame(known.ready, ready)) {
			return known.groups;
		}

		const grouping = this.divide(service, ready, known);
		this.groupings.set(service, grouping);
		return grouping.groups;
	}

	/** The group of a ready target. */
	groupOf(service: string, target: string, now = performance.now()): TargetGroup | undefined {
		const groups = this.groupsOf(service, now);
		const number = this.groupings.get(service)?.numbers.get(target);
		const group = number === undefined ? undefined : groups[number];
		return group?.targets.some(({id}) => id === target) ? group : undefined;
	}

	/** Forgets the coordinators if the members have changed. */
	private followMembers(): void {
		const {members} = this.view;
		let isSame = members.size === this.rooms.size;
		for (const {daemon, room} of members.values()) {
			isSame &&= this.rooms.get(daemon) === room;
		}

		if (isSame) {
			return;
		}

		this.rooms = new Map([...members.values()].map(({daemon, room}) => [daemon, room]));
		for (const [service, {groups}] of this.groupings) {
			for (const group of groups) {
				group.coordinators = this.highestTwo(`${service} ${group.number}`);
			}
		}
	}

	private divide(service: string, ready: readonly Target[], known: Grouping | undefined): Grouping {
		const isKeyed = this.view.configuration?.services.get(service)?.isKeyed ?? false;
		const count = Math.ceil(ready.length / (isKeyed ? keyedGroupSize : groupSize));
		const earlier = known?.groups.length === count ? known : undefined;
		const groups = Array.from({length: count}, (_, number): TargetGroup => ({
			number, targets: [], coordinators: earlier?.groups[number]?.coordinators ?? this.highestTwo(`${service} ${number}`),
		}));
		const numbers = new Map<string, number>();
		for (const target of ready) {
			const number = earlier?.numbers.get(target.id) ?? groupNumber(target.id, count);
			numbers.set(target.id, number);
			groups[number]?.targets.push(target);
		}

		return {ready, numbers, groups};
	}

	/** The two members with the highest weighted random weight. The square of the spare capacity gives large VMs most of the work. */
	private highestTwo(name: string): string[] {
		return [...this.rooms]
			.map(([daemon, room]) => ({daemon, weight: (Math.max(minRoom, room) ** 2) / -Math.log((weightOf(`${daemon} ${name}`) + 0.5) / weightRange)}))
			.toSorted((left, right) => right.weight - left.weight || (left.daemon < right.daemon ? -1 : 1))
			.slice(0, 2)
			.map(({daemon}) => daemon);
	}
}

/** Compares elements, because the view returns another array each time while it uses targets whose entries expired. */
function isSame(left: readonly Target[], right: readonly Target[]): boolean {
	return left === right || (left.length === right.length && left.every((target, index) => target === right[index]));
}

function groupNumber(target: string, count: number): number {
	let best = 0;
	let highest = -1;
	for (let number = 0; number < count; number += 1) {
		const weight = weightOf(`${number} ${target}`);
		if (weight > highest) {
			best = number;
			highest = weight;
		}
	}

	return best;
}
