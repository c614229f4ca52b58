/**
 * Stand-in of targets that hold keys: fencing tokens, holds and handovers, with faults in the delivery of orders.
 */
import {FenceRejectedError, OrderUnsentError, TargetUnavailableError} from '../src/model/errors.js';
import type {TargetIncarnation} from '../src/model/fleet.js';
import type {KeyGrant, KeyOrder, KeyOrders} from '../src/model/key-orders.js';
import {areOverlapping, subtractRange, type KeyRange} from '../src/model/key-ownership.js';
import {HoldStart, type LateOrders} from './late-orders.js';

/** Time until an order or its answer arrives, in milliseconds. */
const orderDelayMs = 1;

/** Link between the daemons and a target. Each property applies to the calls that use it from then on. */
export type OrderLink = {
	/** Time until a connection is open, in milliseconds. */
	connectMs: number;
	/** Time until an order arrives, in milliseconds; it arrives even if its sender has given up. */
	toTargetMs: number;
	/** Time until an answer arrives, in milliseconds. */
	toDaemonMs: number;
	losesAnswers: boolean;
};

type Hold = KeyRange & {
	fence: number;
	expiresAt: number;
};

/** State of a process that can be stopped and continued. */
class Suspension {
	/** Resolves once the process continues; undefined while it runs. */
	end: Promise<void> | undefined;
	private resume: (() => void) | undefined;

	get isActive(): boolean {
		return this.end !== undefined;
	}

	set isActive(isActive: boolean) {
		if (isActive) {
			this.end ??= new Promise(resolve => {
				this.resume = resolve;
			});
			return;
		}

		this.resume?.();
		this.end = undefined;
	}
}

/** One incarnation of a target. */
export class KeyHolder {
	/** True while orders do not reach the target, although it continues to serve requests. */
	isUnreachable = false;
	/** True if the target is to be cut off once it has been sent another order. */
	isCutAfterNextOrder = false;
	/** True once the process has ended; orders to it get no answer. */
	isStopped = false;
	/** True while connections are refused, as after the end of the process on a VM that still runs. */
	isRefusing = false;
	/** Orders to this target that get no answer and are carried out late. */
	lateOrders: LateOrders | undefined;
	/** Factor by which the clock of the target runs slow. */
	clockFactor = 1;
	link: OrderLink = {
		connectMs: 0, toTargetMs: orderDelayMs, toDaemonMs: orderDelayMs, losesAnswers: false,
	};

	/** While the target is suspended, orders wait in its sockets. */
	readonly suspension = new Suspension();
	/** Grants accepted by this incarnation. */
	grantCount = 0;
	private holds: Hold[] = [];
	private fencedRanges: Array<KeyRange & {fence: number}> = [];

	constructor(readonly incarnation: TargetIncarnation) {}

	/** True if the target runs requests for the key. */
	isHolding(key: number, now = performance.now()): boolean {
		return !this.isStopped && this.holds.some(({first, last, expiresAt}) => key >= first && key <= last && now < expiresAt);
	}

	fenceOf(key: number): number {
		return Math.max(0, ...this.fencedRanges.filter(({first, last}) => key >= first && key <= last).map(({fence}) => fence));
	}

	grant({range, fence, holdDurationMs}: KeyGrant, arrivedAt: number): void {
		if (this.fencedRanges.some(earlier => areOverlapping(earlier, range) && earlier.fence > fence)) {
			throw new FenceRejectedError(this.incarnation.id, fence);
		}

		this.grantCount += 1;
		this.rememberFence(range, fence);
		this.holds = this.holds.flatMap(hold => subtractRange(hold, range));
		this.holds.push({...range, fence, expiresAt: arrivedAt + (holdDurationMs * this.clockFactor)});
	}

	release({range, fence}: KeyOrder): string {
		this.rememberFence(range, fence);
		this.holds = this.holds.flatMap(hold => subtractRange(hold, range));
		return `handover-${range.first}`;
	}

	/** Drops only fences that the new one implies, so that no late order with a lower fence is accepted. */
	private rememberFence(range: KeyRange, fence: number): void {
		this.fencedRanges = this.fencedRanges.filter(earlier => earlier.fence > fence || earlier.first < range.first || earlier.last > range.last);
		this.fencedRanges.push({...range, fence});
	}
}

