/**
 * Opens connections only in order to learn whether a server can be reached.
 */
import {connect} from 'node:net';
import {parseAddress} from './address.js';

/** Time for a connection to be opened, in milliseconds. It usually takes a few; a lost SYN is retransmitted only after a second. */
const probeTimeoutMs = 300;

/** Opens a connection and closes it; false if it is refused, not opened in time, or the address is none. */
export async function canConnect(address: string): Promise<boolean> {
	const parsed = parseAddress(address);
	if (!parsed) {
		return false;
	}

	return new Promise(resolve => {
		const socket = connect({host: parsed.ip, port: parsed.port});
		const settle = (isConnected: boolean): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isConnected);
		};

		const timer = setTimeout(() => {
			settle(false);
		}, probeTimeoutMs);
		socket.once('connect', () => {
			settle(true);
		});
		// A refusal is a result, not a failure of the probe.
		socket.on('error', () => {
			settle(false);
		});
	});
}
