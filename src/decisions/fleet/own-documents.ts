/**
 * Keys and documents that the daemons keep in the store.
 */
import {MalformedDocumentError} from '../../model/errors.js';
import type {Member} from '../../model/fleet.js';
import {lastKey, type KeyAssignment} from '../../model/key-ownership.js';

/** Prefix of all keys of the daemons. */
const prefix = 'eelgrasswheel/';

/** Keys in the store. */
export const storeKeys = {
	leader: `${prefix}leader`,
	members: `${prefix}members/`,
	assignments: `${prefix}assignments/`,
} as const;

/**
 * Decodes an assignment.
 *
 * @throws {MalformedDocumentError} unless the ranges cover every key once
 */
export function decodeAssignment(text: string): KeyAssignment {
	const assignment = parse<KeyAssignment>('assignment', text);
	let next = 0;
	for (const {first, last} of assignment.ranges) {
		if (first !== next || last < first) {
			throw new MalformedDocumentError('assignment', [`expected a range from ${next}, found ${first} to ${last}`]);
		}

		next = last + 1;
	}

	if (next !== lastKey + 1) {
		throw new MalformedDocumentError('assignment', [`the ranges end before key ${next}`]);
	}

	return assignment;
}

/** Decodes the entry of a daemon. */
export function decodeMember(text: string): Member {
	return parse<Member>('member', text);
}

/** Decodes the leader's key. */
export function decodeLeader(text: string): {daemon: string} {
	return parse<{daemon: string}>('leader', text);
}

function parse<Document>(name: string, text: string): Document {
	try {
		return JSON.parse(text) as Document;
	} catch (error) {
		throw new MalformedDocumentError(name, [error instanceof Error ? error.message : String(error)]);
	}
}
