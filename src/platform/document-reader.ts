/**
 * Reads fields of a document from outside and collects every fault.
 */
import {MalformedDocumentError} from '../model/errors.js';

type Fields = Record<string, unknown>;

/** Reader of one object; nested readers share the faults. */
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

	/** True if this reader, or one that shares its faults, found a fault. */
	get hasFaults(): boolean {
		return this.faults.length > 0;
	}

	get foundFaults(): readonly string[] {
		return this.faults;
	}

	noteFault(detail: string): void {
		this.faults.push(`${this.path}: ${detail}`);
	}

	text(name: string, fallback = ''): string {
		const value = this.fields[name];
		return this.hasText(name) ? value as string : this.fault(name, 'a text that is not empty', fallback);
	}

	whole(name: string, minimum = 0, fallback = minimum): number {
		const value = this.fields[name];
		return Number.isSafeInteger(value) && (value as number) >= minimum ? value as number : this.fault(name, `a whole number from ${minimum}`, fallback);
	}

	number(name: string, minimum = 0, fallback = minimum): number {
		const value = this.fields[name];
		return typeof value === 'number' && Number.isFinite(value) && value >= minimum ? value : this.fault(name, `a number from ${minimum}`, fallback);
	}

	oneOf<Choice extends string>(name: string, choices: readonly Choice[]): Choice {
		const value = this.fields[name];
		return choices.includes(value as Choice) ? value as Choice : this.fault(name, `one of ${choices.join(', ')}`, choices[0]);
	}

	/** IPv4 address and port. */
	address(name: string): string {
		const value = this.fields[name];
		return typeof value === 'string' && /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v.test(value) ? value : this.fault(name, 'IP:PORT', '');
	}

	list(name: string): unknown[] {
		const value = this.fields[name];
		return Array.isArray(value) ? value : this.fault<unknown[]>(name, 'a list', []);
	}

	object(name: string): DocumentReader {
		return new DocumentReader(`${this.path}.${name}`, this.fields[name], this.faults);
	}

	has(name: string): boolean {
		return this.fields[name] !== undefined && this.fields[name] !== null;
	}

	/** True if a field holds a text that is not empty. */
	hasText(name: string): boolean {
		const value = this.fields[name];
		return typeof value === 'string' && value !== '';
	}

	/** A field that is false if it is missing. */
	isTrue(name: string, fallback: boolean): boolean {
		const value = this.has(name) ? this.fields[name] : false;
		return typeof value === 'boolean' ? value : this.fault(name, 'true or false', fallback);
	}

	entry(index: number, value: unknown): DocumentReader {
		return new DocumentReader(`${this.path}[${index}]`, value, this.faults);
	}

	/** @throws {MalformedDocumentError} if any field had a fault */
	finish(): void {
		if (this.faults.length > 0) {
			throw new MalformedDocumentError(this.path, this.faults);
		}
	}

	private fault<Value>(name: string, expected: string, fallback: Value): Value {
		this.faults.push(`${this.path}.${name}: expected ${expected}, found ${JSON.stringify(this.fields[name])}`);
		return fallback;
	}
}

function isObject(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
