/**
 * Requests of this daemon for slots of targets: chooses a coordinator, repeats what gets no answer, and names open grants.
 */
import type {Cancellation} from '../../model/cancellation.js';
import {LogEvent, type EventLog} from '../../model/events.js';
import {
	SlotDecision, SlotEnd, type SlotAnswer, type SlotRelease,
} from '../../model/slots.js';
import type {SlotLink} from './slot-exchange.js';
import {TickIntervals} from './tick-intervals.js';

/** Time without an answer after which a message is repeated, in milliseconds; an exchange takes about 3 ms, and ticks are 20 ms apart. */
const repeatMs = 40;

/** Time without an answer after which the next coordinator is asked, in milliseconds. */
const answerTimeoutMs = 80;

/** Interval at which the request is repeated while it is queued, in milliseconds, so that the end of a coordinator is noticed. */
const queuedRepeatMs = 150;

/** Time for which a coordinator that did not answer is skipped, in milliseconds. */
const skippedMs = 500;

/** Time for which the load that a coordinator reported is used, in milliseconds; requests take about as long. */
const loadValidityMs = 500;

/**
 * Interval at which open requests are named to their coordinators, in milliseconds. With 250 ms, 59 daemons that use some 20 coordinators
 * each exchange twice as many of these lists as requests.
 */
const confirmIntervalMs = 1000;

/** Empty lists that a coordinator gets after the last request ended, so that it notices a lost release although one of them is lost. */
const emptyListCount = 2;

/** Delay until a retry if the time of a queued request runs out without a denial, in milliseconds. */
const expiredRetryMs = 300;

/** Weight of one grant in the average wait, which covers about the last hundred grants. */
const waitWeight = 0.02;

/** Ready targets of a service that have the same coordinators. */
export type SlotGroup = {
	/** Unique among the groups of the service. */
	number: number;
	targets: ReadonlyArray<{id: string}>;
	/** Names of the first and the second coordinator. */
	coordinators: readonly string[];
};

/** Tells which daemons coordinate the targets of a service. */
export type SlotGroups = {
	groupsOf(service: string, now: number): readonly SlotGroup[];
};

/** A request that needs a slot. */
export type SlotDemand = {
	service: string;
	/** The only target that may run the request, for keyed services. */
	target?: string | undefined;
	/** Targets that earlier attempts of the request used. */
	excluded: readonly string[];
	priority: number;
	targetLatencyMs: number;
	/** Time at which the target latency has passed. */
	dueAt: number;
	deadlineAt: number;
};

export enum SlotOutcomeKind {
	Granted = 'granted',
	Denied = 'denied',
	/** No coordinator answers, or no target is left. */
	Uncoordinated = 'uncoordinated',
}

/** A granted slot, which has to be released. */
export type SlotGrant = {
	number: number;
	target: string;
	/** Estimated time until the target answers, in milliseconds. */
	responseMs: number;
};

export type SlotOutcome
	= | {kind: SlotOutcomeKind.Granted; grant: SlotGrant}
		| {kind: SlotOutcomeKind.Denied; retryAfterMs: number; isUnknownTarget?: boolean | undefined}
		| {kind: SlotOutcomeKind.Uncoordinated};

/** How the use of a granted slot ended. */
export type SlotResult = Pick<SlotRelease, 'end' | 'durationMs' | 'load' | 'warmUpLeftMs'>;

/** Counts since the start. */
export type SlotCounts = {
	granted: number;
	queued: number;
	denied: number;
	/** Requests whose target this daemon chose on its own because no coordinator answered. */
	uncoordinated: number;
};

export type SlotRequestOptions = {
	availabilityZone: string;
	groups: SlotGroups;
	link: SlotLink;
	log: EventLog;
	random(): number;
};

type PendingRequest = {
	number: number;
	demand: SlotDemand;
	group: SlotGroup;
	/** Position of the coordinator that was asked last. */
	position: number;
	/** The coordinator that was asked last. */
	coordinator: string;
	startedAt: number;
	/** Time of the first message to the coordinator that it has not answered, or of its answer that the request is queued. */
	askedAt: number;
	isRepeated: boolean;
	isQueued: boolean;
	hasBeenQueued: boolean;
	settle(outcome: SlotOutcome): void;
};

type WeightedGroup = {
	group: SlotGroup;
	/** Number of targets that may run the request. */
	weight: number;
};

type OpenGrant = {
	coordinator: string;
	service: string;
	target: string;
};

/** One instance for each daemon. */
export class SlotRequests {
	readonly counts: SlotCounts = {
		granted: 0, queued: 0, denied: 0, uncoordinated: 0,
	};

	private readonly pending = new Map<number, PendingRequest>();
	private readonly open = new Map<number, OpenGrant>();
	private readonly skippedUntil = new Map<string, number>();
	/** Load of groups as their coordinators last reported it. */
	private readonly loads = new Map<string, {load: number; reportedAt: number}>();
	/** Empty lists that coordinators still get. */
	private readonly contacts = new Map<string, number>();
	private readonly intervals = new TickIntervals();
	private confirmedAt = 0;
	private averageWaitMs = 0;
	/** Starts at the time of day, so that answers to an earlier process of this daemon have lower numbers. */
	private nextNumber = Date.now();

