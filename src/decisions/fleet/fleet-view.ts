/**
 * A daemon's copy of the store's data: the configuration, the targets, its peers and the owners of keys.
 */
import type {Cancellation} from '../../model/cancellation.js';
import {
	isSameIncarnation, TargetState, type Member, type Target, type TargetIncarnation,
} from '../../model/fleet.js';
import type {KeyAssignment} from '../../model/key-ownership.js';
import type {RouteConfiguration} from '../../model/route-configuration.js';
import type {Moment} from '../ownership/moment.js';
import {incarnationKey} from '../ownership/target-responsiveness.js';
import type {PossibleHolder} from '../ownership/unconfirmed-holders.js';
import {RouteIndex} from '../routing/route-index.js';
import {ConfigurationFreshness} from './configuration-freshness.js';
import {OwnerFreshness} from './owner-freshness.js';

/** A target that the store no longer lists. */
type RemovedTarget = {
	target: Target;
	removedAt: number;
	/** Until then, the target stays in use, because its entry may have expired only on account of a store outage. */
	usableUntil: number;
};

/** An assignment with the revision of its key. */
export type KnownAssignment = {
	assignment: KeyAssignment;
	revision: number;
};

/** The daemon that leads, with the revision of the leader's key. */
export type KnownLeader = {
	daemon: string;
	revision: number;
};

/** Time for which a removed target is kept, in milliseconds; longer than the longest hold of keys. */
const removedRetentionMs = 15_000;

/** Time for which it is remembered that an incarnation is leaving, in milliseconds; longer than any leaving target runs. */
const leavingRetentionMs = 600_000;

/** Time for which a daemon is remembered whose entry has expired, in milliseconds; bounds the memory. */
const formerMemberRetentionMs = 600_000;

/**
 * Time for which a daemon is sent messages after a restore of the store although its entry is missing, in milliseconds. It writes
 * its entry again once it learns of the restore, at the latest by the renewal of its lease.
 */
const unlistedMemberRetentionMs = 9000;

/** Number of earlier assignments kept for each service, so that daemons a few changes behind need not get all ranges. */
const assignmentHistoryLimit = 8;

/** Entries in a row that an incarnation with an earlier start has to write to be listed again; one may be a late write of a process that ended. */
const repeatedEntryCount = 2;

/** True if an assignment is newer than another one of the same service. Revisions are compared only within one era. */
export function isNewerAssignment(left: KnownAssignment, right: KnownAssignment): boolean {
	const eras = (left.assignment.era ?? 0) - (right.assignment.era ?? 0);
	return eras === 0 ? left.revision > right.revision : eras > 0;
}

/** The copy that decisions read; the synchronization with the store updates it. */
export class FleetView {
	/** Revision of the store up to which the view is complete. */
	revision = 0;
	/** Era of the store to which the revisions belong; undefined while none is known. */
	storeEra: number | undefined;
	leader: KnownLeader | undefined;
	/** Revision of the leader's key if it was written before the store was restored, so that it names no leader; 0 otherwise. */
	formerLeaderRevision = 0;
	readonly members = new Map<string, Member>();
	readonly assignments = new Map<string, KnownAssignment>();
	readonly ownerFreshness = new OwnerFreshness();
	/** Daemons whose entries have expired, with the time of the removal. */
	private readonly formerMembers = new Map<string, {member: Member; removedAt: number}>();
	/** Members whose entries the restored store does not contain, with the time until which they count as members. */
	private readonly unlistedMembers = new Map<string, number>();
	/** Highest revision of earlier eras. */
	private lostRevision = 0;
	/** When this daemon learned of the latest restore; -Infinity without one. */
	private restoredAt = Number.NEGATIVE_INFINITY;
	private readonly assignmentHistory = new Map<string, KnownAssignment[]>();
	private routes: RouteIndex | undefined;
	private readonly targets = new Map<string, Target>();
	private readonly removed = new Map<string, RemovedTarget>();
	private readonly readyByService = new Map<string, Target[]>();
	/** Targets that said in an answer that they are leaving, with the incarnation and the time. */
	private readonly leaving = new Map<string, {bornAt: number; saidAt: number}>();
	/** Entries with an earlier start than the listed incarnation, by id, since that one last wrote its entry. */
	private readonly overtaken = new Map<string, {bornAt: number; count: number}>();
	private readonly warmedUpAt = new Map<string, number>();
	/** When targets have warmed up by their own answers, with the incarnation. */
	private readonly reportedWarmUps = new Map<string, {bornAt: number; until: number}>();
	private readonly assignmentListeners = new Set<() => void>();
	private readonly evacuated = new Set<string>();
	/** Incarnations that the store no longer listed before it was restored. */
	private readonly leftBeforeRestore = new Set<string>();
	/** Until then, targets whose entries are removed from the store stay in use. */
	private graceUntil = 0;

