import {once} from 'node:events';
import {connect, type AddressInfo, type Server} from 'node:net';
import process from 'node:process';
import test from 'ava';
import {ServiceBroker, type Context} from 'moleculer';
import {OutcomeKind, type CallerRequest, type Outcome} from '../../src/model/forwarding.js';
import {initialLimits} from '../../src/model/route-configuration.js';
import {readCallerHeaders} from '../../src/platform/target-protocol.js';
import {HeldBytes} from '../../src/services/held-bytes.js';
import {OpenRequests} from '../../src/services/open-requests.js';
import {createPlatformGatewayService} from '../../src/services/platform-gateway-service.js';
import {waitUntil} from '../../standins/program-process.js';
import {get} from '../../standins/raw-caller.js';

/** Memory of a VM and of a daemon without load, in megabytes; "350 MB" in the users' SYSTEM.md, 130 in their ENDLESS.md. */
const memoryMb = {vm: 350, base: 130};

/** Callers, requests that each sends at once, and the size of their answers in bytes, which is below the limit on buffered ones. */
const load = {callers: 200, requests: 10, answerBytes: 250_000};

const megabyte = 1_048_576;

// LOST: answers that waited for an earlier one on their connection were not bounded for all connections together.
test('should bound the memory of answers that wait on many connections', async t => {
	const broker = new ServiceBroker({
		logger: false, transporter: null, internalServices: false, skipProcessEventRegistration: true, dependencyInterval: 1,
	});
	let answeredCount = 0;
	broker.createService({
		name: 'dispatcher',
		actions: {
			async forward({params: {path, cancellation}}: Context<CallerRequest>): Promise<Outcome> {
				if (path === '/held') {
					await new Promise<void>(resolve => {
						cancellation.subscribe(resolve);
					});
					return {kind: OutcomeKind.Abandoned};
				}

				answeredCount += 1;
				return {kind: OutcomeKind.Answered, answer: {status: 200, headers: {}}, body: new Uint8Array(load.answerBytes).fill(1)};
			},
		},
	});
	const service = broker.createService(createPlatformGatewayService({
		ip: '127.0.0.1',
		port: 0,
		log: {record: () => undefined},
		openRequests: new OpenRequests(),
		heldBytes: new HeldBytes({record: () => undefined}, memoryMb.vm),
		readHeaders: readCallerHeaders,
		limits: () => initialLimits,
		confirmLimits: async () => true,
		onOutcome: () => undefined,
	})) as unknown as {gateway: {server: Server}};
	await broker.start();
	const {port} = service.gateway.server.address() as AddressInfo;
	const beforeMb = process.memoryUsage().arrayBuffers / megabyte;
	const sockets = await Promise.all(Array.from({length: load.callers}, async () => {
		const socket = connect(port, '127.0.0.1');
		socket.on('error', () => undefined);
		await once(socket, 'connect');
		socket.write(get('/held') + get('/next').repeat(load.requests - 1));
		return socket;
	}));
	const limit = performance.now() + 5000;
	await waitUntil(() => answeredCount === load.callers * (load.requests - 1) || performance.now() > limit);
	const usedMb = (process.memoryUsage().arrayBuffers / megabyte) - beforeMb;
	for (const socket of sockets) {
		socket.destroy();
	}

	await broker.stop();
	t.log(`${Math.round(usedMb)} MB`);
	t.true(usedMb < memoryMb.vm - memoryMb.base, `${Math.round(usedMb)} MB`);
});
