/**
 * A daemon of the users' platform in a process of its own.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {parseLogLine, type LogLine} from '../src/cli/request-timeline.js';
import {LogEvent} from '../src/model/events.js';
import {settingsVariable, type PlatformSettings} from '../src/platform/settings.js';
import {wirePaths} from '../src/platform/wire.js';

const programPath = fileURLToPath(new URL('../src/daemon/platform-main.js', import.meta.url));

/** Interval between readiness checks, in milliseconds. */
const readinessPollMs = 20;

/** How a process ended. */
export type DaemonExit = {
	/** Undefined if a signal killed the process. */
	code: number | undefined;
	signal: NodeJS.Signals | undefined;
	/** Monotonic time in milliseconds. */
	at: number;
};

/** Starts the process when it is created; its settings file is deleted when the process has ended. */
export class DaemonProcess {
	readonly exit: Promise<DaemonExit>;
	/** Lines of the log that have been read. */
	readonly lines: LogLine[] = [];
	/** Lines of standard error that have been read, and of standard output that are no lines of the log. */
	readonly otherOutput: string[] = [];
	/** Monotonic time of the start in milliseconds. */
	readonly startedAt = performance.now();
	private readonly folder = mkdtempSync(path.join(tmpdir(), 'eelgrasswheel-'));
	private readonly child: ChildProcess;
	private isRunning = true;

	constructor(readonly settings: PlatformSettings) {
		this.writeSettings(settings);
		this.child = spawn(process.execPath, [programPath], {env: {...process.env, [settingsVariable]: this.settingsPath}, stdio: ['ignore', 'pipe', 'pipe']});
		this.readLines();
		this.exit = new Promise(resolve => {
			let at = 0;
			this.child.once('exit', () => {
				at = performance.now();
				this.isRunning = false;
			});
			// All output has been read.
			this.child.once('close', (code, signal) => {
				rmSync(this.folder, {recursive: true, force: true});
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

	/** Replaces the settings file, without a signal. */
	writeSettings(settings: PlatformSettings): void {
		writeFileSync(this.settingsPath, JSON.stringify(settings));
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

	/** True if the daemon answers the readiness check with 200. */
	async isReady(): Promise<boolean> {
		return new Promise(resolve => {
			const request = httpRequest(`http://${this.settings.readinessAddress}${wirePaths.ready}`, {agent: false}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			// Not listening, or no longer.
			request.once('error', () => {
				resolve(false);
			});
			request.end();
		});
	}

	/** Waits until the daemon is ready; returns false if it ends before. */
	async waitUntilReady(): Promise<boolean> {
		while (this.isRunning) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			if (await this.isReady()) {
				return true;
			}

			// eslint-disable-next-line no-await-in-loop -- polling.
			await new Promise(resolve => {
				setTimeout(resolve, readinessPollMs);
			});
		}

		return false;
	}

	private get settingsPath(): string {
		return path.join(this.folder, 'settings.json');
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
