/**
 * Structured event log.
 */
import {ROARR, Roarr, type Logger} from 'roarr';
import {LogEvent, type EventLog, type LogFields} from '../model/events.js';

/** Writes events as JSON lines to standard output. */
export class RoarrLog implements EventLog {
	private readonly logger: Logger;

	/** @param writer replaces roarr's own write, which blocks */
	constructor(daemon: string, zone: string, writer?: {write(line: string): void}) {
		if (writer) {
			ROARR.write = line => {
				writer.write(line);
			};
		}

		this.logger = Roarr.child({program: 'eelgrasswheeld', daemon, zone});
	}

	record(event: LogEvent, fields: LogFields): void {
		this.logger.info({event, ...definedOnly(fields)}, '%s', LogEvent[event]);
	}
}

function definedOnly(fields: LogFields): Record<string, string | number | boolean> {
	return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined)) as Record<string, string | number | boolean>;
}
