import {Buffer} from 'node:buffer';
import test from 'ava';
import {MalformedDocumentError} from '../../src/model/errors.js';
import {decodeTarget} from '../../src/platform/documents.js';

const entry = {
	service: 'service', address: '10.0.0.1:80', zone: 'zone-a', version: 'v1', slots: 3, state: 'ready', warmupLeftMs: 0, sequence: 4, born: 1_800_000_000_000,
};

/** Levels that a conversion to text or a recursive reader does not survive. */
const deepLevels = 20_000;

/** Most characters of a line of the log about an entry. */
const maxLineCharacters = 4000;

const deepArray = `${'['.repeat(deepLevels)}${']'.repeat(deepLevels)}`;
const deepObject = `${'{"a":'.repeat(deepLevels)}1${'}'.repeat(deepLevels)}`;

/** The entry with a field replaced by, or extended with, JSON text that `JSON.stringify` would not write. */
function withField(name: string, json: string): string {
	const others = Object.entries(entry).filter(([field]) => field !== name).map(([field, value]) => `${JSON.stringify(field)}:${JSON.stringify(value)}`);
	return `{${[...others, `${JSON.stringify(name)}:${json}`].join(',')}}`;
}

const longText = JSON.stringify('x'.repeat(201));

const malformedFields: Record<string, string[]> = {
	address: [
		'"10.0.0.1:99999"',
		'"10.0.0.1:65536"',
		'"10.0.0.1:0"',
		'"10.0.0.1:-1"',
		'"10.0.0.1:080"',
		'"999.0.0.1:80"',
		'"256.0.0.1:80"',
		'"10.0.0.1"',
		'"10.0.0.1:"',
		'":80"',
		'"10.0.0.01:80"',
		'"host:80"',
		'"10.0.0.1:80 "',
		String.raw`"10.0.0.1:80\n"`,
		'"10.0.0.1:80:81"',
		'"::1:80"',
		'80',
		'null',
		'{}',
	],
	born: ['-1', '1.5', '1e400', '9007199254740991', '9007199254740992', '4102444800001', '"1800000000000"', 'null', 'true', '[1800000000000]'],
	slots: ['0', '-1', '-0', '2.5', '100001', '9007199254740991', '1e308', '1e400', '"3"', 'null', '[3]'],
	warmupLeftMs: ['-1', '-0.001', '3600001', '1e308', '1e400', '"0"', 'null', '{}'],
	sequence: ['-1', '0.5', '9007199254740992', '1e400', '"4"', 'null'],
	service: ['""', longText, '"__proto__"', String.raw`"service\u0000"`, String.raw`"service\n"`, String.raw`"service\ud800"`, String.raw`"service\ufffd"`, '7', 'null', '["service"]'],
	zone: ['""', longText, '"__proto__"', String.raw`"zone\u007f"`, '7', 'null', '{"zone":"zone-a"}'],
	version: ['""', longText, '"__proto__"', String.raw`"v1\r"`, '1', 'null', '["v1"]'],
	state: ['""', '"asleep"', '"Ready"', '"constructor"', '0', 'null', '["ready"]'],
};

const malformedEntries = [
	...Object.entries(malformedFields).flatMap(([field, values]) => [...values, deepArray, deepObject].map(json => ({title: `${field} ${json.slice(0, 40)}`, text: withField(field, json)}))),
	...Object.keys(entry).map(field => ({title: `no ${field}`, text: JSON.stringify({...entry, [field]: undefined})})),
	{title: 'a deep array in an unknown field', text: withField('unknown', deepArray)},
	{title: 'a deep object in an unknown field', text: withField('unknown', deepObject)},
	{title: 'a deep array in place of an object', text: deepArray},
	{title: 'a deep array without an end', text: '['.repeat(1_000_000)},
	{title: 'a deep object without an end', text: '{"a":'.repeat(1_000_000)},
	{title: 'a long string without an end', text: `"${String.raw`\"`.repeat(500_000)}`},
	{title: 'a huge unknown field', text: withField('unknown', JSON.stringify('x'.repeat(10_000_000)))},
	{title: 'a number of a million digits', text: withField('slots', '9'.repeat(1_000_000))},
	{title: 'NaN', text: withField('slots', 'NaN')},
	{title: 'Infinity', text: withField('warmupLeftMs', 'Infinity')},
	{title: 'no text', text: ''},
	{title: 'bytes that are no UTF-8', text: Buffer.from([0xFF, 0xFE, 0x7B, 0x7D]).toString('utf8')},
	{title: 'a service with bytes that are no UTF-8', text: Buffer.from(withField('service', '"serv\u00FFce"'), 'latin1').toString('utf8')},
	{title: 'a null', text: 'null'},
	{title: 'a string', text: '"ready"'},
];

for (const {title, text} of malformedEntries) {
	test(`should reject, with a short message and no other error, an entry with ${title}`, t => {
		const error = t.throws(() => decodeTarget('servers/i-1', text), {instanceOf: MalformedDocumentError});
		t.true(error.message.length <= maxLineCharacters, `${error.message.length} characters`);
	});
}

const malformedKeys = [
	{title: 'no id', key: 'servers/'},
	{title: 'an id that is not sent in a header', key: 'servers/i-1\n'},
	{title: 'an id with a space', key: 'servers/i 1'},
	{title: 'an id outside of ASCII', key: 'servers/í-1'},
	{title: 'an id that is the prototype of objects', key: 'servers/__proto__'},
	{title: 'an id that is too long', key: `servers/${'i'.repeat(201)}`},
];

for (const {title, key} of malformedKeys) {
	test(`should reject an entry whose key has ${title}`, t => {
		t.throws(() => decodeTarget(key, JSON.stringify(entry)), {instanceOf: MalformedDocumentError});
	});
}

const acceptedEntries: Array<{title: string; field: string; json: string}> = [
	{title: 'the first port', field: 'address', json: '"10.0.0.1:1"'},
	{title: 'the last port', field: 'address', json: '"255.0.0.1:65535"'},
	{title: 'the earliest start', field: 'born', json: '0'},
	{title: 'the latest start', field: 'born', json: '4102444800000'},
	{title: 'a whole number with an exponent', field: 'born', json: '18e11'},
	{title: 'one slot', field: 'slots', json: '1'},
	{title: 'the most slots', field: 'slots', json: '100000'},
	{title: 'the longest warm-up', field: 'warmupLeftMs', json: '3600000'},
	{title: 'a fraction of a millisecond', field: 'warmupLeftMs', json: '0.5'},
	{title: 'a service that names a property of objects', field: 'service', json: '"constructor"'},
	{title: 'a service outside of ASCII', field: 'service', json: '"größe 1"'},
	{title: 'the longest name', field: 'service', json: JSON.stringify('x'.repeat(200))},
	{title: 'an unknown field', field: 'unknown', json: String.raw`{"a": [{"b": null}], "[[[[[[[[[[[[[[[[[[[[[[": "\"[[[["}`},
	{title: 'an own field named like the prototype', field: '__proto__', json: '{"slots": 9}'},
];

for (const {title, field, json} of acceptedEntries) {
	test(`should accept an entry with ${title}`, t => {
		const target = decodeTarget('servers/i-1', withField(field, json));
		t.is(target.id, 'i-1');
		t.true(target.slots === 3 || field === 'slots');
	});
}
