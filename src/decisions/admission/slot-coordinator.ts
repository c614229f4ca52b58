/**
 * Grants slots of targets to the requests of all daemons.
 *
 * The state exists only in this daemon's memory. Another coordinator that takes over learns it from peers and targets.
 */
import {LogEvent, type EventLog} from '../../model/events.js';
import type {Target} from '../../model/fleet.js';
import {
	SlotDecision, type SlotAnswer, type SlotRelease, type SlotRequest,
} from '../../model/slots.js';
import type {FleetView} from '../fleet/fleet-view.js';
import type {TargetLoads} from '../forwarding/target-loads.js';
import {
	retryDelayMs, SlotQueue, type Pace, type WaitingRequest,
} from './slot-queue.js';
import {TargetGroups, type GroupView} from './target-groups.js';
import {TickIntervals} from './tick-intervals.js';
import {TargetMeter, TrustChange, type Grant} from './target-meter.js';

/** Factor on the estimate of a target in another availability zone than the asking daemon: traffic between them is priced. */
const remoteFactor = 1.15;

/** Factor on the estimate of a target without a free slot; the request could not move if another slot became free. */
const queuedFactor = 1.4;

/** Targets within this factor of the best are equally good. */
const similarFactor = 1.1;

/** Mean utilization up to which only latency matters, and from which the load has to be even. */
const latencyUtilization = 0.1;
const evenUtilization = 0.3;

/** Power of the ratio of a target's utilization to the mean; with 4, a target twice as fast gets a fifth more load per slot. */
const evenPower = 4;

/** Least utilization that counts, so that ratios of targets without load are defined. */
const minUtilization = 0.02;

/** Age from which a grant ends if its daemon does not name it, in milliseconds; a younger one may cross the message. */
const confirmedAgeMs = 250;

/** Time without a message after which a daemon's grants and requests end, in milliseconds; three times the interval of the lists of open requests. */
const silenceMs = 3000;

/** Time without repetition after which a waiting request ends, in milliseconds; daemons repeat it every 150 ms. */
const repetitionMs = 600;

/** Time for which ended numbers are remembered, in milliseconds; longer than messages are repeated. */
const endedMemoryMs = 1000;

/** Time until a retry for an unknown target or service, in milliseconds; the view changes within milliseconds. */
const unknownRetryMs = 100;

/** Shortest interval between log lines about denials, in milliseconds. */
const denialLogMs = 1000;

/** Weight of one grant in the moving average of the wait. */
const waitWeight = 0.01;

/** Requests for the same targets. */
type Pool = {
	service: string;
	/** The only target, for a keyed service. */
	target: string | undefined;
	group: number | undefined;
	queue: SlotQueue;
};

/** A number that is not in use any more, with the denial that ended it. */
type EndedNumber = {
	endedAt: number;
	denial: SlotAnswer | undefined;
};

type Candidate = {
	target: Target;
	meter: TargetMeter;
};

type WaitingPlace = {
	waiting: WaitingRequest;
	pool: Pool;
};

export type SlotCoordinatorOptions = {
	daemon: string;
	view: GroupView & Pick<FleetView, 'warmUpLeft'>;
	loads: Pick<TargetLoads, 'estimatedServiceMs' | 'inFlight'>;
	log: EventLog;
	random(): number;
};

export class SlotCoordinator {
	private readonly groups: TargetGroups;
	private readonly meters = new Map<string, TargetMeter>();
	private readonly pools = new Map<string, Pool>();
	private readonly grants = new Map<string, Grant>();
	private readonly places = new Map<string, WaitingPlace>();
	/** In the order in which they ended. */
	private readonly ended = new Map<string, EndedNumber>();
	private readonly lastMessageAt = new Map<string, number>();
	private readonly intervals = new TickIntervals();
	private granted = 0;
	private queued = 0;
	private denied = 0;
	private averageWaitMs = 0;
	private loggedDenials = 0;
	private denialsLoggedAt = -Infinity;

	constructor(private readonly options: SlotCoordinatorOptions) {
		this.groups = new TargetGroups(options.view);
	}

	/** Number of grants since the start. */
	get grantedCount(): number {
		return this.granted;
	}

	/** Number of requests since the start that had to wait. */
	get queuedCount(): number {
		return this.queued;
	}

	/** Number of denials since the start. */
	get deniedCount(): number {
		return this.denied;
	}

