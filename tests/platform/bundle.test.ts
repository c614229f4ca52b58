import {execFile} from 'node:child_process';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'ava';
import {settingsVariable} from '../../src/platform/settings.js';

type ProcessResult = {code: number; errors: string};

/** Options of node in the deploy file. */
async function runOptions(): Promise<string[]> {
	const text = await readFile('deploy/system.toml', 'utf8');
	return /^run = "node (?<options>.*) \S+"$/mv.exec(text)?.groups?.options?.split(' ') ?? [];
}

async function runNode(parameters: string[], environment: Record<string, string> = {}, options: string[] = []): Promise<ProcessResult> {
	return new Promise(resolve => {
		execFile(process.execPath, [...options, ...parameters], {env: {...process.env, ...environment}}, (error, _output, errors) => {
			resolve({code: Number(error?.code ?? 0), errors});
		});
	});
}

let folder = '';
let program = '';

test.before(async () => {
	folder = await mkdtemp(path.join(tmpdir(), 'eelgrasswheel-bundle-'));
	await runNode(['deploy/bundle.mjs', path.join(folder, 'target')]);
	program = path.join(folder, 'target', 'eelgrasswheeld.cjs');
});

test.after.always(async () => {
	await rm(folder, {recursive: true, force: true});
});

async function readProgram(): Promise<string> {
	return readFile(path.join(folder, 'target', 'daemon.cjs'), 'utf8');
}

for (const part of ['zipkin', 'kafkajs', 'xn--', 'globstar']) {
	test(`should leave code that the daemon does not use out of the bundle: ${part}`, async t => {
		const text = await readProgram();
		t.false(text.includes(part));
	});
}

test('should accept the code cache that was compiled in advance', async t => {
	const {code, errors} = await runNode(['--input-type=commonjs', '--eval', `
		const {compile} = require(${JSON.stringify(program)});
		const {readFileSync} = require('node:fs');
		const code = readFileSync(${JSON.stringify(path.join(folder, 'target', 'daemon.code'))});
		process.exitCode = compile(code).cachedDataRejected === false ? 0 : 7;
	`], {}, await runOptions());
	t.is(errors, '');
	t.is(code, 0);
});

test('should exit with code 2 and print a line for each fault of the settings', async t => {
	const settings = path.join(folder, 'settings.json');
	await writeFile(settings, JSON.stringify({daemon: 7, availabilityZone: 'zone'}));
	const {code, errors} = await runNode([program], {[settingsVariable]: settings});
	t.is(code, 2);
	t.regex(errors, /daemon/v);
	t.regex(errors, /storeAddress/v);
	t.true(errors.trim().split('\n').length > 5);
});
