/**
 * Decodes the answers of the platform's store.
 */
import {Buffer} from 'node:buffer';
import type {
	StoreChange, StoreChanges, StoredItem, StoreLease,
} from '../model/coordination-store.js';
import {MalformedDocumentError} from '../model/errors.js';
import {highestEra} from '../model/store-era.js';
import {DocumentReader} from './document-reader.js';

/** Name of an answer in faults. */
const document = 'answer of the store';

/** Longest key in bytes, as the store promises. */
const maxKeyBytes = 200;

/** Longest lease in milliseconds that the store grants: ten minutes. */
const maxLeaseMs = 600_000;

/** Value of an item whose own cannot be read. No decoder of a document accepts it, so that the key counts as malformed. */
const unreadableValue = '';

/** An era as the store writes it: a whole number without sign or leading zero. */
const eraPattern = /^(?:0|[1-9]\d{0,9})$/v;

/** One page of a listing. */
export type StorePage = {
	items: StoredItem[];
	/** Key after which the next page starts; undefined on the last page. */
	nextAfter: string | undefined;
	revision: number;
};

/**
 * Decodes a page. An item without a readable key or revision is left out and reported in `faults`.
 *
 * @param after key after which the page starts
 * @throws {MalformedDocumentError} if the revision, the list or the start of the next page cannot be read
 */
export function decodePage(text: string, after: string | undefined, faults: string[]): StorePage {
	const reader = parse(text);
	const revision = reader.integer('storeRevision', {minimum: 1});
	const values = reader.list('items');
	const hasMore = Boolean(reader.raw('hasMore')) && values.length > 0;
	const nextAfter = hasMore ? readKey(new DocumentReader('item', values.at(-1))) : undefined;
	if (hasMore && (nextAfter === undefined || nextAfter === after)) {
		reader.addFault('the next page does not start after this one');
	}

	reader.throwOnFaults();
	return {items: decodeEach(values, faults, decodeItemFields), nextAfter, revision};
}

/**
 * Decodes the answer to a watch. An event without a readable key or revision is left out and reported in `faults`.
 *
 * @throws {MalformedDocumentError} if the revision or the list cannot be read
 */
export function decodeChanges(text: string, faults: string[]): StoreChanges {
	const reader = parse(text);
	const revision = reader.integer('storeRevision', {minimum: 1});
	const values = reader.list('events');
	reader.throwOnFaults();
	return {changes: decodeEach(values, faults, decodeChange), revision};
}

/** @throws {MalformedDocumentError} unless the answer is the item with this key */
export function decodeItem(text: string, key: string): StoredItem {
	const reader = parse(text);
	const item = decodeItemFields(reader);
	if (item?.key !== key) {
		throw new MalformedDocumentError(document, [...reader.foundFaults, 'expected the item that was requested']);
	}

	return item;
}

/** @throws {MalformedDocumentError} */
export function decodeLease(text: string): StoreLease {
	const reader = parse(text);
	const lease = {id: reader.integer('lease', {minimum: 1}), durationMs: reader.integer('ttlMs', {minimum: 1, maximum: maxLeaseMs})};
	reader.throwOnFaults();
	return lease;
}

/** @throws {MalformedDocumentError} */
export function decodeRevision(text: string): number {
	const reader = parse(text);
	const revision = reader.integer('revision', {minimum: 1});
	reader.throwOnFaults();
	return revision;
}

/** Reads the era of the store from a header; undefined if it is missing or cannot be read. */
export function decodeEra(header: string | string[] | undefined): number | undefined {
	const era = typeof header === 'string' && eraPattern.test(header) ? Number(header) : undefined;
	return era !== undefined && era <= highestEra ? era : undefined;
}

/** Calls have a bound on the size of their answers already. */
function parse(text: string): DocumentReader {
	return DocumentReader.parse(document, text, {maxCharacters: Infinity});
}

function decodeEach<Item>(values: readonly unknown[], faults: string[], decode: (reader: DocumentReader) => Item | undefined): Item[] {
	const items: Item[] = [];
	for (const [index, value] of values.entries()) {
		const reader = new DocumentReader(`item ${index}`, value);
		const item = decode(reader);
		if (item) {
			items.push(item);
		} else {
			faults.push(...reader.foundFaults);
		}
	}

	return items;
}

function decodeChange(reader: DocumentReader): StoreChange | undefined {
	const item = decodeItemFields(reader);
	return item && reader.raw('tombstone') ? {...item, value: undefined} : item;
}

/** Returns undefined if key or revision cannot be read. */
function decodeItemFields(reader: DocumentReader): StoredItem | undefined {
	const key = readKey(reader) ?? '';
	const revision = reader.integer('revision', {minimum: 1});
	return reader.hasFaults ? undefined : {key, value: decodeValue(reader.raw('value')), revision};
}

function readKey(reader: DocumentReader): string | undefined {
	const key = reader.raw('key');
	if (typeof key === 'string' && key !== '' && Buffer.byteLength(key) <= maxKeyBytes) {
		return key;
	}

	reader.addFault('expected a key');
	return undefined;
}

/** Node.js skips characters that are no base64, which shows in the length. */
function decodeValue(value: unknown): string {
	if (typeof value !== 'string') {
		return unreadableValue;
	}

	const bytes = Buffer.from(value, 'base64');
	const isWhole = Math.ceil(bytes.length / 3) * 4 === value.length;
	return isWhole ? bytes.toString('utf8') : unreadableValue;
}
