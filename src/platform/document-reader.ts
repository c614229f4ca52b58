/**
 * Validates the fields of untrusted JSON documents and collects every fault.
 */
import {MalformedDocumentError} from '../model/errors.js';
import {parseAddress} from '../transport/address.js';

/** Longest name, in characters; a key of the store has at most 200 bytes. */
const longestName = 200;

/** Characters of a value, or of the path of a field, that a fault repeats. */
const shownCharacters = 60;

/** Most faults that are kept of one document; each may become a line of the log. */
export const faultLimit = 100;

/** Longest time that a document can state, in milliseconds: one day. A timer of more than 24 days ends at once. */
export const longestTimeMs = 86_400_000;

/** Bounds of a number; both ends are allowed. */
export type NumberBounds = {
	minimum?: number;
	maximum?: number;
	/** Replaces a malformed value; the minimum if not stated. */
	fallback?: number;
};

/** Bounds of a text. */
export type TextBounds = {
	/** Replaces a malformed value. */
	fallback?: string;
	/** Longest text, in characters; that of a name if not stated. */
	maxCharacters?: number;
};

/** Bounds of a document, which hold before any of it is decoded. */
export type DocumentBounds = {
	/** Most characters of the text. */
	maxCharacters: number;
	/** Most levels of objects and arrays; not bounded if not stated. */
	maxDepth?: number;
};

type Fields = Record<string, unknown>;

/** Reads the fields of one object. Readers of nested objects add to the same list of faults. */
export class DocumentReader {
	/** @throws {MalformedDocumentError} if the text is not a JSON object within the bounds */
	static parse(document: string, text: string, {maxCharacters, maxDepth}: DocumentBounds): DocumentReader {
		if (text.length > maxCharacters) {
			throw new MalformedDocumentError(document, [`expected at most ${maxCharacters} characters, found ${text.length}`]);
		}

		if (maxDepth !== undefined && exceedsDepth(text, maxDepth)) {
			throw new MalformedDocumentError(document, [`expected at most ${maxDepth} levels`]);
		}

		let value: unknown;
		try {
			value = JSON.parse(text);
		} catch (error) {
			throw new MalformedDocumentError(document, [error instanceof Error ? error.message : String(error)]);
		}

		return new DocumentReader(document, value);
	}

	private readonly fields: Fields;
	private readonly path: string;

	constructor(path: string, value: unknown, private readonly faults: string[] = []) {
		this.path = shorten(path);
		if (!isObject(value)) {
			this.fields = {};
			this.addFault('expected an object');
			return;
		}

		this.fields = value;
	}

	/** True if this reader, or another reader of the same document, found a fault. */
	get hasFaults(): boolean {
		return this.faults.length > 0;
	}

	get foundFaults(): readonly string[] {
		return this.faults;
	}

	addFault(detail: string): void {
		this.pushFault(`${this.path}: ${detail}`);
	}

	text(name: string, {fallback = '', maxCharacters = longestName}: TextBounds = {}): string {
		if (!this.hasText(name)) {
			return this.addTypeFault(name, 'a non-empty string', fallback);
		}

		const value = this.fields[name] as string;
		return isReadable(value, maxCharacters) ? value : this.addTypeFault(name, `at most ${maxCharacters} characters, none of them unreadable`, fallback);
	}

	integer(name: string, {minimum = 0, maximum = Number.MAX_SAFE_INTEGER, fallback = minimum}: NumberBounds = {}): number {
		const value = this.fields[name];
		return Number.isSafeInteger(value) && isWithin(value, minimum, maximum) ? value : this.addTypeFault(name, `an integer from ${minimum} to ${maximum}`, fallback);
	}

	number(name: string, {minimum = 0, maximum = Number.MAX_SAFE_INTEGER, fallback = minimum}: NumberBounds = {}): number {
		const value = this.fields[name];
		return isWithin(value, minimum, maximum) ? value : this.addTypeFault(name, `a number from ${minimum} to ${maximum}`, fallback);
	}

