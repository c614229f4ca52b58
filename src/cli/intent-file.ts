/**
 * Reading of intents from files.
 */
import {readFile} from 'node:fs/promises';
import {parse} from 'yaml';
import {ErrorCode} from '../model/errors.js';
import {intentSchema, type Intent} from '../model/plan.js';
import {CommandFailure, ExitCode} from './command-failure.js';

/**
 * Reads an intent from a JSON or YAML file.
 *
 * @throws {CommandFailure} that lists every invalid field
 */
export async function readIntent(path: string): Promise<Intent> {
	const parsed = intentSchema.safeParse(await parseFile(path));
	if (parsed.success) {
		return parsed.data;
	}

	const problems = parsed.error.issues.map(issue => `  ${issue.path.join('.') || '(top)'}: ${issue.message}`);
	throw new CommandFailure(ErrorCode.InvalidIntent, [`${path} is not a valid intent:`, ...problems].join('\n'), 'Correct the fields; docs/operators.md describes them.', ExitCode.Usage);
}

async function parseFile(path: string): Promise<unknown> {
	try {
		return parse(await readFile(path, 'utf8')) as unknown;
	} catch (error) {
		throw new CommandFailure(ErrorCode.InvalidIntent, `${path} cannot be read: ${error instanceof Error ? error.message : String(error)}`, 'Give a JSON or YAML file.', ExitCode.Usage);
	}
}
