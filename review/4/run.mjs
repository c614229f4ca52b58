#!/usr/bin/env node
/**
 * Clients send further safe requests before the first one is answered, and some of them leave before their deadline.
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {hasTrouble, runCase} from './lib/deployment.mjs';
import {ports} from './lib/layout.mjs';
import {Target, sealOf} from './lib/target.mjs';

const service = 'guasti';
const targetCount = 9;
const daemonCount = 4;
const playMs = 60_000;

/** Requests that a client sends on one connection, and the pause between two of them. */
const requestCount = 10;
const pauseMs = 40;

/** Pause between two clients: about 49 requests a second. */
const clientPauseMs = 205;

/** Route and answers as the site file states them. */
const timeoutMs = 2000;
const patienceMs = 4000;

/** A client asks for a long log first, and for short ones then; by the site file, work lasts 200 ms on average and 2200 ms at most. */
const longWorkMs = 1400;
const shortWorkMs = 100;
const answerBytes = {mean: 5000, spread: 0.6, max: 30_000};

/** Dose of `give_up`: share of the clients, and the longest time after which they leave. */
const giveUp = {share: 0.3, withinMs: 1500};

/** Time after the leaving within which the work has to end, and the share of the requests for which it may go on by the rule. */
const slackMs = 500;
const allowedShare = 0.25;

/** Requests that the check needs at least. */
const leastCount = 8;

const configuration = {
	version: 1,
	resources: [
		{
			resourceType: 'routes',
			metadata: {name: 'fault-poll'},
			spec: {
				host: 'faults.example', prefix: '/faults/', kind: 'safe', timeoutMs, targetLatencyMs: 600, priority: 2, service, maxAttempts: 2,
			},
		},
		{
			resourceType: 'services',
			metadata: {name: service},
			spec: {
				healthPath: '/health', maxConnections: 130, protocol: 'h1', tls: false,
			},
		},
		{
			resourceType: 'limits',
			metadata: {},
			spec: {
				maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
		},
	],
};

/** Draws from a distribution with a mean and a relative spread. */
function draw(mean, spread, max) {
	const normal = Math.sqrt(-2 * Math.log(1 - Math.random())) * Math.cos(2 * Math.PI * Math.random());
	return Math.min(max, mean * Math.exp((normal * spread) - (spread * spread / 2)));
}

class PollTarget extends Target {
	answer(request, response, {id}) {
		const body = Buffer.alloc(Math.round(draw(answerBytes.mean, answerBytes.spread, answerBytes.max)), 'z');
		response.writeHead(200, {'attempt-id': id, 'response-seal': sealOf(id, body), 'content-length': body.length});
		response.end(body);
	}
}

/** One connection of a client; returns the ids of its requests and the time at which it left. */
async function runClient(deployment, index) {
	const daemon = deployment.daemons[index % daemonCount];
	const startedAt = performance.now();
	const leavesAt = hasTrouble && Math.random() < giveUp.share ? startedAt + (Math.random() * giveUp.withinMs) : Infinity;
	const ids = [];
	let answerCount = 0;
	const socket = connect(ports.caller, daemon.ip);
	socket.on('data', chunk => {
		answerCount += chunk.toString('latin1').split('HTTP/1.1 ').length - 1;
	});
	socket.on('error', () => {
		// The counts tell.
	});
	while (ids.length < requestCount && performance.now() < leavesAt) {
		const id = `attempt-${index}-${ids.length}`;
		ids.push(id);
		deployment.record(`sent ${id} to ${daemon.name}`);
		socket.write(`GET /faults/7/${ids.length === 1 ? 'all' : 'new'} HTTP/1.1\r\nHost: faults.example\r\nAttempt-Id: ${id}\r\nTime-Budget-Ms: ${patienceMs}\r\n\r\n`);
		// eslint-disable-next-line no-await-in-loop -- requests follow one another.
		await delay(pauseMs);
	}

	while (performance.now() < Math.min(leavesAt, startedAt + patienceMs) && answerCount < ids.length) {
		// eslint-disable-next-line no-await-in-loop -- polling.
		await delay(5);
	}

	const hasLeft = answerCount < ids.length;
	socket.destroy();
	const leftAt = performance.now();
	deployment.record(`answered ${answerCount} of ${ids.length} requests of client ${index}${hasLeft ? '; it leaves' : ''}`);
	return {ids, leftAt: hasLeft ? leftAt : undefined};
}

process.exit(await runCase(new URL('record.txt', import.meta.url), {}, async deployment => {
	await deployment.startStore(configuration);
	/** Runs by request: when the work began, when it would end, and when it ended. */
	const runs = new Map();
	for (let index = 0; index < targetCount; index += 1) {
		const target = new PollTarget(deployment, {
			id: `i-${index}`,
			ip: `${deployment.network}.${100 + index}`,
			service,
			workMs(request, {id}) {
				const ms = request.url.endsWith('/all') ? longWorkMs : shortWorkMs;
				const beganAt = performance.now();
				runs.set(id, {beganAt, wouldEndAt: beganAt + ms, endedAt: undefined});
				deployment.record(`run ${id} at i-${index} for ${Math.round(ms)} ms`);
				return ms;
			},
			onEnd({id}, isDropped) {
				runs.get(id).endedAt = performance.now();
				deployment.record(`${isDropped ? 'dropped' : 'done'} ${id} at i-${index}`);
			},
		});
		// eslint-disable-next-line no-await-in-loop -- one after another.
		await target.listen();
	}

	await deployment.startDaemons(daemonCount);
	await delay(2000);
	const until = performance.now() + playMs;
	const clients = [];
	while (performance.now() < until) {
		clients.push(runClient(deployment, clients.length));
		// eslint-disable-next-line no-await-in-loop -- one after another.
		await delay(clientPauseMs);
	}

	const ends = await Promise.all(clients);
	await delay(patienceMs);
	let lastingCount = 0;
	let brokenCount = 0;
	let lateCount = 0;
	for (const {ids, leftAt} of ends.filter(each => each.leftAt !== undefined)) {
		for (const [id, run] of ids.map(each => [each, runs.get(each)]).filter(([, each]) => each)) {
			lateCount += run.beganAt > leftAt + slackMs ? 1 : 0;
			if (run.beganAt > leftAt || run.wouldEndAt < leftAt + slackMs) {
				continue;
			}

			lastingCount += 1;
			const atWorkMs = Math.round(run.endedAt - leftAt);
			if (atWorkMs > slackMs) {
				brokenCount += 1;
				deployment.record(`BROKEN: the server is at work on ${id} until ${atWorkMs} ms after its client has left`);
			}
		}
	}

	deployment.record(`GONE: at work half a second after the client has left: ${brokenCount} of ${lastingCount} requests that would have lasted so long; begun so late: ${lateCount}`);
	return lastingCount >= leastCount && brokenCount > lastingCount * allowedShare;
}));
