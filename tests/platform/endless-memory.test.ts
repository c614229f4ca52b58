import {createServer as createHttpServer} from 'node:http';
import {createServer, type AddressInfo, type Server} from 'node:net';
import test from 'ava';
import {RelayHeader} from '../../src/platform/relay.js';
import {WireHeader, wirePaths} from '../../src/platform/wire.js';
import {CallPath, makeSpoiledCalls} from '../../standins/spoiled-calls.js';

/** Memory of the daemon's objects in megabytes; --max-old-space-size in deploy/system.toml. */
const heapMb = 160;

/** Memory of a VM in megabytes; "350 MB" in the users' SYSTEM.md. */
const vmMb = 350;

/** Memory of a daemon without a fault in megabytes, which the calls cannot use; 130 in the users' ENDLESS.md. */
const baseMb = 130;

/** Calls that are open at the same time. */
const callCount = 32;

/** Answers without end that a gateway forwards at the same time. */
const gatewayCallCount = 8;

/** Timeouts of a call in milliseconds: the usual one, and one within which many small chunks arrive. */
const timeoutsMs = {usual: 400, smallChunks: 3000};

const head = `HTTP/1.1 200 OK\r\n${WireHeader.RequestId}: request-1\r\n${WireHeader.Seal}: s\r\n${WireHeader.Target}: target\r\n${RelayHeader.Outcome}: answer\r\n`;
const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const refusalHead = `HTTP/1.1 503 Service Unavailable\r\n${WireHeader.RequestId}: request-1\r\n${WireHeader.NotRun}: 1\r\nTransfer-Encoding: chunked\r\n\r\n`;
const block = 'x'.repeat(65_536);

/** Longest time for which a daemon may serve nothing else, in milliseconds: its orders as a leader end so long before its lease. */
const maxStallMs = 200;

type EndlessAnswer = {
	title: string;
	start: string;
	/** Sent again and again until the caller closes the connection. */
	repeated: string;
	isBody?: boolean;
	timeoutMs?: number;
};

const answers: EndlessAnswer[] = [
	{title: 'a status line', start: 'HTTP/1.1 200 ', repeated: block},
	{title: 'a header', start: `${head}X-Long: `, repeated: block},
	{title: 'a list of headers', start: head, repeated: 'X-More: value\r\n'.repeat(4000)},
	{title: 'a sequence of provisional answers', start: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(2000)},
	{title: 'a sequence of bytes that are not HTTP', start: '', repeated: '\u0001'.repeat(65_536)},
	{
		title: 'a body in large chunks', start: chunkedHead, repeated: `10000\r\n${block}\r\n`, isBody: true,
	},
	{
		title: 'a body in chunks of one byte', start: chunkedHead, repeated: '1\r\nx\r\n'.repeat(10_000), isBody: true, timeoutMs: timeoutsMs.smallChunks,
	},
	{
		title: 'a body without a length', start: `${head}Connection: close\r\n\r\n`, repeated: block, isBody: true,
	},
	{
		title: 'a body with a huge length', start: `${head}Content-Length: 99999999999\r\n\r\n`, repeated: block, isBody: true,
	},
	{title: 'a chunk extension', start: `${chunkedHead}5;a=`, repeated: block},
	{title: 'a list of trailers', start: `${chunkedHead}0\r\n`, repeated: 'X-More: value\r\n'.repeat(4000)},
	{
		title: 'the body of a refusal', start: refusalHead, repeated: `10000\r\n${block}\r\n`, isBody: true,
	},
];

async function listen(server: Server): Promise<string> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function faultyServer({start, repeated}: {start: string; repeated: string}): Server {
	return createServer(socket => {
		const writeOn = (): void => {
			while (!socket.destroyed && socket.write(repeated)) {
				// Writes until the buffers are full.
			}
		};

		socket.on('error', () => undefined);
		socket.on('drain', writeOn);
		socket.once('data', () => {
			socket.write(start);
			writeOn();
		});
	});
}

/** Answers every call soundly. */
function soundServer(): Server {
	return createHttpServer((request, response) => {
		request.resume();
		const path = request.url ?? '';
		response.writeHead(path.startsWith(wirePaths.storeItem) ? 404 : 200, {
			[WireHeader.RequestId]: 'request-1',
			[WireHeader.Seal]: 's',
			[WireHeader.Target]: 'target',
			[RelayHeader.Outcome]: 'answer',
			'content-type': 'application/json',
		});
		if (path.includes('confirmDocuments')) {
			response.end('{"result":{"data":{}}}');
			return;
		}

		response.end(path === '/vms' ? '{"vms":[]}' : '{}');
	});
}

/** Paths from a target through a gateway to callers, on which bodies in small chunks are played. */
const gatewayPaths = [CallPath.ReadAnswer, CallPath.UnreadAnswer, CallPath.WaitingAnswer];

/** Paths on which all places are played; on the others, which use the same HTTP client, only bodies. */
const wholePaths = new Set([CallPath.Request, CallPath.RelayedRequest, CallPath.HealthCheck, CallPath.Order, CallPath.PeerCall]);

for (const path of Object.values(CallPath).filter(each => !gatewayPaths.includes(each))) {
	for (const answer of answers.filter(({isBody}) => isBody === true || wholePaths.has(path))) {
		// LOST: a daemon whose memory was used up by bytes without end closed, with its process, the connections of all callers.
		test.serial(`should bound the memory of ${path} and serve others if ${answer.title} is endless`, async t => {
			const servers = [faultyServer(answer), soundServer()];
			const [faultyAddress = '', soundAddress = ''] = await Promise.all(servers.map(async server => listen(server)));
			try {
				const result = await makeSpoiledCalls({
					path, faultyAddress, soundAddress, count: callCount, timeoutMs: answer.timeoutMs ?? timeoutsMs.usual, heapMb,
				});
				t.is(result.acceptedCount, 0);
				t.is(result.endedCount, callCount);
				t.true(result.servedCount > 0);
				t.is(result.failedCount, 0);
				t.true(result.peakMb < vmMb - baseMb, `${result.peakMb} MB`);
			} finally {
				for (const server of servers) {
					server.close();
				}
			}
		});
	}
}

for (const path of gatewayPaths) {
	for (const chunkBytes of [1, 8, 64, 300]) {
		// LOST: a daemon ran out of memory by the objects around the small chunks of one answer, and answered nobody for a second before.
		test.serial(`should bound the memory of ${path} and serve others if a body in chunks of ${chunkBytes} bytes is endless`, async t => {
			const repeated = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`.repeat(Math.ceil(65_536 / chunkBytes));
			const servers = [faultyServer({start: chunkedHead, repeated}), soundServer()];
			const [faultyAddress = '', soundAddress = ''] = await Promise.all(servers.map(async server => listen(server)));
			try {
				const result = await makeSpoiledCalls({
					path, faultyAddress, soundAddress, count: gatewayCallCount, timeoutMs: timeoutsMs.smallChunks, heapMb,
				});
				t.log(result);
				t.is(result.acceptedCount, 0);
				t.is(result.endedCount, gatewayCallCount);
				t.true(result.servedCount > 0);
				t.is(result.failedCount, 0);
				t.true(result.peakMb < vmMb - baseMb, `${result.peakMb} MB`);
				t.true(result.longestStallMs < maxStallMs, `${result.longestStallMs} ms`);
			} finally {
				for (const server of servers) {
					server.close();
				}
			}
		});
	}
}
