/**
 * Behaviour of a server that owns keys, without sockets: grants, epochs, start-by deadlines and a record of executions.
 */
import type {GrantOrder, GrantReceipt} from '../src/model/target.js';

/** A request as the server sees it. */
export type TargetRequest = {
	service: string;
	shard: number | undefined;
	epoch: number | undefined;
	/** Unix time in milliseconds. */
	startByMs: number | undefined;
	instructionId: string | undefined;
	key: string;
	idempotent: boolean;
};

/** One execution, as tests read it. */
export type Execution = {
	server: string;
	shard: number | undefined;
	epoch: number | undefined;
	instructionId: string | undefined;
	key: string;
	idempotent: boolean;
	startedAt: number;
	endedAt: number | undefined;
};

/** Why a server does not run a request. */
export enum TargetRefusal {
	Fenced = 'fenced',
	Late = 'late',
	Leaving = 'leaving',
	Shed = 'shed',
}

/** Options of the model. */
export type TargetOptions = {
	/** False for servers that check neither epochs nor start-by deadlines. */
	checks: boolean;
	slots: number;
	/** Requests that wait beyond the slots before the server sheds. */
	queue: number;
};

/** A server's state. */
export class TargetModel {
	readonly executions: Execution[] = [];
	isLeaving = false;
	private term = 0;
	private readonly epochs = new Map<number, number>();
	private readonly executing = new Set<Execution>();
	private readonly waiting: Array<() => void> = [];
	private running = 0;

	constructor(readonly id: string, private readonly options: TargetOptions) {}

	get load(): number {
		return this.running + this.waiting.length;
	}

	/** Applies an order unless its term is lower than one seen before; undefined stands for a refusal. */
	order({term, grants, revocations}: GrantOrder): GrantReceipt | undefined {
		if (term < this.term) {
			return undefined;
		}

		this.term = term;
		for (const {shard, epoch} of grants) {
			this.epochs.set(shard, Math.max(epoch, this.epochs.get(shard) ?? 0));
		}

		for (const {shard, epoch} of revocations) {
			if ((this.epochs.get(shard) ?? 0) <= epoch) {
				this.epochs.delete(shard);
			}
		}

		const revoked = new Set(revocations.map(({shard}) => shard));
		const executing = [...this.executing].filter(({shard}) => shard !== undefined && revoked.has(shard)).length;
		return {executing};
	}

	/** Forgets grants and work, as a restarted server does. */
	restart(): void {
		this.epochs.clear();
		this.term = 0;
		this.executing.clear();
		this.waiting.length = 0;
		this.running = 0;
	}

	/** Decides on arrival and again before the start. */
	refusal(request: TargetRequest): TargetRefusal | undefined {
		if (this.isLeaving) {
			return TargetRefusal.Leaving;
		}

		if (!this.options.checks) {
			return undefined;
		}

		if (request.startByMs !== undefined && Date.now() > request.startByMs) {
			return TargetRefusal.Late;
		}

		const isGranted = request.shard === undefined || this.epochs.get(request.shard) === request.epoch;
		return isGranted ? undefined : TargetRefusal.Fenced;
	}

	/** Waits for a slot and starts the execution, or tells why it does not run. */
	async begin(request: TargetRequest): Promise<Execution | TargetRefusal> {
		const refusal = this.refusal(request) ?? (this.isFull() ? TargetRefusal.Shed : undefined);
		if (refusal) {
			return refusal;
		}

		await this.takeSlot();
		const later = this.refusal(request);
		if (later) {
			this.giveSlot();
			return later;
		}

		const {shard, epoch, instructionId, key, idempotent} = request;
		const execution: Execution = {
			server: this.id, shard, epoch, instructionId, key, idempotent, startedAt: performance.now(), endedAt: undefined,
		};
		this.executions.push(execution);
		this.executing.add(execution);
		return execution;
	}

	end(execution: Execution): void {
		execution.endedAt = performance.now();
		this.executing.delete(execution);
		this.giveSlot();
	}

	private isFull(): boolean {
		return this.running >= this.options.slots && this.waiting.length >= this.options.queue;
	}

	private async takeSlot(): Promise<void> {
		if (this.running < this.options.slots) {
			this.running += 1;
			return;
		}

		await new Promise<void>(resolve => {
			this.waiting.push(resolve);
		});
	}

	private giveSlot(): void {
		const next = this.waiting.shift();
		if (next) {
			next();
			return;
		}

		this.running -= 1;
	}
}
