/**
 * Signals to this process. It handles them from the moment at which this module is loaded, which a program does before anything
 * else: until then, the default action of the runtime ends the process.
 */
import process from 'node:process';

/** Signals that a daemon handles. */
export type DaemonSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

type SignalHandler = (signal: DaemonSignal) => void;

/** Keeps signals until there is a handler. */
class SignalQueue {
	private readonly waiting: DaemonSignal[] = [];
	private handler: SignalHandler | undefined;

	constructor() {
		for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
			process.on(signal, () => {
				this.receive(signal);
			});
		}
	}

	/** Passes on the signals that came so far, and all later ones. */
	handle(handler: SignalHandler): void {
		this.handler = handler;
		for (const signal of this.waiting.splice(0)) {
			handler(signal);
		}
	}

	private receive(signal: DaemonSignal): void {
		if (this.handler) {
			this.handler(signal);
			return;
		}

		this.waiting.push(signal);
	}
}

export const signals = new SignalQueue();
