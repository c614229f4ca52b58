/**
 * Service "gateway" on the users' platform: takes requests from callers over HTTP.
 *
 * It stands on the runtime's own server instead of `moleculer-web`, which neither tells pipelined requests apart nor lets
 * errors of the protocol wait for the answers before them; see docs/style-conflicts.md.
 */
import {
	createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Service, ServiceBroker, ServiceSchema} from 'moleculer';
import {
	BadRequestError, describeFailure, LimitExceededError, LimitName, RouterError,
} from '../model/errors.js';
import {LogEvent, type EventLog} from '../model/events.js';
import {Cancellation} from '../model/cancellation.js';
import {
	OutcomeKind, OutcomeReason, type CallerRequest, type Outcome,
} from '../model/forwarding.js';
import {initialLimits, type CallerLimits} from '../model/route-configuration.js';
import {openBody} from './request-body.js';

/** Headers of a caller that the gateway needs; an adapter reads them. */
export type CallerHeaderReader = (rawHeaders: string[]) => {
	passed: string[];
	requestId: string;
	key: number | undefined;
	budgetMs: number | undefined;
};

/** Settings of the gateway. */
export type PlatformGatewayOptions = {
	ip: string;
	port: number;
	log: EventLog;
	readHeaders: CallerHeaderReader;
	/** Limits in force; nothing before the first configuration. */
	limits(): CallerLimits | undefined;
	/** Waits for evidence that the configuration, and with it the limits, is the newest one; false if there is none. */
	proveConfiguration(cancellation: Cancellation): Promise<boolean>;
	/** Called with every final answer. */
	onOutcome(request: CallerRequest, outcome: Outcome): void;
};

/** Headers beyond this size are refused by the parser, in bytes; the configured limit is lower. */
const parserHeaderBytes = 65_536;

/** Interval in which slow senders are looked for, in milliseconds. */
const slowSenderCheckMs = 500;

/** Time that a caller gets for the body after the headers, in milliseconds. */
const bodyTimeMs = 30_000;

/** Bytes of a header line beside its name and value: colon, space and line end. */
const headerLineBytes = 4;

