/**
 * Service "control": the control interface for peers and operators, using tRPC over HTTP.
 */
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import type {Service, ServiceBroker, ServiceSchema} from 'moleculer';
import type {Assignment, Stored} from '../model/assignment.js';
import type {BurnSample} from '../model/burn.js';
import type {
	Acknowledgement, DaemonStatus, DocumentUpdate, KnownVersions, LoadReport, PeerConfirmation, ServerProbeResult,
} from '../model/peer.js';
import type {Plan} from '../model/plan.js';
import {controlRouter, type OperatorHandlers, type PeerHandlers} from '../peers/control-router.js';

export type ControlOptions = {
	host: string;
	port: number;
	/** Secret shared by the daemons; callers that present it are treated as peers. */
	peerSecret: string;
};

/** Largest body of a control call in bytes; an assignment is smaller than one megabyte. */
const maxBodyBytes = 2_097_152;

export function createControlService(options: ControlOptions): ServiceSchema {
	let server: Server | undefined;
	const traffic = new TrafficCounter();
	return {
		name: 'control',
		dependencies: ['distribution', 'operator'],
		async started(this: Service) {
			const peers = new LocalPeerHandlers(this.broker);
			const operators = createOperatorHandlers(this.broker, traffic);
			const handler = createHTTPHandler({
				router: controlRouter,
				maxBodySize: maxBodyBytes,
				createContext({req}: {req: IncomingMessage}) {
					const credential = (req.headers.authorization ?? '').replace(/^Bearer /v, '');
					return {
						credential, isPeer: credential === options.peerSecret, peers, operators,
					};
				},
			});
			server = createServer(handler);
			server.on('connection', socket => {
				traffic.track(socket);
			});
			server.keepAliveTimeout = 60_000;
			await new Promise<void>((resolve, reject) => {
				server!.once('error', reject);
				server!.listen(options.port, options.host, resolve);
			});
		},
		async stopped() {
			server?.closeAllConnections();
			await new Promise(resolve => {
				server?.close(resolve);
			});
		},
	};
}

/** Passes the calls of peers to the service "distribution". */
class LocalPeerHandlers implements PeerHandlers {
	constructor(private readonly broker: ServiceBroker) {}

	async onConfirm() {
		return this.broker.call<PeerConfirmation>('distribution.confirm');
	}

	async onFetchDocuments(known: KnownVersions) {
		return this.broker.call<DocumentUpdate, KnownVersions>('distribution.fetchDocuments', known);
	}

	async onPublish(stored: Stored<Assignment>) {
		return this.broker.call<Acknowledgement, Stored<Assignment>>('distribution.publish', stored);
	}

	async onProbeServer(server: string) {
		return this.broker.call<ServerProbeResult, {server: string}>('distribution.probeServer', {server});
	}

	async onAnnounceLeaving(daemon: string) {
		return this.broker.call<void, {daemon: string}>('distribution.announceLeaving', {daemon});
	}

	async onLoadReport(service: string) {
		return this.broker.call<LoadReport, {service: string}>('distribution.loadReport', {service});
	}
}

/** Counts the bytes received and sent on all connections, open and closed. */
class TrafficCounter {
	private closedBytes = 0;
	private readonly openSockets = new Set<Socket>();

	get bytes(): number {
		let bytes = this.closedBytes;
		for (const socket of this.openSockets) {
			bytes += socket.bytesRead + socket.bytesWritten;
		}

		return bytes;
	}

	track(socket: Socket): void {
		this.openSockets.add(socket);
		socket.once('close', () => {
			this.openSockets.delete(socket);
			this.closedBytes += socket.bytesRead + socket.bytesWritten;
		});
	}
}

function createOperatorHandlers(broker: ServiceBroker, traffic: TrafficCounter): OperatorHandlers {
	return {
		submit: async (intent, credential) => broker.call<Plan, Record<string, unknown>>('operator.submit', {intent, credential}),
		confirm: async (planId, credential) => broker.call<Plan, Record<string, unknown>>('operator.confirm', {planId, credential}),
		reject: async (planId, credential) => broker.call<Plan, Record<string, unknown>>('operator.reject', {planId, credential}),
		showPlan: async planId => broker.call<Plan, Record<string, unknown>>('operator.showPlan', {planId}),
		listPlans: async () => broker.call<Plan[]>('operator.listPlans'),
		history: async service => broker.call<unknown[], Record<string, unknown>>('operator.history', {service}),
		assignment: async service => broker.call<Assignment | undefined, Record<string, unknown>>('operator.assignment', {service}),
		async status() {
			const status = await broker.call<DaemonStatus>('operator.status');
			return {...status, controlBytes: traffic.bytes};
		},
		peerAddresses: async () => broker.call<Array<{daemon: string; address: string}>>('operator.peerAddresses'),
		burn: async () => broker.call<BurnSample[]>('operator.burn'),
		requireReader: async credential => broker.call<void, Record<string, unknown>>('operator.requireReader', {credential}),
	};
}
