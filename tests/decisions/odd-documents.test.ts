import test from 'ava';
import {decodeAssignment} from '../../src/decisions/fleet/assignment-codec.js';
import {decodeLeader, decodeMember, storeKeys} from '../../src/decisions/fleet/daemon-documents.js';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {decodePeerMessage} from '../../src/decisions/fleet/peer-message.js';
import {ViewWriter} from '../../src/decisions/fleet/view-writer.js';
import {MalformedDocumentError} from '../../src/model/errors.js';
import {LogEvent} from '../../src/model/events.js';
import {configurationDocument, documents} from '../../standins/scripted-store.js';

/** Most characters of a line of the log about a document. */
const maxLineCharacters = 4000;

const deep = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;
const longName = 'x'.repeat(201);
const largest = Number.MAX_SAFE_INTEGER;

const member = {
	daemon: 'daemon-1', availabilityZone: 'zone-a', ip: '10.0.0.1', port: 7000, room: 2,
};

const assignment = {
	service: 'service', fence: 3, writeId: 'daemon-1/5/1', owners: [['target-1', 1, '10.0.0.1:80']], ranges: [[0, 32_767, 0, 1, [], 0], [32_768, 65_535, 0, 2, [0], 1]],
};

const entry = {
	service: 'service', address: '10.0.0.1:80', zone: 'zone-a', version: 'v1', slots: 3, state: 'ready', warmupLeftMs: 0, sequence: 4, born: 1,
};

const message = {
	daemon: 'daemon-1', availabilityZone: 'zone-a', revision: 9, assignments: {service: 5}, isStoreReachable: true,
};

type OddDocument = {title: string; text: string};

type Decoder = {
	title: string;
	good: unknown;
	odd: OddDocument[];
	decode(text: string): unknown;
};