	constructor(readonly freshness = new ConfigurationFreshness()) {}

	get routeIndex(): RouteIndex | undefined {
		return this.routes;
	}

	get configuration(): RouteConfiguration | undefined {
		return this.routes?.configuration;
	}

	/** Availability zones whose targets get no requests. */
	get evacuatedZones(): ReadonlySet<string> {
		return this.evacuated;
	}

	/** Number of ranges, of all services, whose former owners have not proved that they no longer hold them. */
	get unreleasedRangeCount(): number {
		return [...this.assignments.values()].reduce((sum, {assignment}) => sum + assignment.unreleased.length, 0);
	}

	/** Number of ranges, of all services, that targets in evacuated zones own or may hold. */
	get evacuatedRangeCount(): number {
		return [...this.evacuated].reduce((sum, zone) => sum + this.rangesIn(zone), 0);
	}

	/** True if the active configuration has services whose keys have owners. */
	get hasKeyedServices(): boolean {
		return [...this.configuration?.services.values() ?? []].some(({isKeyed}) => isKeyed);
	}

	/** True if requests may be sent to the known owners. There are none before the first listing of the store. */
	get mayUseOwners(): boolean {
		return this.ownerFreshness.isFresh || (this.revision === 0 && this.lostRevision === 0 && !this.ownerFreshness.hasEvidence);
	}

	/** True unless the newest known owners of a keyed service were written before the store was restored. */
	get areOwnersCurrent(): boolean {
		return [...this.assignments].every(([service, known]) => this.isCurrent(known) || this.configuration?.services.get(service)?.isKeyed !== true);
	}

	/** True if the owners of any service were written in the current era, so that a leader has been elected in it. */
	get hasCurrentOwners(): boolean {
		return [...this.assignments.values()].some(known => this.isCurrent(known));
	}

	/** Records that the known owners were the newest ones at a moment; owners of a lost era are never confirmed. */
	confirmOwners(at: Moment): void {
		if (this.areOwnersCurrent) {
			this.ownerFreshness.confirm(at);
		}
	}

	/** True if this daemon knew the contents of the store before a restore. */
	get hasLostEra(): boolean {
		return this.lostRevision > 0;
	}

	/** Highest revision of this and earlier eras, for plausibility checks of peers' revisions. */
	get highestRevision(): number {
		return Math.max(this.revision, this.lostRevision);
	}

	/**
	 * Starts over because the store was restored. The contents stay in use until they are read again, but revisions and evidence
	 * belong to the lost era.
	 */
	beginEra(era: number, now = performance.now()): void {
		this.storeEra = era;
		this.restoredAt = now;
		this.lostRevision = this.highestRevision;
		this.revision = 0;
		this.leader = undefined;
		this.formerLeaderRevision = 0;
		this.unlistedMembers.clear();
		this.leftBeforeRestore.clear();
		for (const {target} of this.removed.values()) {
			this.leftBeforeRestore.add(incarnationKey(target));
		}

		this.freshness.beginEra();
		this.ownerFreshness.beginEra();
	}

	/** True if an assignment was written in the current era of the store. */
	isCurrent({assignment}: KnownAssignment): boolean {
		return assignment.era === this.storeEra;
	}

	/** The known assignment of a service if it was written in the current era of the store. */
	currentAssignment(service: string): KnownAssignment | undefined {
		const known = this.assignments.get(service);
		return known && this.isCurrent(known) ? known : undefined;
	}

	/** Waits for evidence that the active limits for callers are the newest ones. */
	async confirmLimits(cancellation: Cancellation): Promise<boolean> {
		return await this.freshness.waitForEvidence(cancellation) && this.configuration?.hasUnknownLimits === false;
	}

