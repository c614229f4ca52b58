import test from 'ava';
import fc from 'fast-check';
import {decodeAssignment} from '../../src/decisions/fleet/assignment-codec.js';
import {decodeLeader, decodeMember} from '../../src/decisions/fleet/daemon-documents.js';
import {decodePeerMessage} from '../../src/decisions/fleet/peer-message.js';
import {MalformedDocumentError} from '../../src/model/errors.js';
import {decodeConfiguration, decodeTarget} from '../../src/platform/documents.js';
import {parseSettings} from '../../src/platform/settings.js';
import {
	decodeChanges, decodeItem, decodeLease, decodePage, decodeRevision,
} from '../../src/platform/store-answers.js';
import {readTargetStatement} from '../../src/platform/target-statement-reader.js';
import {configurationDocument} from '../../standins/scripted-store.js';

/** Most characters of the message of an error, which becomes a line of the log. */
const maxMessageCharacters = 4000;

/** Texts for each decoder; a thousand take about a tenth of a second. */
const runs = 1000;

const load = {inFlight: {target: 2}, samples: {target: [1, 40]}};

const item = {key: 'servers/i-1', value: 'YQ==', revision: 7};

type Decoder = {
	name: string;
	good: unknown;
	decode(text: string): unknown;
};

const decoders: Decoder[] = [
	{
		name: 'decodeTarget',
		good: {
			service: 'service', address: '10.0.0.1:80', zone: 'zone-a', version: 'v1', slots: 3, state: 'ready', warmupLeftMs: 0, sequence: 4, born: 1_800_000_000_000,
		},
		decode: text => decodeTarget('servers/i-1', text),
	},
	{name: 'decodeConfiguration', good: JSON.parse(configurationDocument(3, ['/a/', '/b/'])), decode: text => decodeConfiguration(text)},
	{
		name: 'parseSettings',
		good: {daemon: 'daemon-1', callerAddress: '10.0.0.1:80', peerPorts: [7000, 7010]},
		decode: parseSettings,
	},
	{
		name: 'decodeMember',
		good: {
			daemon: 'daemon-1', availabilityZone: 'zone-a', ip: '10.0.0.1', port: 7000, room: 2,
		},
		decode: text => decodeMember('daemon-1', text),
	},
	{name: 'decodeLeader', good: {daemon: 'daemon-1', lease: 5}, decode: decodeLeader},
	{
		name: 'decodeAssignment',
		good: {
			service: 'service', fence: 3, writeId: 'daemon-1/5/1', owners: [['target-1', 1, '10.0.0.1:80']], ranges: [[0, 32_767, 0, 1, [], 0], [32_768, 65_535, 0, 2, [0], 1]],
		},
		decode: decodeAssignment,
	},
	{
		name: 'decodePeerMessage',
		good: {
			daemon: 'daemon-1',
			availabilityZone: 'zone-a',
			revision: 9,
			assignments: {service: 5},
			isStoreReachable: true,
			load,
			zoneLoad: load,
			update: {after: 1, changes: [{key: 'servers/i-1', value: '{}', revision: 2}], revision: 3},
			keys: {service: [1, 2]},
			wants: {after: 1, assignments: {service: 5}},
			statements: {target: {bornAt: 1, limitPerS: 4, namedAgeMs: 5}},
			permitAnswer: {number: 1, decision: 'queued', turnMs: 5},
		},
		decode(text) {
			try {
				return decodePeerMessage(JSON.parse(text));
			} catch (error) {
				if (error instanceof SyntaxError) {
					throw new MalformedDocumentError('message', [error.message]);
				}

				throw error;
			}
		},
	},
	{name: 'decodePage', good: {items: [item, item], hasMore: true, storeRevision: 9}, decode: text => decodePage(text, undefined, [])},
	{name: 'decodeChanges', good: {events: [item, {...item, tombstone: true}], storeRevision: 9}, decode: text => decodeChanges(text, [])},
	{name: 'decodeItem', good: {...item, storeRevision: 9}, decode: text => decodeItem(text, item.key)},
	{name: 'decodeLease', good: {lease: 5, ttlMs: 1200}, decode: decodeLease},
	{name: 'decodeRevision', good: {revision: 5}, decode: decodeRevision},
];

