/**
 * Behaviour of a server that owns keys, without sockets: grants, epochs, start-by deadlines and a record of executions.
 */
import type {GrantOrder, GrantReceipt} from '../src/model/target.js';

/** A request as the server receives it. */
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

/** Record of one execution, for tests. */
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

/** Reason why a server does not run a request. */
export enum TargetRefusal {
	Fenced = 'fenced',
	Late = 'late',
	Leaving = 'leaving',
	Shed = 'shed',
}

/** Options of the model. */
export type TargetOptions = {
	/** False for servers that check neither epochs nor start-by deadlines. */
	hasFencing: boolean;
	slots: number;
	/** Number of requests that wait for a slot before the server sheds further ones. */
	queue: number;
};

/** State of one server. */
export class TargetModel {
	readonly executions: Execution[] = [];
	isLeaving = false;
	private term = 0;
	private readonly epochs = new Map<number, number>();
	private readonly executing = new Set<Execution>();
	private readonly slotWaiters: Array<() => void> = [];
	private running = 0;

	constructor(readonly id: string, private readonly options: TargetOptions) {}

	get load(): number {
		return this.running + this.slotWaiters.length;
	}

	/** Applies an order; refuses it with undefined if its term is lower than that of an earlier order. */
	applyOrder({term, grants, revocations}: GrantOrder): GrantReceipt | undefined {
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

	/** Discards grants and work, as a restarted server does. */
	restart(): void {
		this.epochs.clear();
		this.term = 0;
		this.executing.clear();
		this.slotWaiters.length = 0;
		this.running = 0;
	}

	/** Checked on arrival and again before the start, since the grant may be revoked or the deadline pass during the wait. */
	checkRequest(request: TargetRequest): TargetRefusal | undefined {
		if (this.isLeaving) {
			return TargetRefusal.Leaving;
		}

		if (!this.options.hasFencing) {
			return undefined;
		}

		if (request.startByMs !== undefined && Date.now() > request.startByMs) {
			return TargetRefusal.Late;
		}

		const isGranted = request.shard === undefined || this.epochs.get(request.shard) === request.epoch;
		return isGranted ? undefined : TargetRefusal.Fenced;
	}

	/** Waits for a slot and starts the execution, or returns the reason why it does not run. */
	async begin(request: TargetRequest): Promise<Execution | TargetRefusal> {
		const refusalOnArrival = this.checkRequest(request) ?? (this.isFull() ? TargetRefusal.Shed : undefined);
		if (refusalOnArrival) {
			return refusalOnArrival;
		}

		await this.acquireSlot();
		const refusalAtStart = this.checkRequest(request);
		if (refusalAtStart) {
			this.releaseSlot();
			return refusalAtStart;
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
		this.releaseSlot();
	}

	private isFull(): boolean {
		return this.running >= this.options.slots && this.slotWaiters.length >= this.options.queue;
	}

	private async acquireSlot(): Promise<void> {
		if (this.running < this.options.slots) {
			this.running += 1;
			return;
		}

		await new Promise<void>(resolve => {
			this.slotWaiters.push(resolve);
		});
	}

	private releaseSlot(): void {
		const next = this.slotWaiters.shift();
		if (next) {
			next();
			return;
		}

		this.running -= 1;
	}
}
