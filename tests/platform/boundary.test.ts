import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import test from 'ava';
import {WireHeader, wireKeys, wirePaths} from '../../src/platform/wire.js';

/** Protocol names that are also ordinary words. */
const commonWords = new Set<string>(['handover']);

const wireNames = [...Object.values(WireHeader), ...Object.values(wirePaths), ...Object.values(wireKeys)].filter(name => !commonWords.has(name));

test('should use the names of the platform\'s protocols only in src/platform', async t => {
	const entries = await readdir('src', {recursive: true, withFileTypes: true});
	for (const entry of entries) {
		const file = path.join(entry.parentPath, entry.name);
		if (!entry.isFile() || file.startsWith(path.join('src', 'platform'))) {
			continue;
		}

		// eslint-disable-next-line no-await-in-loop -- one file at a time.
		const text = await readFile(file, 'utf8');
		for (const name of wireNames) {
			t.false(text.toLowerCase().includes(`'${name}'`), `${file} contains ${name}`);
		}
	}
});

test('should document every setting of the platform\'s template', async t => {
	const template = await readFile('deploy/settings.template.json', 'utf8');
	const page = await readFile('docs/platform.md', 'utf8');
	for (const [, name] of template.matchAll(/^\t"(\w+)"/gmv)) {
		t.true(page.includes(`\`${name}\``), `missing ${name}`);
	}
});