	get openGrantCount(): number {
		return this.grants.size;
	}

	/** Average time between a request and its grant, over about the last hundred grants, in milliseconds. */
	get meanWaitMs(): number {
		return this.averageWaitMs;
	}

	/** Number of cold targets with requests in flight. */
	get coldTargetCount(): number {
		return [...this.meters.values()].filter(({isColdInUse}) => isColdInUse).length;
	}

	/** Answers a request, and others whose turn it changes. A repeated request gets its answer again. */
	request(daemon: string, request: SlotRequest, now = performance.now()): SlotAnswer[] {
		this.lastMessageAt.set(daemon, now);
		const key = keyOf(daemon, request.number);
		const repeated = this.repeatAnswer(key, now);
		if (repeated) {
			return repeated;
		}

		const pool = this.poolOf(request, now);
		const candidates = this.candidatesOf(pool, now);
		const waiting = {
			daemon, request, queuedAt: now, dueAt: now + request.dueMs, deadlineAt: now + request.leftMs, repeatedAt: now,
		};
		if (candidates.length === 0) {
			// Without any ready target, this daemon may not know the service yet, and the asking daemon goes on to the second coordinator.
			return this.options.view.readyTargets(request.service, now).length === 0 ? [] : [this.denyUnknown(waiting, now)];
		}

		this.places.set(key, {waiting, pool});
		pool.queue.add(waiting, now, this.paceOf(candidates, now));
		const answers = this.serve(pool, candidates, now);
		if (this.places.has(key)) {
			this.queued += 1;
			answers.push(this.queuedAnswer({waiting, pool}, candidates, now));
		}

		return answers;
	}

	/** Ends a grant, or a request that waits. */
	release(daemon: string, release: SlotRelease, now = performance.now()): SlotAnswer[] {
		this.lastMessageAt.set(daemon, now);
		const key = keyOf(daemon, release.number);
		const place = this.places.get(key);
		if (place) {
			this.places.delete(key);
			place.pool.queue.remove(place.waiting);
		}

		this.ended.set(key, {endedAt: now, denial: undefined});
		const grant = this.grants.get(key);
		this.grants.delete(key);
		const id = grant?.target ?? release.target;
		const meter = id === undefined ? undefined : this.meters.get(id);
		if (!meter) {
			return [];
		}

		if (grant && meter.grants.has(grant)) {
			this.logTrust(meter, now, () => meter.end(grant, release, now));
		} else if (release.load) {
			meter.recordLateLoad(release.load, now);
		}

		return this.serveTarget(meter.target, now);
	}

	/** Ends the grants of a daemon that it does not name; their releases were lost. */
	confirm(daemon: string, openNumbers: readonly number[], now = performance.now()): SlotAnswer[] {
		this.lastMessageAt.set(daemon, now);
		const open = new Set(openNumbers);
		const lost = [...this.grants.values()].filter(grant => grant.daemon === daemon && now - grant.grantedAt > confirmedAgeMs && !open.has(grant.number));
		return this.drop(lost, {unconfirmed: lost.length}, now);
	}

	/** Called periodically: issues grants that have become possible and drops unused ones. */
	advance(now = performance.now()): SlotAnswer[] {
		const stallMs = this.intervals.stallMs(now);
		this.excuseStall(stallMs, now);
		this.forgetEnded(now);
		for (const meter of stallMs > 0 ? [] : this.meters.values()) {
			this.logTrust(meter, now, () => meter.checkSilence(now));
		}

		for (const [key, {waiting, pool}] of this.places) {
			const isRepeated = waiting.daemon === this.options.daemon || now - waiting.repeatedAt <= repetitionMs;
			if (!isRepeated || this.isSilent(waiting.daemon, now)) {
				this.places.delete(key);
				pool.queue.remove(waiting);
			}
		}

		const silent = [...this.grants.values()].filter(({daemon}) => this.isSilent(daemon, now));
		const expired = [...this.grants.values()].filter(({daemon, expiresAt}) => now >= expiresAt && !this.isSilent(daemon, now));
		const answers = this.drop([...silent, ...expired], {silent: silent.length, expired: expired.length}, now);
		for (const [key, pool] of this.pools) {
			const candidates = this.candidatesOf(pool, now);
			if (candidates.length === 0) {
				answers.push(...pool.queue.clear().map(waiting => this.denyUnknown(waiting, now)));
			} else {
				answers.push(...this.serve(pool, candidates, now));
			}

			if (pool.queue.length === 0) {
				this.pools.delete(key);
			}
		}

		this.logDenials(now);
		return answers;
	}

