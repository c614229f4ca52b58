/**
 * Output of commands as text or JSON.
 */
import process from 'node:process';

/** Prints results on the standard output and progress on the standard error. */
export class Output {
	constructor(private readonly isJson: boolean) {}

	/** Prints a result: `lines` for people, `value` for programs. */
	result(value: unknown, lines: string[]): void {
		console.log(this.isJson ? JSON.stringify(value, undefined, 2) : lines.join('\n'));
	}

	/** Shows a progress line in place of the last one. */
	progress(text: string): void {
		if (!this.isJson && process.stderr.isTTY) {
			process.stderr.write(`\r${text}\u001B[K`);
		}
	}

	/** Clears the progress line. */
	endProgress(): void {
		if (!this.isJson && process.stderr.isTTY) {
			process.stderr.write('\r\u001B[K');
		}
	}
}

/** Formats rows as columns of equal width. */
export function columns(rows: string[][]): string[] {
	const widths = rows[0]?.map((_, index) => Math.max(...rows.map(row => (row[index] ?? '').length))) ?? [];
	return rows.map(row => row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd());
}
