/**
 * Access of the daemons to the servers of a fake deployment.
 */
import type {Server} from '../src/model/configuration.js';
import {type Deadline, Deadline as DeadlineClass} from '../src/model/deadline.js';
import {NotRunReason, TargetUnavailableError} from '../src/model/errors.js';
import {
	AttemptEnd, type Attempt, type AttemptResult, type RequestTransport, type RoutedRequest,
} from '../src/model/request.js';
import type {
	GrantOrder, GrantReceipt, ServerHealth, TargetControl,
} from '../src/model/target.js';
import type {FakeNetwork} from './fake-network.js';
import {TargetRefusal, type TargetModel} from './target-model.js';

/** Header of a fake request with its execution time in milliseconds. */
export const workHeader = 'work-ms';

/** Header of a fake request with its id. */
export const requestIdHeader = 'request-id';

function headerOf(headers: string[], name: string): string | undefined {
	const index = headers.indexOf(name);
	return index === -1 ? undefined : headers[index + 1];
}

/** Callbacks through which a scenario observes the servers. */
export type TargetObserver = {
	onOrder: (server: string, order: GrantOrder) => void;
	/** Called when a server no longer executes requests for revoked shards. */
	onDrained: (server: string) => void;
	onSend: (server: string) => void;
	onExecute: (server: string) => void;
};

/** Sends control calls and requests of one daemon to the servers. */
export class FakeTargets implements TargetControl, RequestTransport {
	constructor(
		private readonly daemon: string,
		private readonly network: FakeNetwork,
		private readonly models: Map<string, TargetModel>,
		private readonly observer: TargetObserver,
	) {}

	async probe(server: Server, deadline: Deadline): Promise<ServerHealth> {
		return this.call(server, deadline, model => ({leaving: model.isLeaving, load: model.load, incarnation: ''}));
	}

	async grant(server: Server, order: GrantOrder, deadline: Deadline): Promise<GrantReceipt> {
		this.observer.onOrder(server.id, order);
		return this.call(server, deadline, model => {
			const receipt = model.applyOrder(order);
			if (!receipt) {
				throw new TargetUnavailableError(server.id, 'lower term');
			}

			if (order.revocations.length > 0 && receipt.executing === 0) {
				this.observer.onDrained(server.id);
			}

			return receipt;
		}, true);
	}

	async warm(server: Server, _service: string, _shards: number[], deadline: Deadline): Promise<void> {
		await this.call(server, deadline, () => undefined);
	}

	async send(request: RoutedRequest, attempt: Attempt): Promise<AttemptResult> {
		const reason = attempt.guard();
		if (reason) {
			return {end: AttemptEnd.NotRun, reason, bodyUsed: false};
		}

		const server = attempt.server.id;
		this.observer.onSend(server);
		return new Promise(resolve => {
			const onAbort = () => {
				resolve({end: AttemptEnd.Ambiguous, bodyUsed: false});
			};

			attempt.cancellation.subscribe(onAbort);
			const exchange = async () => {
				const result = await this.exchange(request, attempt);
				attempt.cancellation.unsubscribe(onAbort);
				resolve(result);
			};

			void exchange();
		});
	}

	private async exchange(request: RoutedRequest, attempt: Attempt): Promise<AttemptResult> {
		try {
			const deadline = DeadlineClass.after(attempt.timeoutMs, 'answer');
			const refusal = await this.call(attempt.server, deadline, async model => this.execute(model, request, attempt));
			if (!refusal) {
				return {end: AttemptEnd.Completed, status: 200, bodyUsed: false};
			}

			return {end: AttemptEnd.NotRun, reason: refusal === TargetRefusal.Fenced ? NotRunReason.Fenced : NotRunReason.Shed, bodyUsed: false};
		} catch (error) {
			const refused = error instanceof TargetUnavailableError && error.refused;
			return refused
				? {
					end: AttemptEnd.NotRun, reason: NotRunReason.Connect, refused, bodyUsed: false,
				}
				: {end: AttemptEnd.Ambiguous, bodyUsed: false};
		}
	}

	private async execute(model: TargetModel, request: RoutedRequest, attempt: Attempt): Promise<TargetRefusal | undefined> {
		const execution = await model.begin({
			service: request.service.name,
			shard: attempt.shard,
			epoch: attempt.epoch,
			startByMs: attempt.startByMs,
			instructionId: headerOf(request.headers, requestIdHeader),
			key: request.key ?? '',
			idempotent: request.requestClass.idempotent,
		});
		if (typeof execution === 'string') {
			return execution;
		}

		this.observer.onExecute(model.id);
		await new Promise<void>(resolve => {
			setTimeout(() => {
				// A paused server finishes its work after it resumes.
				this.network.whenRunning(model.id, resolve);
			}, Number(headerOf(request.headers, workHeader) ?? 1));
		});
		model.end(execution);
		return undefined;
	}

	private async call<Result>(server: Pick<Server, 'id'>, deadline: Deadline, operation: (model: TargetModel) => Result | Promise<Result>, canBeDuplicated = false): Promise<Result> {
		const model = this.models.get(server.id)!;
		return this.network.call({
			from: this.daemon,
			to: server.id,
			deadline,
			operation: async () => operation(model),
			canBeDuplicated,
			refused: () => new TargetUnavailableError(server.id, 'refused', true),
		});
	}
}
