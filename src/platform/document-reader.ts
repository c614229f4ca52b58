/**
 * Validates the fields of untrusted JSON documents and collects every fault.
 */
import {MalformedDocumentError} from '../model/errors.js';

type Fields = Record<string, unknown>;

/** Reads the fields of one object. Readers of nested objects add to the same list of faults. */
export class DocumentReader {
	/** @throws {MalformedDocumentError} if the text is not a JSON object */
	static parse(document: string, text: string): DocumentReader {
		let value: unknown;
		try {
			value = JSON.parse(text);
		} catch (error) {
			throw new MalformedDocumentError(document, [error instanceof Error ? error.message : String(error)]);
		}

		return new DocumentReader(document, value);
	}

	private readonly fields: Fields;

	constructor(private readonly path: string, value: unknown, private readonly faults: string[] = []) {
		if (!isObject(value)) {
			this.fields = {};
			faults.push(`${path}: expected an object`);
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
		this.faults.push(`${this.path}: ${detail}`);
	}

	text(name: string, fallback = ''): string {
		const value = this.fields[name];
		return this.hasText(name) ? value as string : this.addTypeFault(name, 'a non-empty string', fallback);
	}

	integer(name: string, minimum = 0, fallback = minimum): number {
		const value = this.fields[name];
		return Number.isSafeInteger(value) && (value as number) >= minimum ? value as number : this.addTypeFault(name, `an integer of at least ${minimum}`, fallback);
	}

	number(name: string, minimum = 0, fallback = minimum): number {
		const value = this.fields[name];
		return typeof value === 'number' && Number.isFinite(value) && value >= minimum ? value : this.addTypeFault(name, `a number of at least ${minimum}`, fallback);
	}

	oneOf<Choice extends string>(name: string, choices: readonly Choice[]): Choice {
		const value = this.fields[name];
		return choices.includes(value as Choice) ? value as Choice : this.addTypeFault(name, `one of ${choices.join(', ')}`, choices[0]);
	}

	/** IPv4 address and port. */
	address(name: string): string {
		const value = this.fields[name];
		return typeof value === 'string' && /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v.test(value) ? value : this.addTypeFault(name, 'IP:PORT', '');
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
		this.faults.push(`${this.path}.${name}: expected ${expected}, found ${JSON.stringify(this.fields[name])}`);
		return fallback;
	}
}

function isObject(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
