#!/usr/bin/env node
/**
 * Program eelgrasswheeld on the users' platform. It handles signals before it loads the modules of the daemon, which takes
 * most of the start.
 */
import process from 'node:process';
// eslint-disable-next-line import-x/no-unassigned-import -- roarr reads its environment variable when it is loaded.
import './enable-log.js';
import {signals} from './signals.js';

async function main(): Promise<void> {
	const {runPlatformDaemon} = await import('./platform-program.js');
	await runPlatformDaemon(signals, code => process.exit(code));
}

// The bundle is a CommonJS script, because only scripts can be compiled in advance; they have no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main();
