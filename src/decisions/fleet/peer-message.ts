/**
 * Messages between daemons, and the check of what was received.
 */
import * as z from 'zod/mini';
import {MalformedDocumentError} from '../../model/errors.js';
import {lastKey} from '../../model/key-ownership.js';
import {assignmentChangeSchema} from './assignment-codec.js';

const counter = z.int().check(z.nonnegative());

/** Revisions by service. */
const revisionsSchema = z.record(z.string(), counter);

const loadSchema = z.object({
	/** Requests in flight by target. */
	inFlight: z.record(z.string(), counter),
	/** Count and total service time in milliseconds of answers since the last report, by target. */
	samples: z.record(z.string(), z.tuple([z.int().check(z.positive()), z.number().check(z.nonnegative())])),
});

const updateSchema = z.object({
	/** Revision up to which the receiver has to know everything. */
	after: counter,
	/** Without a value, the key was removed, unless the value is omitted. */
	changes: z.array(z.object({
		key: z.string(), value: z.optional(z.string()), revision: counter, isOmitted: z.optional(z.boolean()),
	})),
	/** Revision up to which the receiver then knows everything. */
	revision: counter,
	/** True if the changes were made from a listing, so that the receiver has to be at exactly the revision `after`. */
	isListing: z.optional(z.boolean()),
});

const messageSchema = z.object({
	daemon: z.string().check(z.minLength(1)),
	availabilityZone: z.string(),
	/** Revision of the store up to which the sender knows everything. */
	revision: counter,
	/** Revisions of the assignments that the sender knows. */
	assignments: revisionsSchema,
	isStoreReachable: z.boolean(),
	/** Version of the configuration that the sender has in force. */
	configurationVersion: z.optional(counter),
	/** Load that the sender puts on targets. */
	load: z.optional(loadSchema),
	/** Load that all daemons of the sender's availability zone put on targets. */
	zoneLoad: z.optional(loadSchema),
	/** From the hub to its own availability zone: the daemon that is to watch the store; nothing if none reaches it. */
	watcher: z.optional(z.string()),
	/** Changes that the sender has read from the store; assignments are sent by themselves. */
	update: z.optional(updateSchema),
	/** Keys that were asked for since the last message, by service; only the leader gets them. */
	keys: z.optional(z.record(z.string(), z.array(z.int().check(z.minimum(0), z.maximum(lastKey))))),
	/** Owners that changed. */
	change: z.optional(assignmentChangeSchema),
	/**
	 * What the sender lacks: changes of the store after a revision, assignments after the revisions that it knows, and evidence
	 * that its configuration is the newest one, as the answer to a numbered question.
	 */
	wants: z.optional(z.object({after: z.optional(counter), assignments: z.optional(revisionsSchema), evidence: z.optional(counter)})),
	/** Answer to such a question: the newest version, and how long ago the sender knew that it was. */
	evidence: z.optional(z.object({question: counter, version: counter, ageMs: counter})),
	/** True if a hub passes the message on to its own availability zone. */
	isForwarded: z.optional(z.boolean()),
});

/** A message between daemons. */
export type PeerMessage = z.infer<typeof messageSchema>;

/**
 * Checks a message that was received.
 *
 * @throws {MalformedDocumentError} if it is none
 */
export function decodePeerMessage(content: unknown): PeerMessage {
	const parsed = messageSchema.safeParse(content);
	if (!parsed.success) {
		throw new MalformedDocumentError('message', parsed.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`));
	}

	return parsed.data;
}
