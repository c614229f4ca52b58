/**
 * A gateway whose requests reach the target that their path names.
 */
import {once} from 'node:events';
import type {Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {ServiceBroker, type Context} from 'moleculer';
import {
	AttemptEnd, OutcomeKind, type CallerRequest, type Outcome,
} from '../src/model/forwarding.js';
import {initialLimits} from '../src/model/route-configuration.js';
import {PlatformTargetProtocol, readCallerHeaders} from '../src/platform/target-protocol.js';
import {HeldBytes} from '../src/services/held-bytes.js';
import {OpenRequests} from '../src/services/open-requests.js';
import {createPlatformGatewayService} from '../src/services/platform-gateway-service.js';
import {TargetTransport} from '../src/transport/target-transport.js';

/** Memory of a VM in megabytes; "350 MB" in the users' SYSTEM.md. */
const vmMb = 350;

/** Path of requests that are at work until their caller leaves. */
const heldPath = '/held';

const log = {record: () => undefined};

const outcomeKinds = new Map([[AttemptEnd.Answered, OutcomeKind.Answered], [AttemptEnd.Streamed, OutcomeKind.Streamed]]);

export class ForwardingGateway {
	private started: Promise<number> | undefined;

	constructor(private readonly timeoutMs: number) {}

	/** Returns the port. */
	async start(): Promise<number> {
		this.started ??= this.listen();
		return this.started;
	}

	/** Sends a request behind one that stays at work; returns true if it gets an answer before its caller leaves. */
	async isAnsweredBehindHeld(port: number, address: string): Promise<boolean> {
		const socket = connect(port, '127.0.0.1');
		let isAnswered = false;
		socket.on('error', () => undefined);
		socket.on('data', () => {
			isAnswered = true;
		});
		const head = 'HTTP/1.1\r\nHost: h\r\n\r\n';
		socket.write(`GET ${heldPath} ${head}GET /${address} ${head}`);
		const timer = setTimeout(() => {
			socket.destroy();
		}, this.timeoutMs);
		await once(socket, 'close');
		clearTimeout(timer);
		return isAnswered;
	}

	private async listen(): Promise<number> {
		const {timeoutMs} = this;
		const transport = new TargetTransport(new PlatformTargetProtocol());
		const broker = new ServiceBroker({
			logger: false, internalServices: false, skipProcessEventRegistration: true, dependencyInterval: 1,
		});
		broker.createService({
			name: 'dispatcher',
			actions: {
				async forward({params}: Context<CallerRequest>): Promise<Outcome> {
					if (params.path === heldPath) {
						await new Promise<void>(resolve => {
							params.cancellation.subscribe(resolve);
						});
						return {kind: OutcomeKind.Abandoned};
					}

					const {end, answer, body} = await transport.send({...params, requestId: 'request-1'}, {
						target: {id: 'target', address: params.path.slice(1)},
						budgetMs: timeoutMs,
						timeoutMs,
						cancellation: params.cancellation,
						connectionLimit: 64,
						onStatement: () => undefined,
					});
					return {kind: outcomeKinds.get(end) ?? OutcomeKind.Unknown, answer, body};
				},
			},
		});
		const service = broker.createService(createPlatformGatewayService({
			ip: '127.0.0.1',
			port: 0,
			log,
			openRequests: new OpenRequests(),
			heldBytes: new HeldBytes(log, vmMb),
			readHeaders: readCallerHeaders,
			limits: () => initialLimits,
			confirmLimits: async () => true,
			onOutcome: () => undefined,
		})) as unknown as {gateway: {server: Server}};
		await broker.start();
		return (service.gateway.server.address() as AddressInfo).port;
	}
}
