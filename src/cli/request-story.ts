/**
 * What daemons logged about one request, and what they logged near it about its key, its targets and the store.
 */
import {LogEvent} from '../model/events.js';

/** Time around the request in which lines about its surroundings count, in milliseconds; beyond the usual hold of keys. */
const surroundingsMs = 3000;

/** Fields that every line has, or that the story shows in columns of their own. */
const commonFields = new Set(['program', 'daemon', 'zone', 'event', 'logLevel', 'request']);

/** Events that concern everything a daemon does. */
const daemonEvents = new Set<number>([
	LogEvent.DaemonStarted, LogEvent.DaemonStopping, LogEvent.StoreLost, LogEvent.StoreRegained, LogEvent.StoreReadFailed, LogEvent.ConfigurationInForce, LogEvent.LeaderChanged, LogEvent.LinesDropped,
]);

/** Events that concern all daemons. */
const fleetEvents = new Set<number>([LogEvent.LeadershipTaken]);

/** A line of the log. */
export type LogLine = {
	/** Unix time in milliseconds. */
	time: number;
	daemon: string;
	event: number;
	name: string;
	fields: Record<string, unknown>;
};

/** Reads a line; nothing if it is none of a daemon's log, or was cut off. */
export function parseLogLine(text: string): LogLine | undefined {
	// A collector may have put its own time and the VM's name before the object.
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let line: {time?: unknown; message?: unknown; context?: Record<string, unknown>};
	try {
		line = JSON.parse(text.slice(start)) as typeof line;
	} catch {
		// Lines of other programs may be among those of the daemons.
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

/** Returns the lines that explain a request, in order; none if no daemon logged it. */
export function requestStory(lines: readonly LogLine[], request: string): LogLine[] {
	const own = lines.filter(({fields}) => fields.request === request);
	if (own.length === 0) {
		return [];
	}

	const surroundings = new Surroundings(own);
	return lines
		.filter(line => line.fields.request === request || (line.fields.request === undefined && surroundings.include(line)))
		.toSorted((left, right) => left.time - right.time);
}

/** Formats the fields of a line that are not common to all. */
export function describeFields({fields}: LogLine): string {
	return Object.entries(fields)
		.filter(([name]) => !commonFields.has(name))
		.map(([name, value]) => `${name}=${String(value)}`)
		.join(' ');
}

/** Time, daemons, keys and targets of a request. */
class Surroundings {
	private readonly from: number;
	private readonly to: number;
	private readonly daemons: Set<string>;
	private readonly services: Set<unknown>;
	private readonly keys: number[];
	private readonly targets: Set<unknown>;

	constructor(own: readonly LogLine[]) {
		this.from = Math.min(...own.map(({time}) => time)) - surroundingsMs;
		this.to = Math.max(...own.map(({time}) => time)) + surroundingsMs;
		this.daemons = new Set(own.map(({daemon}) => daemon));
		this.services = new Set(own.map(({fields}) => fields.service).filter(Boolean));
		this.keys = own.map(({fields}) => fields.key).filter(key => typeof key === 'number');
		this.targets = new Set(own.map(({fields}) => fields.target).filter(Boolean));
	}

	include(line: LogLine): boolean {
		if (line.time < this.from || line.time > this.to) {
			return false;
		}

		return this.concernsDaemon(line) || this.concernsKey(line) || this.targets.has(line.fields.target);
	}

	private concernsDaemon({event, daemon}: LogLine): boolean {
		return fleetEvents.has(event) || (daemonEvents.has(event) && this.daemons.has(daemon));
	}

	private concernsKey({fields}: LogLine): boolean {
		const {service, first, last} = fields;
		return this.services.has(service) && typeof first === 'number' && typeof last === 'number' && this.keys.some(key => key >= first && key <= last);
	}
}
