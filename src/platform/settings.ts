/**
 * Settings of a daemon on the platform, read from the file that the platform generates.
 */
import {readFileSync} from 'node:fs';
import {DocumentReader} from './document-reader.js';

/** Environment variable that holds the path of the settings file. */
export const settingsVariable = 'EELGRASSWHEEL_BOOT';

/** Settings of one daemon. */
export type PlatformSettings = {
	daemon: string;
	availabilityZone: string;
	ip: string;
	/** Address that accepts callers' requests. */
	callerAddress: string;
	/** Address that answers the platform's readiness checks. */
	readinessAddress: string;
	/** First and last port available for messages between daemons. */
	peerPorts: [number, number];
	storeAddress: string;
	/** CPU cores that the process may use. */
	cores: number;
	/** Bandwidth of the VM in Mbit/s. */
	linkMbps: number;
	leaseMinimumMs: number;
	/** Interval at which targets write their entries, in milliseconds. */
	targetHeartbeatMs: number;
	/** Time for which a leaving target may still receive requests after its departure is acknowledged, in milliseconds. */
	drainMs: number;
	/** Time within which an acknowledged configuration must be active on all daemons, in milliseconds. */
	configurationApplyMs: number;
	/** Time between SIGTERM and SIGKILL in seconds. */
	shutdownGraceS: number;
	/** Delivered retries that each request adds to the retry budget of its service. */
	retryRatio: number;
	/** Window of the retry budget in seconds. */
	retryWindowS: number;
	/** Delivered retries that a service's budget allows in each window in any case, for all daemons together. */
	retryReserve: number;
	/** Maximum hold of keys in milliseconds. */
	holdLimitMs: number;
	/** Time for which orders of a daemon may still arrive after it resumes from a suspension, in milliseconds. */
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

/** Parses the text of a settings file. Unknown fields are ignored. */
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
		leaseMinimumMs: reader.integer('leaseMinimumMs', 1),
		targetHeartbeatMs: reader.integer('targetHeartbeatMs', 1),
		drainMs: reader.integer('drainMs'),
		configurationApplyMs: reader.integer('configurationApplyMs', 1),
		shutdownGraceS: reader.number('shutdownGraceS'),
		retryRatio: reader.number('retryRatio'),
		retryWindowS: reader.number('retryWindowS', 1),
		retryReserve: reader.number('retryReserve'),
		holdLimitMs: reader.integer('holdLimitMs', 1000),
		thawSlackMs: reader.integer('thawSlackMs'),
	};
	reader.throwOnFaults();
	return settings;
}

function readPorts(reader: DocumentReader): [number, number] {
	const ports = reader.list('peerPorts');
	const range = reader.listItem(0, {first: ports[0], last: ports[1]});
	return [range.integer('first', 1), range.integer('last', 1)];
}
