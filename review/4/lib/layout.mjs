/**
 * Ports and availability zones of a deployment; its parts differ in their loopback addresses, which no other run uses.
 */
export const ports = {
	store: 8642, caller: 8641, readiness: 8640, peer: 7620, target: 8080,
};

/** Availability zones of the daemons and servers, in turn. */
export const zones = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
