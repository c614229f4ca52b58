/**
 * Opens connections only in order to learn whether a server can be reached.
 */
import {connect} from 'node:net';

/** Time for a connection to be opened, in milliseconds. It usually takes a few; a lost SYN is retransmitted only after a second. */
const probeTimeoutMs = 300;

/** Opens a connection and closes it; false if it is refused or not opened in time. */
export async function canConnect(address: string): Promise<boolean> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = connect({host, port: Number(port)});
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
