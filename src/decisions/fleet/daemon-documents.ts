/**
 * Keys of the daemons' own data in the store, and decoders of these documents.
 */
import * as z from 'zod/mini';
import {MalformedDocumentError} from '../../model/errors.js';
import type {Member} from '../../model/fleet.js';

/** Prefix of all keys of the daemons. */
const prefix = 'eelgrasswheel/';

/** Keys in the store. */
export const storeKeys = {
	leader: `${prefix}leader`,
	members: `${prefix}members/`,
	assignments: `${prefix}assignments/`,
} as const;

const memberSchema = z.object({
	daemon: z.string().check(z.minLength(1)),
	availabilityZone: z.string(),
	ip: z.string(),
	port: z.int().check(z.minimum(1), z.maximum(65_535)),
	room: z.number(),
});

const leaderSchema = z.object({daemon: z.string()});

/**
 * Decodes the entry of a daemon.
 *
 * @throws {MalformedDocumentError}
 */
export function decodeMember(text: string): Member {
	return parse('member', memberSchema, text);
}

/**
 * Decodes the leader's key.
 *
 * @throws {MalformedDocumentError}
 */
export function decodeLeader(text: string): {daemon: string} {
	return parse('leader', leaderSchema, text);
}

function parse<Document>(name: string, schema: z.ZodMiniType<Document>, text: string): Document {
	let content: unknown;
	try {
		content = JSON.parse(text);
	} catch (error) {
		throw new MalformedDocumentError(name, [error instanceof Error ? error.message : String(error)]);
	}

	const parsed = schema.safeParse(content);
	if (!parsed.success) {
		throw new MalformedDocumentError(name, parsed.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`));
	}

	return parsed.data;
}
