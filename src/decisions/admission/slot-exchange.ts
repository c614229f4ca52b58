/**
 * Carries requests for slots, answers and releases between daemons, and to this daemon's own coordinator.
 */
import type {Member} from '../../model/fleet.js';
import type {SlotAnswer, SlotRelease, SlotRequest} from '../../model/slots.js';
import {
	openSlotLimit, packAnswer, packRelease, packRequest, slotPartLimit, unpackAnswer, unpackRelease, unpackRequest, type SlotMessage,
} from './slot-message.js';

/** Grants slots of the targets that this daemon coordinates. Each call returns the answers to send. */
export type SlotGranter = {
	request(daemon: string, request: SlotRequest, now: number): SlotAnswer[];
	release(daemon: string, release: SlotRelease, now: number): SlotAnswer[];
	confirm(daemon: string, openNumbers: readonly number[], now: number): SlotAnswer[];
	advance(now: number): SlotAnswer[];
};

/** Carries the messages of a daemon that asks for slots to coordinators, which may be the daemon itself. */
export type SlotLink = {
	request(coordinator: string, request: SlotRequest, now: number): void;
	release(coordinator: string, release: SlotRelease, now: number): void;
	/** Names all open requests at a coordinator. */
	confirm(coordinator: string, openNumbers: readonly number[], now: number): void;
	/** Called periodically. */
	tick(now: number): void;
};

export type SlotExchangeOptions = {
	daemon: string;
	availabilityZone: string;
	granter: SlotGranter;
	/** A daemon that is a member or was one. */
	findMember(daemon: string): Member | undefined;
	send(message: SlotMessage, members: Iterable<Member>): void;
	/** Runs a callback at the end of the current turn of the event loop. */
	defer(callback: () => void): void;
	/** Called with an answer to a request of this daemon. */
	onAnswer(coordinator: string, answer: SlotAnswer, now: number): void;
	/** Called if a peer reports that a target reported how long it is still cold. */
	onWarmUp(target: string, warmUpLeftMs: number, now: number): void;
};

/** What is sent to one daemon at the end of the current turn. */
type Outbox = {
	slotRequests: NonNullable<SlotMessage['slotRequests']>;
	slotAnswers: NonNullable<SlotMessage['slotAnswers']>;
	slotReleases: NonNullable<SlotMessage['slotReleases']>;
	openSlots: number[] | undefined;
};

/** One instance for each daemon. */
export class SlotExchange implements SlotLink {
	private readonly outboxes = new Map<string, Outbox>();

	constructor(private readonly options: SlotExchangeOptions) {}

	request(coordinator: string, request: SlotRequest, now: number): void {
		const {daemon, granter} = this.options;
		if (coordinator === daemon) {
			this.deliver(granter.request(daemon, request, now), now);
			return;
		}

		this.outboxOf(coordinator).slotRequests.push(packRequest(request));
	}

	release(coordinator: string, release: SlotRelease, now: number): void {
		const {daemon, granter} = this.options;
		if (coordinator === daemon) {
			this.deliver(granter.release(daemon, release, now), now);
			return;
		}

		this.outboxOf(coordinator).slotReleases.push(packRelease(release));
	}

	confirm(coordinator: string, openNumbers: readonly number[], now: number): void {
		const {daemon, granter} = this.options;
		if (coordinator === daemon) {
			this.deliver(granter.confirm(daemon, openNumbers, now), now);
			return;
		}

		// An incomplete list would end the grants that it does not name.
		if (openNumbers.length <= openSlotLimit) {
			this.outboxOf(coordinator).openSlots = [...openNumbers];
		}
	}

	tick(now: number): void {
		this.deliver(this.options.granter.advance(now), now);
	}

	receive({slotsOf: sender, availabilityZone, slotRequests = [], slotAnswers = [], slotReleases = [], openSlots}: SlotMessage, now = performance.now()): void {
		const {daemon, granter, onAnswer, onWarmUp} = this.options;
		if (sender === daemon) {
			return;
		}

		for (const part of slotReleases) {
			const release = unpackRelease(part);
			if (release.target !== undefined && release.warmUpLeftMs !== undefined) {
				onWarmUp(release.target, release.warmUpLeftMs, now);
			}

			this.deliver(granter.release(sender, release, now), now);
		}

		for (const part of slotRequests) {
			this.deliver(granter.request(sender, unpackRequest(part, availabilityZone), now), now);
		}

		if (openSlots) {
			this.deliver(granter.confirm(sender, openSlots, now), now);
		}

		for (const part of slotAnswers) {
			onAnswer(sender, unpackAnswer(part, daemon), now);
		}
	}

	private deliver(answers: readonly SlotAnswer[], now: number): void {
		const {daemon, onAnswer} = this.options;
		for (const answer of answers) {
			if (answer.daemon === daemon) {
				onAnswer(daemon, answer, now);
			} else {
				this.outboxOf(answer.daemon).slotAnswers.push(packAnswer(answer));
			}
		}
	}

	private outboxOf(recipient: string): Outbox {
		const known = this.outboxes.get(recipient);
		if (known) {
			return known;
		}

		if (this.outboxes.size === 0) {
			this.options.defer(() => {
				this.flush();
			});
		}

		const outbox: Outbox = {
			slotRequests: [], slotAnswers: [], slotReleases: [], openSlots: undefined,
		};
		this.outboxes.set(recipient, outbox);
		return outbox;
	}

	private flush(): void {
		const {findMember, send} = this.options;
		for (const [recipient, outbox] of this.outboxes) {
			const member = findMember(recipient);
			if (member) {
				for (const message of this.messagesOf(outbox)) {
					send(message, [member]);
				}
			}
		}

		this.outboxes.clear();
	}

	/** Most turns need one message. Each further one has parts of one kind, so that none exceeds a datagram. */
	private messagesOf({slotRequests, slotAnswers, slotReleases, openSlots}: Outbox): SlotMessage[] {
		const {daemon, availabilityZone} = this.options;
		const head = {slotsOf: daemon, availabilityZone};
		const partCount = slotRequests.length + slotAnswers.length + slotReleases.length;
		if (partCount <= slotPartLimit && (openSlots?.length ?? 0) <= slotPartLimit) {
			return [{
				...head,
				...(slotReleases.length > 0 && {slotReleases}),
				...(slotRequests.length > 0 && {slotRequests}),
				...(slotAnswers.length > 0 && {slotAnswers}),
				...(openSlots && {openSlots}),
			}];
		}

		return [
			...chunksOf(slotReleases).map(part => ({...head, slotReleases: part})),
			...chunksOf(slotRequests).map(part => ({...head, slotRequests: part})),
			...chunksOf(slotAnswers).map(part => ({...head, slotAnswers: part})),
			...(openSlots ? [{...head, openSlots}] : []),
		];
	}
}

function chunksOf<Part>(parts: Part[]): Part[][] {
	return Array.from({length: Math.ceil(parts.length / slotPartLimit)}, (_, index) => parts.slice(index * slotPartLimit, (index + 1) * slotPartLimit));
}
