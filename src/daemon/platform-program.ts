/**
 * Runs a daemon on the users' platform until a signal stops it.
 */
import process from 'node:process';
import {MalformedDocumentError} from '../model/errors.js';
import {LogEvent} from '../model/events.js';
import {readSettings, settingsVariable, type PlatformSettings} from '../platform/settings.js';
import {BoundedLog, LineWriter} from './bounded-log.js';
import {PlatformDaemon} from './platform-daemon.js';
import {ExitCode} from './exit-code.js';
import {ProgramRun} from './program-run.js';
import {RoarrLog} from './roarr-log.js';
import {handleSignals} from './signals.js';

/** Timeout for writing the remaining log lines before the exit, in milliseconds. */
const logDrainMs = 100;

/** Part of the grace period reserved for the exit itself, in milliseconds: the log, and delays of a busy VM. */
const exitMarginMs = 300;

const secondMs = 1000;

/** Starts the daemon with the settings file that the environment names. */
export async function runPlatformDaemon(exit: (code: ExitCode) => never): Promise<void> {
	const path = process.env[settingsVariable] ?? '';
	const settings = settingsOrExit(path, exit);
	const writer = new LineWriter();
	const log = new BoundedLog(new RoarrLog(settings.daemon, settings.availabilityZone, writer));
	const daemon = new PlatformDaemon(settings, log);
	const run = new ProgramRun({
		program: daemon,
		log,
		shutdownLimitMs: Math.max(0, (settings.shutdownGraceS * secondMs) - exitMarginMs),
		async drainLog() {
			await writer.drain(logDrainMs);
		},
		exit,
	});
	process.on('uncaughtException', error => {
		void run.recordFailure(error);
	});
	handleSignals(signal => {
		if (signal !== 'SIGHUP') {
			void run.stop(signal);
			return;
		}

		try {
			daemon.reload(readSettings(path));
		} catch (error) {
			log.record(LogEvent.DocumentRejected, {key: path, detail: error instanceof Error ? error.message : String(error)});
		}
	});
	await run.start();
}

function settingsOrExit(path: string, exit: (code: ExitCode) => never): PlatformSettings {
	try {
		return readSettings(path);
	} catch (error) {
		const faults = error instanceof MalformedDocumentError ? error.faults : [`${settingsVariable}=${path}: ${error instanceof Error ? error.message : String(error)}`];
		console.error(faults.join('\n'));
		return exit(ExitCode.InvalidSettings);
	}
}
