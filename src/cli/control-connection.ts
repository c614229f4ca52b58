/**
 * Connections from the command line to daemons.
 */
import {Agent} from 'undici';
import {createControlClient} from '../peers/trpc-peers.js';
import type {DaemonStatus} from '../model/peer.js';
import type {BurnSample} from '../model/burn.js';

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 2000;

type Client = ReturnType<typeof createControlClient>;

/** Answer of one daemon to a query, or the reason why there is none. */
export type DaemonAnswer<Result> = {
	daemon: string;
	result?: Result;
	failure?: string;
};

/** A connection to one daemon, which also returns the addresses of the others. */
export class ControlConnection {
	readonly client: Client;
	private readonly agent = new Agent({connectTimeout: connectTimeoutMs, headersTimeout: 10_000});

	constructor(private readonly address: string, private readonly credential: string) {
		this.client = createControlClient(address, credential, this.agent);
	}

	/** Reads the state of every daemon. */
	async statusOfAll(): Promise<Array<DaemonAnswer<DaemonStatus>>> {
		return this.queryAll(async client => client.status.query() as Promise<DaemonStatus>);
	}

	/** Reads the burn samples of every daemon. */
	async burnOfAll(): Promise<Array<DaemonAnswer<BurnSample[]>>> {
		return this.queryAll(async client => client.burn.query());
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async queryAll<Result>(query: (client: Client) => Promise<Result>): Promise<Array<DaemonAnswer<Result>>> {
		const others = await this.client.peerAddresses.query();
		const connections = [
			{daemon: this.address, client: this.client},
			...others.map(({daemon, address}) => ({daemon, client: createControlClient(address, this.credential, this.agent)})),
		];
		return Promise.all(connections.map(async ({daemon, client}) => {
			try {
				return {daemon, result: await query(client)};
			} catch (error) {
				return {daemon, failure: error instanceof Error ? error.message : String(error)};
			}
		}));
	}
}
