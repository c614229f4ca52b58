/**
 * What targets have said about themselves, as far as this daemon knows it from answers and from peers.
 *
 * An answer without a limit ends the limit only if its request was sent after the limit was last named, because answers on
 * different connections overtake each other. Silence ends nothing: requests are still sent at the limit, so that an answer shows its end.
 */
import {LogEvent, type EventLog} from '../../model/events.js';
import type {TargetIncarnation} from '../../model/fleet.js';
import type {TargetStatement} from '../../model/target-statement.js';

/** Limit of a target that names one that cannot be read, unless it named another one before; in requests a second. */
const unreadableLimitPerS = 1;

/** Lowest limit that is used, in requests a second: a target that names 0 gets a request at times, whose answer shows the end of the limit. */
const lowestLimitPerS = 0.25;

/** Time for which a lower limit stays in force after a higher one is named, in milliseconds; answers overtake each other. */
const raiseDelayMs = 500;

/** Longest time that a message between daemons is assumed to take, in milliseconds. */
const messageDelayMs = 500;

/** Time for which peers are told of a limit after it was last named, in milliseconds, so that they also hear of its end. */
const reportMs = 10_000;

/** What a daemon tells its peers about the limit of a target. */
export type ReportedLimit = {
	limitPerS?: number | undefined;
	/** Time since the limit was last named, in milliseconds. */
	namedAgeMs?: number | undefined;
	/** Time since a request was sent whose answer named no limit, in milliseconds. */
	clearedAgeMs?: number | undefined;
};

/** Reported statements with the incarnations that made them, by target. */
export type ReportedStatements = Record<string, ReportedLimit & {bornAt: number; isLeaving?: boolean | undefined}>;

/** Where a statement was read. */
export enum StatementSource {
	Answer = 'answer',
	Peer = 'peer',
}

type StatementRecord = {
	bornAt: number;
	/** The limit in force while it was named after `clearedAt`. */
	limitPerS: number | undefined;
	/** Time at which a limit was last named, and at which the one in force or a lower one was. */
	namedAt: number;
	lowestNamedAt: number;
	/** Latest time at which a request was sent whose answer named no limit. */
	clearedAt: number;
	isUnreadableLogged: boolean;
	isUnreadableReportLogged: boolean;
	isLeaving: boolean;
	/** Until then, the target wants no requests from this daemon. */
	pausedUntil: number;
};

/** Is told what changes beyond limits. */
export type StatementListener = {
	/** An answer showed what no answer and no peer had shown before. */
	onNews(): void;
	/** A target said that it is leaving. */
	onLeaving(target: TargetIncarnation): void;
};

/** Keeps the newest statements of each target's latest known incarnation. */
export class TargetStatements {
	private readonly records = new Map<string, StatementRecord>();

	constructor(private readonly log: EventLog, private readonly listener: StatementListener) {}

	/** Records what an answer says about the target that gave it. */
	record(target: TargetIncarnation, statement: TargetStatement, sentAt: number, now = performance.now()): void {
		const record = this.recordOf(target);
		if (!record) {
			return;
		}

		const before = this.limitOf(target);
		const limitPerS = this.namedLimit(target, record, statement);
		if (limitPerS !== undefined) {
			nameLimit(record, limitPerS, now);
		} else if (statement.hasRun) {
			record.clearedAt = Math.max(record.clearedAt, sentAt);
		}

		this.logLimit(target, before, {source: StatementSource.Answer, ageMs: 0});
		if (statement.pauseMs !== undefined) {
			record.pausedUntil = Math.max(record.pausedUntil, now + statement.pauseMs);
			this.log.record(LogEvent.TargetPaused, {target: target.id, pauseMs: Math.round(statement.pauseMs)});
		}

		if (statement.unreadableReport !== undefined && !record.isUnreadableReportLogged) {
			record.isUnreadableReportLogged = true;
			this.log.record(LogEvent.TargetReportUnreadable, {target: target.id, text: statement.unreadableReport});
		}

		const isLeavingNews = statement.isLeaving && this.recordLeaving(target, record, StatementSource.Answer);
		if (isLeavingNews || (before === undefined && limitPerS !== undefined)) {
			this.listener.onNews();
		}
	}

	/** Takes over what a peer knows about the limit of a target. */
	receiveLimit(target: TargetIncarnation, {limitPerS, namedAgeMs, clearedAgeMs}: ReportedLimit, now = performance.now()): void {
		const record = this.recordOf(target);
		if (!record) {
			return;
		}

		const before = this.limitOf(target);
		if (clearedAgeMs !== undefined) {
			record.clearedAt = Math.max(record.clearedAt, now - clearedAgeMs - messageDelayMs);
		}

		if (limitPerS !== undefined && namedAgeMs !== undefined && now - namedAgeMs > record.namedAt) {
			nameLimit(record, Math.max(lowestLimitPerS, limitPerS), now - namedAgeMs);
		}

		this.logLimit(target, before, {source: StatementSource.Peer, ageMs: namedAgeMs ?? clearedAgeMs ?? 0});
	}

	/** Takes over what a peer knows. */
	receive(statements: ReportedStatements, now = performance.now()): void {
		for (const [id, {bornAt, isLeaving, ...limit}] of Object.entries(statements)) {
			const target = {id, bornAt, address: ''};
			this.receiveLimit(target, limit, now);
			const record = this.recordOf(target);
			if (record && isLeaving === true) {
				this.recordLeaving(target, record, StatementSource.Peer);
			}
		}
	}

