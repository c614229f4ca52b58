/**
 * Keys of the daemons' own data in the store, and decoders of these documents.
 */
import * as z from 'zod/mini';
import {MalformedDocumentError} from '../../model/errors.js';
import type {Member} from '../../model/fleet.js';
import {counter, decodeDocument, documentName} from './document-schema.js';

/** Prefix of all keys of the daemons. */
const prefix = 'eelgrasswheel/';

/** Keys in the store. */
export const storeKeys = {
	leader: `${prefix}leader`,
	members: `${prefix}members/`,
	assignments: `${prefix}assignments/`,
} as const;

/** Most spare capacity of a VM, in cores; the members with the most become hubs and leaders. */
const maxRoom = 4096;

const memberSchema = z.object({
	daemon: documentName,
	availabilityZone: documentName,
	ip: z.ipv4(),
	port: z.int().check(z.minimum(1), z.maximum(65_535)),
	room: z.number().check(z.minimum(0), z.maximum(maxRoom)),
});

const leaderSchema = z.object({
	daemon: documentName,
	/** Era of the store in which the daemon acquired leadership; missing while none is known. */
	era: z.optional(counter),
});

/**
 * Decodes the entry of a daemon.
 *
 * @param daemon name of the daemon in the entry's key
 * @throws {MalformedDocumentError} also if the entry names another daemon
 */
export function decodeMember(daemon: string, text: string): Member {
	const member = decodeDocument('member', memberSchema, text);
	if (member.daemon !== daemon) {
		throw new MalformedDocumentError('member', ['daemon: expected the name in the key']);
	}

	return member;
}

/**
 * Decodes the leader's key.
 *
 * @throws {MalformedDocumentError}
 */
export function decodeLeader(text: string): z.infer<typeof leaderSchema> {
	return decodeDocument('leader', leaderSchema, text);
}
