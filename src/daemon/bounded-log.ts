/**
 * Event log that never blocks. Lines are limited per event and second, and dropped if nobody reads the output.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {LogEvent, type EventLog, type LogFields} from '../model/events.js';

/** Maximum lines per event and window. */
const maxLinesPerWindow = 20;

/** Maximum bytes that are buffered until the reader takes them. */
const maxPendingBytes = 262_144;

/** Interval between writes, in milliseconds. */
const flushMs = 100;

/** Length of the window in which lines are counted, in milliseconds. */
const windowMs = 1000;

/** File descriptor of standard output. */
const standardOutput = 1;

/** Limits the number of lines per event. */
export class BoundedLog implements EventLog {
	private readonly counts = new Map<LogEvent, number>();
	private windowStart = performance.now();

	constructor(private readonly output: EventLog) {}

	record(event: LogEvent, fields: LogFields): void {
		this.rotateWindow();
		const count = (this.counts.get(event) ?? 0) + 1;
		this.counts.set(event, count);
		if (count <= maxLinesPerWindow) {
			this.output.record(event, fields);
		}
	}

	private rotateWindow(): void {
		const now = performance.now();
		if (now - this.windowStart < windowMs) {
			return;
		}

		this.windowStart = now;
		for (const [event, count] of this.counts) {
			if (count > maxLinesPerWindow) {
				this.output.record(LogEvent.LinesDropped, {of: LogEvent[event], count: count - maxLinesPerWindow});
			}
		}

		this.counts.clear();
	}
}

/** Writes lines to standard output without blocking. */
export class LineWriter {
	private lines: string[] = [];
	private pendingBytes = 0;
	private droppedCount = 0;
	private isWriting = false;
	private isFlushDue = false;

	write(line: string): void {
		if (this.pendingBytes + line.length > maxPendingBytes) {
			this.droppedCount += 1;
			return;
		}

		this.lines.push(line);
		this.pendingBytes += line.length + 1;
		if (!this.isFlushDue) {
			this.isFlushDue = true;
			setTimeout(() => {
				this.isFlushDue = false;
				this.flush();
			}, flushMs);
		}
	}

	/** Writes the buffered lines; settles when they are written or the timeout expires. */
	async drain(timeoutMs: number): Promise<void> {
		this.flush();
		const endAt = performance.now() + timeoutMs;
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
		this.writeRemaining(content);
	}

	private writeRemaining(content: Uint8Array): void {
		write(standardOutput, content, (error, written) => {
			if (!error && written < content.length) {
				this.writeRemaining(content.subarray(written));
				return;
			}

			// If standard output is closed, the lines are lost, and there is nowhere to report it.
			this.isWriting = false;
			this.pendingBytes = this.lines.reduce((sum, line) => sum + line.length + 1, 0);
		});
	}
}
