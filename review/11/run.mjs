/**
 * Case 11: a server that fails part of its requests answers 503 after it has worked on them, without the header that says that it has
 * not run them. The rule REFUSED: a request that is not idempotent is answered 503 and has run.
 */
/* eslint-disable no-await-in-loop -- steps follow one another. */
import {randomBytes, randomInt} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, request as send} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Daemons} from './lib/daemons.mjs';
import {Store} from './lib/store.mjs';

const here = path.dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
const network = `127.${randomInt(20, 250)}`;
const folder = mkdtempSync(path.join(tmpdir(), 'case-11-'));

/** As in the site file vrt-gateway: 8 servers of the booking service, one of them (share 0.14) fails x = 0.45 of its requests for 6.5 s. */
const serverCount = 8;
const failedShare = 0.45;
const troubleMs = 6500;
const workMs = 66;
const deadlineMs = 1500;
const requestsPerS = 80;

const startedAt = performance.now();
const record = [];
function note(text) {
	record.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
}

const store = new Store();
const servers = [];
let greyUntil = 0;
let greyServer = '';
const runsOfServer = new Map();

/** The disruption may meet any server; it meets one that is in use. */
function busiestServer() {
	return [...runsOfServer].toSorted(([, left], [, right]) => right - left)[0][0];
}

const runs = new Map();

/** A sound server, but for the failures of the grey one. */
async function startServer(index) {
	const id = `i-${randomBytes(4).toString('hex')}`;
	const ip = `${network}.2.${index + 1}`;
	const server = createServer((request, response) => {
		request.resume();
		request.on('end', async () => {
			const attempt = request.headers['attempt-id'];
			if (request.url === '/health') {
				response.writeHead(200, {'instance-id': id}).end();
				return;
			}

			if (request.headers['target-instance'] !== id) {
				response.writeHead(421, {'attempt-id': attempt, 'instance-id': id, 'not-executed': '1'}).end();
				return;
			}

			runs.set(attempt, (runs.get(attempt) ?? 0) + 1);
			runsOfServer.set(id, (runsOfServer.get(id) ?? 0) + 1);
			note(`run ${attempt} ${request.headers.booking} at ${id}`);
			await delay(workMs);
			const fails = id === greyServer && performance.now() < greyUntil && Math.random() < failedShare;
			note(`answer ${attempt} ${fails ? 503 : 200} from ${id}, it has run`);
			const body = fails ? 'the booking was stored, but its confirmation could not be made' : 'booked';
			response.writeHead(fails ? 503 : 200, {'attempt-id': attempt, 'response-seal': `${id}.${attempt}`, 'content-length': body.length});
			response.end(body);
		});
	});
	server.keepAliveTimeout = 10_000;
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(8201, ip, resolve);
	});
	servers.push(server);
	const entry = {
		service: 'prenota', address: `${ip}:8201`, zone: `zone-${'abc'[index % 3]}`, version: 'v1', slots: 3, state: 'ready', warmupLeftMs: 0, born: Date.now(),
	};
	let sequence = 0;
	const beat = () => {
		sequence += 1;
		store.put(`servers/${id}`, JSON.stringify({...entry, sequence}));
	};

	beat();
	const timer = setInterval(beat, 1500);
	server.on('close', () => clearInterval(timer));
}

/** One client attempt; resolves with its status, 0 if the connection ended without an answer. */
async function attemptOnce(front, booking, leftMs) {
	const id = randomBytes(8).toString('hex');
	note(`sent ${id} ${booking} to ${front.host}`);
	return new Promise(resolve => {
		const call = send({
			...front, method: 'POST', path: '/puka111/2f', agent: false, timeout: leftMs,
			headers: {
				host: 'jepu9.example', 'attempt-id': id, 'time-budget-ms': String(Math.floor(leftMs)), booking, 'content-length': 5,
			},
		}, response => {
			response.resume();
			response.on('end', () => {
				note(`answered ${id} ${response.statusCode} retry-after ${response.headers['retry-after'] ?? 'none'} seal ${response.headers['response-seal'] ?? 'none'}`);
				resolve({id, status: response.statusCode, retryAfterS: Number(response.headers['retry-after'] ?? 0)});
			});
			response.on('error', () => resolve({id, status: 0, retryAfterS: 0}));
		});
		call.on('timeout', () => call.destroy(new Error('deadline')));
		call.on('error', error => {
			note(`failed ${id} ${error.message}`);
			resolve({id, status: 0, retryAfterS: 0});
		});
		call.end('crane');
	});
}

