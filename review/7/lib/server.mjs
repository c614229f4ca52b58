/**
 * Stand-in of a server: it holds keys, runs requests and says so in its entry.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';

/** Keys are integers from 0 to this one. */
const lastKey = 65_535;

/** Reads the body of a request. */
async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

export class Server {
	sequence = 0;

	constructor(options) {
		this.options = {
			slots: 3, workMs: 20, heartbeatMs: 1000, isKeyed: true, ...options,
		};
		this.born = Date.now();
		/** For each key, the highest fence seen, the time until which it is held, and the fence of the hold. */
		this.seen = new Float64Array(lastKey + 1);
		this.heldUntil = new Float64Array(lastKey + 1);
		this.heldUnder = new Float64Array(lastKey + 1);
	}

	get id() {
		return this.options.id;
	}

	async start() {
		const {ip, port} = this.options;
		this.http = createServer((request, response) => {
			this.handle(request, response);
		});
		this.http.keepAliveTimeout = 10_000;
		await new Promise(resolve => {
			this.http.listen(port, ip, resolve);
		});
		this.state = 'ready';
		this.writeEntry();
		this.heartbeat = setInterval(() => {
			this.writeEntry();
		}, this.options.heartbeatMs);
	}

	/** The entry gets lost while the store is away, and is written again with the next heartbeat. */
	writeEntry() {
		const {store, id, service, ip, port, zone, slots} = this.options;
		this.sequence += 1;
		if (!store.isAway) {
			store.put(`servers/${id}`, JSON.stringify({
				service, address: `${ip}:${port}`, zone, version: 'v1', slots, state: this.state, warmupLeftMs: 0, sequence: this.sequence, born: this.born,
			}));
		}
	}

	close() {
		clearInterval(this.heartbeat);
		this.http.close();
		this.http.closeAllConnections();
	}

	isHolding(key, now = performance.now()) {
		return now < this.heldUntil[key];
	}

	async handle(request, response) {
		let body;
		try {
			body = await readBody(request);
		} catch {
			return;
		}

		const {id, isKeyed, workMs, onRun} = this.options;
		const requestId = request.headers['attempt-id'];
		const own = requestId === undefined ? {} : {'attempt-id': requestId};
		const send = (status, headers = {}, text = '') => {
			response.writeHead(status, {...own, ...headers, 'content-length': String(text.length)});
			response.end(text);
		};

		const expected = request.headers['target-instance'];
		if (expected !== undefined && expected !== id) {
			send(421, {'not-executed': '1', 'instance-id': id});
			return;
		}

		if (request.url === '/eelgrasswheel/grant' || request.url === '/eelgrasswheel/release') {
			this.order(request.url.endsWith('grant'), JSON.parse(body.toString('utf8')), send);
			return;
		}

		if (request.url === '/health') {
			send(this.state === 'ready' ? 200 : 503, {'instance-id': id});
			return;
		}

		if (requestId === undefined) {
			send(400, {'not-executed': '1'});
			return;
		}

		const key = Number(request.headers['shard-key'] ?? 0);
		if (isKeyed && !this.isHolding(key)) {
			send(421, {'not-executed': '1', 'instance-id': id});
			return;
		}

		onRun?.({
			server: id, requestId, key, method: request.method, path: request.url, body,
		});
		await delay(workMs);
		send(200, {'response-seal': `${id}.${requestId}`}, `${id} ran ${requestId}`);
	}

	order(isGrant, {from, target, fence, holdMs}, send) {
		for (let key = from; key <= target; key += 1) {
			if (isGrant && this.seen[key] > fence) {
				send(409);
				return;
			}
		}

		const now = performance.now();
		this.options.onOrder?.({
			server: this.id, isGrant, from, target, fence, holdMs,
		});
		for (let key = from; key <= target; key += 1) {
			this.seen[key] = Math.max(this.seen[key], fence);
			this.heldUntil[key] = isGrant ? now + holdMs : 0;
			this.heldUnder[key] = isGrant ? fence : 0;
		}

		send(200, isGrant ? {} : {handover: `h${from}`});
	}
}
