/**
 * A program of the project in a process of its own.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import {connect} from 'node:net';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseLogLine, type LogLine} from '../src/cli/request-timeline.js';
import {LogEvent} from '../src/model/events.js';

/** Interval between checks, in milliseconds. */
const pollMs = 2;

/** How a process ended. */
export type DaemonExit = {
	/** Undefined if a signal killed the process. */
	code: number | undefined;
	signal: NodeJS.Signals | undefined;
	/** Monotonic time in milliseconds. */
	at: number;
};

/** Starts the process when it is created. */
export class ProgramProcess {
	readonly exit: Promise<DaemonExit>;
	/** Lines of the log that have been read. */
	readonly lines: LogLine[] = [];
	/** Lines of standard error that have been read, and of standard output that are no lines of the log. */
	readonly otherOutput: string[] = [];
	/** Monotonic time of the start in milliseconds. */
	readonly startedAt = performance.now();
	private readonly child: ChildProcess;
	private isRunning = true;

	/**
	 * @param program path of the program from this folder
	 * @param environment variables besides those of this process
	 */
	constructor(program: string, environment: Record<string, string>) {
		const path = fileURLToPath(new URL(program, import.meta.url));
		this.child = spawn(process.execPath, [path], {env: {...process.env, ...environment}, stdio: ['ignore', 'pipe', 'pipe']});
		this.readLines();
		this.exit = new Promise(resolve => {
			let at = 0;
			this.child.once('exit', () => {
				at = performance.now();
				this.isRunning = false;
			});
			// All output has been read.
			this.child.once('close', (code, signal) => {
				resolve({code: code ?? undefined, signal: signal ?? undefined, at});
			});
		});
	}

	get pid(): number | undefined {
		return this.child.pid;
	}

	get hasExited(): boolean {
		return !this.isRunning;
	}

	/** Sends a signal; returns false if the process has ended. */
	signal(signal: NodeJS.Signals): boolean {
		return this.isRunning && this.child.kill(signal);
	}

	/** Kills the process if it still runs, and waits for its end. */
	async kill(): Promise<DaemonExit> {
		this.signal('SIGKILL');
		return this.exit;
	}

	/** Lines of one event. */
	linesOf(event: LogEvent): LogLine[] {
		return this.lines.filter(line => line.name === LogEvent[event]);
	}

	/** True once the program handles SIGHUP, and with it the other signals. */
	async isHandlingSignals(): Promise<boolean> {
		const status = await readFile(`/proc/${this.pid}/status`, 'utf8');
		const mask = /^SigCgt:\s*(?<mask>[\da-f]+)$/mv.exec(status)?.groups?.mask ?? '0';
		// SIGHUP is signal 1, and thus the lowest bit.
		return BigInt(`0x${mask}`) % 2n === 1n;
	}

	private readLines(): void {
		const {stdout, stderr} = this.child;
		if (stdout && stderr) {
			createInterface({input: stdout}).on('line', line => {
				this.recordLine(line);
			});
			createInterface({input: stderr}).on('line', line => {
				this.otherOutput.push(line);
			});
		}
	}

	private recordLine(text: string): void {
		const line = parseLogLine(text);
		if (line) {
			this.lines.push(line);
		} else {
			this.otherOutput.push(text);
		}
	}
}

/** True if connections to the address are accepted. */
export async function isListening(address: string): Promise<boolean> {
	const [ip, port] = address.split(':');
	return new Promise(resolve => {
		const socket = connect(Number(port), ip, () => {
			socket.destroy();
			resolve(true);
		});
		socket.once('error', () => {
			resolve(false);
		});
	});
}

/** Waits until a condition holds. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
	// eslint-disable-next-line no-await-in-loop -- polling.
	while (!await condition()) {
		// eslint-disable-next-line no-await-in-loop -- polling.
		await delay(pollMs);
	}
}
