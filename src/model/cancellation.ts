/**
 * Cancellation of one request. It replaces `AbortSignal` on the data path, where creating and combining signals cost
 * more than the rest of a dispatch.
 */

/** Function that is called once, when the request is cancelled. */
export type CancellationListener = () => void;

/** Cancellation with at most a few listeners. */
export class Cancellation {
	private readonly listeners: CancellationListener[] = [];
	private cancelled = false;

	get isCancelled(): boolean {
		return this.cancelled;
	}

	/** Cancels once; later calls do nothing. */
	cancel(): void {
		if (this.cancelled) {
			return;
		}

		this.cancelled = true;
		for (const listener of this.listeners.splice(0)) {
			listener();
		}
	}

	subscribe(listener: CancellationListener): void {
		this.listeners.push(listener);
	}

	unsubscribe(listener: CancellationListener): void {
		const index = this.listeners.indexOf(listener);
		if (index !== -1) {
			this.listeners.splice(index, 1);
		}
	}
}
