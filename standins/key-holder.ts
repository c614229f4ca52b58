/**
 * Stand-in of targets that hold keys: fencing tokens, holds and handovers, with faults in the delivery of orders.
 */
import {FenceRejectedError, TargetUnavailableError} from '../src/model/errors.js';
import type {TargetIncarnation} from '../src/model/fleet.js';
import type {KeyGrant, KeyOrder, KeyOrders} from '../src/model/key-orders.js';
import type {KeyRange} from '../src/model/key-ownership.js';

/** Time until an order or its answer arrives, in milliseconds. */
const orderDelayMs = 1;

/** Time until a delayed order is carried out, in milliseconds; a hold still counts from the arrival of its order. */
const lateOrderDelayMs = 3000;

type Hold = KeyRange & {
	fence: number;
	expiresAt: number;
};

/** One incarnation of a target. */
export class KeyHolder {
	/** True while orders do not reach the target, although it continues to serve requests. */
	isUnreachable = false;
	isStopped = false;
	/** True while orders get no answer and are carried out after a delay. */
	delaysOrders = false;
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
		if (this.fencedRanges.some(earlier => overlaps(earlier, range) && earlier.fence > fence)) {
			throw new FenceRejectedError(this.incarnation.id, fence);
		}

		this.grantCount += 1;
		this.rememberFence(range, fence);
		this.holds = this.holds.flatMap(hold => subtract(hold, range));
		this.holds.push({...range, fence, expiresAt: arrivedAt + holdDurationMs});
	}

	release({range, fence}: KeyOrder): string {
		this.rememberFence(range, fence);
		this.holds = this.holds.flatMap(hold => subtract(hold, range));
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
	/** True while the daemon is suspended and sends nothing. */
	isSuspended = false;

	constructor(private readonly holders: Map<string, KeyHolder>) {}

	async grant(target: TargetIncarnation, grant: KeyGrant): Promise<void> {
		const holder = await this.reach(target, grant.timeoutMs);
		const arrivedAt = performance.now();
		if (holder.delaysOrders) {
			setTimeout(() => {
				grantUnlessFenced(holder, grant, arrivedAt);
			}, lateOrderDelayMs);
			await this.timeOut(target, grant.timeoutMs);
		}

		holder.grant(grant, arrivedAt);
		await pause(orderDelayMs);
	}

	async release(target: TargetIncarnation, order: KeyOrder): Promise<string | undefined> {
		const holder = await this.reach(target, order.timeoutMs);
		if (holder.delaysOrders) {
			setTimeout(() => {
				holder.release(order);
			}, lateOrderDelayMs);
			await this.timeOut(target, order.timeoutMs);
		}

		const handover = holder.release(order);
		await pause(orderDelayMs);
		return handover;
	}

	async identify(target: TargetIncarnation, _healthPath: string, timeoutMs: number): Promise<string | undefined> {
		const holder = await this.reach(target, timeoutMs);
		return holder.incarnation.id;
	}

	close(): void {
		this.unreachable.clear();
	}

	private async reach(target: TargetIncarnation, timeoutMs: number): Promise<KeyHolder> {
		await pause(orderDelayMs);
		const holder = this.holders.get(target.address);
		if (!holder || holder.isStopped || holder.isUnreachable || this.unreachable.has(target.id)) {
			await this.timeOut(target, timeoutMs);
		}

		return holder!;
	}

	private async timeOut(target: TargetIncarnation, timeoutMs: number): Promise<never> {
		await pause(timeoutMs);
		throw new TargetUnavailableError(target.id, 'no answer in time');
	}
}

function grantUnlessFenced(holder: KeyHolder, grant: KeyGrant, arrivedAt: number): void {
	try {
		holder.grant(grant, arrivedAt);
	} catch (error) {
		if (!(error instanceof FenceRejectedError)) {
			throw error;
		}
	}
}

function overlaps(left: KeyRange, right: KeyRange): boolean {
	return left.first <= right.last && right.first <= left.last;
}

function subtract(hold: Hold, range: KeyRange): Hold[] {
	if (!overlaps(hold, range)) {
		return [hold];
	}

	return [{...hold, last: range.first - 1}, {...hold, first: range.last + 1}].filter(({first, last}) => first <= last);
}

async function pause(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