/** JSON texts of values that other writers have put in place of good ones. */
const oddValues = fc.oneof(
	fc.constantFrom('null', '-0', '1e400', '-1e400', '9007199254740992', '0.1', 'true', '""', '"__proto__"', '"constructor"', '[]', '{}', '[null]', String.raw`"\ud800"`, 'NaN', ''),
	fc.jsonValue().map(value => JSON.stringify(value)),
	fc.integer({min: 1, max: 20_000}).map(levels => `${'['.repeat(levels)}${']'.repeat(levels)}`),
	fc.integer({min: 1, max: 5000}).map(levels => `${'{"a":'.repeat(levels)}0${'}'.repeat(levels)}`),
);

/** Numbers, texts and names within the JSON text of a good document, any of which can be replaced. */
const tokens = /"[^"]*"|-?\d+|true|false/gv;

function replaceTokens(text: string, mutations: ReadonlyArray<[number, string]>): string {
	let mutated = text;
	for (const [position, replacement] of mutations) {
		const found = [...mutated.matchAll(tokens)];
		const token = found[position % found.length];
		mutated = token ? `${mutated.slice(0, token.index)}${replacement}${mutated.slice(token.index + token[0].length)}` : replacement;
	}

	return mutated;
}

function mutationsOf(good: unknown): fc.Arbitrary<string> {
	const text = JSON.stringify(good);
	const mutation = fc.tuple(fc.nat(), oddValues);
	return fc.oneof(
		fc.array(mutation, {minLength: 1, maxLength: 3}).map(mutations => replaceTokens(text, mutations)),
		fc.tuple(fc.nat(text.length), fc.nat(8), fc.string()).map(([start, length, inserted]) => `${text.slice(0, start)}${inserted}${text.slice(start + length)}`),
		oddValues,
		fc.string(),
	);
}

for (const {name, good, decode} of decoders) {
	test(`should throw nothing but a short MalformedDocumentError from ${name}, whatever it is given`, t => {
		const property = fc.property(mutationsOf(good), text => {
			try {
				decode(text);
			} catch (error) {
				if (!(error instanceof MalformedDocumentError) || error.message.length > maxMessageCharacters) {
					throw error;
				}
			}
		});
		t.notThrows(() => {
			fc.assert(property, {seed: 1, numRuns: runs});
		});
	});
}

test('should read any headers of an answer without an error', t => {
	const value = fc.oneof(fc.string(), fc.array(fc.string()), fc.double().map(String));
	const headers = fc.dictionary(fc.constantFrom('server-limit', 'server-leaving', 'retry-after', '__proto__', 'constructor'), value);
	const property = fc.property(fc.integer({min: 100, max: 999}), headers, fc.boolean(), (status, fields, hasRun) => {
		const {limitPerS = 0, pauseMs = 0} = readTargetStatement(status, fields, hasRun);
		return limitPerS >= 0 && limitPerS <= 100_000 && pauseMs >= 0 && pauseMs <= 120_000;
	});
	t.notThrows(() => {
		fc.assert(property, {seed: 1, numRuns: runs});
	});
});

test('should believe no field of an entry beyond its bounds, whatever is written', t => {
	const {good} = decoders[0];
	let accepted = 0;
	fc.assert(fc.property(mutationsOf(good), text => {
		let target: ReturnType<typeof decodeTarget>;
		try {
			target = decodeTarget('servers/i-1', text);
		} catch {
			return true;
		}

		accepted += 1;
		const {bornAt, slots, warmUpLeftMs, service, availabilityZone, softwareVersion} = target;
		return bornAt >= 0 && bornAt <= 4_102_444_800_000 && slots >= 1 && slots <= 100_000 && warmUpLeftMs >= 0 && warmUpLeftMs <= 3_600_000
			&& [service, availabilityZone, softwareVersion].every(name => name.length > 0 && name.length <= 200);
	}), {seed: 2, numRuns: runs});
	t.true(accepted > 0);
});
