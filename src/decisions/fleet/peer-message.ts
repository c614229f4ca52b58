/**
 * Messages between daemons, and the validation of received ones.
 */
import * as z from 'zod/mini';
import {lastKey} from '../../model/key-ownership.js';
import {highestEra} from '../../model/store-era.js';
import {highestLimitPerS} from '../../model/target-statement.js';
import {PermitDecision} from '../limits/permit-queue.js';
import {assignmentChangeSchema} from './assignment-codec.js';
import {counter, decodeContent, documentName} from './document-schema.js';

/** Most requests in flight, or answers in one report; far more than the connections of a VM allow. */
const maxRequests = 1_000_000;

/** Highest sum of the service times in one report, in milliseconds; far more than the answers of a second take. */
const maxServiceMs = 1e10;

/** Longest wait in milliseconds, one day; timers of more than 24 days end at once. */
const longestWaitMs = 86_400_000;

const requestCount = z.int().check(z.minimum(0), z.maximum(maxRequests));

const waitDuration = z.int().check(z.minimum(0), z.maximum(longestWaitMs));

/** Revisions by service. */
const revisionsSchema = z.record(z.string(), counter);

const loadSchema = z.object({
	/** Requests in flight by target. */
	inFlight: z.record(z.string(), requestCount),
	/** Number and total service time in milliseconds of the answers since the last report, by target. */
	samples: z.record(z.string(), z.tuple([z.int().check(z.minimum(1), z.maximum(maxRequests)), z.number().check(z.minimum(0), z.maximum(maxServiceMs))])),
});

const updateSchema = z.object({
	/** Revision up to which the receiver's view has to be complete. */
	after: counter,
	/** A change without a value removes the key, unless the value is omitted. */
	changes: z.array(z.object({
		key: z.string(), value: z.optional(z.string()), revision: counter, isOmitted: z.optional(z.boolean()),
	})),
	/** Revision up to which the receiver's view is complete with the changes. */
	revision: counter,
	/** True if the changes come from a listing, so that the receiver has to be at exactly the revision `after`. */
	isListing: z.optional(z.boolean()),
}).check(z.refine(({changes, revision}) => changes.every(change => change.revision <= revision), 'expected no change after the revision'));

/** The limit of a target; ages in milliseconds. */
const limitSchema = z.object({limitPerS: z.optional(z.number().check(z.positive(), z.maximum(highestLimitPerS))), namedAgeMs: z.optional(counter), clearedAgeMs: z.optional(counter)});

/** Era and revision of an assignment. */
const formerAssignmentSchema = z.object({era: counter, revision: counter});

const messageSchema = z.object({
	daemon: documentName,
	availabilityZone: documentName,
	/** Revision of the store up to which the sender's view is complete. */
	revision: counter,
	/** Revisions of the assignments that the sender has. */
	assignments: revisionsSchema,
	isStoreReachable: z.boolean(),
	/** Era of the store to which the sender's revisions belong; missing while none is known. */
	storeEra: z.optional(z.int().check(z.minimum(0), z.maximum(highestEra))),
	/** Assignments that the sender has from before a restore of the store and that no leader has written since, by service. */
	formerAssignments: z.optional(z.record(z.string(), formerAssignmentSchema)),
	/** Version of the sender's active configuration. */
	configurationVersion: z.optional(counter),
	/** Load of targets by the sender's requests. */
	load: z.optional(loadSchema),
	/** Load of targets by the requests of all daemons of the sender's availability zone. */
	zoneLoad: z.optional(loadSchema),
	/** From the hub to its own availability zone: the daemon that is to watch the store; missing if none reaches it. */
	watcher: z.optional(z.string()),
	/** Changes that the sender has read from the store; assignments are sent separately. */
	update: z.optional(updateSchema),
	/** Keys of the requests since the last message, by service; sent only to the leader. */
	keys: z.optional(z.record(z.string(), z.array(z.int().check(z.minimum(0), z.maximum(lastKey))))),
	/** Ranges of an assignment that changed. */
	change: z.optional(assignmentChangeSchema),
	/**
	 * Data that the sender requests: changes of the store after a revision, assignments newer than the revisions that it has, and
	 * evidence that its configuration and its owners of keys are the newest ones, as the answer to an evidence request with this number.
	 */
	wants: z.optional(z.object({
		after: z.optional(counter),
		assignments: z.optional(revisionsSchema),
		/** Services of which the sender lacks a newer assignment from before a restore. */
		formerAssignments: z.optional(z.array(z.string())),
		evidence: z.optional(counter),
	})),
	/**
	 * Answer to an evidence request: its number, the sender's active version, the age of the sender's evidence for it, and the age of
	 * the sender's evidence for the owners of keys in its `assignments`. Either age is missing if the sender has no such evidence.
	 */
	evidence: z.optional(z.object({
		question: counter, version: counter, ageMs: z.optional(counter), ownersAgeMs: z.optional(counter),
	})),
	/** What targets have said of themselves, as far as the sender knows. */
	statements: z.optional(z.record(z.string(), z.extend(limitSchema, {bornAt: counter, isLeaving: z.optional(z.boolean())}))),
	/** Asks for a permit to send a request to a target that names a limit. */
	permitRequest: z.optional(z.object({
		number: counter, target: z.string(), bornAt: counter, priority: counter, waitMs: waitDuration, limit: limitSchema,
	})),
	/** Answer to a request for a permit. */
	permitAnswer: z.optional(z.object({number: counter, decision: z.enum(PermitDecision), turnMs: waitDuration})),
	/** True if a hub forwards the message to its own availability zone. */
	isForwarded: z.optional(z.boolean()),
});

/** A message between daemons. */
export type PeerMessage = z.infer<typeof messageSchema>;

/**
 * Validates a received message.
 *
 * @throws {MalformedDocumentError} if it does not match the schema
 */
export function decodePeerMessage(content: unknown): PeerMessage {
	return decodeContent('message', messageSchema, content);
}
