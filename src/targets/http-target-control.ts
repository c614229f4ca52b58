/**
 * Control calls to servers over HTTP, as specified in docs/targets.md.
 */
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {Server} from '../model/configuration.js';
import type {Deadline} from '../model/deadline.js';
import {TargetUnavailableError} from '../model/errors.js';
import {contractPaths} from '../model/headers.js';
import type {
	GrantOrder, GrantReceipt, ServerHealth, TargetControl,
} from '../model/target.js';
import {readJsonAnswer} from '../transport/json-answer.js';
import {limitProvisionalAnswers} from '../transport/provisional-answers.js';
import {limitedConnector} from '../transport/small-reads.js';

const healthSchema = z.object({
	leaving: z.boolean().default(false),
	load: z.number().default(0),
	incarnation: z.string().default(''),
});
const receiptSchema = z.object({executing: z.number().int().nonnegative().default(0)});

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 1000;

/** Maximum size of the body of an answer, in bytes. Answers have a few dozen. */
const maxAnswerBytes = 65_536;

/** Error codes that show that no process is listening at the server's address. */
const refusedErrorCodes = new Set(['ECONNREFUSED', 'ECONNRESET', 'UND_ERR_SOCKET']);

/** Sends control calls on separate connections, so that a busy data path does not delay them. */
export class HttpTargetControl implements TargetControl {
	private readonly agent = new Agent({connections: 2, connect: limitedConnector({timeout: connectTimeoutMs})});

	async probe(server: Server, deadline: Deadline): Promise<ServerHealth> {
		return healthSchema.parse(await this.call(server, 'GET', contractPaths.health, {deadline}));
	}

	async grant(server: Server, order: GrantOrder, deadline: Deadline): Promise<GrantReceipt> {
		return receiptSchema.parse(await this.call(server, 'PUT', contractPaths.grants, {deadline, body: order}));
	}

	async warm(server: Server, service: string, shards: number[], deadline: Deadline): Promise<void> {
		await this.call(server, 'PUT', contractPaths.warm, {deadline, body: {service, shards}});
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async call(server: Server, method: 'GET' | 'PUT', path: string, options: {deadline: Deadline; body?: unknown}): Promise<unknown> {
		const {deadline, body} = options;
		try {
			return await deadline.run(async signal => {
				const answer = await request(`http://${server.address}${path}`, {
					method,
					headers: {'content-type': 'application/json'},
					body: body === undefined ? undefined : JSON.stringify(body),
					dispatcher: this.agent,
					onInfo: limitProvisionalAnswers(),
					signal,
				});
				if (answer.statusCode !== 200) {
					await answer.body.dump();
					throw new TargetUnavailableError(server.id, `status ${answer.statusCode}`);
				}

				return readJsonAnswer(answer.body, maxAnswerBytes);
			});
		} catch (error) {
			if (error instanceof TargetUnavailableError) {
				throw error;
			}

			const code = (error as {code?: string}).code ?? String(error);
			throw new TargetUnavailableError(server.id, code, refusedErrorCodes.has(code));
		}
	}
}
