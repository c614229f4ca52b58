#!/usr/bin/env node
/**
 * Case 7: the daemons are killed while the store is away in a drill, and the store comes back from a copy some seconds old.
 */
/* eslint-disable no-await-in-loop -- steps follow one another. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment} from './lib/deployment.mjs';
import {Record} from './lib/record.mjs';

const keyCount = 65_536;

/** Two servers must not hold the same key for longer than this, in milliseconds. */
const sharedHoldLimitMs = 500;

const hasTrouble = process.env.TROUBLE !== '0';
const killsDaemons = process.env.KILL !== '0';
const restoresStore = process.env.RESTORE !== '0';
const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const deployment = new Deployment(record);
const {store} = deployment;
const question = {host: 'records.example', path: '/records/1', key: 1};

/** For each key, since when two servers have held it, and the longest such time, in milliseconds. */
const sharedSince = new Float64Array(keyCount).fill(Infinity);
let longestMs = 0;
let longest = '';

/** Looks at what all servers hold; they do not end during the run. */
function watchHolds() {
	const now = performance.now();
	for (let key = 0; key < keyCount; key += 16) {
		const holders = deployment.servers.filter(server => server.isHolding(key, now));
		if (holders.length < 2) {
			sharedSince[key] = Infinity;
			continue;
		}

		sharedSince[key] = Math.min(sharedSince[key], now);
		if (now - sharedSince[key] > longestMs) {
			longestMs = now - sharedSince[key];
			longest = `key ${key}: ${holders.map(server => `${server.id} under fence ${server.heldUnder[key]}, ${Math.round(server.heldUntil[key] - now)} ms left`).join('; ')}`;
		}
	}
}

/** Clients ask for keys at random, of daemons in turn; each request takes 20 ms at its server. */
async function keepAsking() {
	const counts = new Map();
	const askOnce = async (daemon, key) => {
		const {status, error} = await deployment.send(daemon, {...question, key});
		const name = status ?? error ?? 'no answer';
		counts.set(name, (counts.get(name) ?? 0) + 1);
	};

	for (let index = 0; !deployment.isStopped; index += 1) {
		const daemon = deployment.daemons[index % deployment.daemons.length];
		const key = Math.floor(Math.random() * keyCount);
		askOnce(daemon, key);
		await delay(8);
	}

	record.write(`answers: ${[...counts].map(([name, count]) => `${name}: ${count}`).join(', ')}`);
}

/** The last order of each kind is recorded when a server first gets it for these keys under this fence. */
const seenOrders = new Set();

function recordOrder({server, isGrant, from, target, fence, holdMs}) {
	const order = `${isGrant ? 'grant' : 'release'} at ${server} of ${from} to ${target}, fence ${fence}${isGrant ? `, hold ${holdMs} ms` : ''}`;
	if (!seenOrders.has(order)) {
		seenOrders.add(order);
		record.write(order);
	}
}

async function run() {
	const service = {service: 'registry', isKeyed: true, onOrder: recordOrder};
	await deployment.startStore();
	deployment.configure(1, [{
		name: 'records', host: 'records.example', prefix: '/records/', kind: 'safe', timeoutMs: 1000, service: 'registry',
	}], [{
		name: 'registry', sharded: true, warmS: 1, grants: 'unary',
	}]);
	for (const index of [1, 2, 3, 4]) {
		await deployment.addServer({...service, id: `server-${index}`});
	}

	await deployment.startDaemons(process.env.LOGS);
	await deployment.waitUntilServed(question);
	const watch = setInterval(watchHolds, 20);
	const asking = keepAsking();
	await delay(4000);
	const copy = store.takeCopy();
	record.write(`the copy of the store is taken at revision ${copy.revision}`);
	await delay(500);
	record.write('server-5 joins');
	await deployment.addServer({...service, id: 'server-5'});
	await delay(2500);
	if (hasTrouble) {
		record.write('the store is away');
		store.goAway();
		await delay(1200);
		if (killsDaemons) {
			record.write('all daemons are killed');
			await Promise.all(deployment.daemons.map(async daemon => daemon.kill()));
		}

		await delay(600);
		if (restoresStore) {
			store.restore(copy);
			record.write(`the store comes back from the copy, ${Math.round((performance.now() - copy.takenAt) / 1000)} s old, in era ${store.era}`);
		} else {
			store.era += Number(process.env.ERA ?? 0);
			record.write('the store comes back');
		}

		store.comeBack();
		// What the operator and the servers wrote since is written again.
		for (const server of deployment.servers) {
			server.writeEntry();
		}

		if (killsDaemons) {
			await delay(400);
			record.write('the daemons are started again');
			for (const daemon of deployment.daemons) {
				daemon.start();
			}

			await Promise.all(deployment.daemons.map(async daemon => daemon.waitUntilReady()));
		}
	}

	await delay(15_000);
	clearInterval(watch);
	await deployment.waitUntilServed(question);
	await deployment.stop();
	await asking;
	record.write(`longest time for which two servers held a key: ${Math.round(longestMs)} ms; ${longest}`);
	return longestMs > sharedHoldLimitMs ? 1 : 0;
}

let code = 2;
try {
	code = await run();
} catch (error) {
	record.write(`the case could not run: ${error.stack}`);
	await deployment.stop();
}

record.write(code === 0 ? 'the rule held' : (code === 1 ? 'the rule was broken' : 'not judged'));
process.exit(code);
