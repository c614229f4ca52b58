/**
 * The run of a program in its process: one start, one stop and one exit, whatever asks for them and however often.
 */
import {describeFailure} from '../model/errors.js';
import {LogEvent, type EventLog} from '../model/events.js';
import {ExitCode} from './exit-code.js';
import {FailureCounter} from './failure-counter.js';

/** Why a process ends, if not because of a signal. */
export enum ExitReason {
	FailedStart = 'failed_start',
	RepeatedFailures = 'repeated_failures',
}

/** A program that serves requests until it is shut down. */
export type Program = {
	start(): Promise<void>;
	/** Completes the requests in flight and closes everything. */
	shutdown(): Promise<void>;
	/** Logs the requests that the exit leaves without a complete answer, and returns their number. */
	recordCutRequests(): number;
};

export type ProgramRunOptions = {
	program: Program;
	log: EventLog;
	/** Time after which the process exits although the shutdown is not over, in milliseconds; unlimited if undefined. */
	shutdownLimitMs?: number;
	/** Writes the remaining log lines. */
	drainLog(): Promise<void>;
	exit(code: ExitCode): void;
};

type EndRequest = {code: ExitCode; reason: string};

/** Starts a program and ends its process. */
export class ProgramRun {
	private readonly failures = new FailureCounter();
	private started: Promise<void> | undefined;
	private ended: Promise<void> | undefined;
	private signalCount = 0;
	private firstSignalAt: number | undefined;

	constructor(private readonly options: ProgramRunOptions) {}

	/** Starts the program, unless the process is to end already. */
	async start(): Promise<void> {
		if (this.ended) {
			return;
		}

		const {program, log} = this.options;
		this.started = program.start();
		try {
			await this.started;
		} catch (error) {
			log.record(LogEvent.StartFailed, {detail: describeFailure(error)});
			console.error(`The daemon could not start: ${error instanceof Error ? error.message : String(error)}`);
			await this.end({code: ExitCode.Failed, reason: ExitReason.FailedStart});
		}
	}

	/** Ends the process because of a signal; another signal changes nothing. */
	async stop(signal: NodeJS.Signals): Promise<void> {
		const now = performance.now();
		this.firstSignalAt ??= now;
		this.signalCount += 1;
		this.options.log.record(LogEvent.SignalReceived, {signal, count: this.signalCount, sinceFirstMs: Math.round(now - this.firstSignalAt)});
		await this.end({code: ExitCode.Stopped, reason: signal});
	}

	/** Records an unexpected error, which affects only the work that raised it. If errors repeat, the process ends in order to be restarted. */
	async recordFailure(error: unknown): Promise<void> {
		this.options.log.record(LogEvent.InternalFailure, {detail: describeFailure(error)});
		if (this.failures.record()) {
			await this.end({code: ExitCode.Failed, reason: ExitReason.RepeatedFailures});
		}
	}

	private async end(request: EndRequest): Promise<void> {
		this.ended ??= this.shutDownAndExit(request);
		return this.ended;
	}

	private async shutDownAndExit({code, reason}: EndRequest): Promise<void> {
		const {
			program, log, shutdownLimitMs, drainLog, exit,
		} = this.options;
		const isInTime = await settlesWithin(this.shutDown(), shutdownLimitMs);
		log.record(LogEvent.ProcessExiting, {
			code, reason, isInTime, cut: program.recordCutRequests(),
		});
		await drainLog();
		exit(code);
	}

	/** Never rejects: the requests in flight are the only reason to wait. */
	private async shutDown(): Promise<void> {
		if (!this.started) {
			return;
		}

		// A failed start may have opened listeners.
		await Promise.allSettled([this.started]);
		try {
			await this.options.program.shutdown();
		} catch (error) {
			this.options.log.record(LogEvent.InternalFailure, {detail: describeFailure(error)});
		}
	}
}

/** Returns false if the time is over before the promise settles. */
async function settlesWithin(promise: Promise<void>, limitMs: number | undefined): Promise<boolean> {
	if (limitMs === undefined) {
		await promise;
		return true;
	}

	let timer: NodeJS.Timeout | undefined;
	const limit = new Promise<boolean>(resolve => {
		timer = setTimeout(resolve, limitMs, false);
	});
	const isInTime = await Promise.race([promise.then(() => true), limit]);
	clearTimeout(timer);
	return isInTime;
}
