/**
 * A small deployment on loopback: a store, servers, daemons in three zones, and clients that keep asking.
 */
/* eslint-disable no-await-in-loop -- steps follow one another. */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Daemon} from './daemon.mjs';
import {freeNetwork, freePort} from './record.mjs';
import {Server} from './server.mjs';
import {Store} from './store.mjs';

/** Ports of the daemons, whose addresses differ; the last one is that of the deploy file. */
const ports = {front: 8641, ready: 8640, internal: 7620};
const metricsPort = 9464;

const zones = ['zone-a', 'zone-b', 'zone-c'];

/** Limits of the operator, as in the users' example. */
const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** Answer to one request; `status` is undefined if the connection ended without one. */
export async function ask({ip, port, agent, host, path, method = 'GET', headers = {}, body, timeoutMs}) {
	return new Promise(resolve => {
		const settle = result => {
			clearTimeout(timer);
			resolve(result);
		};

		const call = request({
			host: ip, port, agent, path, method, headers: {host, ...headers},
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.once('close', () => {
				settle({
					status: response.statusCode, headers: response.headers, isComplete: response.complete, text: Buffer.concat(chunks).toString('latin1'),
				});
			});
		});
		const timer = setTimeout(() => {
			call.destroy();
			settle({isTimeout: true});
		}, timeoutMs);
		call.once('error', error => {
			settle({error: error.code ?? error.message, isReused: call.reusedSocket});
		});
		call.end(body);
	});
}

export class Deployment {
	store = new Store();
	servers = [];
	daemons = [];
	agent = new Agent({keepAlive: true, maxSockets: 60});
	sentCount = 0;
	isStopped = false;

	constructor(record, {daemonCount = 3} = {}) {
		this.record = record;
		this.daemonCount = daemonCount;
		// However this process ends, its daemons end with it.
		process.once('exit', () => {
			for (const daemon of this.daemons) {
				daemon.signal('SIGKILL');
			}
		});
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => {
				process.exit(2);
			});
		}
	}

	async startStore() {
		this.network ??= await freeNetwork(this.daemonCount, [...Object.values(ports), metricsPort]);
		this.storeIp = `${this.network}.250`;
		this.storePort = await freePort(this.storeIp);
		await this.store.listen(this.storeIp, this.storePort);
	}

	/** Writes a configuration; each route has a service of its own. */
	configure(version, routes, services) {
		this.store.put('op/config', JSON.stringify({
			version,
			resources: [
				...routes.map(({name, ...spec}) => ({
					resourceType: 'routes', metadata: {name}, spec: {
						maxAttempts: 2, priority: 1, targetLatencyMs: 300, ...spec,
					},
				})),
				...services.map(({name, ...spec}) => ({
					resourceType: 'services', metadata: {name}, spec: {
						healthPath: '/health', maxConnections: 130, protocol: 'h1', tls: false, ...spec,
					},
				})),
				{resourceType: 'limits', metadata: {}, spec: limits},
			],
		}));
	}

	async addServer(options, Kind = Server) {
		const ip = `${this.network}.${100 + this.servers.length}`;
		const server = new Kind({
			ip, port: await freePort(ip), store: this.store, zone: zones[this.servers.length % zones.length], ...options,
		});
		this.servers.push(server);
		await server.start();
		return server;
	}

	async startDaemons(logTo) {
		for (let index = 0; index < this.daemonCount; index += 1) {
			const daemon = new Daemon({
				name: `front-${index + 1}`,
				zone: zones[index % zones.length],
				ip: `${this.network}.${index + 1}`,
				storeAddress: `${this.storeIp}:${this.storePort}`,
				ports,
				logTo: logTo && `${logTo}-${index + 1}.log`,
			});
			this.daemons.push(daemon);
			daemon.start();
		}

		await Promise.all(this.daemons.map(async daemon => daemon.waitUntilReady()));
	}

	/** Sends one request to a daemon. */
	async send(daemon, {host, path, method, key, budgetMs = 1000, body, agent = this.agent, id = this.nextId()}) {
		return {
			id, ...await ask({
				ip: daemon.ip, port: daemon.ports.front, agent, host, path, method, timeoutMs: budgetMs, body,
				headers: {'attempt-id': id, 'time-budget-ms': String(budgetMs), ...(key !== undefined && {'shard-key': String(key)})},
			}),
		};
	}

	nextId() {
		this.sentCount += 1;
		return `attempt-${this.sentCount}`;
	}

	/** Waits until a request is served by each daemon. */
	async waitUntilServed(question, limitMs = 20_000) {
		const until = performance.now() + limitMs;
		for (const daemon of this.daemons) {
			for (;;) {
				const {status} = await this.send(daemon, question);
				if (status === 200) {
					break;
				}

				if (performance.now() > until) {
					throw new Error(`${daemon.name} does not serve`);
				}

				await delay(50);
			}
		}
	}

	async stop() {
		this.isStopped = true;
		await Promise.all(this.daemons.map(async daemon => daemon.kill()));
		for (const daemon of this.daemons) {
			daemon.clean();
		}

		this.agent.destroy();
		for (const server of this.servers) {
			server.close();
		}

		this.store.close();
	}
}
