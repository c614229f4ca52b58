import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {ProcessDeployment} from '../../standins/process-deployment.js';

/** Time that a request takes at its target, in milliseconds. */
const workMs = 300;

/** New connections of callers, and the time between their first requests, in milliseconds. */
const connectionCount = 40;
const intervalMs = 2;

type Caller = {socket: Socket; received(): string};

async function open(address: string): Promise<Caller> {
	const [ip, port] = address.split(':');
	return new Promise((resolve, reject) => {
		let text = '';
		const socket = connect(Number(port), ip, () => {
			resolve({socket, received: () => text});
		});
		socket.on('data', data => {
			text += data.toString();
		});
		socket.on('error', reject);
	});
}

function get(id: string): string {
	return `GET /records/a HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: ${id}\r\nTime-Budget-Ms: 5000\r\n\r\n`;
}

test('should answer what it forwards on new connections between its last request and the exit', async t => {
	const deployment = new ProcessDeployment({network: '127.100', workMs});
	try {
		await deployment.listen();
		t.true(await deployment.waitUntilServed());
		const {callerAddress} = deployment.daemon.settings;
		const kept = await open(callerAddress);
		kept.socket.write(get('kept'));
		while (!kept.received().includes('200 OK')) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			await delay(20);
		}

		deployment.daemon.signal('SIGTERM');
		await delay(2000);
		const callers = await Promise.all(Array.from({length: connectionCount}, async () => open(callerAddress)));
		await new Promise(resolve => {
			// Idle connections are closed together with the listener.
			kept.socket.once('close', resolve);
		});
		for (const [index, {socket}] of callers.entries()) {
			socket.write(get(`new-${index}`));
			// eslint-disable-next-line no-await-in-loop -- one after another.
			await delay(intervalMs);
		}

		await deployment.daemon.exit;
		await delay(50);
		const cut = callers.flatMap(({received}, index) => deployment.runIds.has(`new-${index}`) && received() === '' ? [index] : []);
		t.log(`run ${deployment.runIds.size - 1}, cut ${cut.length}`, deployment.daemon.lines.slice(-6).map(({name}) => name).join(' '));
		t.deepEqual(cut, []);
	} finally {
		await deployment.stop();
	}
});
