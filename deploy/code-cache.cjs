#!/usr/bin/env node
/**
 * Creates the code cache of the bundled daemon: runs it briefly on loopback, without a store, and writes the compiled code of
 * all functions that have run.
 */
const {randomInt} = require('node:crypto');
const {mkdtempSync, rmSync, writeFileSync} = require('node:fs');
const {tmpdir} = require('node:os');
const path = require('node:path');
const process = require('node:process');

/** Time for the daemon to start, in milliseconds: three times as long as it takes. */
const startMs = 1000;

/** A random loopback address, so that concurrent builds do not share ports. */
const ip = ['127', ...Array.from({length: 3}, () => randomInt(1, 255))].join('.');

/** Settings whose store address refuses connections. */
const settings = {
	daemon: 'build',
	availabilityZone: 'build',
	ip,
	callerAddress: `${ip}:8641`,
	readinessAddress: `${ip}:8640`,
	peerPorts: [8620, 8620],
	storeAddress: `${ip}:8642`,
	cores: 1,
	linkMbps: 1000,
	leaseMinimumMs: 1000,
	targetHeartbeatMs: 1000,
	drainMs: 1000,
	configurationApplyMs: 1000,
	shutdownGraceS: 1,
	retryRatio: 0,
	retryWindowS: 1,
	retryReserve: 0,
	holdLimitMs: 10_000,
	thawSlackMs: 1,
};

const outputFolder = path.resolve(process.argv[2]);
const {compile, run} = require(path.join(outputFolder, 'eelgrasswheeld.cjs'));
const folder = mkdtempSync(path.join(tmpdir(), 'eelgrasswheel-build-'));
const settingsFile = path.join(folder, 'settings.json');
writeFileSync(settingsFile, JSON.stringify(settings));
process.env.EELGRASSWHEEL_BOOT = settingsFile;
process.env.ROARR_LOG = 'false';

const script = compile();
run(script);
setTimeout(() => {
	writeFileSync(path.join(outputFolder, 'daemon.code'), script.createCachedData());
	rmSync(folder, {recursive: true});
	process.exit(0);
}, startMs);
