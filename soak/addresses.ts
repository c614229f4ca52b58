/**
 * Addresses of a soak on loopback. A network is the first two parts of an address.
 */

/** Third parts of the addresses: of one address for each node, and of the first of a row with one for each daemon. */
enum Place {
	Store = 0,
	Target = 1,
	Daemon = 2,
	FirstLink = 10,
	FirstTargetEnd = 100,
}

/** Last part of the address of a daemon's link to the store. */
const storeLinkHost = 250;

/** Most daemons of a network; links and targets' ends have one row of addresses for each. */
export const daemonLimit = 80;

/** A daemon, by its network and index. */
export type DaemonPlace = {network: string; index: number};

export function storeIp(network: string): string {
	return `${network}.${Place.Store}.1`;
}

/** Address in the target's entry. */
export function targetIp(network: string, target: number): string {
	return `${network}.${Place.Target}.${target + 1}`;
}

export function daemonIp(network: string, daemon: number): string {
	return `${network}.${Place.Daemon}.${daemon + 1}`;
}

/** Address at which the proxy between a daemon and a target listens. */
export function targetLinkIp(network: string, daemon: number, target: number): string {
	return `${network}.${Place.FirstLink + daemon}.${target + 1}`;
}

export function storeLinkIp(network: string, daemon: number): string {
	return `${network}.${Place.FirstLink + daemon}.${storeLinkHost}`;
}

/** Address at which the target listens for one daemon. */
export function targetEndIp(network: string, daemon: number, target: number): string {
	return `${network}.${Place.FirstTargetEnd + daemon}.${target + 1}`;
}

/** Index of the daemon whose connection arrived at an address of a target. */
export function daemonOfTargetEnd(ip: string): number {
	return Number(ip.split('.')[2]) - Place.FirstTargetEnd;
}

/** Reads the network and index from a daemon's address. */
export function parseDaemonIp(ip: string): DaemonPlace | undefined {
	const [first = '', second = '', , last = ''] = ip.split('.');
	return ip.startsWith('127.') ? {network: `${first}.${second}`, index: Number(last) - 1} : undefined;
}

/** Address of the daemon's link to the host; the host itself if it is no target. */
export function linkAddress({network, index}: DaemonPlace, host: string): string {
	const prefix = `${network}.${Place.Target}.`;
	return host.startsWith(prefix) ? targetLinkIp(network, index, Number(host.slice(prefix.length)) - 1) : host;
}
