/**
 * Connections from one daemon to targets that it is cut off from, on the clock of the test.
 */
import {AttemptEnd, type Attempt, type AttemptResult} from '../src/model/forwarding.js';

/** What happens to connections. */
export enum CutMode {
	/** Open connections are closed, new ones are refused. */
	Refused = 'refused',
	/** Open and new connections hang. */
	Hanging = 'hanging',
	/** Requests in flight are reset, new connections are refused. */
	Reset = 'reset',
	/** Open connections work until they are used up, new ones are refused. */
	NewRefused = 'new_refused',
	/** Open connections work until they are used up, new ones hang. */
	NewHanging = 'new_hanging',
	/** Open connections work, new ones are refused, as by targets that have as many as they accept. */
	ConnectionLimit = 'connection_limit',
}

/** Connections that were open to each target when the cut began. */
const keptConnections = 2;

/** Requests that a target answers on its open connections until it closes the last of them. */
const keptRequests = 10;

/** Time after which the transport gives up a new connection, in milliseconds. */
const connectTimeoutMs = 300;

/** One daemon's connections during a cut. */
export class CutConnections {
	private readonly kept = new Map<string, number>();
	private readonly answered = new Map<string, number>();

	constructor(private readonly mode: CutMode) {}

	/** Sends a request on an open connection if there is one, as the pool does. */
	async send(attempt: Attempt, run: () => Promise<AttemptResult>): Promise<AttemptResult> {
		const {target: {id}} = attempt;
		const kept = this.kept.get(id) ?? keptConnections;
		if (kept === 0 || this.mode === CutMode.Refused) {
			if (attempt.usesOpenConnection) {
				return {end: AttemptEnd.NotSent, detail: 'no open connection'};
			}

			await this.connects();
			return {end: AttemptEnd.NotSent, detail: 'no connection'};
		}

		this.kept.set(id, kept - 1);
		switch (this.mode) {
			case CutMode.Hanging: {
				await cancelledOrAfter(attempt, attempt.timeoutMs);
				return {end: AttemptEnd.Ambiguous, detail: 'no answer in time', isTimeout: !attempt.cancellation.isCancelled};
			}

			case CutMode.Reset: {
				// The target may have received the request before the reset.
				await run();
				return {end: AttemptEnd.Ambiguous, detail: 'ECONNRESET'};
			}

			case CutMode.NewRefused:
			case CutMode.NewHanging:
			case CutMode.ConnectionLimit: {
				const result = await run();
				const answered = (this.answered.get(id) ?? 0) + 1;
				this.answered.set(id, answered);
				this.kept.set(id, this.mode === CutMode.ConnectionLimit || answered < keptRequests ? (this.kept.get(id) ?? 0) + 1 : 0);
				return result;
			}
		}
	}

	/** A new connection always fails, at once or after a while. */
	async connects(): Promise<boolean> {
		if (this.mode === CutMode.Hanging || this.mode === CutMode.NewHanging) {
			await new Promise(resolve => {
				setTimeout(resolve, connectTimeoutMs);
			});
		}

		return false;
	}
}

async function cancelledOrAfter({cancellation}: Attempt, delayMs: number): Promise<void> {
	return new Promise(resolve => {
		const timer = setTimeout(resolve, delayMs);
		cancellation.subscribe(() => {
			clearTimeout(timer);
			resolve();
		});
	});
}
