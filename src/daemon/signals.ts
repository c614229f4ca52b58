/**
 * Signals to this process. It handles them from the moment at which this module is loaded, which a program does before anything
 * else: until then, the default action of the runtime ends the process.
 */
import process from 'node:process';

/** Signals that a daemon handles. */
export type DaemonSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

type SignalHandler = (signal: DaemonSignal) => void;

let currentHandler: SignalHandler | undefined;

function receive(signal: DaemonSignal): void {
	currentHandler?.(signal);
}

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
	process.on(signal, () => {
		receive(signal);
	});
}

/** Replaces the handler of all signals. */
export function handleSignals(handler: SignalHandler): void {
	currentHandler = handler;
}
