/**
 * Stand-in of the platform's store: items, transactions, leases and watches over HTTP, and the drill in which it comes back from a copy.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

const base = '/eelgrasswheel/';

/** Size of a page of a listing, in items. */
const pageItems = 500;

/** Reads the JSON body of a request; undefined if there is none. */
async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString('utf8');
	return text === '' ? undefined : JSON.parse(text);
}

function encodeItem({key, value, revision, createdRev, lease}) {
	return {
		key, value: Buffer.from(value).toString('base64'), revision, createdRev, lease,
	};
}

export class Store {
	revision = 100;
	era = 1;
	/** While true, calls get no answer and nothing is done. */
	isAway = false;
	items = new Map();
	leases = new Map();
	history = [];
	oldestRevision = 100;
	nextLease = 1;
	watchers = new Set();

	async listen(ip, port) {
		this.server = createServer((request, response) => {
			this.handle(request, response);
		});
		this.server.keepAliveTimeout = 60_000;
		await new Promise(resolve => {
			this.server.listen(port, ip, resolve);
		});
	}

	close() {
		for (const {timer} of this.leases.values()) {
			clearTimeout(timer);
		}

		this.server.close();
		this.server.closeAllConnections();
	}

	/** Calls wait in vain from now on. */
	goAway() {
		this.isAway = true;
	}

	/** Calls are answered again; those that came meanwhile were not carried out. */
	comeBack() {
		this.isAway = false;
		this.server.closeAllConnections();
	}

	takeCopy() {
		return {
			items: new Map(this.items), revision: this.revision, nextLease: this.nextLease, leases: new Set(this.leases.keys()), takenAt: performance.now(),
		};
	}

	/** Goes back to a copy: what was written since is gone, leases too, and revisions are given out again. */
	restore({items, revision, nextLease, leases}) {
		for (const [id, lease] of this.leases) {
			if (!leases.has(id)) {
				clearTimeout(lease.timer);
				this.leases.delete(id);
			}
		}

		this.items = new Map(items);
		this.revision = revision;
		this.nextLease = nextLease;
		this.history = [];
		this.oldestRevision = revision;
		this.era += 1;
		for (const key of [...this.items.values()].filter(({lease}) => lease !== 0 && !this.leases.has(lease)).map(each => each.key)) {
			this.apply([], [key]);
		}
	}

	/** Writes as the operator and the servers do. */
	put(key, value) {
		return this.apply([{key, value, lease: 0}], []);
	}

	remove(key) {
		return this.items.has(key) ? this.apply([], [key]) : this.revision;
	}

	apply(puts, removals) {
		this.revision += 1;
		const {revision} = this;
		for (const {key, value, lease} of puts) {
			const item = {
				key, value, revision, createdRev: this.items.get(key)?.createdRev ?? revision, lease,
			};
			this.items.set(key, item);
			this.history.push(item);
		}

		for (const key of removals) {
			if (this.items.delete(key)) {
				this.history.push({key, revision, tombstone: true});
			}
		}

		for (const notify of this.watchers) {
			notify();
		}

		return revision;
	}

	renew(id) {
		const lease = this.leases.get(id);
		clearTimeout(lease.timer);
		lease.timer = setTimeout(() => {
			this.end(id);
		}, lease.ttlMs);
	}

	end(id) {
		clearTimeout(this.leases.get(id)?.timer);
		this.leases.delete(id);
		const keys = [...this.items.values()].filter(({lease}) => lease === id).map(({key}) => key);
		if (keys.length > 0) {
			this.apply([], keys);
		}
	}

	async handle(request, response) {
		let body;
		try {
			body = await readBody(request);
		} catch {
			return;
		}

		if (this.isAway) {
			return;
		}

		const url = new URL(request.url, 'http://store');
		const answer = (status, content) => {
			if (!this.isAway) {
				response.writeHead(status, {'content-type': 'application/json', 'store-era': String(this.era)});
				response.end(JSON.stringify(content));
			}
		};

		const [call, id] = url.pathname.slice(base.length).split('/');
		switch (call) {
			case 'kv-key': {
				const item = this.items.get(url.searchParams.get('key'));
				answer(item ? 200 : 404, item ? {...encodeItem(item), storeRevision: this.revision} : {});
				break;
			}

			case 'kv-range': {
				const prefix = url.searchParams.get('prefix') ?? '';
				const after = url.searchParams.get('after') ?? '';
				const found = [...this.items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((left, right) => left.key < right.key ? -1 : 1);
				answer(200, {items: found.slice(0, pageItems).map(item => encodeItem(item)), hasMore: found.length > pageItems, storeRevision: this.revision});
				break;
			}

			case 'kv-watch': {
				this.watch(url, response, answer);
				break;
			}

			case 'kv-txn': {
				this.transact(body, answer);
				break;
			}

			case 'kv-lease': {
				const lease = this.nextLease;
				this.nextLease += 1;
				this.leases.set(lease, {ttlMs: body.ttlMs, timer: undefined});
				this.renew(lease);
				answer(200, {lease, ttlMs: body.ttlMs});
				break;
			}

			case 'kv-keep': {
				const isKnown = this.leases.has(Number(id));
				if (isKnown) {
					this.renew(Number(id));
				}

				answer(isKnown ? 200 : 404, {});
				break;
			}

			case 'kv-lease-end': {
				this.end(Number(id));
				answer(200, {});
				break;
			}

			default: {
				answer(404, {});
			}
		}
	}

	watch(url, response, answer) {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = Number(url.searchParams.get('after'));
		const {era} = this;
		const found = () => this.history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
		const isLost = () => era !== this.era || after < this.oldestRevision || after > this.revision;
		const settle = () => {
			clearTimeout(timer);
			this.watchers.delete(onChange);
			answer(isLost() ? 410 : 200, isLost() ? {} : {events: found().map(item => item.tombstone ? item : encodeItem(item)), storeRevision: this.revision});
		};

		const onChange = () => {
			if (found().length > 0 || isLost()) {
				settle();
			}
		};

		const isDue = found().length > 0 || isLost();
		const timer = setTimeout(settle, isDue ? 0 : Number(url.searchParams.get('waitMs')));
		this.watchers.add(onChange);
		response.once('close', () => {
			clearTimeout(timer);
			this.watchers.delete(onChange);
		});
	}

	transact({expect = [], puts = [], remove = []}, answer) {
		if (expect.some(({key, revision}) => (this.items.get(key)?.revision ?? 0) !== revision)) {
			answer(412, {items: expect.map(({key}) => this.items.get(key)).filter(Boolean).map(item => encodeItem(item))});
			return;
		}

		if (puts.some(({lease = 0}) => lease !== 0 && !this.leases.has(lease))) {
			answer(404, {});
			return;
		}

		const decoded = puts.map(({key, value, lease = 0}) => ({key, value: Buffer.from(value, 'base64').toString('utf8'), lease}));
		answer(200, {revision: this.apply(decoded, remove)});
	}
}
