/**
 * Callers of a soak. Each keeps its connection to a daemon until that is closed.
 */
import {connect, type Socket} from 'node:net';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {WireHeader} from '../src/platform/wire.js';
import {platformPorts} from '../standins/platform-settings.js';
import {ResponseParser, type ParsedAnswer} from './response-parser.js';
import {AnswerEnd, type RequestRecord, type Trace} from './trace.js';
import {
	hostName, keyCount, RouteName, sealOf, trafficRoutes,
} from './traffic.js';

/** Ways in which callers use connections. */
export enum CallerKind {
	KeepAlive = 'keep-alive',
	/** Sends safe requests before the answers to earlier ones. */
	Pipelining = 'pipelining',
	SlowReader = 'slow reader',
	/** Opens a connection for each request. */
	OneShot = 'one-shot',
}

const routesByKind: Record<CallerKind, RouteName[]> = {
	[CallerKind.KeepAlive]: [RouteName.Records, RouteName.Lookup, RouteName.Status, RouteName.Orders],
	[CallerKind.Pipelining]: [RouteName.Lookup, RouteName.Status],
	[CallerKind.SlowReader]: [RouteName.Files],
	[CallerKind.OneShot]: [RouteName.Records, RouteName.Orders, RouteName.Status],
};

/** Time beyond a request's budget for which a caller waits, in milliseconds. */
const patienceMs = 500;

/** Pause of a slow reader after each read, in milliseconds. */
const slowReadPauseMs = 40;

/** Pause before a caller looks for its daemon again, in milliseconds. */
const reconnectDelayMs = 100;

const longestPauseMs = 150;
const longestBudgetMs = 8000;

/** A request that waits for its answer. */
type Pending = {record: RequestRecord; settle: () => void; timer: NodeJS.Timeout};

/** A connection to a daemon. */
export class CallerConnection {
	private readonly socket: Socket;
	private readonly parser = new ResponseParser();
	private readonly pending: Pending[] = [];
	private isOpen = true;

	constructor(ip: string, private readonly trace: Trace, isSlow = false) {
		this.socket = connect({host: ip, port: platformPorts.caller, noDelay: true});
		this.socket.on('data', chunk => {
			if (isSlow) {
				this.pause();
			}

			for (const answer of this.parser.push(chunk)) {
				this.take(answer);
			}
		});
		this.socket.on('error', () => {
			// 'close' follows.
		});
		this.socket.once('close', () => {
			this.isOpen = false;
			this.endAll(AnswerEnd.Closed);
		});
		this.socket.once('end', () => {
			this.isOpen = false;
		});
	}

	get isUsable(): boolean {
		return this.isOpen;
	}

	/** Sends a request and resolves when its answer has ended; only connections that were established count as sent. */
	async send(request: Pick<RequestRecord, 'id' | 'daemon' | 'route' | 'budgetMs'>, key: number, path: string): Promise<RequestRecord> {
		const {isKeyed, isSafe} = trafficRoutes[request.route];
		const record: RequestRecord = {
			...request,
			isBehindAnother: this.pending.length > 0,
			sentAt: performance.now(),
			lastByteAt: Infinity,
			end: undefined,
			endedAt: 0,
			status: undefined,
			isSealValid: undefined,
			answerId: undefined,
		};
		this.trace.requests.set(record.id, record);
		const body = isSafe ? '' : '{}';
		const head = [
			`${isSafe ? 'GET' : 'POST'} ${path} HTTP/1.1`,
			`Host: ${hostName}`,
			`${WireHeader.RequestId}: ${record.id}`,
			`${WireHeader.Budget}: ${record.budgetMs}`,
			...(isKeyed ? [`${WireHeader.Key}: ${key}`] : []),
			...(isSafe ? [] : [`Content-Length: ${body.length}`]),
		];
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.endAll(AnswerEnd.GaveUp);
				this.close();
			}, record.budgetMs + patienceMs);
			this.pending.push({
				record, timer, settle() {
					resolve(record);
				},
			});
			this.socket.write(`${head.join('\r\n')}\r\n\r\n${body}`, error => {
				record.lastByteAt = error ? Infinity : performance.now();
			});
			if (!this.isOpen) {
				this.endAll(AnswerEnd.Closed);
			}
		});
	}

	close(): void {
		this.isOpen = false;
		this.socket.destroy();
	}

	private take({status, headers, body}: ParsedAnswer): void {
		const record = this.pending[0]?.record;
		if (!record) {
			return;
		}

		const seal = headers.get(WireHeader.Seal);
		record.status = status;
		record.answerId = headers.get(WireHeader.RequestId);
		record.isSealValid = seal === undefined ? undefined : seal === sealOf(record.id, status, body);
		this.end(AnswerEnd.Whole);
		if (headers.get('connection')?.toLowerCase() === 'close') {
			// Requests behind this one were not read.
			this.isOpen = false;
			this.socket.end();
		}
	}

	private end(end: AnswerEnd): void {
		const first = this.pending.shift();
		if (first) {
			clearTimeout(first.timer);
			first.record.end = end;
			first.record.endedAt = performance.now();
			first.settle();
		}
	}

	private endAll(end: AnswerEnd): void {
		while (this.pending.length > 0) {
			this.end(end);
		}
	}

	private pause(): void {
		this.socket.pause();
		setTimeout(() => {
			this.socket.resume();
		}, slowReadPauseMs);
	}
}

