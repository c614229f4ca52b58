/**
 * A caller that sends one request after another on a connection that it keeps open, for as long as the daemon does.
 */
import {Agent, request as httpRequest, type IncomingMessage} from 'node:http';
import {WireHeader} from '../src/platform/wire.js';

/** A request and how it ended. */
export type CallerExchange = {
	requestId: string;
	/** Monotonic times in milliseconds. */
	sentAt: number;
	endedAt: number;
	/** Status of the complete answer; undefined if the connection ended without one. */
	status: number | undefined;
};

export type KeptConnectionOptions = {
	name: string;
	/** Address of the daemon. */
	address: string;
	method: 'GET' | 'POST';
	path: string | ((requestId: string) => string);
	host: string;
	budgetMs: number;
	/** Pause between an answer and the next request, in milliseconds. */
	pauseMs: number;
};

/** Opens connections one after another, because a daemon that stops asks callers to close theirs. */
export class KeptConnection {
	readonly exchanges: CallerExchange[] = [];
	private readonly agent = new Agent({keepAlive: true, maxSockets: 1});
	private isStopped = false;
	private readonly ended: Promise<void>;

	constructor(private readonly options: KeptConnectionOptions) {
		this.ended = this.run();
	}

	/** Sends no further request, and waits for the answer to the last one. */
	async stop(): Promise<void> {
		this.isStopped = true;
		await this.ended;
		this.agent.destroy();
	}

	private async run(): Promise<void> {
		while (!this.isStopped) {
			// eslint-disable-next-line no-await-in-loop -- one request after another.
			this.exchanges.push(await this.exchange());
			// eslint-disable-next-line no-await-in-loop -- see above.
			await new Promise(resolve => {
				setTimeout(resolve, this.options.pauseMs);
			});
		}
	}

	private async exchange(): Promise<CallerExchange> {
		const {name, address, method, path, host, budgetMs} = this.options;
		const requestId = `${name}-${this.exchanges.length + 1}`;
		const sentAt = performance.now();
		const status = await new Promise<number | undefined>(resolve => {
			const request = httpRequest(`http://${address}${typeof path === 'string' ? path : path(requestId)}`, {
				agent: this.agent, method, headers: {host, [WireHeader.RequestId]: requestId, [WireHeader.Budget]: String(budgetMs)},
			}, response => {
				void readWhole(response).then(resolve);
			});
			// The connection ended without an answer, or could not be opened.
			request.once('error', () => {
				resolve(undefined);
			});
			request.end(method === 'POST' ? '{}' : undefined);
		});
		return {
			requestId, sentAt, endedAt: performance.now(), status,
		};
	}
}

async function readWhole(response: IncomingMessage): Promise<number | undefined> {
	response.resume();
	return new Promise(resolve => {
		response.once('close', () => {
			resolve(response.complete ? response.statusCode : undefined);
		});
	});
}
