#!/usr/bin/env node
/**
 * Case 6: one server answers one request in some with a body that never ends, in small chunks.
 */
/* eslint-disable no-await-in-loop -- steps follow one another. */
import {fork} from 'node:child_process';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment} from './lib/deployment.mjs';
import {KeptClient} from './lib/kept-client.mjs';
import {freePort, Record} from './lib/record.mjs';

/** Requests that a machine may pass on to sound servers from kept connections and then leave without an answer. */
const cutLimit = 3;

/** Time for which a request is worked on, in milliseconds. */
const workMs = 190;

const dose = {
	CHUNK_BYTES: '16', BYTES_PER_S: '12500000', EVERY: '20', ...process.env,
};
const hasTrouble = process.env.TROUBLE !== '0';
const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const deployment = new Deployment(record);
const {store} = deployment;
const question = {host: 'status.example', path: '/status/1', budgetMs: 5300};
const faultyId = 'server-5';
/** Requests that sound servers have begun to run. */
const ran = new Set();
/** By daemon: requests from kept connections, begun by a sound server, whose connection was closed without an answer. */
const cut = new Map();
const ends = [];
let faulty;
let entryTimer;

async function startFaultyServer() {
	const ip = `${deployment.network}.200`;
	const port = await freePort(ip);
	faulty = fork(fileURLToPath(new URL('faulty-server.mjs', import.meta.url)), {
		env: {
			PATH: process.env.PATH, ID: faultyId, IP: ip, PORT: String(port), WORK_MS: String(workMs), CHUNK_BYTES: dose.CHUNK_BYTES, BYTES_PER_S: dose.BYTES_PER_S, EVERY: dose.EVERY,
		},
	});
	await new Promise(resolve => {
		faulty.on('message', message => {
			if (message.isListening) {
				resolve();
			} else if (message.endless) {
				record.write(`${faultyId} answers ${message.requestId} without end, answer ${message.endless} of this kind`);
			}
		});
	});
	const born = Date.now();
	let sequence = 0;
	entryTimer = setInterval(() => {
		sequence += 1;
		store.put(`servers/${faultyId}`, JSON.stringify({
			service: 'registry', address: `${ip}:${port}`, zone: 'zone-b', version: 'v1', slots: 3, state: 'ready', warmupLeftMs: 0, sequence, born,
		}));
	}, 1000);
}

/** The platform starts a process that has ended again after a short delay. */
async function keepRunning(daemon) {
	while (!deployment.isStopped) {
		const {code, signal} = await daemon.exited;
		if (deployment.isStopped) {
			return;
		}

		ends.push(daemon.name);
		record.write(`${daemon.name} has ended by itself, code ${code}, signal ${signal}`);
		await delay(1000);
		daemon.start();
	}
}

/** A client that keeps its connection to one daemon and asks again and again. */
async function keepAsking(daemon, counts) {
	const client = new KeptClient(daemon.ip, daemon.ports.front);
	while (!deployment.isStopped) {
		const id = deployment.nextId();
		const {status, isComplete, isTimeout, isClosed, isKept} = await client.ask({...question, id});
		const name = isComplete ? status : `${status ?? 'no answer'}, ${isTimeout ? 'time over' : 'closed'}`;
		counts.set(name, (counts.get(name) ?? 0) + 1);
		if (isClosed && status === undefined && isKept && ran.has(id) && !deployment.isStopped) {
			cut.set(daemon.name, (cut.get(daemon.name) ?? 0) + 1);
			record.write(`${id} ran at a sound server, and ${daemon.name} closed its kept connection without an answer`);
		}

		await delay(status === 200 ? 100 : 300);
	}

	client.close();
}

async function run() {
	await deployment.startStore();
	deployment.configure(1, [{
		name: 'status', host: 'status.example', prefix: '/status/', kind: 'safe', timeoutMs: 5300, service: 'registry',
	}], [{name: 'registry'}]);
	for (const index of [1, 2, 3, 4, 6]) {
		await deployment.addServer({
			id: `server-${index}`, service: 'registry', isKeyed: false, slots: 3, workMs,
			onRun({requestId}) {
				ran.add(requestId);
			},
		});
	}

	await startFaultyServer();
	await deployment.startDaemons(process.env.LOGS);
	await deployment.waitUntilServed(question);
	const counts = new Map();
	const work = deployment.daemons.flatMap(daemon => [keepRunning(daemon), ...Array.from({length: 14}, async () => keepAsking(daemon, counts))]);
	await delay(4000);
	if (hasTrouble) {
		record.write(`from now on, ${faultyId} answers each ${dose.EVERY}th of its requests without end: chunks of ${dose.CHUNK_BYTES} bytes, ${dose.BYTES_PER_S} bytes a second`);
		faulty.send({isFaulty: true});
	}

	await delay(Number(process.env.SECONDS ?? 30) * 1000);
	record.write(`requests sent: ${deployment.sentCount}, begun by sound servers: ${ran.size}`);
	record.write(`answers: ${[...counts].map(([name, count]) => `${name}: ${count}`).join(', ')}`);
	record.write(`processes that ended by themselves: ${ends.length} (${ends.join(', ')})`);
	record.write(`cut, by daemon: ${[...cut].map(([name, count]) => `${name}: ${count}`).join(', ')}`);
	const isBroken = Math.max(0, ...cut.values()) > cutLimit;
	await stop();
	await Promise.race([Promise.all(work), delay(3000)]);
	return isBroken ? 1 : 0;
}

async function stop() {
	clearInterval(entryTimer);
	faulty?.disconnect();
	await deployment.stop();
}

let code = 2;
try {
	code = await run();
} catch (error) {
	record.write(`the case could not run: ${error.stack}`);
	await stop();
}

record.write(code === 0 ? 'the rule held' : (code === 1 ? 'the rule was broken' : 'not judged'));
process.exit(code);
