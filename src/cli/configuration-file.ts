/**
 * Check of a configuration file of the users' platform.
 */
import {readFile} from 'node:fs/promises';
import {checkConfiguration, type ConfigurationReport} from '../decisions/configuration-check.js';
import {ErrorCode, MalformedDocumentError} from '../model/errors.js';
import type {RouteConfiguration} from '../model/route-configuration.js';
import {decodeConfiguration} from '../platform/documents.js';
import {CommandFailure, ExitCode} from './command-failure.js';

/** Exit codes of a check, for scripts. Differences alone do not change it. */
export enum CheckExitCode {
	Clean = 0,
	Warnings = 1,
	Errors = 2,
}

/**
 * Checks a file, and compares it with the file of the active configuration if there is one.
 *
 * @throws {CommandFailure} if a file cannot be read, or the active configuration cannot be decoded
 */
export async function checkConfigurationFile(path: string, activePath?: string): Promise<ConfigurationReport> {
	const active = activePath === undefined ? undefined : decode(await read(activePath));
	if (active instanceof MalformedDocumentError) {
		throw unreadable(activePath ?? '', active);
	}

	// Not given the active configuration: the check must not fill malformed fields in from it.
	const configuration = decode(await read(path));
	return configuration instanceof MalformedDocumentError
		? {errors: configuration.faults, warnings: [], differences: []}
		: checkConfiguration(configuration, active);
}

export function exitCodeOf({errors, warnings}: ConfigurationReport): CheckExitCode {
	if (errors.length > 0) {
		return CheckExitCode.Errors;
	}

	return warnings.length > 0 ? CheckExitCode.Warnings : CheckExitCode.Clean;
}

function decode(text: string): RouteConfiguration | MalformedDocumentError {
	try {
		return decodeConfiguration(text);
	} catch (error) {
		if (error instanceof MalformedDocumentError) {
			return error;
		}

		throw error;
	}
}

async function read(path: string): Promise<string> {
	try {
		return await readFile(path, 'utf8');
	} catch (error) {
		throw unreadable(path, error);
	}
}

function unreadable(path: string, error: unknown): CommandFailure {
	return new CommandFailure(ErrorCode.BadRequest, `${path} cannot be read: ${error instanceof Error ? error.message : String(error)}`, 'Give the JSON document of a configuration.', ExitCode.Usage);
}