	beginEvacuation(availabilityZone: string): void {
		this.evacuated.add(availabilityZone);
		this.applyEvacuations();
	}

	endEvacuation(availabilityZone: string): void {
		if (this.evacuated.delete(availabilityZone)) {
			this.applyEvacuations();
		}
	}

	/** True if a service has targets that could run requests, and all of them are in evacuated zones. */
	isEvacuated(service: string, now = performance.now()): boolean {
		return this.evacuated.size > 0 && this.readyTargets(service, now).length === 0
			&& [...this.readyTargetsOfAllZones(service), ...this.expiredTargets(service, now)].length > 0;
	}

	/** Number of ranges, of all services, that a target in the zone owns, or may hold because it has yet to release them. */
	rangesIn(availabilityZone: string): number {
		let count = 0;
		for (const {assignment: {ranges}} of this.assignments.values()) {
			count += ranges.filter(({owner, previous}) => [owner, ...previous].some(({id}) => this.findTarget(id)?.availabilityZone === availabilityZone)).length;
		}

		return count;
	}

	applyMember(member: Member): void {
		this.members.set(member.daemon, member);
		this.unlistedMembers.delete(member.daemon);
	}

	/** Keeps a member for some time although the restored store does not contain its entry. */
	keepUnlistedMember(daemon: string, now = performance.now()): void {
		this.unlistedMembers.set(daemon, now + unlistedMemberRetentionMs);
	}

	removeMember(daemon: string, now = performance.now()): void {
		this.unlistedMembers.delete(daemon);
		const member = this.members.get(daemon);
		if (member) {
			this.members.delete(daemon);
			this.formerMembers.set(daemon, {member, removedAt: now});
		}
	}

	/** A member, or one whose entry has expired: a daemon that the store refuses goes on to send messages, which need answers. */
	findSender(daemon: string): Member | undefined {
		return this.members.get(daemon) ?? this.formerMembers.get(daemon)?.member;
	}

	/**
	 * Activates a configuration unless the active one is as new; returns whether it did.
	 *
	 * @param replacesEqual true if the store was restored since the active one was read, so that its version may have been written anew
	 */
	applyConfiguration(configuration: RouteConfiguration, replacesEqual = false): boolean {
		const active = this.configuration?.version ?? -1;
		if (active > configuration.version || (active === configuration.version && !replacesEqual)) {
			return false;
		}

		this.routes = new RouteIndex(configuration);
		this.freshness.recordActiveVersion(configuration.version);
		return true;
	}

	applyTarget(target: Target, now = performance.now()): void {
		const known = this.targets.get(target.id);
		if (known && known.bornAt > target.bornAt && !this.hasRepeatedEntry(target)) {
			return;
		}

		this.overtaken.delete(target.id);
		this.targets.set(target.id, this.isLeaving(target) ? {...target, state: TargetState.Draining} : target);
		this.removed.delete(target.id);
		this.warmedUpAt.set(target.id, now + target.warmUpLeftMs);
		this.readyByService.clear();
	}

	/** Treats an incarnation as draining from now on, whatever the store says of it. */
	markLeaving({id, bornAt}: TargetIncarnation, now = performance.now()): void {
		this.leaving.set(id, {bornAt, saidAt: now});
		for (const target of [this.targets.get(id), this.removed.get(id)?.target]) {
			if (target?.bornAt === bornAt) {
				target.state = TargetState.Draining;
			}
		}

		this.readyByService.clear();
	}

	removeTarget(id: string, now = performance.now()): void {
		const target = this.targets.get(id);
		if (!target) {
			return;
		}

		this.targets.delete(id);
		this.overtaken.delete(id);
		this.removed.set(id, {target, removedAt: now, usableUntil: now < this.graceUntil ? this.graceUntil : 0});
		this.readyByService.clear();
	}

	/** Targets that the store lists at present, draining ones included. */
	listedTargets(): Iterable<Target> {
		return this.targets.values();
	}

	listedTarget(id: string): Target | undefined {
		return this.targets.get(id);
	}

	/** The listed or recently removed target with this id. */
	findTarget(id: string): Target | undefined {
		return this.targets.get(id) ?? this.removed.get(id)?.target;
	}

