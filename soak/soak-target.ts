/**
 * One life of a target in a soak: records what it holds and runs, and carries out its faults.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {KeyGrant, KeyOrder} from '../src/model/key-orders.js';
import {WireHeader} from '../src/platform/wire.js';
import {sendJson} from '../standins/json-http.js';
import type {MemoryCoordinationStore} from '../standins/memory-coordination-store.js';
import {HoldStart, type LateOrders} from '../standins/late-orders.js';
import {platformPorts} from '../standins/platform-settings.js';
import {healthPath, PlatformTargetServer} from '../standins/platform-target-server.js';
import {daemonOfTargetEnd, targetEndIp, targetIp} from './addresses.js';
import type {HoldLedger} from './hold-ledger.js';
import {RunEnd, type RunRecord, type Trace} from './trace.js';
import {bodyOf, sealOf, ServiceName} from './traffic.js';

/** Requests that a target runs at a time by its entry. */
const slots = 12;

/** Interval at which a release checks whether work on its keys has ended, in milliseconds. */
const releasePollMs = 10;

/** Statuses of answers to refused runs; each would promise that the request has not run. */
const refusalStatuses = [503, 429, 408];

/** What a fault does to a target; absent fields do nothing. */
export type Trouble = {
	/** Factor of the time that requests take. */
	slowness?: number;
	/** Share of the requests that are answered after the run as if they had not run. */
	refusedShare?: number;
	/** Requests and orders are carried out, but their answers are lost. */
	losesAnswers?: boolean;
	/** Orders are lost. */
	isDeaf?: boolean;
	/** Probes of the target's identity get no answer. */
	ignoresProbes?: boolean;
	lateOrders?: LateOrders;
};

/** Place of a target. */
export type SoakTargetOptions = {
	network: string;
	index: number;
	id: string;
	isKeyed: boolean;
	daemonCount: number;
	/** Number of the life, from 1. */
	life: number;
};

/** Time from an order's call until it is carried out, in milliseconds; above 0, it gets no answer. */
type Delivery = {latenessMs: number; holdStart: HoldStart};

/** Serves one target at an address for each daemon. */
export class SoakTarget extends PlatformTargetServer {
	/** Troubles that are in force; several can overlap. */
	readonly troubles = new Set<Trouble>();
	/** Time at which the last late order is carried out. */
	ordersUntil = 0;
	readonly name: string;
	private readonly runs = new Set<RunRecord>();
	private answerCount = 0;

	constructor(private readonly place: SoakTargetOptions, store: MemoryCoordinationStore, private readonly trace: Trace, private readonly ledger: HoldLedger) {
		super({
			id: place.id,
			service: place.isKeyed ? ServiceName.Keyed : ServiceName.Plain,
			ip: targetIp(place.network, place.index),
			port: platformPorts.target,
			workMs: 0,
			isKeyed: place.isKeyed,
			slots,
			onRun: () => undefined,
		}, store);
		this.name = `${place.id}#${place.life}`;
	}

	private get slowness(): number {
		return Math.max(1, ...[...this.troubles].map(({slowness = 1}) => slowness));
	}

	override async listenAt(): Promise<void> {
		for (let daemon = 0; daemon < this.place.daemonCount; daemon += 1) {
			// eslint-disable-next-line no-await-in-loop -- one after another.
			await super.listenAt(targetEndIp(this.place.network, daemon, this.place.index));
		}
	}

	override close(): void {
		const now = performance.now();
		this.ledger.recordEnd(this.name, now);
		for (const run of this.runs) {
			this.endRun(run, RunEnd.Failed);
		}

		super.close();
	}

	protected override async handle(request: IncomingMessage, response: ServerResponse, body: unknown): Promise<void> {
		if (!this.isIn('ignoresProbes') || request.url !== healthPath) {
			await super.handle(request, response, body);
		}
	}

	protected override grant(response: ServerResponse, grant: KeyGrant): void {
		const daemon = daemonOf(response);
		const calledAt = performance.now();
		this.deliver(response, ({latenessMs, holdStart}) => {
			const from = performance.now();
			const arrivedAt = holdStart === HoldStart.Execution ? from : calledAt;
			const before = this.holder.grantCount;
			super.grant(response, grant, arrivedAt);
			if (this.holder.grantCount > before) {
				this.ledger.recordGrant({
					...grant.range, holder: this.name, target: this.place.index, daemon, fence: grant.fence, latenessMs, arrivedAt, from, expiresAt: arrivedAt + grant.holdDurationMs,
				});
			}
		});
	}

	protected override async release(response: ServerResponse, order: KeyOrder): Promise<void> {
		this.deliver(response, () => {
			const handover = this.holder.release(order);
			this.ledger.recordRelease(this.name, order.range, performance.now());
			this.answerRelease(response, order, handover);
		});
	}

