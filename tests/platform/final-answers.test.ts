import {connect} from 'node:net';
import test from 'ava';
import {WireHeader} from '../../src/platform/wire.js';
import {waitUntil} from '../../standins/program-process.js';
import {ProcessDeployment} from '../../standins/process-deployment.js';

/** Grace period in seconds; a daemon ends its process after 0.85 of it. */
const shutdownGraceS = 4;

/** Time that a request takes at its target, in milliseconds; longer than the grace period. */
const workMs = 8000;

const head = (method: string, id: string): string => `${method} /records/a HTTP/1.1\r\nHost: demo.example\r\n${WireHeader.RequestId}: ${id}\r\n${WireHeader.Budget}: 7000\r\n`;
const get = (id: string): string => `${head('GET', id)}\r\n`;

/** Requests of one caller, and the statuses of their answers. */
const callers = [
	{title: 'a request at a silent target', text: get('single'), statuses: ['502']},
	{title: 'pipelined requests at silent targets', text: get('first') + get('second'), statuses: ['502', '502']},
	{title: 'a request whose body is incomplete', text: `${head('POST', 'upload')}Content-Length: 10\r\n\r\nabc`, statuses: ['503']},
];

for (const kind of ['safe', 'unsafe'] as const) {
	// LOST: the end of a stop closed connections whose requests were waiting for a silent target.
	test.serial(`should answer ${kind} requests without an answer in the last sixth of the grace period`, async t => {
		const deployment = new ProcessDeployment({
			network: '127.101', workMs, shutdownGraceS, routeTimeoutMs: 7000, kind,
		});
		try {
			await deployment.listen();
			t.true(await deployment.waitUntilServed());
			const [ip, port] = deployment.daemon.settings.callerAddress.split(':');
			const connections = callers.map(({text}) => {
				const connection = {text: '', answeredAt: 0, isClosed: false};
				const socket = connect(Number(port), ip);
				socket.on('error', () => undefined);
				socket.on('data', data => {
					connection.text += data.toString();
					connection.answeredAt ||= performance.now();
				});
				socket.once('close', () => {
					connection.isClosed = true;
				});
				socket.write(text);
				return connection;
			});
			await waitUntil(() => deployment.runIds.size >= 3);
			const signalledAt = performance.now();
			deployment.daemon.signal('SIGTERM');
			const {at} = await deployment.daemon.exit;
			await waitUntil(() => connections.every(({isClosed}) => isClosed));
			for (const [index, {title, statuses}] of callers.entries()) {
				const {text, answeredAt} = connections[index];
				t.log(`${title}: ${Math.round(answeredAt - signalledAt)} ms`);
				t.deepEqual([...text.matchAll(/HTTP\/1\.1 (\d+) /gv)].map(([, status]) => status), statuses);
				t.regex(text, /daemon_stopping.*\n$/v);
				t.is([...text.matchAll(/connection: close/giv)].length, 1);
				t.true(answeredAt - signalledAt >= shutdownGraceS * 1000 * 5 / 6, `${title}: ${answeredAt - signalledAt} ms`);
			}

			t.true(at - signalledAt < shutdownGraceS * 1000);
		} finally {
			await deployment.stop();
		}
	});
}