	private repeatAnswer(key: string, now: number): SlotAnswer[] | undefined {
		const grant = this.grants.get(key);
		if (grant) {
			return [this.grantedAnswer(grant, this.loadOfTarget(grant.target, now))];
		}

		const place = this.places.get(key);
		if (place) {
			place.waiting.repeatedAt = now;
			const candidates = this.candidatesOf(place.pool, now);
			// Without candidates the estimates are not defined; the next tick denies the request.
			return candidates.length === 0 ? [] : [this.queuedAnswer(place, candidates, now)];
		}

		const ended = this.ended.get(key);
		return ended && (ended.denial ? [ended.denial] : []);
	}

	private poolOf({service, target, group}: SlotRequest, now: number): Pool {
		const knownGroup = group !== undefined && group < this.groups.groupsOf(service, now).length ? group : undefined;
		const key = target === undefined ? `${service} ${knownGroup ?? ''}` : `${service} target ${target}`;
		const known = this.pools.get(key);
		if (known) {
			return known;
		}

		const pool = {
			service, target, group: knownGroup, queue: new SlotQueue(),
		};
		this.pools.set(key, pool);
		return pool;
	}

	/** The ready targets that may run the requests of the pool, with what is known of them. */
	private candidatesOf(pool: Pool, now: number): Candidate[] {
		return this.targetsOf(pool, now).map(target => ({target, meter: this.meterOf(target, now)}));
	}

	private targetsOf({service, target, group}: Pool, now: number): readonly Target[] {
		if (target !== undefined) {
			return this.groups.groupOf(service, target, now)?.targets.filter(({id}) => id === target) ?? [];
		}

		const groups = this.groups.groupsOf(service, now);
		const chosen = group === undefined ? [] : groups[group]?.targets ?? [];
		if (chosen.length > 0) {
			return chosen;
		}

		// The asking daemon knows other groups than this one, or the group has lost its targets: any for which this daemon is first, or else all.
		const own = groups.filter(({coordinators}) => coordinators[0] === this.options.daemon);
		return (own.length > 0 ? own : groups).flatMap(({targets}) => targets);
	}

	/** Grants free slots to the requests of a pool, and denies those that are too late. */
	private serve({queue}: Pool, candidates: readonly Candidate[], now: number): SlotAnswer[] {
		const answers: SlotAnswer[] = [];
		if (queue.length === 0 || candidates.length === 0) {
			return answers;
		}

		const pace = this.paceOf(candidates, now);
		let isTaken = true;
		while (isTaken && queue.length > 0 && candidates.some(({meter}) => meter.isAvailable(this.inFlight(meter, now), true, now))) {
			isTaken = queue.take(now, pace, waiting => {
				const grant = this.tryGrant(waiting, candidates, now);
				if (grant) {
					answers.push(this.grantedAnswer(grant, this.loadOf(candidates, queue.length - 1, now)));
				}

				return grant !== undefined;
			});
		}

		queue.advance(now, pace);
		for (const waiting of queue.removeHopeless(now, pace)) {
			answers.push(this.deny(waiting, {retryAfterMs: queue.retryAfterMs(pace, this.options.random()), load: this.loadOf(candidates, queue.length, now)}, now));
		}

		return answers;
	}

	/** Serves the pools that a freed slot of the target matters for. */
	private serveTarget({id, service}: Target, now: number): SlotAnswer[] {
		return [...this.pools.values()]
			.filter(pool => pool.queue.length > 0 && pool.service === service && (pool.target === undefined || pool.target === id))
			.flatMap(pool => this.serve(pool, this.candidatesOf(pool, now), now));
	}

	private tryGrant(waiting: WaitingRequest, candidates: readonly Candidate[], now: number): Grant | undefined {
		const meter = this.chooseMeter(waiting, candidates, now);
		if (!meter) {
			return undefined;
		}

		const inFlight = this.inFlight(meter, now);
		if (now + meter.responseMs(inFlight, now) > waiting.deadlineAt) {
			return undefined;
		}

		const {daemon, request: {number}, deadlineAt, queuedAt} = waiting;
		const grant = meter.start({daemon, number, expiresAt: deadlineAt}, inFlight, now);
		const key = keyOf(daemon, number);
		this.grants.set(key, grant);
		this.places.delete(key);
		this.granted += 1;
		this.averageWaitMs += (now - queuedAt - this.averageWaitMs) * waitWeight;
		return grant;
	}