	oneOf<Choice extends string>(name: string, choices: readonly Choice[]): Choice {
		const value = this.fields[name];
		return choices.includes(value as Choice) ? value as Choice : this.addTypeFault(name, `one of ${choices.join(', ')}`, choices[0]);
	}

	/** IPv4 address and port. */
	address(name: string): string {
		const value = this.fields[name];
		return typeof value === 'string' && parseAddress(value) ? value : this.addTypeFault(name, 'IP:PORT', '');
	}

	/** The value of a field as it was parsed. */
	raw(name: string): unknown {
		return this.fields[name];
	}

	list(name: string): unknown[] {
		const value = this.fields[name];
		return Array.isArray(value) ? value : this.addTypeFault<unknown[]>(name, 'an array', []);
	}

	object(name: string): DocumentReader {
		return new DocumentReader(`${this.path}.${name}`, this.fields[name], this.faults);
	}

	has(name: string): boolean {
		return this.fields[name] !== undefined && this.fields[name] !== null;
	}

	/** True if a field is a non-empty string. */
	hasText(name: string): boolean {
		const value = this.fields[name];
		return typeof value === 'string' && value !== '';
	}

	/** A boolean field: false if it is missing, `fallback` if it is malformed. */
	boolean(name: string, fallback: boolean): boolean {
		const value = this.has(name) ? this.fields[name] : false;
		return typeof value === 'boolean' ? value : this.addTypeFault(name, 'true or false', fallback);
	}

	listItem(index: number, value: unknown): DocumentReader {
		return new DocumentReader(`${this.path}[${index}]`, value, this.faults);
	}

	/** @throws {MalformedDocumentError} if a fault was found */
	throwOnFaults(): void {
		if (this.faults.length > 0) {
			throw new MalformedDocumentError(this.path, this.faults);
		}
	}

	private addTypeFault<Value>(name: string, expected: string, fallback: Value): Value {
		this.pushFault(`${this.path}.${name}: expected ${expected}, found ${describe(this.fields[name])}`);
		return fallback;
	}

	private pushFault(fault: string): void {
		if (this.faults.length < faultLimit) {
			this.faults.push(fault);
		}
	}
}

/** True if a text can name a service, an availability zone or a target: daemons use such names as keys of their messages. */
export function isName(text: string): boolean {
	return text !== '' && isReadable(text, longestName);
}

function isReadable(text: string, maxCharacters: number): boolean {
	return text.length <= maxCharacters && text !== '__proto__' && !/[\p{Cc}\p{Cs}\uFFFD]/v.test(text);
}

function isObject(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isWithin(value: unknown, minimum: number, maximum: number): value is number {
	return typeof value === 'number' && value >= minimum && value <= maximum;
}

/** Describes a value without its contents: a deeply nested one cannot be converted to text. */
function describe(value: unknown): string {
	if (typeof value === 'string') {
		return JSON.stringify(shorten(value));
	}

	if (typeof value === 'object' && value !== null) {
		return Array.isArray(value) ? 'an array' : 'an object';
	}

	return String(value);
}

function shorten(text: string): string {
	return text.length > shownCharacters ? `${text.slice(0, shownCharacters)}…` : text;
}

/** True if objects and arrays are nested deeper than a limit. */
function exceedsDepth(text: string, limit: number): boolean {
	let depth = 0;
	let isInString = false;
	for (let index = 0; index < text.length && depth <= limit; index += 1) {
		switch (text[index]) {
			case '"': {
				isInString = !isInString;
				break;
			}

			case '\\': {
				// Skips the escaped character, which may be a quote.
				index += 1;
				break;
			}

			case '[':
			case '{': {
				depth += isInString ? 0 : 1;
				break;
			}

			case ']':
			case '}': {
				depth -= isInString ? 0 : 1;
				break;
			}

			default: {
				break;
			}
		}
	}

	return depth > limit;
}
