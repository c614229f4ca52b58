import {readFile} from 'node:fs/promises';
import test from 'ava';
import {knownRed} from '../bench/matrix/cells.js';
import {flagName, settingSpecs} from '../src/daemon/settings.js';
import {ErrorCode, NotRunReason} from '../src/model/errors.js';
import {LogEvent} from '../src/model/events.js';
import {ContractHeader, contractPaths} from '../src/model/headers.js';

async function read(path: string): Promise<string> {
	return readFile(path, 'utf8');
}

test('should list every log event with its number', async t => {
	const text = await read('docs/events.md');
	for (const [name, number] of Object.entries(LogEvent).filter(([, value]) => typeof value === 'number')) {
		t.true(text.includes(`| ${number} | ${name} |`), `${number} ${name}`);
	}
});

test('should list every setting with flag, variable and default', async t => {
	const text = await read('docs/settings.md');
	for (const spec of settingSpecs) {
		const row = `| \`${flagName(spec)}\` | \`${spec.variable}\` | ${spec.expected} | ${spec.fallback ?? 'required'} |`;
		t.true(text.includes(row), `missing ${row}`);
	}
});

test('should document every header and path of the target contract', async t => {
	const text = await read('docs/targets.md');
	for (const word of [...Object.values(ContractHeader), ...Object.values(contractPaths)]) {
		t.true(text.includes(`\`${word}\``), `missing ${word}`);
	}
});

test('should document every error code and reason for operators', async t => {
	const text = await read('docs/operators.md');
	for (const code of [...Object.values(ErrorCode), ...Object.values(NotRunReason)]) {
		t.true(text.includes(`\`${code}\``), `missing ${code}`);
	}
});

test('should list every cell that is known to fail', async t => {
	const text = await read('KNOWN-RED.txt');
	for (const {fault, step} of knownRed) {
		t.true(text.includes(`"${fault}"`) && text.includes(`"${step}"`), `${fault} at ${step}`);
	}
});