	/**
	 * Targets of a service that may have been given keys in a lost era of the store: those that were listed when it was restored, and
	 * those that were listed since. The copy may list targets again that had left before.
	 */
	targetsSinceRestore(service: string): PossibleHolder[] {
		const removed = [...this.removed.values()].filter(({removedAt}) => removedAt >= this.restoredAt).map(({target}) => target);
		return [...this.targets.values(), ...removed].filter(target => target.service === service)
			.map(target => ({incarnation: target, hasLeft: this.leftBeforeRestore.has(incarnationKey(target))}));
	}

	/** Targets of a service that may get new requests. */
	readyTargets(service: string, now = performance.now()): Target[] {
		const ready = this.readyListedTargets(service);
		if (now >= this.graceUntil || this.removed.size === 0) {
			return ready;
		}

		const expired = this.expiredTargets(service, now).filter(target => !this.isInEvacuatedZone(target));
		return expired.length === 0 ? ready : [...ready, ...expired];
	}

	/** True while a target may get new requests. */
	isReady(target: {id: string; bornAt: number; address: string}, now = performance.now()): boolean {
		const listed = this.targets.get(target.id);
		if (listed) {
			return listed.state === TargetState.Ready && isSameIncarnation(listed, target) && !this.isInEvacuatedZone(listed);
		}

		const removed = this.removed.get(target.id);
		return removed !== undefined && now < removed.usableUntil && removed.target.state === TargetState.Ready
			&& isSameIncarnation(removed.target, target) && !this.isInEvacuatedZone(removed.target);
	}

	/** Time until a target has warmed up, in milliseconds. */
	warmUpLeft(id: string, now = performance.now()): number {
		const reported = this.reportedWarmUps.get(id);
		const isCurrent = reported !== undefined && reported.bornAt === this.findTarget(id)?.bornAt;
		return Math.max(0, (this.warmedUpAt.get(id) ?? 0) - now, isCurrent ? reported.until - now : 0);
	}

	/**
	 * Applies the warm-up time that a target reported in an answer; returns true if the target was not known to be cold. An answer never
	 * shortens the time, because answers overtake each other and entries of the store.
	 */
	extendWarmUp(id: string, warmUpLeftMs: number, now = performance.now()): boolean {
		const bornAt = this.findTarget(id)?.bornAt;
		const knownMs = this.warmUpLeft(id, now);
		if (bornAt === undefined || warmUpLeftMs <= knownMs) {
			return false;
		}

		this.reportedWarmUps.set(id, {bornAt, until: now + warmUpLeftMs});
		return knownMs === 0;
	}

	/** Number of ready targets of services with a bound on cold targets that are cold. */
	coldTargetCount(now = performance.now()): number {
		const services = [...this.configuration?.services.values() ?? []].filter(({warmUpPerS}) => warmUpPerS !== undefined);
		return services.flatMap(({name}) => this.readyTargets(name, now)).filter(({id}) => this.warmUpLeft(id, now) > 0).length;
	}

	/**
	 * Keeps targets in use whose entries expire during a store outage or soon after it, so that they have time to write them again.
	 * Targets that were removed before the outage stay removed: the store still answered the daemon that reported their removal.
	 */
	tolerateExpiry(until: number, now = performance.now()): void {
		this.graceUntil = Math.max(this.graceUntil, until);
		for (const removed of this.removed.values()) {
			if (now < removed.usableUntil) {
				removed.usableUntil = this.graceUntil;
			}
		}
	}

	get toleratesExpiryUntil(): number {
		return this.graceUntil;
	}

	/**
	 * Applies an assignment of the current era unless the known one is as new. One that was written before a restore of the store is
	 * only read by the leader, which compares it with what daemons know.
	 */
	applyAssignment(known: KnownAssignment): void {
		if (this.isCurrent(known)) {
			this.applyNewer(known);
		}
	}

	/**
	 * Applies an assignment of a lost era from another daemon, unless the known one is as new. The evidence is discarded then, because
	 * it was for the owners known before.
	 */
	applyFormerAssignment(known: KnownAssignment): void {
		if (this.storeEra !== undefined && (known.assignment.era ?? 0) < this.storeEra && this.applyNewer(known)) {
			this.ownerFreshness.discard();
		}
	}

