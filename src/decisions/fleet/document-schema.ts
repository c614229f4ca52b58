/**
 * Decodes documents and messages by their schemas.
 */
import * as z from 'zod/mini';
import {MalformedDocumentError} from '../../model/errors.js';

/** Most faults that are kept of one document. */
const faultLimit = 100;

/** Longest name of a daemon, an availability zone or a service, in characters; a key of the store has at most 200 bytes. */
const longestName = 200;

/** A count, a revision or a version. */
export const counter = z.int().check(z.nonnegative());

/** A name that the store's keys and the headers of messages hold. */
export const documentName = z.string().check(z.minLength(1), z.maxLength(longestName));

/**
 * Decodes the JSON text of a document.
 *
 * @throws {MalformedDocumentError} if it does not match the schema
 */
export function decodeDocument<Document>(name: string, schema: z.ZodMiniType<Document>, text: string): Document {
	let content: unknown;
	try {
		content = JSON.parse(text);
	} catch (error) {
		throw new MalformedDocumentError(name, [error instanceof Error ? error.message : String(error)]);
	}

	return decodeContent(name, schema, content);
}

/**
 * Validates content that was parsed from JSON.
 *
 * @throws {MalformedDocumentError} if it does not match the schema
 */
export function decodeContent<Document>(name: string, schema: z.ZodMiniType<Document>, content: unknown): Document {
	const parsed = schema.safeParse(content);
	if (!parsed.success) {
		throw new MalformedDocumentError(name, parsed.error.issues.slice(0, faultLimit).map(({path, message}) => `${path.join('.')}: ${message}`));
	}

	return parsed.data;
}