/** Texts that are no document of any kind. */
const oddTexts: OddDocument[] = [
	{title: 'no text', text: ''},
	{title: 'a null', text: 'null'},
	{title: 'a number', text: '1e400'},
	{title: 'an array', text: '[]'},
	{title: 'no field', text: '{}'},
	{title: 'an unreadable byte', text: '\uFFFD{}'},
	{title: 'a deep array', text: deep},
	{title: 'a deep array without an end', text: '['.repeat(1_000_000)},
	{title: 'a long string without an end', text: `"${String.raw`\"`.repeat(500_000)}`},
];

function variants(good: Record<string, unknown>, fields: Record<string, unknown[]>): OddDocument[] {
	return Object.entries(fields).flatMap(([field, values]) => [
		...values.map((value, index) => ({title: `${field} number ${index + 1}, ${JSON.stringify(value).slice(0, 60)}`, text: JSON.stringify({...good, [field]: value})})),
		{title: `a deep ${field}`, text: JSON.stringify({...good, [field]: '?'}).replace('"?"', deep)},
		{title: `a ${field} of 1e400`, text: JSON.stringify({...good, [field]: '?'}).replace('"?"', '1e400')},
	]);
}

const decoders: Decoder[] = [
	{
		title: 'the entry of a daemon',
		decode: text => decodeMember('daemon-1', text),
		good: member,
		odd: variants(member, {
			daemon: ['', 'daemon-2', longName, 7, null],
			availabilityZone: ['', longName, 7, null],
			ip: ['', '999.0.0.1', '10.0.0', 'host', '10.0.0.1:80', '::1', 7, null],
			port: [0, -1, 65_536, 99_999, 1.5, '7000', null],
			room: [-1, 4097, 1e308, '2', null],
		}),
	},
	{
		title: 'the key of the leader',
		decode: decodeLeader,
		good: {daemon: 'daemon-1', lease: 5},
		odd: variants({daemon: 'daemon-1', lease: 5}, {daemon: ['', longName, 7, null, {}]}),
	},
	{
		title: 'an assignment',
		decode: decodeAssignment,
		good: assignment,
		odd: variants(assignment, {
			service: ['', longName, 7, null],
			fence: [-1, 0.5, 2 ** 49, largest, 1e300, '3', null],
			writeId: [7, null],
			owners: [[], {}, [['target-1']], [['target-1', -1, '']], [['target-1', 1.5, '']], null],
			ranges: [
				[],
				{},
				[[0, 65_535, 1, 1, [], 0]],
				[[0, 65_535, 0, 1, [7], 0]],
				[[0, 65_535, 0, largest, [], 0]],
				[[0, 65_535, 0, 1, [], 2]],
				[[0, 65_536, 0, 1, [], 0]],
				[[-1, 65_535, 0, 1, [], 0]],
				[[0, 10, 0, 1, [], 0], [12, 65_535, 0, 1, [], 0]],
				[[0, 10, 0, 1, [], 0], [10, 65_535, 0, 1, [], 0]],
				[[11, 65_535, 0, 1, [], 0], [0, 10, 0, 1, [], 0]],
				[[0, 65_535, 0, 1, [], 0], [0, 65_535, 0, 1, [], 0]],
				[[65_535, 0, 0, 1, [], 0]],
				[[0, 65_534, 0, 1, [], 0]],
				Array.from({length: 20_000}, () => ['']),
				null,
			],
		}),
	},
	{
		title: 'a message',
		decode: (text: string) => decodePeerMessage(JSON.parse(text)),
		good: message,
		odd: variants(message, {
			daemon: ['', longName, 7, null],
			availabilityZone: ['', longName, 7, null],
			revision: [-1, 0.5, 2 ** 53, 1e300, '9', null],
			assignments: [{service: -1}, {service: 1e300}, {service: '5'}, [], null],
			isStoreReachable: [1, 'true', null],
			configurationVersion: [-1, 1e300, '1'],
			load: [
				{},
				{inFlight: {target: 1e300}, samples: {}},
				{inFlight: {target: 1_000_001}, samples: {}},
				{inFlight: {}, samples: {target: [0, 1]}},
				{inFlight: {}, samples: {target: [1, 1e308]}},
			],
			zoneLoad: [{inFlight: {target: -1}, samples: {}}, {inFlight: {}, samples: {target: [2 ** 53, 1]}}],
			update: [
				{after: 1, changes: [], revision: 1e300},
				{after: 1, changes: [{key: 'servers/i-1', revision: 4}], revision: 3},
				{after: 1, changes: [{key: `${storeKeys.assignments}service`, value: '{}', revision: largest}], revision: 2},
				{after: 1, changes: [{key: 7, revision: 2}], revision: 2},
				{after: 1, changes: Array.from({length: 20_000}, () => ({})), revision: 2},
			],
			keys: [{service: [65_536]}, {service: [-1]}, {service: {}}],
			change: [
				{...assignment, revision: 1e300},
				{...assignment, revision: 5, fence: largest},
				{...assignment, revision: 5, ranges: [[0, 1, 0, 2 ** 49, [], 0]]},
			],
			wants: [{after: -1}, {assignments: {service: '5'}}, {evidence: 1e300}],
			evidence: [{question: 1, version: 1, ageMs: -1}, {question: 1, version: 1, ageMs: 1e300}],
			statements: [{target: {bornAt: 1, limitPerS: 0}}, {target: {bornAt: 1, limitPerS: 1e308}}, {target: {bornAt: 1, limitPerS: 1, namedAgeMs: -1}}],
			permitRequest: [{
				number: 1, target: 'target', bornAt: 1, priority: 1, waitMs: 2 ** 31, limit: {},
			}],
			permitAnswer: [{number: 1, decision: 'granted', turnMs: largest}, {number: 1, decision: 'constructor', turnMs: 0}],
		}),
	},
];

for (const {title, decode, good, odd} of decoders) {
	test(`should decode ${title}`, t => {
		t.notThrows(() => decode(JSON.stringify(good)));
	});

	for (const {title: oddity, text} of odd) {
		test(`should reject ${title}, with a short message and no other error, with ${oddity}`, t => {
			const error = t.throws(() => decode(text), {instanceOf: MalformedDocumentError});
			t.true(error.message.length <= maxLineCharacters, `${error.message.length} characters`);
		});
	}
}

for (const {title, decode} of decoders.filter(decoder => decoder.title !== 'a message')) {
	for (const {title: oddity, text} of oddTexts) {
		test(`should reject ${oddity} in place of ${title}`, t => {
			t.throws(() => decode(text), {instanceOf: MalformedDocumentError});
		});
	}
}

const goodItems = [
	{key: documents.configurationKey, value: configurationDocument(1, ['/a/']), revision: 1},
	{key: `${storeKeys.members}daemon-1`, value: JSON.stringify(member), revision: 1},
	{key: `${storeKeys.assignments}service`, value: JSON.stringify(assignment), revision: 1},
	{key: storeKeys.leader, value: '{"daemon":"daemon-1"}', revision: 1},
	{key: `${documents.targetsPrefix}i-1`, value: JSON.stringify(entry), revision: 1},
];

const oddKeys = [
	documents.configurationKey,
	storeKeys.leader,
	`${storeKeys.members}daemon-1`,
	`${storeKeys.members}odd`,
	`${storeKeys.assignments}service`,
	`${storeKeys.assignments}odd`,
	`${documents.targetsPrefix}odd`,
];

for (const key of oddKeys) {
	for (const {title, text} of oddTexts) {
		test(`should keep what the other keys hold, and log one line, if ${key} holds ${title}`, t => {
			const lines: LogEvent[] = [];
			const view = new FleetView();
			const writer = new ViewWriter(view, documents, {
				record(event) {
					lines.push(event);
				},
			});
			for (const item of goodItems) {
				writer.apply(item);
			}

			lines.length = 0;
			for (let revision = 2; revision < 12; revision += 1) {
				writer.apply({key, value: text, revision});
			}

			t.deepEqual(lines, [LogEvent.DocumentRejected]);
			t.is(view.configuration?.version, 1);
			t.deepEqual([...view.members.keys()], ['daemon-1']);
			t.deepEqual([...view.assignments.keys()], ['service']);
			t.is(view.leader?.daemon, 'daemon-1');
			t.deepEqual(view.readyTargets('service').map(({id}) => id), ['i-1']);
			writer.apply({key: documents.configurationKey, value: configurationDocument(2, ['/b/']), revision: 12});
			t.is(view.configuration?.version, 2);
			t.false(writer.isMalformed(documents.configurationKey));
		});
	}
}

test.failing('should use a target again after another writer has left an entry with a later start under its id', t => {
	const view = new FleetView();
	const writer = new ViewWriter(view, documents, {record: () => undefined});
	const key = `${documents.targetsPrefix}i-1`;
	writer.apply({key, value: JSON.stringify(entry), revision: 1});
	writer.apply({key, value: JSON.stringify({...entry, born: entry.born + 1, address: '10.0.0.2:80'}), revision: 2});
	for (let revision = 3; revision < 13; revision += 1) {
		writer.apply({key, value: JSON.stringify({...entry, sequence: entry.sequence + revision}), revision});
	}

	t.is(view.listedTarget('i-1')?.address, entry.address);
});
