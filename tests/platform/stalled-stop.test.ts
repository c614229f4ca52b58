import {connect} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {WireHeader} from '../../src/platform/wire.js';
import type {OpenRequests} from '../../src/services/open-requests.js';
import {platformPorts} from '../../standins/platform-settings.js';
import {PlatformDeployment} from '../../standins/platform-deployment.js';

const network = '127.64';

/** Time that requests take, in milliseconds; longer than a daemon waits before it closes its listener. */
const workMs = 3000;

/** Time that callers wait, in milliseconds. */
const budgetMs = 5000;

/** Time for which the process does not run, in milliseconds; longer than the interval at which a daemon checks for open requests. */
const stallMs = 150;

function stall(): void {
	const until = performance.now() + stallMs;
	while (performance.now() < until) {
		// Neither timers nor sockets are served.
	}
}

test('should answer a request that arrived during a stall after the last request had ended', async t => {
	const deployment = new PlatformDeployment({
		network, daemonCount: 1, targetCount: 1, isKeyed: false, workMs, kind: 'safe', onRun: () => undefined,
	});
	await deployment.start();
	let text = '';
	const socket = connect(platformPorts.caller, `${network}.2.1`);
	socket.on('data', data => {
		text += data.toString();
	});
	socket.on('error', () => {
		// The text lacks the answer.
	});
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	await new Promise(resolve => {
		socket.once('connect', resolve);
	});
	const last = deployment.send(0, budgetMs);
	const stopped = deployment.daemons[0].shutdown();
	await last;
	const {openRequests} = deployment.daemons[0] as unknown as {openRequests: OpenRequests};
	while (openRequests.count > 0) {
		// eslint-disable-next-line no-await-in-loop -- polling.
		await nextTurn();
	}

	socket.write(`GET /records/1 HTTP/1.1\r\nhost: demo.example\r\n${WireHeader.RequestId}: late\r\n${WireHeader.Budget}: 1000\r\n\r\n`);
	stall();
	await stopped;
	await closed;
	await deployment.stop();
	t.regex(text, /^HTTP\/1\.1 (?:200|503) /v);
});
