#!/usr/bin/env node
/**
 * Program eelgrasswheeld on the users' platform. It handles signals before it loads the modules of the daemon, which takes
 * most of the start.
 */
import process from 'node:process';
// eslint-disable-next-line import-x/no-unassigned-import -- roarr reads its environment variable when it is loaded.
import './enable-log.js';
import {ExitCode} from './exit-code.js';
import {handleSignals} from './signals.js';

function exit(code: ExitCode): never {
	process.exit(code);
}

async function main(): Promise<void> {
	// Nothing has been started, and the settings are read later.
	handleSignals(signal => {
		if (signal !== 'SIGHUP') {
			exit(ExitCode.Stopped);
		}
	});
	const {runPlatformDaemon} = await import('./platform-program.js');
	await runPlatformDaemon(exit);
}

// The bundle is a CommonJS script, because only scripts can be compiled in advance; they have no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main();
