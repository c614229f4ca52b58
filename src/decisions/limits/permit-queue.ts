/**
 * Permits for the requests to one target, issued at a rate, with requests that wait for their turn.
 *
 * Permits accumulate only here, never at the daemons that use them, so that their number does not grow with the fleet.
 */

/** Most permits that accumulate while nobody asks. */
const permitReserve = 2;

/** Time for which a grant is answered with a grant again if its request is repeated, in milliseconds. */
const grantMemoryMs = 2000;

const secondMs = 1000;

/** A request that asks for a permit. */
export type PermitRequest = {
	/** The daemon that asks, and the number by which it recognizes the answer. */
	daemon: string;
	number: number;
	/** Priority of the route, 0 is the highest. */
	priority: number;
	/** Time for which the request can wait, in milliseconds. */
	waitMs: number;
};

export enum PermitDecision {
	Granted = 'granted',
	/** The request waits; another answer follows. */
	Queued = 'queued',
	Denied = 'denied',
}

export type PermitAnswer = {
	request: PermitRequest;
	decision: PermitDecision;
	/** Time until a permit for this priority is expected, in milliseconds; 0 if granted. */
	turnMs: number;
};

type WaitingRequest = {
	request: PermitRequest;
	waitsUntil: number;
};

export class PermitQueue {
	private permits = 0;
	private updatedAt: number;
	/** In the order of their turns: by priority, then by arrival. */
	private readonly waiting: WaitingRequest[] = [];
	/** Times of recent grants by request; an answer may be lost, and its request is then repeated. */
	private readonly grantedAt = new Map<string, number>();

	/** Starts without permits: another daemon may have issued some just before. */
	constructor(private ratePerS: number, now: number) {
		this.updatedAt = now;
	}

	/** Sets the permits issued a second. */
	setRate(ratePerS: number, now: number): void {
		this.refill(now);
		this.ratePerS = ratePerS;
	}

	/** Grants the request, lets it wait if its turn comes in time, or denies it. */
	add(request: PermitRequest, now: number): PermitAnswer[] {
		this.refill(now);
		if (this.grantedAt.has(requestKey(request))) {
			return [{request, decision: PermitDecision.Granted, turnMs: 0}];
		}

		const waitingIndex = this.waiting.findIndex(({request: known}) => requestKey(known) === requestKey(request));
		if (waitingIndex !== -1) {
			return [{request, decision: PermitDecision.Queued, turnMs: this.turnMs(waitingIndex)}];
		}

		const ahead = this.waiting.filter(({request: {priority}}) => priority <= request.priority).length;
		const turnMs = this.turnMs(ahead);
		if (turnMs === 0) {
			return [this.grant(request, now)];
		}

		if (turnMs > request.waitMs) {
			return [{request, decision: PermitDecision.Denied, turnMs}];
		}

		this.waiting.splice(ahead, 0, {request, waitsUntil: now + request.waitMs});
		return [{request, decision: PermitDecision.Queued, turnMs}, ...this.denyLate(now)];
	}

	/** Grants the permits that have become available; denies requests at once that more important ones have displaced. */
	advance(now: number): PermitAnswer[] {
		this.refill(now);
		for (const [key, at] of this.grantedAt) {
			if (now - at > grantMemoryMs) {
				this.grantedAt.delete(key);
			}
		}

		const answers = this.denyLate(now);
		while (this.permits >= 1) {
			const next = this.waiting.shift();
			if (!next) {
				break;
			}

			answers.push(this.grant(next.request, now));
		}

		return answers;
	}

	/** Grants all waiting requests: the limit has ended. */
	grantAll(): PermitAnswer[] {
		return this.waiting.splice(0).map(({request}) => ({request, decision: PermitDecision.Granted, turnMs: 0}));
	}

	private grant(request: PermitRequest, now: number): PermitAnswer {
		this.permits -= 1;
		this.grantedAt.set(requestKey(request), now);
		return {request, decision: PermitDecision.Granted, turnMs: 0};
	}

	private denyLate(now: number): PermitAnswer[] {
		const denied: PermitAnswer[] = [];
		for (let index = 0; index < this.waiting.length;) {
			const {request, waitsUntil} = this.waiting[index];
			const turnMs = this.turnMs(index);
			if (now + turnMs <= waitsUntil) {
				index += 1;
				continue;
			}

			this.waiting.splice(index, 1);
			denied.push({request, decision: PermitDecision.Denied, turnMs: Math.max(turnMs, secondMs / this.ratePerS)});
		}

		return denied;
	}

	/** Time until a request with this many ahead of it gets a permit, in milliseconds. */
	private turnMs(ahead: number): number {
		return Math.max(0, (ahead + 1 - this.permits) * secondMs / this.ratePerS);
	}

	private refill(now: number): void {
		this.permits = Math.min(permitReserve, this.permits + ((now - this.updatedAt) * this.ratePerS / secondMs));
		this.updatedAt = now;
	}
}

function requestKey({daemon, number}: PermitRequest): string {
	return `${daemon} ${number}`;
}