	/** One of the targets that are best for the request, at random; undefined if all that it may use are taken. */
	private chooseMeter({request}: WaitingRequest, all: readonly Candidate[], now: number): TargetMeter | undefined {
		const usable = all.filter(({target}) => !request.excluded.includes(target.id));
		const eligible = usable.length > 0 ? usable : all;
		const isOnlyChoice = eligible.every(({meter}) => meter.isSuspect);
		const available = eligible.filter(({meter}) => meter.isAvailable(this.inFlight(meter, now), isOnlyChoice, now));
		if (available.length <= 1) {
			return available[0]?.meter;
		}

		// A trial may be lost, so a request that already was is not used for another.
		const trial = request.excluded.length === 0 ? available.find(({meter}) => meter.isTrialDue(now)) : undefined;
		if (trial) {
			return trial.meter;
		}

		return this.chooseCheapest(available.filter(({meter}) => isOnlyChoice || !meter.isSuspect), all, request.availabilityZone, now);
	}

	private chooseCheapest(available: readonly Candidate[], all: readonly Candidate[], availabilityZone: string, now: number): TargetMeter | undefined {
		const meanUtilization = mean(all.map(({meter}) => meter.utilization(now)));
		const power = evenPower * Math.min(1, Math.max(0, (meanUtilization - latencyUtilization) / (evenUtilization - latencyUtilization)));
		const costs = available.map(({target, meter}) => {
			const inFlight = this.inFlight(meter, now);
			const responseMs = meter.responseMs(inFlight, now);
			const evenness = Math.max(minUtilization, meter.utilization(now)) / Math.max(minUtilization, meanUtilization);
			return responseMs * (evenness ** power)
				* (target.availabilityZone === availabilityZone ? 1 : remoteFactor)
				* (inFlight >= meter.slots ? queuedFactor : 1);
		});
		const limit = Math.min(...costs) * similarFactor;
		const similar = available.filter((_, index) => costs[index] <= limit);
		return similar[Math.floor(this.options.random() * similar.length)]?.meter;
	}

	private paceOf(candidates: readonly Candidate[], now: number): Pace {
		const meters = candidates.map(({meter}) => meter);
		const trusted = meters.filter(({isSuspect}) => !isSuspect);
		const counted = trusted.length > 0 ? trusted : meters;
		return {
			perMs: counted.reduce((sum, meter) => sum + meter.perMs(now), 0),
			responseMs: mean(counted.map(meter => meter.responseMs(0, now))),
		};
	}

	private meterOf(target: Target, now: number): TargetMeter {
		const {view, loads, log} = this.options;
		const known = this.meters.get(target.id);
		const isKnown = known?.target.bornAt === target.bornAt;
		const meter = isKnown ? known : new TargetMeter(target, loads.estimatedServiceMs(target), now);
		meter.update(target, {isCold: view.warmUpLeft(target.id, now) > 0, warmUpPerS: view.configuration?.services.get(target.service)?.warmUpPerS}, now);
		if (meter.use(now) || !isKnown) {
			this.meters.set(target.id, meter);
			log.record(LogEvent.SlotsCoordinated, {service: target.service, target: target.id, inFlight: loads.inFlight(target.id)});
		}

		return meter;
	}

	private inFlight(meter: TargetMeter, now: number): number {
		return meter.inFlight(this.options.loads.inFlight(meter.target.id), now);
	}

	private loadOfTarget(id: string, now: number): number {
		const meter = this.meters.get(id);
		return meter?.utilization(now) ?? 0;
	}

	/** Averaged, because the figure decides for half a second at the asking daemon; the present one makes daemons choose the same group. */
	private loadOf(candidates: readonly Candidate[], waitingCount: number, now: number): number {
		let slots = 0;
		let used = 0;
		for (const {meter} of candidates) {
			slots += meter.slots;
			used += meter.slots * meter.utilization(now);
		}

		return (used + waitingCount) / slots;
	}

	private grantedAnswer({daemon, number, target, expectedMs}: Grant, load: number): SlotAnswer {
		return {
			daemon, number, decision: SlotDecision.Granted, target, responseMs: expectedMs, retryAfterMs: 0, load,
		};
	}