	constructor(private readonly options: SlotRequestOptions) {}

	/** Average time between a request and its grant, in milliseconds. */
	get meanWaitMs(): number {
		return this.averageWaitMs;
	}

	/** Waits for a slot. Nothing needs to be released unless the outcome is a grant. */
	async acquire(demand: SlotDemand, cancellation: Cancellation): Promise<SlotOutcome> {
		const now = performance.now();
		if (cancellation.isCancelled) {
			return {kind: SlotOutcomeKind.Denied, retryAfterMs: 0};
		}

		const groups = this.groupsFor(demand, now);
		if (groups.length === 0) {
			return {kind: SlotOutcomeKind.Uncoordinated};
		}

		const group = this.chooseGroup(demand.service, groups, now);
		const position = group ? this.usablePosition(group, 0, now) : undefined;
		const coordinator = position === undefined ? undefined : group?.coordinators[position];
		if (!group || position === undefined || !coordinator) {
			return this.fallBack(demand, now, now);
		}

		const number = this.nextNumber;
		this.nextNumber += 1;
		return new Promise(resolve => {
			const onCancel = (): void => {
				this.abandon(pending, performance.now());
				pending.settle({kind: SlotOutcomeKind.Denied, retryAfterMs: 0});
			};

			const pending: PendingRequest = {
				number,
				demand,
				group,
				position,
				coordinator,
				startedAt: now,
				askedAt: now,
				isRepeated: false,
				isQueued: false,
				hasBeenQueued: false,
				settle: outcome => {
					this.pending.delete(number);
					cancellation.unsubscribe(onCancel);
					resolve(outcome);
				},
			};
			this.pending.set(number, pending);
			cancellation.subscribe(onCancel);
			this.send(pending, now);
		});
	}

	/** Reports the end of a granted slot. */
	release(number: number, result: SlotResult, now = performance.now()): void {
		const grant = this.open.get(number);
		if (grant) {
			this.open.delete(number);
			const {coordinator, service, target} = grant;
			this.options.link.release(coordinator, {
				number, service, target, ...result,
			}, now);
		}
	}

	receiveAnswer(coordinator: string, answer: SlotAnswer, now = performance.now()): void {
		const pending = this.pending.get(answer.number);
		if (pending?.coordinator !== coordinator) {
			// A request that was given up has been released. If the release was lost, the list of open requests ends the grant.
			return;
		}

		const {demand, group} = pending;
		this.loads.set(loadKey(demand.service, group), {load: answer.load, reportedAt: now});
		switch (answer.decision) {
			case SlotDecision.Granted: {
				this.acceptGrant(pending, answer, now);
				break;
			}

			case SlotDecision.Queued: {
				this.counts.queued += pending.hasBeenQueued ? 0 : 1;
				pending.hasBeenQueued = true;
				pending.isQueued = true;
				pending.askedAt = now;
				break;
			}

			case SlotDecision.Denied: {
				this.counts.denied += 1;
				pending.settle({kind: SlotOutcomeKind.Denied, retryAfterMs: answer.retryAfterMs, isUnknownTarget: answer.isUnknownTarget});
				break;
			}
		}
	}

	/** Called periodically. */
	tick(now = performance.now()): void {
		this.options.link.tick(now);
		// After a stall, timers run before sockets are read: answers may have arrived in time.
		const stallMs = this.intervals.stallMs(now);
		for (const pending of this.pending.values()) {
			pending.askedAt = Math.min(now, pending.askedAt + stallMs);
			this.followUp(pending, now);
		}

		if (now - this.confirmedAt >= confirmIntervalMs) {
			this.confirmedAt = now;
			this.confirmOpen(now);
		}
	}

	private followUp(pending: PendingRequest, now: number): void {
		const passedMs = now - pending.askedAt;
		if (now >= pending.demand.deadlineAt) {
			this.abandon(pending, now);
			this.counts.denied += 1;
			pending.settle({kind: SlotOutcomeKind.Denied, retryAfterMs: expiredRetryMs});
		} else if (pending.isQueued) {
			if (passedMs >= queuedRepeatMs) {
				pending.isQueued = false;
				this.ask(pending, now);
			}
		} else if (passedMs >= answerTimeoutMs) {
			this.askNext(pending, now);
		} else if (!pending.isRepeated && passedMs >= repeatMs) {
			pending.isRepeated = true;
			this.send(pending, now);
		}
	}

	private askNext(pending: PendingRequest, now: number): void {
		const {coordinator, group, demand} = pending;
		this.skippedUntil.set(coordinator, now + skippedMs);
		this.options.log.record(LogEvent.SlotUnanswered, {service: demand.service, coordinator, waitedMs: Math.round(now - pending.askedAt)});
		// The request may have arrived and only the answers may have been lost.
		this.abandon(pending, now);
		const position = this.usablePosition(group, pending.position + 1, now);
		const next = position === undefined ? undefined : group.coordinators[position];
		if (position === undefined || !next) {
			pending.settle(this.fallBack(demand, pending.startedAt, now));
			return;
		}

		pending.position = position;
		pending.coordinator = next;
		this.ask(pending, now);
	}

