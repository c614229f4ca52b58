/**
 * Callers' requests that were read and have no complete answer.
 */
import {LogEvent, type EventLog} from '../model/events.js';

/** How far a request has come. */
export enum RequestStage {
	/** Its body is being read. */
	Receiving = 'receiving',
	/** A target is being chosen, or works on it. */
	Forwarding = 'forwarding',
	/** Its answer was decided, but parts of it have not been passed to the kernel. */
	Answering = 'answering',
	/** Its answer was passed to the kernel, and its caller has not closed the connection yet. */
	Closing = 'closing',
}

/** A request without a complete answer. */
export class OpenRequest {
	stage = RequestStage.Receiving;
	requestId = '';

	constructor(readonly method: string, readonly path: string, readonly receivedAt = performance.now()) {}
}

/** The requests without a complete answer; the end of the process cuts them. */
export class OpenRequests {
	private readonly requests = new Set<OpenRequest>();

	get count(): number {
		return this.requests.size;
	}

	add(request: OpenRequest): void {
		this.requests.add(request);
	}

	remove(request: OpenRequest): void {
		this.requests.delete(request);
	}

	/** Logs the requests that the end of the process leaves without a complete answer, and returns their number. */
	recordCut(log: EventLog, now = performance.now()): number {
		const cut = [...this.requests].filter(({stage}) => stage !== RequestStage.Closing);
		for (const {
			requestId, method, path, stage, receivedAt,
		} of cut) {
			log.record(LogEvent.RequestCut, {
				request: requestId, method, path, stage, ageMs: Math.round(now - receivedAt),
			});
		}

		return cut.length;
	}
}