	protected override async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const requestId = String(request.headers[WireHeader.RequestId] ?? '');
		const keyText = request.headers[WireHeader.Key];
		const key = keyText === undefined ? undefined : Number(keyText);
		if (!this.accepts(request, key)) {
			sendJson(response, 421, {}, {[WireHeader.RequestId]: requestId, [WireHeader.NotRun]: '1', [WireHeader.Target]: this.options.id});
			return;
		}

		const run: RunRecord = {
			requestId,
			target: this.place.index,
			holder: this.name,
			daemon: daemonOf(response),
			key: this.options.isKeyed ? key : undefined,
			startedAt: performance.now(),
			endedAt: undefined,
			end: undefined,
		};
		this.trace.addRun(run);
		this.runs.add(run);
		this.ledger.recordRunStart(run);
		response.once('close', () => {
			this.endRun(run, response.writableFinished ? RunEnd.Answered : RunEnd.BrokenOff);
		});
		const [workMs = '0', bodyBytes = '0'] = (request.url ?? '').split('/').slice(2);
		const budgetMs = Number(request.headers[WireHeader.Budget] ?? Infinity);
		await new Promise(resolve => {
			setTimeout(resolve, Math.min(Number(workMs) * this.slowness, budgetMs));
		});
		if (run.end === undefined) {
			this.answer(response, run, {isLate: Number(workMs) * this.slowness > budgetMs, bodyBytes: Number(bodyBytes)});
		}
	}

	private accepts(request: IncomingMessage, key: number | undefined): boolean {
		const isExpected = request.headers[WireHeader.ExpectedTarget] === this.options.id && !this.holder.isStopped;
		return isExpected && (!this.options.isKeyed || (key !== undefined && this.holder.isHolding(key)));
	}

	private answer(response: ServerResponse, run: RunRecord, {isLate, bodyBytes}: {isLate: boolean; bodyBytes: number}): void {
		if (this.isIn('losesAnswers')) {
			this.endRun(run, RunEnd.Failed);
			response.destroy();
			return;
		}

		// Work that outlasts its hold fails.
		const hasLostKey = run.key !== undefined && !this.holder.isHolding(run.key);
		const status = isLate ? 504 : (hasLostKey ? 500 : this.drawStatus());
		const body = bodyOf(run.requestId, status === 200 ? bodyBytes : 0);
		response.writeHead(status, {
			[WireHeader.RequestId]: run.requestId, [WireHeader.Seal]: sealOf(run.requestId, status, body), 'content-length': String(body.length),
		});
		response.end(body);
	}

	/** Spreads the refused runs evenly and takes the statuses in turn. */
	private drawStatus(): number {
		const share = Math.max(0, ...[...this.troubles].map(({refusedShare = 0}) => refusedShare));
		const refusedCount = Math.floor(this.answerCount * share);
		this.answerCount += 1;
		return Math.floor(this.answerCount * share) > refusedCount ? refusalStatuses[refusedCount % refusalStatuses.length] : 200;
	}

	private endRun(run: RunRecord, end: RunEnd): void {
		this.runs.delete(run);
		this.ledger.recordRunEnd(run);
		if (run.end === undefined) {
			run.end = end;
			run.endedAt = performance.now();
		}
	}

	/** Carries out an order, now or late, unless it is lost or this life has ended; without an answer if it is late or answers are lost. */
	private deliver(response: ServerResponse, order: (delivery: Delivery) => void): void {
		if (this.isIn('isDeaf')) {
			return;
		}

		const delivery = this.drawDelivery();
		const {latenessMs} = delivery;
		const carryOut = (): void => {
			if (this.holder.isStopped) {
				return;
			}

			if (this.isIn('losesAnswers') || latenessMs > 0) {
				response.destroy();
			}

			order(delivery);
		};

		if (latenessMs === 0) {
			carryOut();
			return;
		}

		this.ordersUntil = Math.max(this.ordersUntil, performance.now() + latenessMs);
		setTimeout(carryOut, latenessMs);
	}

	private isIn(trouble: 'losesAnswers' | 'isDeaf' | 'ignoresProbes'): boolean {
		return [...this.troubles].some(item => item[trouble]);
	}

	/** The last of several troubles with late orders applies. */
	private drawDelivery(): Delivery {
		const late = [...this.troubles].findLast(({lateOrders}) => lateOrders)?.lateOrders;
		return {latenessMs: late?.draw(false) ?? 0, holdStart: late?.holdStart ?? HoldStart.Arrival};
	}

	/** Answers when work on the released keys has ended. */
	private answerRelease(response: ServerResponse, order: KeyOrder, handover: string): void {
		const {range: {first, last}} = order;
		if ([...this.runs].some(({key}) => key !== undefined && key >= first && key <= last)) {
			setTimeout(() => {
				this.answerRelease(response, order, handover);
			}, releasePollMs);
			return;
		}

		sendJson(response, 200, {}, {[WireHeader.Handover]: handover});
	}
}

function daemonOf(response: ServerResponse): number {
	return daemonOfTargetEnd(response.socket?.localAddress ?? '');
}
