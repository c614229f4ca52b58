#!/usr/bin/env node
/**
 * Program eelgrasswheeld on the users' platform: reads the settings file and runs a daemon until a signal stops it.
 */
// eslint-disable-next-line import-x/no-unassigned-import, import-x/order -- roarr reads its environment variable when it is loaded.
import './enable-log.js';
import process from 'node:process';
import {describeFailure, MalformedDocumentError} from '../model/errors.js';
import {LogEvent} from '../model/events.js';
import {readSettings, settingsVariable, type PlatformSettings} from '../platform/settings.js';
import {BoundedLog, LineWriter} from './bounded-log.js';
import {FailureCounter} from './failure-counter.js';
import {PlatformDaemon} from './platform-daemon.js';
import {RoarrLog} from './roarr-log.js';

/** Exit code for invalid settings. */
const settingsExitCode = 2;

/** Timeout for writing the remaining log lines before the exit, in milliseconds. */
const logDrainMs = 100;

const path = process.env[settingsVariable] ?? '';

function settingsOrExit(): PlatformSettings {
	try {
		return readSettings(path);
	} catch (error) {
		const faults = error instanceof MalformedDocumentError ? error.faults : [`${settingsVariable}=${path}: ${error instanceof Error ? error.message : String(error)}`];
		console.error(faults.join('\n'));
		process.exit(settingsExitCode);
	}
}

const settings = settingsOrExit();
const writer = new LineWriter();
const log = new BoundedLog(new RoarrLog(settings.daemon, settings.availabilityZone, writer));
const daemon = new PlatformDaemon(settings, log);
const failures = new FailureCounter();

/** Monotonic times at which signals came that stop the daemon, in milliseconds. */
const signalTimes: number[] = [];

async function exit(code: number, reason: string): Promise<never> {
	log.record(LogEvent.ProcessExiting, {code, reason, cut: daemon.recordCutRequests()});
	await writer.drain(logDrainMs);
	process.exit(code);
}

async function stop(signal: NodeJS.Signals): Promise<void> {
	const now = performance.now();
	signalTimes.push(now);
	log.record(LogEvent.SignalReceived, {signal, count: signalTimes.length, sinceFirstMs: Math.round(now - (signalTimes[0] ?? now))});
	await daemon.shutdown();
	await exit(0, signal);
}

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.on(signal, () => {
		void stop(signal);
	});
}

process.on('SIGHUP', () => {
	try {
		daemon.reload(readSettings(path));
	} catch (error) {
		log.record(LogEvent.DocumentRejected, {key: path, detail: error instanceof Error ? error.message : String(error)});
	}
});

/** An unexpected error affects only the work that raised it. If errors repeat, the process exits in order to be restarted. */
process.on('uncaughtException', error => {
	log.record(LogEvent.InternalFailure, {detail: describeFailure(error)});
	if (failures.record()) {
		void exit(1, 'repeated_failures');
	}
});

async function start(): Promise<void> {
	try {
		await daemon.start();
	} catch (error) {
		console.error(`The daemon could not start: ${error instanceof Error ? error.message : String(error)}`);
		process.exit(1);
	}
}

// The bundle is a CommonJS script, because only scripts can be compiled in advance; they have no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void start();
