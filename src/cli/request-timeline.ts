/**
 * Timeline of one request: its own log lines, and lines from about the same time on its key, its targets and the store.
 */
import {LogEvent} from '../model/events.js';

/** Time before and after the request in which lines may be related to it, in milliseconds; longer than the usual hold of granted keys. */
const relatedSpanMs = 3000;

/** Fields that every line has, or that the timeline shows in columns of their own. */
const commonFields = new Set(['program', 'daemon', 'zone', 'event', 'logLevel', 'request']);

/** Events that may affect any request of the daemon. */
const daemonEvents = new Set<number>([
	LogEvent.DaemonStarted,
	LogEvent.DaemonStopping,
	LogEvent.SignalReceived,
	LogEvent.ProcessExiting,
	LogEvent.StoreLost,
	LogEvent.StoreRegained,
	LogEvent.StoreReadFailed,
	LogEvent.ConfigurationInForce,
	LogEvent.LeaderChanged,
	LogEvent.LinesDropped,
]);

/** Events that may affect any request of any daemon. */
const allDaemonEvents = new Set<number>([LogEvent.LeadershipTaken]);

/** A line of the log. */
export type LogLine = {
	/** Unix time in milliseconds. */
	time: number;
	daemon: string;
	event: number;
	name: string;
	fields: Record<string, unknown>;
};

/** Parses a line; returns undefined if no daemon wrote it or if it was cut off. */
export function parseLogLine(text: string): LogLine | undefined {
	// A log collector may have added a prefix with its own time and the VM's name.
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let line: {time?: unknown; message?: unknown; context?: Record<string, unknown>};
	try {
		line = JSON.parse(text.slice(start)) as typeof line;
	} catch {
		// The input may also contain lines of other programs.
		return undefined;
	}

	const {time, message, context} = line;
	if (typeof time !== 'number' || typeof message !== 'string' || typeof context?.event !== 'number') {
		return undefined;
	}

	return {
		time, daemon: String(context.daemon), event: context.event, name: message, fields: context,
	};
}

/** Returns the lines that explain a request, ordered by time; empty if no daemon logged the request. */
export function requestTimeline(lines: readonly LogLine[], request: string): LogLine[] {
	const requestLines = lines.filter(({fields}) => fields.request === request);
	if (requestLines.length === 0) {
		return [];
	}

	const related = new RelatedLines(requestLines);
	return lines
		.filter(line => line.fields.request === request || (line.fields.request === undefined && related.matches(line)))
		.toSorted((left, right) => left.time - right.time);
}

/** Formats the fields of a line, without those that are common to all lines. */
export function describeFields({fields}: LogLine): string {
	return Object.entries(fields)
		.filter(([name]) => !commonFields.has(name))
		.map(([name, value]) => `${name}=${String(value)}`)
		.join(' ');
}

/** Selects the lines related to a request by time, daemon, key and target. */
class RelatedLines {
	private readonly from: number;
	private readonly to: number;
	private readonly daemons: Set<string>;
	private readonly services: Set<unknown>;
	private readonly keys: number[];
	private readonly targets: Set<unknown>;

	constructor(requestLines: readonly LogLine[]) {
		this.from = Math.min(...requestLines.map(({time}) => time)) - relatedSpanMs;
		this.to = Math.max(...requestLines.map(({time}) => time)) + relatedSpanMs;
		this.daemons = new Set(requestLines.map(({daemon}) => daemon));
		this.services = new Set(requestLines.map(({fields}) => fields.service).filter(Boolean));
		this.keys = requestLines.map(({fields}) => fields.key).filter(key => typeof key === 'number');
		this.targets = new Set(requestLines.map(({fields}) => fields.target).filter(Boolean));
	}

	matches(line: LogLine): boolean {
		if (line.time < this.from || line.time > this.to) {
			return false;
		}

		return this.concernsDaemon(line) || this.concernsKey(line) || this.targets.has(line.fields.target);
	}

	private concernsDaemon({event, daemon}: LogLine): boolean {
		return allDaemonEvents.has(event) || (daemonEvents.has(event) && this.daemons.has(daemon));
	}

	private concernsKey({fields}: LogLine): boolean {
		const {service, first, last} = fields;
		return this.services.has(service) && typeof first === 'number' && typeof last === 'number' && this.keys.some(key => key >= first && key <= last);
	}
}
