/**
 * Callers' requests that were read and have no complete answer.
 */

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

	/** The requests without a complete answer. */
	listUnanswered(): OpenRequest[] {
		return [...this.requests].filter(({stage}) => stage !== RequestStage.Closing);
	}
}
