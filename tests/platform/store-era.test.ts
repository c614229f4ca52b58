import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {StoreAmbiguousError, StoreRestoredError, StoreUnavailableError} from '../../src/model/errors.js';
import {PlatformStore} from '../../src/platform/platform-store.js';
import {decodeEra} from '../../src/platform/store-answers.js';
import {listenJson} from '../../standins/json-http.js';

const ip = '127.62.0.2';

const item = JSON.stringify({key: 'k', value: '', revision: 7});

/** Eras of successive answers; undefined for an answer without one. */
async function withEras(eras: ReadonlyArray<string | undefined>, run: (store: PlatformStore) => Promise<void>, bodies: readonly string[] = [item]): Promise<void> {
	let calls = 0;
	const server: Server = await listenJson(0, (_request, response) => {
		const era = eras[calls];
		if (era !== undefined) {
			response.setHeader('Store-Era', era);
		}

		response.end(bodies[calls % bodies.length]);
		calls += 1;
	}, ip);
	const store = new PlatformStore(`${ip}:${(server.address() as AddressInfo).port}`);
	try {
		await run(store);
	} finally {
		await store.close();
		server.close();
		server.closeAllConnections();
	}
}

const headers: Array<{title: string; header: string | string[] | undefined; era: number | undefined}> = [
	{title: 'none', header: undefined, era: undefined},
	{title: 'zero', header: '0', era: 0},
	{title: 'a whole number', header: '17', era: 17},
	{title: 'two headers', header: ['1', '2'], era: undefined},
	{title: 'a text', header: 'two', era: undefined},
	{title: 'a negative number', header: '-1', era: undefined},
	{title: 'a fraction', header: '1.5', era: undefined},
	{title: 'an exponent', header: '1e3', era: undefined},
	{title: 'a number above the highest era', header: '9999999999', era: undefined},
	{title: 'a very long number', header: '9'.repeat(5000), era: undefined},
];

for (const {title, header, era} of headers) {
	test(`should read the era from a header with ${title}`, t => {
		t.is(decodeEra(header), era);
	});
}

type Sequence = {
	title: string;
	eras: Array<string | undefined>;
	known: number | undefined;
	rises: number[];
	/** Error of the last call. */
	error?: typeof StoreUnavailableError;
};

const sequences: Sequence[] = [
	{
		title: 'no era', eras: [undefined, undefined], known: undefined, rises: [],
	},
	{
		title: 'one era', eras: ['3', '3'], known: 3, rises: [],
	},
	{
		title: 'a rise', eras: ['3', '4'], known: 4, rises: [4], error: StoreRestoredError,
	},
	{
		title: 'an era after answers without one', eras: [undefined, '1'], known: 1, rises: [1], error: StoreRestoredError,
	},
	{
		title: 'an era below the highest seen', eras: ['3', '2'], known: 3, rises: [], error: StoreUnavailableError,
	},
	{
		title: 'an unreadable era after a readable one', eras: ['3', 'x'], known: 3, rises: [],
	},
	{
		title: 'an era that is too high to be true', eras: ['3', '5000'], known: 3, rises: [], error: StoreUnavailableError,
	},
];

for (const {title, eras, known, rises, error} of sequences) {
	test(`should follow the era of the answers: ${title}`, async t => {
		await withEras(eras, async store => {
			const seen: number[] = [];
			store.era.subscribe((era, isRestore) => {
				if (isRestore) {
					seen.push(era);
				}
			});
			await store.read('k');
			const [last] = await Promise.allSettled([store.read('k')]);
			t.is(last.status === 'rejected' ? (last.reason as Error).constructor : undefined, error);
			t.is(store.era.current, known);
			t.deepEqual(seen, rises);
		});
	});
}

test('should treat a write as ambiguous that is answered in a later era', async t => {
	await withEras(['1', '2'], async store => {
		await store.read('k');
		await t.throwsAsync(async () => store.write({expected: [], puts: []}), {instanceOf: StoreAmbiguousError});
	}, [item, '{"revision": 8}']);
});

test('should not join pages of a listing from two eras', async t => {
	const page = JSON.stringify({items: [{key: 'k', value: '', revision: 7}], hasMore: true, storeRevision: 7});
	await withEras(['1', '2'], async store => {
		await t.throwsAsync(async () => store.list(''), {instanceOf: StoreRestoredError});
	}, [page]);
});
