/**
 * Stand-in of a server: the target contract over HTTP, with slots, a queue and an execution time that a request can
 * override to become a straggler.
 */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {ContractHeader, contractPaths, notRunOutcome} from '../src/model/headers.js';
import type {GrantOrder} from '../src/model/target.js';
import {listenJson, sendJson} from './json-http.js';
import {TargetModel, TargetRefusal, type TargetOptions} from './target-model.js';

/** Options of the stand-in. */
export type TargetServerOptions = TargetOptions & {
	/**
	 * Execution time of a request in milliseconds; the query parameter "work" overrides it. The parameter "bytes" asks for a longer
	 * answer.
	 */
	workMs: number;
	/** Time that warming keys takes, in milliseconds. */
	warmMs: number;
};

/** Serves requests on loopback. */
export class TargetServer {
	readonly model: TargetModel;
	private readonly incarnation: string = randomUUID();
	private server: Server | undefined;

	constructor(readonly id: string, private readonly options: TargetServerOptions) {
		this.model = new TargetModel(id, options);
	}

	async listen(port: number): Promise<void> {
		this.server = await listenJson(port, async (request, response, body) => {
			switch (request.url ?? '') {
				case contractPaths.health: {
					sendJson(response, 200, {leaving: this.model.isLeaving, load: this.model.load, incarnation: this.incarnation});
					return;
				}

				case contractPaths.grants: {
					const receipt = this.model.applyOrder(body as GrantOrder);
					sendJson(response, receipt ? 200 : 409, receipt ?? {});
					return;
				}

				case contractPaths.warm: {
					await delay(this.options.warmMs);
					sendJson(response, 200, {});
					return;
				}

				case '/standin/executions': {
					sendJson(response, 200, this.model.executions);
					return;
				}

				default: {
					await this.execute(request, response, body);
				}
			}
		});
	}

	async close(): Promise<void> {
		this.server?.closeAllConnections();
		await new Promise(resolve => {
			this.server?.close(resolve);
		});
	}

	private async execute(request: IncomingMessage, response: ServerResponse, body: unknown): Promise<void> {
		const {headers} = request;
		const numericHeader = (header: ContractHeader) => headers[header] === undefined ? undefined : Number(headers[header]);
		const url = new URL(request.url ?? '/', 'http://target');
		const execution = await this.model.begin({
			service: String(headers[ContractHeader.Service] ?? ''),
			shard: numericHeader(ContractHeader.Shard),
			epoch: numericHeader(ContractHeader.Epoch),
			startByMs: numericHeader(ContractHeader.StartBy),
			instructionId: headers[ContractHeader.InstructionId] as string | undefined,
			key: url.pathname,
			idempotent: request.method === 'GET',
		});
		if (typeof execution === 'string') {
			refuse(response, execution);
			return;
		}

		await delay(Number(url.searchParams.get('work') ?? this.options.workMs));
		this.model.end(execution);
		sendJson(response, 200, {
			server: this.id, path: url.pathname, received: body, padding: '.'.repeat(Number(url.searchParams.get('bytes') ?? 0)),
		});
	}
}

function refuse(response: ServerResponse, refusal: TargetRefusal): void {
	const status = refusal === TargetRefusal.Fenced ? 409 : 503;
	sendJson(response, status, {refusal}, {
		[ContractHeader.Outcome]: notRunOutcome,
		[ContractHeader.Reason]: refusal,
		'retry-after': '1',
	});
}

async function delay(durationMs: number): Promise<void> {
	if (durationMs <= 0) {
		return;
	}

	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
