#!/usr/bin/env node
/**
 * Program eelgrasswheeld: reads the settings and runs a daemon until a signal stops it.
 */
// eslint-disable-next-line import-x/no-unassigned-import, import-x/order -- roarr reads its environment variable when it is loaded.
import './enable-log.js';
import process from 'node:process';
import meow from 'meow';
import {handleSignals} from './signals.js';
import {Daemon} from './daemon.js';
import {ExitCode} from './exit-code.js';
import {ProgramRun} from './program-run.js';
import {
	flagName, readSettings, settingSpecs, SettingsError, type Settings,
} from './settings.js';

const settingsHelp = settingSpecs.map(spec => {
	const fallback = spec.fallback === undefined ? '' : ` (default ${spec.fallback})`;
	return `    ${flagName(spec)}, ${spec.variable}\n        ${spec.expected}${fallback}`;
}).join('\n');

const cli = meow(`
  Usage
    $ eelgrasswheeld [settings]

  Settings, as flags or environment variables
${settingsHelp}

  Signals
    SIGTERM  graceful shutdown; further ones change nothing

  Exit codes
    0 stopped, 1 failed, 2 wrong settings
`, {
	importMeta: import.meta,
	flags: Object.fromEntries(settingSpecs.map(spec => [spec.flag, {type: 'string' as const}])),
	allowUnknownFlags: false,
});

function settingsOrExit(): Settings {
	try {
		return readSettings(cli.flags);
	} catch (error) {
		if (!(error instanceof SettingsError)) {
			throw error;
		}

		console.error(`${error.message}\n${error.nextStep}`);
		process.exit(ExitCode.InvalidSettings);
	}
}

const daemon = new Daemon(settingsOrExit());
const run = new ProgramRun({
	program: daemon,
	log: daemon.log,
	drainLog: async () => undefined,
	exit(code) {
		process.exit(code);
	},
});
handleSignals(signal => {
	if (signal !== 'SIGHUP') {
		void run.stop(signal);
	}
});
await run.start();
