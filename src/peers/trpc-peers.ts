/**
 * Calls to other daemons using tRPC over HTTP.
 */
import {
	createTRPCClient, httpLink, TRPCClientError, type TRPCClient,
} from '@trpc/client';
import {Agent, request} from 'undici';
import type {Assignment, Stored} from '../model/assignment.js';
import type {Deadline} from '../model/deadline.js';
import {PeerUnavailableError} from '../model/errors.js';
import type {
	Acknowledgement, DocumentUpdate, KnownVersions, LoadReport, PeerConfirmation, PeerNetwork, ServerProbeResult,
} from '../model/peer.js';
import {readJsonAnswer} from '../transport/json-answer.js';
import {limitProvisionalAnswers} from '../transport/provisional-answers.js';
import {limitedConnector} from '../transport/small-reads.js';
import type {ControlRouter} from './control-router.js';

type Client = TRPCClient<ControlRouter>;

type FetchInit = Parameters<typeof fetch>[1];

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 1000;

/** Maximum size of the body of an answer, in bytes: of all documents, which have up to a megabyte each, and of the short answers. */
const maxAnswerBytes = {documents: 67_108_864, short: 1_048_576};

/** Procedures with short answers. */
const shortProcedures = /\/(?:confirmDocuments|publish|probeServer|announceLeaving)(?:\?|$)/v;

/** Returns the control addresses of the other daemons. */
export type PeerAddresses = () => Array<{id: string; address: string}>;

/**
 * Minimal replacement for fetch, whose header and stream objects cost more than the call itself.
 */
async function minimalFetch(url: string, init: FetchInit, agent: Agent): Promise<Response> {
	const answer = await request(url, {
		method: init?.method as 'GET' | 'POST',
		headers: init?.headers as Record<string, string>,
		body: init?.body as string | undefined,
		signal: init?.signal,
		dispatcher: agent,
		onInfo: limitProvisionalAnswers(),
	});
	const result = {
		ok: answer.statusCode < 400, status: answer.statusCode, json: async () => readJsonAnswer(answer.body, shortProcedures.test(url) ? maxAnswerBytes.short : maxAnswerBytes.documents),
	};
	return result as unknown as Response;
}

/** Creates a client for the control interface at an address. */
export function createControlClient(address: string, credential: string, agent: Agent): Client {
	return createTRPCClient<ControlRouter>({
		links: [httpLink({
			url: `http://${address}`,
			headers: {authorization: `Bearer ${credential}`},
			fetch: async (input, init) => minimalFetch(input as string, init, agent),
		})],
	});
}

/** Calls the other daemons over persistent connections. */
export class TrpcPeers implements PeerNetwork {
	private readonly agent = new Agent({connections: 4, keepAliveTimeout: 30_000, connect: limitedConnector({timeout: connectTimeoutMs})});
	private readonly clients = new Map<string, Client>();

	constructor(private readonly addresses: PeerAddresses, private readonly secret: string, private readonly ownId: string) {}

	members(): string[] {
		return this.addresses().map(({id}) => id);
	}

	async confirm(daemon: string, deadline: Deadline): Promise<PeerConfirmation> {
		return this.call(daemon, deadline, async (client, signal) => client.confirmDocuments.query(undefined, {signal}));
	}

	async fetchDocuments(daemon: string, known: KnownVersions, deadline: Deadline): Promise<DocumentUpdate> {
		return this.call(daemon, deadline, async (client, signal) => client.fetchDocuments.query(known, {signal}) as Promise<DocumentUpdate>);
	}

	async publish(daemon: string, assignment: Stored<Assignment>, deadline: Deadline): Promise<Acknowledgement> {
		return this.call(daemon, deadline, async (client, signal) => client.publish.mutate(assignment, {signal}));
	}

	async probeServer(daemon: string, server: string, deadline: Deadline): Promise<ServerProbeResult> {
		return this.call(daemon, deadline, async (client, signal) => client.probeServer.query({server}, {signal}));
	}

	async announceLeaving(daemon: string, deadline: Deadline): Promise<void> {
		await this.call(daemon, deadline, async (client, signal) => client.announceLeaving.mutate({daemon: this.ownId}, {signal}));
	}

	async loadReport(daemon: string, service: string, deadline: Deadline): Promise<LoadReport> {
		return this.call(daemon, deadline, async (client, signal) => client.loadReport.mutate({service}, {signal}));
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async call<Result>(daemon: string, deadline: Deadline, operation: (client: Client, signal: AbortSignal) => Promise<Result>): Promise<Result> {
		const client = this.clientOf(daemon);
		try {
			return await deadline.run(async signal => operation(client, signal));
		} catch (error) {
			if (error instanceof TRPCClientError) {
				throw new PeerUnavailableError(daemon, describeCause(error));
			}

			throw error;
		}
	}

	private clientOf(daemon: string): Client {
		const address = this.addresses().find(candidate => candidate.id === daemon)?.address;
		if (address === undefined) {
			throw new PeerUnavailableError(daemon, 'it is not in the VM list');
		}

		let client = this.clients.get(address);
		if (!client) {
			client = createControlClient(address, this.secret, this.agent);
			this.clients.set(address, client);
		}

		return client;
	}
}

function describeCause(error: Error): string {
	const cause = error.cause as {message?: string; cause?: {code?: string}} | undefined;
	return cause?.cause?.code ?? cause?.message ?? error.message;
}
