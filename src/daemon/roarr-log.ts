/**
 * Structured log of numbered events.
 */
import {Roarr, type Logger} from 'roarr';
import {LogEvent, type EventLog, type LogFields} from '../model/events.js';

/** Writes events as JSON lines to the standard output. */
export class RoarrLog implements EventLog {
	private readonly logger: Logger;

	constructor(daemon: string, zone: string) {
		this.logger = Roarr.child({program: 'eelgrasswheeld', daemon, zone});
	}

	record(event: LogEvent, fields: LogFields): void {
		this.logger.info({event, ...definedOnly(fields)}, '%s', LogEvent[event]);
	}
}

function definedOnly(fields: LogFields): Record<string, string | number | boolean> {
	return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined)) as Record<string, string | number | boolean>;
}