	/** The recent assignment with this revision of the era of the newest one, if it is still kept. */
	assignmentAt(service: string, revision: number): KnownAssignment | undefined {
		return this.assignmentHistory.get(service)?.find(known => known.revision === revision);
	}

	/** The assignment before the current one. */
	previousAssignment(service: string): KnownAssignment | undefined {
		return this.assignmentHistory.get(service)?.at(-1);
	}

	/** Waits for a change of any assignment, of an evacuation, or the cancellation of the request; false if none came in time. */
	async waitForAssignmentChange(cancellation: Cancellation, waitMs: number): Promise<boolean> {
		return new Promise<boolean>(resolve => {
			const settle = (isChanged: boolean): void => {
				clearTimeout(timer);
				this.assignmentListeners.delete(onChange);
				cancellation.unsubscribe(onChange);
				resolve(isChanged);
			};

			const onChange = (): void => {
				settle(true);
			};

			const timer = setTimeout(() => {
				settle(false);
			}, Math.max(0, waitMs));
			this.assignmentListeners.add(onChange);
			cancellation.subscribe(onChange);
		});
	}

	/** Drops targets and daemons that were removed long ago. */
	prune(now = performance.now()): void {
		for (const [daemon, {removedAt}] of this.formerMembers) {
			if (now - removedAt > formerMemberRetentionMs) {
				this.formerMembers.delete(daemon);
			}
		}

		for (const [daemon, keptUntil] of this.unlistedMembers) {
			if (now > keptUntil) {
				this.removeMember(daemon, now);
			}
		}

		for (const [id, {removedAt}] of this.removed) {
			if (now - removedAt > removedRetentionMs) {
				this.removed.delete(id);
				this.warmedUpAt.delete(id);
				this.reportedWarmUps.delete(id);
			}
		}

		for (const [id, {saidAt}] of this.leaving) {
			if (now - saidAt > leavingRetentionMs) {
				this.leaving.delete(id);
			}
		}
	}

	/** True if an incarnation goes on writing its entry although another one with a later start was listed. */
	private hasRepeatedEntry({id, bornAt}: TargetIncarnation): boolean {
		const last = this.overtaken.get(id);
		const count = last?.bornAt === bornAt ? last.count + 1 : 1;
		this.overtaken.set(id, {bornAt, count});
		return count >= repeatedEntryCount;
	}

	private isLeaving({id, bornAt}: TargetIncarnation): boolean {
		return this.leaving.get(id)?.bornAt === bornAt;
	}

	private readyListedTargets(service: string): Target[] {
		const known = this.readyByService.get(service);
		if (known) {
			return known;
		}

		const ready = this.readyTargetsOfAllZones(service).filter(target => !this.isInEvacuatedZone(target));
		this.readyByService.set(service, ready);
		return ready;
	}

	private readyTargetsOfAllZones(service: string): Target[] {
		return [...this.targets.values()].filter(target => target.service === service && target.state === TargetState.Ready);
	}

	/** Ready targets whose entries expired lately and that stay in use. */
	private expiredTargets(service: string, now: number): Target[] {
		return [...this.removed.values()]
			.filter(({target, usableUntil}) => now < usableUntil && target.service === service && target.state === TargetState.Ready)
			.map(({target}) => target);
	}

	private isInEvacuatedZone({availabilityZone}: Target): boolean {
		return this.evacuated.has(availabilityZone);
	}

	/** Requests that wait for an owner look again, because owners in these zones have become usable or unusable. */
	private applyEvacuations(): void {
		this.readyByService.clear();
		this.notifyAssignments();
	}

	private applyNewer(known: KnownAssignment): boolean {
		const {service, era} = known.assignment;
		const current = this.assignments.get(service);
		if (current && !isNewerAssignment(known, current)) {
			return false;
		}

		this.assignments.set(service, known);
		const isSameEra = current?.assignment.era === era;
		const history = isSameEra ? this.assignmentHistory.get(service) ?? [] : [];
		this.assignmentHistory.set(service, [...history, ...(current && isSameEra ? [current] : [])].slice(-assignmentHistoryLimit));
		this.notifyAssignments();
		return true;
	}

	private notifyAssignments(): void {
		for (const listener of this.assignmentListeners) {
			listener();
		}
	}
}
