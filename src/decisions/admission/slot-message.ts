/**
 * Messages between daemons about slots. They are the most frequent ones, so their parts are tuples without field names, and they
 * have none of the fields that other messages between daemons have in common.
 */
import * as z from 'zod/mini';
import {
	SlotDecision, SlotEnd, type SlotAnswer, type SlotRelease, type SlotRequest,
} from '../../model/slots.js';
import {counter, decodeContent, documentName} from '../fleet/document-schema.js';

/** Most requests, answers or releases in one message, so that it fits into a datagram with the longest names. */
export const slotPartLimit = 24;

/** Most numbers of open requests in one message; a datagram holds 60,000 bytes. */
export const openSlotLimit = 3500;

/** Most excluded targets that a request names. */
export const excludedLimit = 8;

/** Longest time in a message, in milliseconds, one day; requests take seconds. */
const longestMs = 86_400_000;

/** Highest load of a slot, number of requests at a target or slowness in percent. */
const highestCount = 1_000_000;

const duration = z.int().check(z.minimum(0), z.maximum(longestMs));
const count = z.number().check(z.minimum(0), z.maximum(highestCount));
const optionalName = z.nullable(documentName);

/** Number, service, target, group, excluded targets, priority, target latency, time until it has passed, and time until the deadline. */
const requestSchema = z.tuple([
	counter,
	documentName,
	optionalName,
	z.nullable(counter),
	z.array(documentName).check(z.maxLength(excludedLimit)),
	counter,
	duration,
	z.int().check(z.minimum(-longestMs), z.maximum(longestMs)),
	duration,
]);

/** Number, decision, target, estimated response time, delay until a retry, load of the group, and whether the only target is unknown. */
const answerSchema = z.tuple([counter, z.enum(SlotDecision), optionalName, duration, duration, count, z.optional(z.boolean())]);

/** Number, service, target, end, duration, load of the target, and time until it has warmed up. */
const releaseSchema = z.tuple([
	counter, documentName, optionalName, z.enum(SlotEnd), z.nullable(duration), z.nullable(z.tuple([count, count, count, z.nullable(count)])), z.nullable(duration),
]);

const messageSchema = z.object({
	slotsOf: documentName,
	availabilityZone: documentName,
	slotRequests: z.optional(z.array(requestSchema).check(z.maxLength(slotPartLimit))),
	slotAnswers: z.optional(z.array(answerSchema).check(z.maxLength(slotPartLimit))),
	slotReleases: z.optional(z.array(releaseSchema).check(z.maxLength(slotPartLimit))),
	/** Numbers of all requests that the sender has at the receiver. */
	openSlots: z.optional(z.array(counter).check(z.maxLength(openSlotLimit))),
});

/** A message about slots; `slotsOf` names the sending daemon, and no other message has it. */
export type SlotMessage = z.infer<typeof messageSchema>;

type RequestPart = z.infer<typeof requestSchema>;
type AnswerPart = z.infer<typeof answerSchema>;
type ReleasePart = z.infer<typeof releaseSchema>;

/** True if the content of a datagram is a message about slots; it may still be malformed. */
export function isSlotMessage(content: unknown): boolean {
	return typeof content === 'object' && content !== null && 'slotsOf' in content;
}

/**
 * Validates a received message.
 *
 * @throws {MalformedDocumentError} if it does not match the schema
 */
export function decodeSlotMessage(content: unknown): SlotMessage {
	return decodeContent('slot message', messageSchema, content);
}

export function packRequest(request: SlotRequest): RequestPart {
	return [
		request.number,
		request.service,
		request.target ?? null,
		request.group ?? null,
		request.excluded.slice(-excludedLimit),
		request.priority,
		toDuration(request.targetLatencyMs),
		Math.max(-longestMs, Math.min(longestMs, Math.floor(request.dueMs))),
		toDuration(request.leftMs),
	];
}

export function unpackRequest([number, service, target, group, excluded, priority, targetLatencyMs, dueMs, leftMs]: RequestPart, availabilityZone: string): SlotRequest {
	return {
		number, service, target: target ?? undefined, group: group ?? undefined, excluded, availabilityZone, priority, targetLatencyMs, dueMs, leftMs,
	};
}

export function packAnswer({number, decision, target, responseMs, retryAfterMs, load, isUnknownTarget}: SlotAnswer): AnswerPart {
	const loadCount = Math.min(highestCount, Math.round(load * 100) / 100);
	const part = [number, decision, target ?? null, toDuration(responseMs), toDuration(retryAfterMs), loadCount] as const;
	return isUnknownTarget ? [...part, true] : [...part];
}

export function unpackAnswer([number, decision, target, responseMs, retryAfterMs, load, isUnknownTarget]: AnswerPart, daemon: string): SlotAnswer {
	return {
		daemon, number, decision, target: target ?? undefined, responseMs, retryAfterMs, load, ...(isUnknownTarget && {isUnknownTarget}),
	};
}

export function packRelease({number, service, target, end, durationMs, load, warmUpLeftMs}: SlotRelease): ReleasePart {
	return [
		number,
		service,
		target ?? null,
		end,
		durationMs === undefined ? null : toDuration(durationMs),
		load ? [load.running, load.waiting, load.slots, load.slowness ?? null] : null,
		warmUpLeftMs === undefined ? null : toDuration(warmUpLeftMs),
	];
}

export function unpackRelease([number, service, target, end, durationMs, load, warmUpLeftMs]: ReleasePart): SlotRelease {
	const [running = 0, waiting = 0, slots = 0, slowness] = load ?? [];
	return {
		number,
		service,
		target: target ?? undefined,
		end,
		durationMs: durationMs ?? undefined,
		load: load
			? {
				running, waiting, slots, slowness: slowness ?? undefined,
			}
			: undefined,
		warmUpLeftMs: warmUpLeftMs ?? undefined,
	};
}

function toDuration(ms: number): number {
	return Math.max(0, Math.min(longestMs, Math.round(ms)));
}
