/**
 * Log of numbered events that never blocks: lines are bounded by event and second, and a reader that stops costs lines.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {LogEvent, type EventLog, type LogFields} from '../model/events.js';

/** Lines of one event in one second. */
const lineLimit = 20;

/** Bytes that wait for the reader. */
const waitingLimitBytes = 262_144;

/** Interval in which lines are written and counts begin anew, in milliseconds. */
const flushMs = 100;
const windowMs = 1000;

/** File descriptor of the standard output. */
const standardOutput = 1;

/** Bounds the lines of a log by event. */
export class BoundedLog implements EventLog {
	private readonly counts = new Map<LogEvent, number>();
	private windowStart = performance.now();

	constructor(private readonly target: EventLog) {}

	record(event: LogEvent, fields: LogFields): void {
		this.turnWindow();
		const count = (this.counts.get(event) ?? 0) + 1;
		this.counts.set(event, count);
		if (count <= lineLimit) {
			this.target.record(event, fields);
		}
	}

	private turnWindow(): void {
		const now = performance.now();
		if (now - this.windowStart < windowMs) {
			return;
		}

		this.windowStart = now;
		for (const [event, count] of this.counts) {
			if (count > lineLimit) {
				this.target.record(LogEvent.LinesDropped, {of: LogEvent[event], count: count - lineLimit});
			}
		}

		this.counts.clear();
	}
}

/** Writes lines without waiting for the reader. */
export class LineWriter {
	private lines: string[] = [];
	private waitingBytes = 0;
	private droppedCount = 0;
	private isWriting = false;
	private isFlushDue = false;

	write(line: string): void {
		if (this.waitingBytes + line.length > waitingLimitBytes) {
			this.droppedCount += 1;
			return;
		}

		this.lines.push(line);
		this.waitingBytes += line.length + 1;
		if (!this.isFlushDue) {
			this.isFlushDue = true;
			setTimeout(() => {
				this.isFlushDue = false;
				this.flush();
			}, flushMs);
		}
	}

	/** Writes what waits; settles when it is written or the limit has passed. */
	async drain(limitMs: number): Promise<void> {
		this.flush();
		const endAt = performance.now() + limitMs;
		while ((this.isWriting || this.lines.length > 0) && performance.now() < endAt) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
			this.flush();
		}
	}

	private flush(): void {
		if (this.isWriting || this.lines.length === 0) {
			return;
		}

		if (this.droppedCount > 0) {
			this.lines.push(JSON.stringify({context: {event: LogEvent.LinesDropped, count: this.droppedCount}, message: 'LinesDropped'}));
			this.droppedCount = 0;
		}

		const content = Buffer.from(`${this.lines.join('\n')}\n`);
		this.lines = [];
		this.isWriting = true;
		this.writeRest(content);
	}

	private writeRest(content: Uint8Array): void {
		write(standardOutput, content, (error, written) => {
			if (!error && written < content.length) {
				this.writeRest(content.subarray(written));
				return;
			}

			// A closed standard output costs the lines; there is nowhere to report it.
			this.isWriting = false;
			this.waitingBytes = this.lines.reduce((sum, line) => sum + line.length + 1, 0);
		});
	}
}
