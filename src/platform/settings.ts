/**
 * Settings of a daemon on the platform, from the file that the platform fills in.
 */
import {readFileSync} from 'node:fs';
import {DocumentReader} from './document-reader.js';

/** Variable that holds the path of the settings file. */
export const settingsVariable = 'EELGRASSWHEEL_BOOT';

/** Settings of one daemon. */
export type PlatformSettings = {
	daemon: string;
	availabilityZone: string;
	ip: string;
	/** Address for callers. */
	callerAddress: string;
	/** Address on which the platform asks whether the daemon is ready. */
	readinessAddress: string;
	/** First and last port that is free for messages between daemons. */
	peerPorts: [number, number];
	storeAddress: string;
	/** Cores that the process may use. */
	cores: number;
	/** Bandwidth of the VM in Mbit/s. */
	linkMbps: number;
	leaseMinimumMs: number;
	/** Interval in which targets write their entries, in milliseconds. */
	targetHeartbeatMs: number;
	/** Time after the acknowledgement of a leaving target in which requests may still reach it, in milliseconds. */
	drainMs: number;
	/** Time after the acknowledgement of a configuration in which it has to be in force everywhere, in milliseconds. */
	configurationApplyMs: number;
	/** Time between SIGTERM and SIGKILL in seconds. */
	shutdownGraceS: number;
	/** Additional arrivals at a service for each request. */
	retryRatio: number;
	/** Window of the retry budget in seconds. */
	retryWindowS: number;
	/** Additional arrivals at a service in each window, for all daemons together. */
	retryReserve: number;
	/** Longest hold of keys in milliseconds. */
	holdLimitMs: number;
	/** Time after the thaw of a daemon in which its orders may still arrive, in milliseconds. */
	thawSlackMs: number;
};

/**
 * Reads and checks the settings.
 *
 * @throws {MalformedDocumentError} with one line for each fault
 */
export function readSettings(path: string): PlatformSettings {
	return parseSettings(readFileSync(path, 'utf8'));
}

/** Parses the text of a settings file; fields that are not known are ignored. */
export function parseSettings(text: string): PlatformSettings {
	const reader = DocumentReader.parse('settings', text);
	const settings: PlatformSettings = {
		daemon: reader.text('daemon'),
		availabilityZone: reader.text('availabilityZone'),
		ip: reader.text('ip'),
		callerAddress: reader.address('callerAddress'),
		readinessAddress: reader.address('readinessAddress'),
		peerPorts: readPorts(reader),
		storeAddress: reader.address('storeAddress'),
		cores: reader.number('cores'),
		linkMbps: reader.number('linkMbps'),
		leaseMinimumMs: reader.whole('leaseMinimumMs', 1),
		targetHeartbeatMs: reader.whole('targetHeartbeatMs', 1),
		drainMs: reader.whole('drainMs'),
		configurationApplyMs: reader.whole('configurationApplyMs', 1),
		shutdownGraceS: reader.number('shutdownGraceS'),
		retryRatio: reader.number('retryRatio'),
		retryWindowS: reader.number('retryWindowS', 1),
		retryReserve: reader.number('retryReserve'),
		holdLimitMs: reader.whole('holdLimitMs', 1000),
		thawSlackMs: reader.whole('thawSlackMs'),
	};
	reader.finish();
	return settings;
}

function readPorts(reader: DocumentReader): [number, number] {
	const ports = reader.list('peerPorts');
	const list = reader.entry(0, {first: ports[0], last: ports[1]});
	return [list.whole('first', 1), list.whole('last', 1)];
}
