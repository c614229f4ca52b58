/**
 * Settings of daemons on loopback, for the platform's protocol.
 */
import type {PlatformSettings} from '../src/platform/settings.js';

/** Ports of a deployment on loopback; its parts differ in their addresses. */
export const platformPorts = {
	store: 8642, caller: 8641, readiness: 8640, peer: 7620, target: 8647,
};

export type PlatformAddresses = {
	daemon: string;
	ip: string;
	storeIp: string;
	ports?: typeof platformPorts;
};

/** Returns the settings of a daemon. */
export function createPlatformSettings({daemon, ip, storeIp, ports = platformPorts}: PlatformAddresses, changes: Partial<PlatformSettings> = {}): PlatformSettings {
	return {
		daemon,
		availabilityZone: 'zone-a',
		ip,
		callerAddress: `${ip}:${ports.caller}`,
		readinessAddress: `${ip}:${ports.readiness}`,
		peerPorts: [ports.peer, ports.peer + 10],
		storeAddress: `${storeIp}:${ports.store}`,
		cores: 1,
		linkMbps: 1000,
		leaseMinimumMs: 1000,
		targetHeartbeatMs: 1000,
		drainMs: 2000,
		configurationApplyMs: 2000,
		shutdownGraceS: 6,
		retryRatio: 0.2,
		retryWindowS: 10,
		retryReserve: 60,
		holdLimitMs: 10_000,
		thawSlackMs: 300,
		...changes,
	};
}