	private queuedAnswer({waiting, pool}: WaitingPlace, candidates: readonly Candidate[], now: number): SlotAnswer {
		const pace = this.paceOf(candidates, now);
		return {
			daemon: waiting.daemon,
			number: waiting.request.number,
			decision: SlotDecision.Queued,
			responseMs: pool.queue.waitMs(waiting, pace) + pace.responseMs,
			retryAfterMs: 0,
			load: this.loadOf(candidates, pool.queue.length, now),
		};
	}

	/** Denies a request for which no target is known. */
	private denyUnknown(waiting: WaitingRequest, now: number): SlotAnswer {
		const isUnknownTarget = waiting.request.target !== undefined;
		return this.deny(waiting, {retryAfterMs: retryDelayMs(unknownRetryMs, this.options.random()), load: 0, ...(isUnknownTarget && {isUnknownTarget})}, now);
	}

	private deny({daemon, request: {number}}: WaitingRequest, reason: Pick<SlotAnswer, 'retryAfterMs' | 'load' | 'isUnknownTarget'>, now: number): SlotAnswer {
		const key = keyOf(daemon, number);
		const denial = {
			daemon, number, decision: SlotDecision.Denied, responseMs: 0, ...reason,
		};
		this.places.delete(key);
		this.ended.set(key, {endedAt: now, denial});
		this.denied += 1;
		return denial;
	}

	/** Frees the slots of grants whose end is not known. */
	private drop(grants: readonly Grant[], counts: {unconfirmed?: number; silent?: number; expired?: number}, now: number): SlotAnswer[] {
		if (grants.length === 0) {
			return [];
		}

		const meters = new Set<TargetMeter>();
		for (const grant of grants) {
			const key = keyOf(grant.daemon, grant.number);
			this.grants.delete(key);
			this.ended.set(key, {endedAt: now, denial: undefined});
			const meter = this.meters.get(grant.target);
			if (meter) {
				meter.drop(grant, now);
				meters.add(meter);
			}
		}

		this.options.log.record(LogEvent.SlotGrantsDropped, counts);
		return [...meters].flatMap(({target}) => this.serveTarget(target, now));
	}

	private isSilent(daemon: string, now: number): boolean {
		return daemon !== this.options.daemon && now - (this.lastMessageAt.get(daemon) ?? -Infinity) > silenceMs;
	}

	/** After a stall of this process, timers run before sockets are read: messages of other daemons may have arrived in time. */
	private excuseStall(stallMs: number, now: number): void {
		if (stallMs === 0) {
			return;
		}

		for (const [daemon, lastMessageAt] of this.lastMessageAt) {
			this.lastMessageAt.set(daemon, Math.min(now, lastMessageAt + stallMs));
		}

		for (const {waiting} of this.places.values()) {
			waiting.repeatedAt = Math.min(now, waiting.repeatedAt + stallMs);
		}
	}

	private forgetEnded(now: number): void {
		for (const [key, {endedAt}] of this.ended) {
			if (now - endedAt <= endedMemoryMs) {
				break;
			}

			this.ended.delete(key);
		}

		for (const [daemon, lastMessageAt] of this.lastMessageAt) {
			if (now - lastMessageAt > 2 * silenceMs) {
				this.lastMessageAt.delete(daemon);
			}
		}

		for (const [id, {grants, target}] of this.meters) {
			if (grants.size === 0 && this.groups.groupOf(target.service, id, now) === undefined) {
				this.meters.delete(id);
			}
		}
	}

	private logTrust(meter: TargetMeter, now: number, observe: () => TrustChange | undefined): void {
		const fields = meter.logFields(now);
		const change = observe();
		if (change) {
			this.options.log.record(change === TrustChange.Suspected ? LogEvent.SlotTargetSuspected : LogEvent.SlotTargetTrusted, fields);
		}
	}

	private logDenials(now: number): void {
		if (this.denied === this.loggedDenials || now - this.denialsLoggedAt < denialLogMs) {
			return;
		}

		this.options.log.record(LogEvent.SlotsDenied, {count: this.denied - this.loggedDenials, waiting: this.places.size});
		this.loggedDenials = this.denied;
		this.denialsLoggedAt = now;
	}
}

function keyOf(daemon: string, number: number): string {
	return `${daemon} ${number}`;
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
