/**
 * Queues of waiting requests: first in, first out, or by priority.
 */
import {Priority} from '../model/configuration.js';

/** Properties of a waiting request that decide its position. */
export type WaitingRequest = {
	priority: Priority;
	/** True for requests of a class that is declared long. */
	long: boolean;
	/** Monotonic time in milliseconds of arrival. */
	arrivedAt: number;
};

/** Priorities from the first served to the first shed. */
export const priorities: readonly Priority[] = [Priority.Instruction, Priority.Read, Priority.Extract, Priority.Poll];

/** A queue of waiting requests. */
export type WaitQueue<Item extends WaitingRequest> = {
	readonly size: number;
	add(item: Item): void;
	remove(item: Item): void;
	/** Removes and returns the next request; skips long requests unless `allowLong`. */
	dequeue(allowLong: boolean): Item | undefined;
	/** Removes and returns the request that is shed in favour of a new one; undefined if none has a lower priority. */
	evictFor(item: Item): Item | undefined;
	/** Number of waiting requests that would be served before one of the given priority. */
	countAhead(priority: Priority): number;
	items(): Item[];
};

/** Baseline: first in, first out, regardless of priority and length. */
export class FifoQueue<Item extends WaitingRequest> implements WaitQueue<Item> {
	private readonly queue = new Set<Item>();

	get size(): number {
		return this.queue.size;
	}

	add(item: Item): void {
		this.queue.add(item);
	}

	remove(item: Item): void {
		this.queue.delete(item);
	}

	dequeue(_allowLong: boolean): Item | undefined {
		const item = first(this.queue);
		if (item) {
			this.queue.delete(item);
		}

		return item;
	}

	evictFor(_item: Item): Item | undefined {
		return undefined;
	}

	countAhead(_priority: Priority): number {
		return this.queue.size;
	}

	items(): Item[] {
		return [...this.queue];
	}
}

/** Serves higher priorities first, and the oldest first within a priority; short requests overtake long ones that may not start. */
export class PriorityQueue<Item extends WaitingRequest> implements WaitQueue<Item> {
	private readonly short = new Map(priorities.map(priority => [priority, new Set<Item>()]));
	private readonly long = new Map(priorities.map(priority => [priority, new Set<Item>()]));
	private count = 0;

	get size(): number {
		return this.count;
	}

	add(item: Item): void {
		this.queueOf(item).add(item);
		this.count += 1;
	}

	remove(item: Item): void {
		if (this.queueOf(item).delete(item)) {
			this.count -= 1;
		}
	}

	dequeue(allowLong: boolean): Item | undefined {
		for (const priority of priorities) {
			const short = first(this.short.get(priority)!);
			const long = allowLong ? first(this.long.get(priority)!) : undefined;
			const item = short && long ? (short.arrivedAt <= long.arrivedAt ? short : long) : short ?? long;
			if (item) {
				this.remove(item);
				return item;
			}
		}

		return undefined;
	}

	evictFor(item: Item): Item | undefined {
		for (const priority of priorities.toReversed()) {
			if (priority === item.priority) {
				return undefined;
			}

			const victim = last(this.long.get(priority)!) ?? last(this.short.get(priority)!);
			if (victim) {
				this.remove(victim);
				return victim;
			}
		}

		return undefined;
	}

	countAhead(priority: Priority): number {
		let count = 0;
		for (const candidate of priorities) {
			count += this.short.get(candidate)!.size + this.long.get(candidate)!.size;
			if (candidate === priority) {
				break;
			}
		}

		return count;
	}

	items(): Item[] {
		return priorities.flatMap(priority => [...this.short.get(priority)!, ...this.long.get(priority)!]);
	}

	private queueOf(item: Item): Set<Item> {
		return (item.long ? this.long : this.short).get(item.priority)!;
	}
}

function first<Item>(items: Set<Item>): Item | undefined {
	return items.values().next().value;
}

function last<Item>(items: Set<Item>): Item | undefined {
	let found: Item | undefined;
	for (const item of items) {
		found = item;
	}

	return found;
}