	/** What peers should know; undefined if there is nothing. */
	report(now = performance.now()): ReportedStatements | undefined {
		const reported: ReportedStatements = {};
		for (const [id, record] of this.records) {
			if (record.isLeaving || isLimited(record) || now - record.namedAt < reportMs) {
				reported[id] = {bornAt: record.bornAt, ...(record.isLeaving && {isLeaving: true}), ...reportOf(record, now)};
			}
		}

		return Object.keys(reported).length === 0 ? undefined : reported;
	}

	/** What an issuer of permits has to know about the limit. */
	reportedLimit({id}: TargetIncarnation, now = performance.now()): ReportedLimit {
		const record = this.records.get(id);
		return record ? reportOf(record, now) : {};
	}

	/** Time since the limit of the target was last named, in milliseconds. */
	limitAgeMs({id}: TargetIncarnation, now = performance.now()): number {
		return now - (this.records.get(id)?.namedAt ?? now);
	}

	/** Requests a second that the target takes from all daemons together; undefined if it names no limit. */
	limitOf({id, bornAt}: TargetIncarnation): number | undefined {
		const record = this.records.get(id);
		return record?.bornAt === bornAt && isLimited(record) ? record.limitPerS : undefined;
	}

	/** Time for which the target wants no requests from this daemon, in milliseconds; 0 if it takes them. */
	pauseLeftMs({id, bornAt}: TargetIncarnation, now = performance.now()): number {
		const record = this.records.get(id);
		return record?.bornAt === bornAt ? Math.max(0, record.pausedUntil - now) : 0;
	}

	/** Number of targets that want no requests from this daemon at present. */
	pausedCount(now = performance.now()): number {
		return [...this.records.values()].filter(({pausedUntil}) => pausedUntil > now).length;
	}

	/** Number of targets that said that they are leaving. */
	get leavingCount(): number {
		return [...this.records.values()].filter(({isLeaving}) => isLeaving).length;
	}

	/** Number of targets that name a limit. */
	get limitedCount(): number {
		return this.limitedRecords().length;
	}

	/** Time since the limit of any target was last named, for the target of which this is longest; in milliseconds. */
	oldestLimitAgeMs(now = performance.now()): number {
		return Math.max(0, ...this.limitedRecords().map(({namedAt}) => now - namedAt));
	}

	/** Drops the statements of targets that are no longer known. */
	prune(isKnown: (id: string) => boolean): void {
		for (const id of this.records.keys()) {
			if (!isKnown(id)) {
				this.records.delete(id);
			}
		}
	}

	private limitedRecords(): StatementRecord[] {
		return [...this.records.values()].filter(record => isLimited(record));
	}

	private namedLimit(target: TargetIncarnation, record: StatementRecord, {limitPerS, unreadableLimit}: TargetStatement): number | undefined {
		if (unreadableLimit === undefined) {
			return limitPerS === undefined ? undefined : Math.max(lowestLimitPerS, limitPerS);
		}

		const usedLimitPerS = record.limitPerS ?? unreadableLimitPerS;
		if (!record.isUnreadableLogged) {
			record.isUnreadableLogged = true;
			this.log.record(LogEvent.TargetLimitUnreadable, {target: target.id, text: unreadableLimit, limitPerS: usedLimitPerS});
		}

		return usedLimitPerS;
	}

	/** Returns whether this was not known before. */
	private recordLeaving(target: TargetIncarnation, record: StatementRecord, source: StatementSource): boolean {
		if (record.isLeaving) {
			return false;
		}

		record.isLeaving = true;
		this.log.record(LogEvent.TargetLeaving, {target: target.id, bornAt: target.bornAt, source});
		this.listener.onLeaving(target);
		return true;
	}

	private logLimit(target: TargetIncarnation, before: number | undefined, {source, ageMs}: {source: StatementSource; ageMs: number}): void {
		const limitPerS = this.limitOf(target);
		if (limitPerS !== before) {
			this.log.record(LogEvent.TargetLimitChanged, {
				target: target.id, limitPerS, previousLimitPerS: before, source, ageMs: Math.round(ageMs),
			});
		}
	}

	/** The record of this incarnation; undefined if a later one is known. */
	private recordOf({id, bornAt}: TargetIncarnation): StatementRecord | undefined {
		const known = this.records.get(id);
		if (known && known.bornAt >= bornAt) {
			return known.bornAt === bornAt ? known : undefined;
		}

		const record: StatementRecord = {
			bornAt,
			limitPerS: undefined,
			namedAt: -Infinity,
			lowestNamedAt: -Infinity,
			clearedAt: -Infinity,
			isUnreadableLogged: false,
			isUnreadableReportLogged: false,
			isLeaving: false,
			pausedUntil: -Infinity,
		};
		this.records.set(id, record);
		return record;
	}
}

function isLimited({namedAt, clearedAt}: StatementRecord): boolean {
	return namedAt > clearedAt;
}

function reportOf({limitPerS, namedAt, clearedAt}: StatementRecord, now: number): ReportedLimit {
	return {
		...(limitPerS !== undefined && {limitPerS, namedAgeMs: Math.max(0, Math.round(now - namedAt))}),
		...(Number.isFinite(clearedAt) && {clearedAgeMs: Math.max(0, Math.round(now - clearedAt))}),
	};
}

function nameLimit(record: StatementRecord, limitPerS: number, now: number): void {
	const isRaise = isLimited(record) && limitPerS > (record.limitPerS ?? Infinity);
	record.namedAt = Math.max(record.namedAt, now);
	if (isRaise && now - record.lowestNamedAt < raiseDelayMs) {
		return;
	}

	record.limitPerS = limitPerS;
	record.lowestNamedAt = now;
}