/** Statuses for what is no request, by the parser's code; 400 for all others. */
const malformedStatuses = new Map([
	['HPE_HEADER_OVERFLOW', 431],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
	['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);

/** Milliseconds in a second. */
const secondMs = 1000;

/** Delay that callers are told while the newest configuration is not known, in milliseconds. */
const unprovenRetryMs = 300;

/** State of a caller's connection. */
type Connection = {
	/** Requests that were read and not yet answered. */
	pending: Set<Cancellation>;
	/** Answer to a malformed request, sent after those before it. */
	lastAnswer: string | undefined;
	/** True until the first request was read. */
	isFresh: boolean;
};

/** What became of a request that was forwarded. */
type Handling = {
	caller: CallerRequest;
	outcome: Outcome;
	/** The final answer in place of the outcome, if the body turned out to be no proper one. */
	refusal?: BadRequestError;
};

/** Creates the service. */
export function createPlatformGatewayService(options: PlatformGatewayOptions): ServiceSchema {
	return {
		name: 'gateway',
		dependencies: ['dispatcher'],
		actions: {
			/** From now on answers close their connections. */
			drain(this: Service) {
				gatewayOf(this).drain();
			},
			/** Stops listening; requests in flight go on. */
			closeListener(this: Service) {
				gatewayOf(this).closeListener();
			},
			load(this: Service) {
				return gatewayOf(this).load;
			},
		},
		created(this: Service) {
			(this as unknown as {gateway: Gateway}).gateway = new Gateway(options, this.broker);
		},
		async started(this: Service) {
			await gatewayOf(this).listen();
		},
		stopped(this: Service) {
			gatewayOf(this).closeListener();
		},
	};
}

function gatewayOf(service: Service): Gateway {
	return (service as unknown as {gateway: Gateway}).gateway;
}

/** The server and its connections. */
class Gateway {
	private readonly server: Server;
	private readonly connections = new Map<Socket, Connection>();
	private isDraining = false;
	private pendingCount = 0;

	constructor(private readonly options: PlatformGatewayOptions, private readonly broker: ServiceBroker) {
		this.server = createServer({
			maxHeaderSize: parserHeaderBytes, connectionsCheckingInterval: slowSenderCheckMs, noDelay: true,
		}, (request, response) => {
			void this.handle(request, response);
		});
		this.server.on('connection', socket => {
			this.connections.set(socket, {pending: new Set(), lastAnswer: undefined, isFresh: true});
			for (const event of ['end', 'close']) {
				socket.once(event, () => {
					this.leave(socket);
				});
			}
		});
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			void this.refuseMalformed(error, socket as Socket);
		});
		this.applyLimits();
	}

	/** Requests without a final answer. */
	get load(): number {
		return this.pendingCount;
	}

	async listen(): Promise<void> {
		const {ip, port} = this.options;
		return new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen({host: ip, port, backlog: 511}, () => {
				this.server.off('error', reject);
				resolve();
			});
		});
	}

	drain(): void {
		this.isDraining = true;
	}

	closeListener(): void {
		this.server.close();
		this.server.closeIdleConnections();
	}

	private applyLimits(): CallerLimits {
		const limits = this.options.limits() ?? initialLimits;
		this.server.headersTimeout = limits.headerTimeoutMs;
		this.server.requestTimeout = limits.headerTimeoutMs + bodyTimeMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs;
		return limits;
	}

	private leave(socket: Socket): void {
		const connection = this.connections.get(socket);
		this.connections.delete(socket);
		for (const cancellation of connection?.pending ?? []) {
			cancellation.cancel();
		}
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {socket} = request;
		const connection = this.connections.get(socket);
		const cancellation = new Cancellation();
		connection?.pending.add(cancellation);
		this.pendingCount += 1;
		response.sendDate = false;
		try {
			const {caller, outcome, refusal} = await this.forward(request, response, cancellation);
			if (refusal) {
				this.refuseForGood(response, refusal);
				return;
			}

			this.answer(response, outcome, connection);
			this.options.onOutcome(caller, outcome);
		} catch (error) {
			await this.refuse(response, error, cancellation);
		} finally {
			this.pendingCount -= 1;
			connection?.pending.delete(cancellation);
			this.sendLastAnswer(socket, connection);
		}
	}

	private async forward(request: IncomingMessage, response: ServerResponse, cancellation: Cancellation): Promise<Handling> {
		const receivedAt = performance.now();
		const limits = this.applyLimits();
		checkHeaders(request, limits);
		const {passed, requestId, key, budgetMs} = this.options.readHeaders(request.rawHeaders);
		const caller: CallerRequest = {
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			host: request.headers.host ?? '',
			headers: passed,
			requestId,
			key,
			budgetMs,
			receivedAt,
			body: await openBody(request, limits.maxBodyBytes),
			cancellation,
			beginStream({status, headers}) {
				response.writeHead(status, headers);
				return response;
			},
			abortStream() {
				response.destroy();
			},
		};
		await this.seeEarlyEnd(request.socket);
		const outcome = await this.broker.call<Outcome, CallerRequest>('dispatcher.forward', caller);
		const failure = caller.body instanceof Readable ? caller.body.errored : undefined;
		if (failure instanceof BadRequestError) {
			// The rest of the body is not read.
			closeAfter(response);
			if (await this.isFinal(failure, cancellation)) {
				return {caller, outcome, refusal: failure};
			}
		}

		return {caller, outcome};
	}

	/** A caller does not repeat a request that exceeds a limit, so that a newer configuration must not have raised it. */
	private async isFinal(error: BadRequestError, cancellation: Cancellation): Promise<boolean> {
		if (!(error instanceof LimitExceededError)) {
			return true;
		}

		const isProved = await this.options.proveConfiguration(cancellation);
		const limits = this.options.limits();
		return isProved && limits !== undefined && limits[error.limit] <= error.limitBytes;
	}

	/**
	 * A connection may have waited to be accepted until its caller left. Its end is read one turn of the loop after the
	 * request, so that the first request of a connection lets two turns pass.
	 */
	private async seeEarlyEnd(socket: Socket): Promise<void> {
		const connection = this.connections.get(socket);
		if (!connection?.isFresh) {
			return;
		}

		connection.isFresh = false;
		await nextTurn();
		await nextTurn();
	}

	private answer(response: ServerResponse, outcome: Outcome, connection: Connection | undefined): void {
		// Requests behind this one on the connection still get their answers.
		const isLast = (connection?.pending.size ?? 0) <= 1;
		if (this.isDraining && isLast && !response.headersSent) {
			response.setHeader('connection', 'close');
		}

		switch (outcome.kind) {
			case OutcomeKind.Answered: {
				sendWhole(response, outcome);
				break;
			}

			case OutcomeKind.Streamed: {
				break;
			}

			case OutcomeKind.Abandoned: {
				response.destroy();
				break;
			}

			case OutcomeKind.NotRun: {
				response.setHeader('retry-after', retryAfterText(outcome.retryAfterMs ?? secondMs));
				sendFailure(response, 503, outcome.reason);
				break;
			}

			case OutcomeKind.NoRoute: {
				sendFailure(response, 404, outcome.reason);
				break;
			}

			case OutcomeKind.TimedOut: {
				sendFailure(response, 504, outcome.reason);
				break;
			}

			case OutcomeKind.Unknown: {
				sendFailure(response, 502, outcome.reason);
				break;
			}
		}
	}

	private async refuse(response: ServerResponse, error: unknown, cancellation: Cancellation): Promise<void> {
		const {log} = this.options;
		if (error instanceof BadRequestError) {
			const isFinal = await this.isFinal(error, cancellation);
			if (isFinal) {
				this.refuseForGood(response, error);
			} else {
				this.postpone(response, error);
			}

			return;
		}

		log.record(LogEvent.InternalFailure, {detail: error instanceof RouterError ? error.message : describeFailure(error)});
		if (response.headersSent) {
			response.destroy();
			return;
		}

		sendFailure(response, 502, 'internal_failure');
	}

	private refuseForGood(response: ServerResponse, error: BadRequestError): void {
		this.options.log.record(LogEvent.RequestMalformed, {status: error.status, detail: error.message});
		// The rest of a refused body is not read.
		closeAfter(response);
		sendFailure(response, error.status, error.code);
	}

	/** Refuses a request that did not run and may be proper by a newer configuration. */
	private postpone(response: ServerResponse, error: BadRequestError): void {
		this.options.log.record(LogEvent.RequestRefused, {reason: OutcomeReason.ConfigurationUnproven, detail: error.message, retryAfterMs: unprovenRetryMs});
		closeAfter(response);
		if (!response.headersSent) {
			response.setHeader('retry-after', retryAfterText(unprovenRetryMs));
		}

		sendFailure(response, 503, OutcomeReason.ConfigurationUnproven);
	}

	/** Refuses what is no request; answers to requests before it on the connection go first. */
	private async refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): Promise<void> {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const parsed = malformedStatus(error.code);
		const isFinal = parsed !== 431 || await this.isFinal(new LimitExceededError(LimitName.HeaderBytes, parserHeaderBytes), new Cancellation());
		const status = isFinal ? parsed : 503;
		this.options.log.record(LogEvent.RequestMalformed, {status, detail: error.message});
		const connection = this.connections.get(socket);
		const retryAfter = isFinal ? '' : `Retry-After: ${retryAfterText(unprovenRetryMs)}\r\n`;
		const answer = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nContent-Length: 0\r\n${retryAfter}Connection: close\r\n\r\n`;
		if (!connection) {
			socket.end(answer);
			return;
		}

		connection.lastAnswer = answer;
		this.sendLastAnswer(socket, connection);
	}

	private sendLastAnswer(socket: Socket, connection: Connection | undefined): void {
		if (connection?.lastAnswer !== undefined && connection.pending.size === 0) {
			socket.end(connection.lastAnswer, () => {
				socket.destroy();
			});
			connection.lastAnswer = undefined;
		}
	}
}

/** Seconds with fractions, as the platform's callers take them. */
function retryAfterText(delayMs: number): string {
	return (delayMs / secondMs).toFixed(2);
}

function closeAfter(response: ServerResponse): void {
	if (!response.headersSent) {
		response.setHeader('connection', 'close');
	}
}

function checkHeaders(request: IncomingMessage, {maxHeaderBytes}: CallerLimits): void {
	let bytes = (request.method?.length ?? 0) + (request.url?.length ?? 0);
	for (const text of request.rawHeaders) {
		bytes += text.length + (headerLineBytes / 2);
	}

	if (bytes > maxHeaderBytes) {
		throw new LimitExceededError(LimitName.HeaderBytes, maxHeaderBytes);
	}
}

function malformedStatus(code: string | undefined): number {
	return malformedStatuses.get(code ?? '') ?? 400;
}

function sendWhole(response: ServerResponse, {answer, body}: Outcome): void {
	const status = answer?.status ?? 502;
	const hasBody = status >= 200 && status !== 204 && status !== 304;
	response.writeHead(status, {...answer?.headers, ...(hasBody && {'content-length': String(body?.length ?? 0)})});
	response.end(hasBody ? body : undefined);
}

function sendFailure(response: ServerResponse, status: number, reason: string | undefined): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const text = `${JSON.stringify({error: reason})}\n`;
	response.writeHead(status, {'content-type': 'application/json', 'content-length': String(text.length)});
	response.end(text);
}