/** Delivers orders to the holders at the addresses of their targets. */
export class KeyHolderOrders implements KeyOrders {
	/** Ids of targets that only this daemon cannot reach. */
	readonly unreachable = new Set<string>();
	/** Time between a call and the sending of its order, in milliseconds, as with a busy event loop. Timeouts count from the sending. */
	sendDelayMs = 0;
	/** Orders of this daemon that get no answer and are carried out late. */
	lateOrders: LateOrders | undefined;
	/** While the daemon is suspended, it sends nothing and notices neither answers nor timeouts; what it has sent arrives. */
	private readonly suspension = new Suspension();

	constructor(private readonly holders: Map<string, KeyHolder>) {}

	get isSuspended(): boolean {
		return this.suspension.isActive;
	}

	set isSuspended(isSuspended: boolean) {
		this.suspension.isActive = isSuspended;
	}

	async grant(target: TargetIncarnation, grant: KeyGrant): Promise<void> {
		await this.call(target, grant, (holder, arrivedAt) => {
			holder.grant(grant, arrivedAt);
		});
	}

	async release(target: TargetIncarnation, order: KeyOrder): Promise<string | undefined> {
		return this.call(target, order, holder => holder.release(order));
	}

	async identify(target: TargetIncarnation, _healthPath: string, timeoutMs: number): Promise<string | undefined> {
		return this.call(target, {timeoutMs, isProbe: true}, holder => holder.incarnation.id);
	}

	close(): void {
		this.unreachable.clear();
	}

	private async call<Answer>(target: TargetIncarnation, {timeoutMs, mayBeSent, isProbe = false}: Call, carryOut: CarryOut<Answer>): Promise<Answer> {
		if (this.sendDelayMs > 0) {
			await pause(this.sendDelayMs);
		}

		await this.suspension.end;
		const holder = this.holders.get(target.address);
		if (!holder || holder.isRefusing) {
			await pause(orderDelayMs);
			throw new OrderUnsentError(target.id, 'the connection was refused');
		}

		const {connectMs} = holder.link;
		await pause(Math.min(connectMs, timeoutMs));
		await this.suspension.end;
		if (connectMs >= timeoutMs || mayBeSent?.() === false) {
			throw new OrderUnsentError(target.id, 'no connection in time');
		}

		const answer = await Promise.race([this.deliver(target, holder, {isProbe, carryOut}), pause(timeoutMs - connectMs)]);
		await this.suspension.end;
		if (!answer) {
			throw new TargetUnavailableError(target.id, 'no answer in time');
		}

		return answer();
	}

	/** Resolves once the answer arrives, with a function that returns or throws it. The connection ends with the process that accepted it. */
	private async deliver<Answer>(target: TargetIncarnation, holder: KeyHolder, {isProbe, carryOut}: {isProbe: boolean; carryOut: CarryOut<Answer>}): Promise<() => Answer> {
		// What was sent before a cut still arrives.
		const isCut = holder.isUnreachable || this.unreachable.has(target.id);
		holder.isUnreachable ||= holder.isCutAfterNextOrder;
		holder.isCutAfterNextOrder = false;
		await pause(holder.link.toTargetMs);
		await holder.suspension.end;
		if (isCut || holder.isStopped) {
			return never();
		}

		const arrivedAt = performance.now();
		const lateOrders = holder.lateOrders ?? this.lateOrders;
		const lateMs = lateOrders?.draw(isProbe);
		if (lateOrders && lateMs !== undefined) {
			await pause(lateMs);
			await holder.suspension.end;
			settle(() => carryOut(holder, lateOrders.holdStart === HoldStart.Arrival ? arrivedAt : performance.now()));
			return never();
		}

		const answer = settle(() => carryOut(holder, arrivedAt));
		await pause(holder.link.toDaemonMs);
		return holder.link.losesAnswers ? never() : answer;
	}
}

type Call = Pick<KeyOrder, 'timeoutMs' | 'mayBeSent'> & {isProbe?: boolean};

type CarryOut<Answer> = (holder: KeyHolder, arrivedAt: number) => Answer;

/** Calls a function now; the result returns or throws its outcome. */
function settle<Answer>(carryOut: () => Answer): () => Answer {
	try {
		const answer = carryOut();
		return () => answer;
	} catch (error) {
		return () => {
			throw error;
		};
	}
}

async function never(): Promise<never> {
	return new Promise(() => {
		// The answer is lost.
	});
}

async function pause(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
