/**
 * Relays requests of a daemon that is cut off from all targets through peers.
 */
import {LogEvent, type EventLog} from '../../model/events.js';
import type {Member, Target} from '../../model/fleet.js';
import {
	AttemptEnd, type AttemptResult, type CallerRequest, type RelayResult, type RelayTransport,
} from '../../model/forwarding.js';
import {
	remainingMs, requestLogFields, RequestWay, type ForwardingContext,
} from './forwarding-context.js';
import type {RelayPeers} from './relay-peers.js';
import type {TargetAccess} from './target-access.js';
import type {TargetLoads} from './target-loads.js';

/** Part of a request's time that is kept for the way of the peer's answer, in milliseconds. */
const hopMs = 10;

/** Time after a peer was last known to reach a target in which requests are relayed, in milliseconds. */
const evidenceValidityMs = 3000;

/** Interval between requests that are relayed although no peer is known to reach a target, in milliseconds. */
const trialIntervalMs = 500;

/** Dependencies of the relay. */
export type RequestRelayOptions = {
	access: TargetAccess;
	peers: RelayPeers;
	loads: TargetLoads;
	transport: RelayTransport;
	log: EventLog;
};

/** Decides whether a request is relayed, and relays it. */
export class RequestRelay {
	private relayed = 0;
	private lastAnswerAt = -Infinity;
	private trialAt = -Infinity;

	constructor(private readonly options: RequestRelayOptions) {}

	/** Number of requests since the start that were relayed to peers. */
	get relayedCount(): number {
		return this.relayed;
	}

	/** True while no connection to any target can be opened. */
	get isCutOff(): boolean {
		return this.options.access.isCutOff;
	}

	/** True while no target can be reached, on open connections either. */
	get isIsolated(): boolean {
		return this.options.access.isIsolated;
	}

	/** Called periodically. */
	tick(): void {
		this.options.access.tick();
	}

	/** Records an attempt at a target; returns a function that records its end, without a result if it was cancelled. */
	startAttempt(target: Target): (result: AttemptResult | undefined) => void {
		const {access, loads} = this.options;
		const attempt = access.startAttempt(loads.estimate(target).responseMs);
		return result => {
			access.endAttempt(attempt, target, result);
		};
	}

	/** Finds out whether the daemon is cut off after a connection failed. */
	async confirmCutOff(): Promise<boolean> {
		return this.options.access.confirmCutOff();
	}

	/** Chooses the way of the next attempt. */
	chooseWay({request, unsentAttempts}: ForwardingContext): RequestWay {
		if (!this.isCutOff) {
			return RequestWay.Direct;
		}

		// Targets that accept no more connections, and only those, look the same as a cut that spares open connections.
		if (!this.isIsolated && unsentAttempts === 0) {
			return RequestWay.OpenConnection;
		}

		if (request.relay) {
			return RequestWay.Refusal;
		}

		return this.mayRelay() ? RequestWay.Peer : RequestWay.Direct;
	}

	choosePeer({triedPeers}: ForwardingContext): Member | undefined {
		return this.options.peers.choose(triedPeers);
	}

	async send(context: ForwardingContext, peer: Member, cancellation: CallerRequest['cancellation']): Promise<RelayResult> {
		const {peers, transport, log} = this.options;
		const leftMs = remainingMs(context);
		this.relayed += 1;
		peers.startRequest(peer);
		const result = await transport.relay(context.request, {
			peer, cancellation, ending: context.ending, deliveredAttempts: context.deliveredAttempts, isIdempotent: context.route.isIdempotent, budgetMs: leftMs - hopMs, timeoutMs: leftMs,
		});
		const isAnswered = [AttemptEnd.Answered, AttemptEnd.Streamed, AttemptEnd.UnprovedRefusal].includes(result.end);
		const isUsable = isAnswered || result.end === AttemptEnd.Refused || cancellation.isCancelled;
		peers.endRequest(peer, isUsable);
		if (isAnswered) {
			this.lastAnswerAt = performance.now();
		}

		if (!isUsable) {
			log.record(LogEvent.RelayFailed, {...requestLogFields(context), end: result.end, detail: result.detail});
		}

		return result;
	}

	/** If no peer is known to reach a target, all targets may be down, and only some requests are relayed. */
	private mayRelay(now = performance.now()): boolean {
		if (now - Math.max(this.lastAnswerAt, this.options.loads.lastPeerAnswerAt) < evidenceValidityMs) {
			return true;
		}

		const isTrial = now - this.trialAt >= trialIntervalMs;
		this.trialAt = isTrial ? now : this.trialAt;
		return isTrial;
	}
}