	private ask(pending: PendingRequest, now: number): void {
		pending.askedAt = now;
		pending.isRepeated = false;
		this.send(pending, now);
	}

	private send({number, coordinator, demand, group}: PendingRequest, now: number): void {
		const {service, target, excluded, priority, targetLatencyMs, dueAt, deadlineAt} = demand;
		this.contacts.set(coordinator, emptyListCount);
		this.options.link.request(coordinator, {
			number,
			service,
			target,
			group: target === undefined ? group.number : undefined,
			excluded: [...excluded],
			availabilityZone: this.options.availabilityZone,
			priority,
			targetLatencyMs,
			dueMs: dueAt - now,
			leftMs: deadlineAt - now,
		}, now);
	}

	/** Ends a request at the coordinator that was asked last, whether it is queued there, granted or unknown. */
	private abandon({number, coordinator, demand}: PendingRequest, now: number): void {
		this.options.link.release(coordinator, {
			number, service: demand.service, target: demand.target, end: SlotEnd.Unused,
		}, now);
	}

	private acceptGrant(pending: PendingRequest, {target, responseMs}: SlotAnswer, now: number): void {
		const {number, demand, coordinator} = pending;
		// Any other target could not run the request; the answer is ignored like a malformed one.
		if (target === undefined || (demand.target !== undefined && target !== demand.target)) {
			return;
		}

		this.open.set(number, {coordinator, service: demand.service, target});
		const waitMs = now - pending.startedAt;
		this.averageWaitMs += (waitMs - this.averageWaitMs) * (this.counts.granted === 0 ? 1 : waitWeight);
		this.counts.granted += 1;
		pending.settle({kind: SlotOutcomeKind.Granted, grant: {number, target, responseMs}});
	}

	private fallBack({service}: SlotDemand, startedAt: number, now: number): SlotOutcome {
		this.counts.uncoordinated += 1;
		this.options.log.record(LogEvent.SlotFallback, {service, waitedMs: Math.round(now - startedAt)});
		return {kind: SlotOutcomeKind.Uncoordinated};
	}

	/** The groups that may run the request. */
	private groupsFor({service, target, excluded}: SlotDemand, now: number): WeightedGroup[] {
		return this.options.groups.groupsOf(service, now)
			.map(group => ({
				group, weight: group.targets.filter(({id}) => target === undefined ? !excluded.includes(id) : id === target).length,
			}))
			.filter(({weight}) => weight > 0);
	}

	/** The less loaded one of two random groups; a keyed request has one group only. */
	private chooseGroup(service: string, groups: readonly WeightedGroup[], now: number): SlotGroup | undefined {
		const usable = groups.filter(({group}) => this.usablePosition(group, 0, now) !== undefined);
		const first = this.drawGroup(usable);
		const second = this.drawGroup(usable);
		return first && second && this.loadOf(service, second, now) < this.loadOf(service, first, now) ? second : first;
	}

	private drawGroup(candidates: readonly WeightedGroup[]): SlotGroup | undefined {
		let left = this.options.random() * candidates.reduce((sum, {weight}) => sum + weight, 0);
		for (const {group, weight} of candidates) {
			left -= weight;
			if (left < 0) {
				return group;
			}
		}

		return candidates.at(-1)?.group;
	}

	/** Load that the coordinator last reported. A group without a recent report counts as idle, so that it is asked and reports. */
	private loadOf(service: string, group: SlotGroup, now: number): number {
		const known = this.loads.get(loadKey(service, group));
		return known && now - known.reportedAt <= loadValidityMs ? known.load : 0;
	}

	/** Position of the first coordinator from a position on that is not skipped. */
	private usablePosition({coordinators}: SlotGroup, from: number, now: number): number | undefined {
		const position = coordinators.findIndex((daemon, index) => index >= from && now >= (this.skippedUntil.get(daemon) ?? 0));
		return position === -1 ? undefined : position;
	}

	private confirmOpen(now: number): void {
		const numbers = new Map<string, number[]>();
		for (const [number, {coordinator}] of [...this.open, ...this.pending]) {
			const known = numbers.get(coordinator) ?? [];
			known.push(number);
			numbers.set(coordinator, known);
		}

		for (const [coordinator, emptyLists] of this.contacts) {
			const held = numbers.get(coordinator) ?? [];
			this.options.link.confirm(coordinator, held, now);
			if (held.length > 0) {
				continue;
			}

			if (emptyLists > 1) {
				this.contacts.set(coordinator, emptyLists - 1);
			} else {
				this.contacts.delete(coordinator);
			}
		}

		for (const [daemon, until] of this.skippedUntil) {
			if (now >= until) {
				this.skippedUntil.delete(daemon);
			}
		}

		for (const [key, {reportedAt}] of this.loads) {
			if (now - reportedAt > loadValidityMs) {
				this.loads.delete(key);
			}
		}
	}
}

function loadKey(service: string, {number}: SlotGroup): string {
	return `${service} ${number}`;
}
