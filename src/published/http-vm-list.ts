/**
 * Reads the platform's VM list as JSON over HTTP.
 */
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {Deadline} from '../model/deadline.js';
import {RouterError, ErrorCode} from '../model/errors.js';
import {
	VmRole, VmState, type Vm, type VmList,
} from '../model/vm-list.js';
import {readJsonAnswer} from '../transport/json-answer.js';
import {limitProvisionalAnswers} from '../transport/provisional-answers.js';

/** Maximum size of the list, in bytes; a VM takes about 150. */
const maxListBytes = 1_048_576;

const vmListSchema = z.object({
	vms: z.array(z.object({
		id: z.string(), role: z.enum(VmRole), address: z.string(), gateway: z.string().optional(), zone: z.string(), state: z.enum(VmState),
	})),
});

/** Reads the VM list from a URL. */
export class HttpVmList implements VmList {
	private readonly agent = new Agent({connections: 1});

	constructor(private readonly url: string) {}

	async read(deadline: Deadline): Promise<Vm[]> {
		return deadline.run(async signal => {
			const answer = await request(this.url, {dispatcher: this.agent, signal, onInfo: limitProvisionalAnswers()});
			if (answer.statusCode !== 200) {
				await answer.body.dump();
				throw new RouterError(ErrorCode.StoreUnavailable, `The VM list answered with status ${answer.statusCode}.`);
			}

			return vmListSchema.parse(await readJsonAnswer(answer.body, maxListBytes)).vms;
		});
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}
}
