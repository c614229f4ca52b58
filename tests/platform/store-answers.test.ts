import {Buffer} from 'node:buffer';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {StoreAmbiguousError, StoreUnavailableError} from '../../src/model/errors.js';
import {PlatformStore} from '../../src/platform/platform-store.js';
import {listenJson} from '../../standins/json-http.js';

const ip = '127.62.0.1';

const base64 = (text: string): string => Buffer.from(text).toString('base64');

const good = JSON.stringify({key: 'servers/good', value: base64('good'), revision: 7});
const readGood = {key: 'servers/good', value: 'good', revision: 7};

/** Runs a test against a store that answers calls, one after another, with bodies that are not necessarily JSON. */
async function withStore(bodies: readonly string[], run: (store: PlatformStore, faults: string[]) => Promise<void>): Promise<void> {
	let calls = 0;
	const server: Server = await listenJson(0, (_request, response) => {
		response.end(bodies[Math.min(calls, bodies.length - 1)]);
		calls += 1;
	}, ip);
	const faults: string[] = [];
	const store = new PlatformStore(`${ip}:${(server.address() as AddressInfo).port}`, detail => {
		faults.push(detail);
	});
	try {
		await run(store, faults);
	} finally {
		await store.close();
		server.close();
		server.closeAllConnections();
	}
}

type OddItem = {title: string; json: string; expected?: {key: string; value: string; revision: number}};

const oddItems: OddItem[] = [
	{title: 'null', json: 'null'},
	{title: 'a number', json: '7'},
	{title: 'no fields', json: '{}'},
	{title: 'no key', json: '{"value": "", "revision": 7}'},
	{title: 'an empty key', json: '{"key": "", "value": "", "revision": 7}'},
	{title: 'a key that is too long', json: JSON.stringify({key: 'k'.repeat(201), value: '', revision: 7})},
	{title: 'a key that is a number', json: '{"key": 5, "value": "", "revision": 7}'},
	{title: 'a revision of 1e300', json: '{"key": "k", "value": "", "revision": 1e300}'},
	{title: 'a revision of 1e400', json: '{"key": "k", "value": "", "revision": 1e400}'},
	{title: 'a negative revision', json: '{"key": "k", "value": "", "revision": -1}'},
	{title: 'a revision that is a text', json: '{"key": "k", "value": "", "revision": "7"}'},
	{title: 'a deep key', json: `{"key": ${'['.repeat(20_000)}${']'.repeat(20_000)}, "value": "", "revision": 7}`},
	{title: 'no value', json: '{"key": "k", "revision": 7}', expected: {key: 'k', value: '', revision: 7}},
	{title: 'a value that is no text', json: '{"key": "k", "value": {"a": 1}, "revision": 7}', expected: {key: 'k', value: '', revision: 7}},
	{title: 'a value that is no base64', json: '{"key": "k", "value": "}{!?", "revision": 7}', expected: {key: 'k', value: '', revision: 7}},
	{title: 'a value without padding', json: '{"key": "k", "value": "YQ", "revision": 7}', expected: {key: 'k', value: '', revision: 7}},
	{title: 'a deep unknown field', json: `{"key": "k", "value": "YQ==", "revision": 7, "unknown": ${'['.repeat(20_000)}${']'.repeat(20_000)}}`, expected: {key: 'k', value: 'a', revision: 7}},
];

for (const {title, json, expected} of oddItems) {
	const items = expected ? [expected, readGood] : [readGood];
	test(`should not lose the other items of a listing because of one with ${title}`, async t => {
		await withStore([`{"items": [${json}, ${good}], "hasMore": false, "storeRevision": 9}`], async (store, faults) => {
			t.deepEqual(await store.list(''), {items, revision: 9});
			t.is(faults.length, expected ? 0 : 1);
			t.true(faults.every(fault => fault.length <= 2000));
		});
	});

	test(`should not stop following the store because of an event with ${title}`, async t => {
		await withStore([`{"events": [${json}, ${good}], "storeRevision": 9}`], async (store, faults) => {
			t.deepEqual(await store.watch('', 1, 0), {changes: items, revision: 9});
			t.is(faults.length, expected ? 0 : 1);
		});
	});
}

/** Answers of which no part can be used. */
const oddBodies = [
	'',
	'null',
	'7',
	'[]',
	'{}',
	'{"items": {}, "events": {}, "storeRevision": 9}',
	'{"items": [], "events": []}',
	'{"items": [], "events": [], "storeRevision": 1e300}',
	'{"items": [], "events": [], "storeRevision": "9"}',
	'{"items": [], "events": [], "storeRevision": -9}',
	'['.repeat(1_000_000),
	'{"items": [{}], "events": 7, "hasMore": true, "storeRevision": 9}',
	'{"lease": 5, "ttlMs": 1e308, "revision": 1e300, "key": "other", "value": "", "storeRevision": 0}',
	'{"lease": "5", "ttlMs": 1200, "revision": "5"}',
	'{"lease": 5, "revision": 0.5}',
	'{"lease": 0, "ttlMs": 1200, "revision": 0}',
	'{"lease": 5, "ttlMs": -1, "revision": -1}',
];

for (const body of oddBodies) {
	test(`should treat reads as failed, and writes as possibly run, that are answered with ${body.slice(0, 80)}`, async t => {
		await withStore([body], async store => {
			await t.throwsAsync(store.list(''), {instanceOf: StoreUnavailableError});
			await t.throwsAsync(store.watch('', 1, 0), {instanceOf: StoreUnavailableError});
			await t.throwsAsync(store.read('key'), {instanceOf: StoreUnavailableError});
			await t.throwsAsync(store.openLease(1200), {instanceOf: StoreAmbiguousError});
			await t.throwsAsync(store.write({expected: [], puts: [{key: 'key', value: 'value'}]}), {instanceOf: StoreAmbiguousError});
			await t.notThrowsAsync(store.renewLease(5));
		});
	});
}

test('should not read the same page of a listing for ever', async t => {
	await withStore([`{"items": [${good}], "hasMore": true, "storeRevision": 9}`], async store => {
		await t.throwsAsync(store.list(''), {instanceOf: StoreUnavailableError});
	});
});

test('should read a listing with more items than a call can have arguments', async t => {
	const items = Array.from({length: 200_000}, () => '{"key":"k","revision":7}').join(',');
	await withStore([`{"items": [${items}], "hasMore": false, "storeRevision": 9}`], async store => {
		const listing = await store.list('');
		t.is(listing.items.length, 200_000);
	});
});

test('should not rely on a lease for longer than was requested', async t => {
	await withStore(['{"lease": 5, "ttlMs": 600000}'], async store => {
		t.deepEqual(await store.openLease(1200), {id: 5, durationMs: 1200});
	});
});