/** What a caller needs to know of the deployment. */
export type CallerOptions = {
	daemon: number;
	ip: string;
	kind: CallerKind;
	/** Makes ids and draws of this caller differ from others. */
	name: string;
	seed: number;
	trace: Trace;
	/** True while the balancer gives the daemon new connections. */
	isInRotation(): boolean;
};

/** Sends requests one after another, or some at once, until it is stopped. */
export class Caller {
	private connection: CallerConnection | undefined;
	private readonly generator;
	private isStopped = false;
	private count = 0;

	constructor(private readonly options: CallerOptions) {
		this.generator = xoroshiro128plus(options.seed);
	}

	/** Resolves when the caller was stopped and its last requests have ended. */
	async run(): Promise<void> {
		while (!this.isStopped) {
			const connection = this.findConnection();
			if (connection) {
				// eslint-disable-next-line no-await-in-loop -- one exchange after another.
				await this.exchange(connection);
			}

			// eslint-disable-next-line no-await-in-loop -- one exchange after another.
			await pause(connection ? this.draw(5, longestPauseMs) : reconnectDelayMs);
		}

		this.connection?.close();
	}

	stop(): void {
		this.isStopped = true;
	}

	private findConnection(): CallerConnection | undefined {
		const {kind, ip, trace, isInRotation} = this.options;
		if (this.connection?.isUsable) {
			return this.connection;
		}

		this.connection = isInRotation() ? new CallerConnection(ip, trace, kind === CallerKind.SlowReader) : undefined;
		return this.connection;
	}

	private async exchange(connection: CallerConnection): Promise<void> {
		const {kind} = this.options;
		const requestCount = kind === CallerKind.Pipelining ? this.draw(2, 4) : 1;
		await Promise.all(Array.from({length: requestCount}, async () => this.send(connection)));
		if (kind === CallerKind.OneShot) {
			connection.close();
		}
	}

	private async send(connection: CallerConnection): Promise<void> {
		const {daemon, kind, name} = this.options;
		const routes = routesByKind[kind];
		const route = routes[this.draw(0, routes.length - 1)];
		const {longestWorkMs, bodyBytes, timeoutMs} = trafficRoutes[route];
		this.count += 1;
		// Most requests are short.
		const workMs = this.draw(0, 4) === 0 ? this.draw(0, longestWorkMs) : this.draw(0, Math.min(longestWorkMs, 60));
		const budgetMs = this.draw(0, 3) === 0 ? longestBudgetMs : timeoutMs;
		await connection.send({
			id: `${name}-${this.count}`, daemon, route, budgetMs,
		}, this.draw(0, keyCount - 1), `/${route}/${workMs}/${this.draw(...bodyBytes)}/${this.count}`);
	}

	private draw(first: number, last: number): number {
		return uniformInt(this.generator, first, last);
	}
}

async function pause(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