const attempts = [];
const runsOfBooking = new Map();

/** A client that retries as the pages say: only after a promise that the request has not run, twice at most. */
async function book(fronts, number) {
	const until = performance.now() + deadlineMs;
	for (let retry = 0; retry <= 2; retry += 1) {
		const leftMs = until - performance.now();
		if (leftMs < 50) {
			return;
		}

		const answer = await attemptOnce(fronts[randomInt(fronts.length)], `booking-${number}`, leftMs);
		attempts.push(answer);
		runsOfBooking.set(number, (runsOfBooking.get(number) ?? 0) + (runs.get(answer.id) ?? 0));
		if (![408, 421, 429, 503].includes(answer.status)) {
			return;
		}

		await delay(Math.min(answer.retryAfterS * 1000, leftMs / 3));
	}
}

async function play() {
	await store.listen(`${network}.0.1`, 8642);
	store.put('op/config', JSON.stringify({
		version: 7,
		resources: [
			{
				resourceType: 'routes', metadata: {name: 'r-booking'}, spec: {
					host: 'jepu9.example', prefix: '/puka111/', kind: 'unsafe', timeoutMs: 800, targetLatencyMs: 250, priority: 1, service: 'prenota', maxAttempts: 2,
				},
			},
			{
				resourceType: 'services', metadata: {name: 'prenota'}, spec: {
					healthPath: '/health', maxConnections: 130, protocol: 'h1', tls: false,
				},
			},
			{
				resourceType: 'limits', metadata: {}, spec: {
					maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
				},
			},
		],
	}));
	for (let index = 0; index < serverCount; index += 1) {
		await startServer(index);
	}

	for (let index = 0; index < 3; index += 1) {
		daemons.start(index);
	}

	if (!await daemons.allReady([0, 1, 2])) {
		throw new Error('the daemons did not become ready');
	}

	await delay(3000);
	const fronts = [0, 1, 2].map(index => daemons.front(index));
	const work = [];
	const lengthMs = 14_000;
	const begin = performance.now();
	const greyFrom = begin + 4000;
	let number = 0;
	while (performance.now() < begin + lengthMs) {
		if (hasTrouble && greyUntil === 0 && performance.now() >= greyFrom) {
			greyUntil = greyFrom + troubleMs;
			greyServer = busiestServer();
			note('trouble: one server fails part of its requests');
		}

		number += 1;
		work.push(book(fronts, number));
		await delay(1000 / requestsPerS);
	}

	await Promise.all(work);
	const counts = {};
	for (const {status} of attempts) {
		counts[status] = (counts[status] ?? 0) + 1;
	}

	const broken = attempts.filter(({id, status}) => [408, 421, 429, 503].includes(status) && runs.has(id));
	const doubled = [...runsOfBooking].filter(([, count]) => count > 1);
	note(`result: answers ${JSON.stringify(counts)}; ${broken.length} answered with a promise although they had run: ${broken.slice(0, 10).map(({id}) => id).join(' ')}`);
	note(`result: ${doubled.length} bookings ran more than once, because their clients relied on that promise`);
	if ((counts[200] ?? 0) < attempts.length / 2) {
		throw new Error('less than half of the requests were served');
	}

	return broken.length > 0 ? 1 : 0;
}

const daemons = new Daemons({
	root: path.join(here, '../..'), folder, network, storeAddress: `${network}.0.1:8642`,
});
/** Ends the daemons however the script ends; anything unexpected means that the case could not run. */
function abandon(reason) {
	for (const {child} of daemons.running) {
		child.kill('SIGKILL');
	}

	writeFileSync(path.join(here, 'record.txt'), `${[...record, `could not run: ${reason}`].join('\n')}\n`);
	// eslint-disable-next-line unicorn/no-process-exit -- nothing that is under way matters any more.
	process.exit(2);
}

for (const event of ['uncaughtException', 'SIGTERM', 'SIGINT']) {
	process.on(event, reason => {
		abandon(reason?.stack ?? reason);
	});
}

setTimeout(abandon, 110_000, 'it took too long').unref();
let code = 2;
try {
	code = await play();
} catch (error) {
	note(`could not run: ${error.stack}`);
} finally {
	await daemons.stop();
	for (const server of servers) {
		server.close();
		server.closeAllConnections();
	}

	store.close();
	rmSync(folder, {recursive: true, force: true});
	writeFileSync(path.join(here, 'record.txt'), `${record.join('\n')}\n`);
}

process.exitCode = code;
