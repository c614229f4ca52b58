/**
 * Place of a daemon in a soak: its process, which is started again after each end.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {PlatformSettings} from '../src/platform/settings.js';
import {DaemonProcess} from '../standins/daemon-process.js';
import {
	Part, Rule, type Stop, type Trace, type Violation,
} from './trace.js';
import type {TimedSignal} from './schedule.js';

const secondMs = 1000;

/** Pause before a process that ended by itself is started again, in milliseconds. */
const restartDelayMs = 300;

/** Why the process is expected to end. */
enum ExpectedEnd {
	None,
	Stop,
	Kill,
}

/** One daemon. */
export class DaemonSlot {
	/** All processes of this place, the current one last. */
	readonly processes: DaemonProcess[] = [];
	/** Number of stops that needed SIGKILL after the grace period. */
	killedAfterGraceCount = 0;
	/** Number of processes that a signal ended before the program was loaded. */
	endedBeforeLoadCount = 0;
	private expectedEnd = ExpectedEnd.None;
	private isClosed = false;
	private isClaimed = false;
	private readonly freezes = new Set<symbol>();

	constructor(readonly index: number, readonly settings: PlatformSettings, private readonly trace: Trace, private readonly onViolation: (violation: Violation) => void) {}

	get process(): DaemonProcess | undefined {
		return this.processes.at(-1);
	}

	get hasProcess(): boolean {
		return this.process !== undefined && !this.process.hasExited;
	}

	/** Takes the right to start processes of this place; false if another fault has it. */
	claim(): boolean {
		const isFree = !this.isClaimed;
		this.isClaimed = true;
		return isFree;
	}

	/** Starts the process that stays, and gives the right back. */
	release(): void {
		this.isClaimed = false;
		this.start();
	}

	start(): void {
		if (this.isClosed) {
			return;
		}

		this.expectedEnd = ExpectedEnd.None;
		const process = new DaemonProcess(this.settings);
		this.processes.push(process);
		void this.watchExit(process);
	}

	/** Sends SIGTERM and further signals, and SIGKILL after the grace period; resolves at the end of the process. */
	async stop(signals: TimedSignal[]): Promise<void> {
		const {process} = this;
		if (!process) {
			return;
		}

		this.expectedEnd = ExpectedEnd.Stop;
		const stop: Stop = {daemon: this.index, signalledAt: performance.now(), exitedAt: undefined};
		this.trace.stops.push(stop);
		process.signal('SIGTERM');
		this.signalLater(signals);
		const timer = setTimeout(() => {
			if (process.signal('SIGKILL')) {
				this.killedAfterGraceCount += 1;
			}
		}, this.settings.shutdownGraceS * secondMs);
		const {at} = await process.exit;
		clearTimeout(timer);
		stop.exitedAt = at;
	}

	/** Sends signals to the current process at their times; a process that has ended gets none. */
	signalLater(signals: TimedSignal[]): void {
		const {process} = this;
		for (const {afterMs, signal} of signals) {
			setTimeout(() => {
				process?.signal(signal);
			}, afterMs);
		}
	}

	async kill(): Promise<void> {
		this.expectedEnd = ExpectedEnd.Kill;
		await this.process?.kill();
	}

	/** Suspends the process; call the result to resume it. */
	freeze(): () => void {
		const {process} = this;
		const freeze = Symbol('freeze');
		this.freezes.add(freeze);
		process?.signal('SIGSTOP');
		return () => {
			this.freezes.delete(freeze);
			if (this.freezes.size === 0) {
				process?.signal('SIGCONT');
			}
		};
	}

	async close(): Promise<void> {
		this.isClosed = true;
		await Promise.all(this.processes.map(async process => process.kill()));
	}

	private restartUnlessClaimed(process: DaemonProcess): void {
		if (!this.isClaimed && this.process === process) {
			this.start();
		}
	}

	private async watchExit(process: DaemonProcess): Promise<void> {
		const {code, signal, at} = await process.exit;
		if (this.isClosed || this.expectedEnd === ExpectedEnd.Kill) {
			return;
		}

		// Before the program is loaded, the runtime has no handlers, so that any signal ends the process. It has served nothing.
		const hasLoaded = process.lines.length > 0 || signal === undefined;
		this.endedBeforeLoadCount += hasLoaded ? 0 : 1;
		if (this.expectedEnd === ExpectedEnd.Stop && (code === 0 || signal === 'SIGKILL' || !hasLoaded)) {
			return;
		}

		if (hasLoaded) {
			this.onViolation({
				rule: Rule.Exit, at, requestId: undefined, detail: `daemon ${this.index} ended by itself with ${signal ?? `code ${code}`}: ${process.otherOutput.slice(-3).join(' | ')}`,
			});
		}

		if (this.expectedEnd === ExpectedEnd.None && !this.isClaimed) {
			await delay(restartDelayMs);
			this.restartUnlessClaimed(process);
		}
	}
}

/** Records that a daemon is disturbed until the result is called. */
export function disturbDaemon(trace: Trace, daemon: number, detail: string, isHealing = false): () => void {
	return trace.disturb(Part.Daemon, {daemon, isHealing, detail});
}
