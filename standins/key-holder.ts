/**
 * Stand-in of targets that hold keys: fences, holds and handovers, with faults on the way of orders.
 */
import {FenceRejectedError, TargetUnavailableError} from '../src/model/errors.js';
import type {TargetLife} from '../src/model/fleet.js';
import type {KeyGrant, KeyOrder, KeyOrders} from '../src/model/key-orders.js';
import type {KeyRange} from '../src/model/key-ownership.js';

/** Time in which an order arrives, in milliseconds. */
const travelMs = 1;

/** Delay of orders that are carried out late, in milliseconds; their time counts from their arrival all the same. */
const lateMs = 3000;

type Hold = KeyRange & {
	fence: number;
	until: number;
};

/** One life of a target. */
export class KeyHolder {
	/** True while orders do not reach the target, although its work goes on. */
	isCut = false;
	isDead = false;
	/** True while orders get no answer and are carried out late. */
	isLate = false;
	/** Grants received by this life. */
	grantCount = 0;
	private holds: Hold[] = [];
	private fences: Array<KeyRange & {fence: number}> = [];

	constructor(readonly life: TargetLife) {}

	/** True if the target runs requests for the key. */
	isHolding(key: number, now = performance.now()): boolean {
		return !this.isDead && this.holds.some(({first, last, until}) => key >= first && key <= last && now < until);
	}

	fenceOf(key: number): number {
		return Math.max(0, ...this.fences.filter(({first, last}) => key >= first && key <= last).map(({fence}) => fence));
	}

	grant({range, fence, holdDurationMs}: KeyGrant, arrivedAt: number): void {
		if (this.fences.some(seen => overlaps(seen, range) && seen.fence > fence)) {
			throw new FenceRejectedError(this.life.id, fence);
		}

		this.grantCount += 1;
		this.fences.push({...range, fence});
		this.fences = this.fences.slice(-500);
		this.holds = this.holds.flatMap(hold => subtract(hold, range));
		this.holds.push({...range, fence, until: arrivedAt + holdDurationMs});
	}

	release({range, fence}: KeyOrder): string {
		this.fences.push({...range, fence});
		this.holds = this.holds.flatMap(hold => subtract(hold, range));
		return `handover-${range.first}`;
	}
}

/** Carries orders to holders by their address. */
export class KeyHolderOrders implements KeyOrders {
	/** Ids of targets that this daemon alone cannot reach. */
	readonly unreachable = new Set<string>();
	/** True while the daemon is suspended: nothing leaves. */
	isSuspended = false;

	constructor(private readonly holders: Map<string, KeyHolder>) {}

	async grant(target: TargetLife, grant: KeyGrant): Promise<void> {
		const holder = await this.reach(target, grant.timeoutMs);
		const arrivedAt = performance.now();
		if (holder.isLate) {
			setTimeout(() => {
				tryGrant(holder, grant, arrivedAt);
			}, lateMs);
			await this.timeOut(target, grant.timeoutMs);
		}

		holder.grant(grant, arrivedAt);
		await pause(travelMs);
	}

	async release(target: TargetLife, order: KeyOrder): Promise<string | undefined> {
		const holder = await this.reach(target, order.timeoutMs);
		if (holder.isLate) {
			setTimeout(() => {
				holder.release(order);
			}, lateMs);
			await this.timeOut(target, order.timeoutMs);
		}

		const handover = holder.release(order);
		await pause(travelMs);
		return handover;
	}

	async identify(target: TargetLife, _healthPath: string, timeoutMs: number): Promise<string | undefined> {
		const holder = await this.reach(target, timeoutMs);
		return holder.life.id;
	}

	close(): void {
		this.unreachable.clear();
	}

	private async reach(target: TargetLife, timeoutMs: number): Promise<KeyHolder> {
		await pause(travelMs);
		const holder = this.holders.get(target.address);
		if (!holder || holder.isDead || holder.isCut || this.unreachable.has(target.id)) {
			await this.timeOut(target, timeoutMs);
		}

		return holder!;
	}

	private async timeOut(target: TargetLife, timeoutMs: number): Promise<never> {
		await pause(timeoutMs);
		throw new TargetUnavailableError(target.id, 'no answer in time');
	}
}

function tryGrant(holder: KeyHolder, grant: KeyGrant, arrivedAt: number): void {
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
