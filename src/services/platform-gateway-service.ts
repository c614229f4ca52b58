/**
 * Service "gateway" on the users' platform: accepts callers' requests over HTTP.
 *
 * It uses Node's own HTTP server instead of `moleculer-web`, which neither keeps pipelined requests apart nor delays the
 * answer to a protocol error until earlier requests on the connection are answered; see docs/style-conflicts.md.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {Readable, type Writable} from 'node:stream';
import type {Service, ServiceBroker, ServiceSchema} from 'moleculer';
import {
	BadRequestError, BodyTimeoutError, describeFailure, LimitExceededError, LimitName, RouterError,
} from '../model/errors.js';
import {LogEvent, type EventLog} from '../model/events.js';
import {Cancellation} from '../model/cancellation.js';
import {
	OutcomeKind, OutcomeReason, type CallerRequest, type Outcome, type RelayOrigin,
} from '../model/forwarding.js';
import {initialLimits, parserMaxHeaderBytes, type CallerLimits} from '../model/route-configuration.js';
import {
	CallerConnections, malformedStatus, type RequestState,
} from './caller-connections.js';
import {HeldBytes} from './held-bytes.js';
import {RequestStage, type OpenRequests} from './open-requests.js';
import {discardBody, openBody} from './request-body.js';

/** Adapter that extracts what the gateway needs from the headers of a request. */
export type CallerHeaderReader = (rawHeaders: string[]) => {
	passed: string[];
	requestId: string;
	key: number | undefined;
	budgetMs: number | undefined;
	relay?: RelayOrigin;
};

/** Listener for requests that peers relay; its options replace those of the gateway. */
export type RelayListenerOptions = Pick<PlatformGatewayOptions, 'ip' | 'port' | 'readHeaders' | 'limits' | 'onOutcome'> & {
	/** Headers that tell the peer what became of its request. */
	outcomeHeaders(request: CallerRequest, outcome: Outcome): Record<string, string>;
};

export type PlatformGatewayOptions = {
	ip: string;
	port: number;
	log: EventLog;
	openRequests: OpenRequests;
	/** Memory held for callers, of all listeners; not bounded if it is missing. */
	heldBytes?: HeldBytes;
	readHeaders: CallerHeaderReader;
	outcomeHeaders?: RelayListenerOptions['outcomeHeaders'];
	relay?: RelayListenerOptions;
	/** Active limits; undefined before the first configuration. */
	limits(): CallerLimits | undefined;
	/** Waits until the limits are confirmed as the newest; false if no confirmation arrives. */
	confirmLimits(cancellation: Cancellation): Promise<boolean>;
	/** Called with each outcome after it was answered. */
	onOutcome(request: CallerRequest, outcome: Outcome): void;
};

/** Interval at which the server checks for callers that send too slowly, in milliseconds. */
const slowSenderCheckMs = 500;

/** Time a caller has to send the body after the headers, in milliseconds. */
const bodyTimeoutMs = 30_000;

/** Bytes of a header line in addition to its name and value: colon, space and line end. */
const headerLineBytes = 4;

const secondMs = 1000;

/** Reasons of answers that close their connections: other daemons serve the next requests. */
const closingReasons = new Set<OutcomeReason | undefined>([OutcomeReason.DaemonStopping, OutcomeReason.MemoryFull]);

/** Retry delay sent to callers while the limits are not confirmed as the newest, in milliseconds. */
const unconfirmedRetryMs = 300;

/** Retry delay sent to callers whose requests end with the daemon, in milliseconds; other daemons serve them. */
const stoppingRetryMs = 50;

/** Retry delay sent to callers while too many bytes are held, in milliseconds; half of the time after which unread answers are dropped. */
const heldBytesRetryMs = 1000;

/** Interval at which callers that do not read are looked for, in milliseconds. */
const heldBytesCheckMs = 250;

/** Result of forwarding a request. */
type ForwardResult = {
	caller: CallerRequest;
	outcome: Outcome;
	/** Answered in place of the outcome if the body turned out to be invalid while it was streamed. */
	refusal?: BadRequestError;
};

export function createPlatformGatewayService(options: PlatformGatewayOptions): ServiceSchema {
	const {heldBytes = new HeldBytes(options.log)} = options;
	let timer: NodeJS.Timeout | undefined;
	return {
		name: 'gateway',
		dependencies: ['dispatcher'],
		actions: {
			/** From now on, answers close their connections. */
			drain(this: Service) {
				for (const gateway of gatewaysOf(this)) {
					gateway.drain();
				}
			},
			/** Stops listening; requests in flight continue. */
			closeListener(this: Service) {
				closeListeners(this);
			},
			/** Ends what requests wait for in the gateway; they are refused. */
			endRequests(this: Service) {
				for (const gateway of gatewaysOf(this)) {
					gateway.endRequests();
				}
			},
			/** Forwards no further request, for an exit that would cut it. */
			closeConnections(this: Service) {
				for (const gateway of gatewaysOf(this)) {
					gateway.closeConnections();
				}
			},
		},
		created(this: Service) {
			const service = this as unknown as GatewayService;
			service.gateway = new Gateway({...options, heldBytes}, this.broker);
			service.relayGateway = options.relay && new Gateway({...options, ...options.relay, heldBytes}, this.broker);
		},
		async started(this: Service) {
			await Promise.all(gatewaysOf(this).map(async gateway => gateway.listen()));
			if (heldBytes.isBounded) {
				timer = setInterval(() => {
					heldBytes.tick();
				}, heldBytesCheckMs);
			}
		},
		stopped(this: Service) {
			clearInterval(timer);
			closeListeners(this);
		},
	};
}

type GatewayService = {
	gateway: Gateway;
	/** Listens for requests that peers relay. */
	relayGateway: Gateway | undefined;
};

function gatewaysOf(service: Service): Gateway[] {
	const {gateway, relayGateway} = service as unknown as GatewayService;
	return relayGateway ? [gateway, relayGateway] : [gateway];
}

function closeListeners(service: Service): void {
	for (const gateway of gatewaysOf(service)) {
		gateway.closeListener();
	}
}

/** HTTP server with the state of its connections. */
class Gateway {
	private readonly server: Server;
	private readonly connections: CallerConnections;
	private isDraining = false;
	/** Cancelled at the end of a stop. */
	private readonly ending = new Cancellation();

	constructor(private readonly options: PlatformGatewayOptions & {heldBytes: HeldBytes}, private readonly broker: ServiceBroker) {
		this.server = createServer({
			maxHeaderSize: parserMaxHeaderBytes, connectionsCheckingInterval: slowSenderCheckMs, noDelay: true,
		}, (request, response) => {
			void this.handle(request, response);
		});
		this.connections = new CallerConnections(this.server, options.openRequests, options.heldBytes);
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			void this.refuseMalformed(error, socket as Socket);
		});
		this.applyLimits();
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

	/** Refuses the requests whose body is incomplete or whose refusal is not confirmed. */
	endRequests(): void {
		this.ending.cancel();
	}

	/** Closes the connections without an open request; no other request is read from then on. */
	closeConnections(): void {
		this.connections.closeAll();
	}

	closeListener(): void {
		this.server.close();
	}

	private applyLimits(): CallerLimits {
		const limits = this.options.limits() ?? initialLimits;
		this.server.headersTimeout = limits.headerTimeoutMs;
		this.server.requestTimeout = limits.headerTimeoutMs + bodyTimeoutMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs;
		return limits;
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const state = this.connections.begin(request, response);
		if (!state) {
			return;
		}

		response.sendDate = false;
		try {
			const {caller, outcome, refusal} = await this.forward(request, response, state);
			if (refusal) {
				this.refusePermanently(response, state, refusal);
				return;
			}

			if (outcome.kind !== OutcomeKind.Streamed) {
				this.connections.answer(response, state, outcome.body?.length ?? 0, () => {
					this.addOutcomeHeaders(response, caller, outcome);
					this.answer(response, outcome);
				});
			}

			this.options.onOutcome(caller, outcome);
		} catch (error) {
			await this.answerFailure(response, state, error);
		} finally {
			this.connections.end(response, state);
		}
	}

	private async forward(request: IncomingMessage, response: ServerResponse, state: RequestState): Promise<ForwardResult> {
		const {cancellation, openRequest} = state;
		const limits = this.applyLimits();
		checkHeaderSize(request, limits);
		const {passed, requestId, key, budgetMs, relay} = this.options.readHeaders(request.rawHeaders);
		openRequest.requestId = requestId;
		let stream: Writable | undefined;
		const caller: CallerRequest = {
			method: openRequest.method,
			path: openRequest.path,
			host: request.headers.host ?? '',
			headers: passed,
			requestId,
			key,
			budgetMs,
			receivedAt: openRequest.receivedAt,
			body: undefined,
			cancellation,
			relay,
			beginStream: ({status, headers}) => {
				stream = this.connections.beginStream(response, state, () => {
					this.addOutcomeHeaders(response, caller, {kind: OutcomeKind.Streamed});
					response.writeHead(status, headers);
					return response;
				});
				return stream;
			},
			abortStream() {
				response.destroy();
				stream?.destroy();
			},
		};
		const {heldBytes} = this.options;
		if (heldBytes.isFull) {
			const outcome = {kind: OutcomeKind.NotRun, reason: OutcomeReason.MemoryFull, retryAfterMs: heldBytesRetryMs};
			this.options.log.record(LogEvent.RequestRefused, {request: requestId, reason: outcome.reason, retryAfterMs: outcome.retryAfterMs});
			return {caller, outcome};
		}

		const start = await this.untilEnding(openBody(request, {maxBytes: limits.maxBodyBytes, held: heldBytes, failure: state.bodyFailure}));
		if (!start) {
			return {caller, outcome: {kind: OutcomeKind.NotRun, reason: OutcomeReason.DaemonStopping, retryAfterMs: stoppingRetryMs}};
		}

		caller.body = start.result;
		await this.connections.detectEarlyDisconnect(request.socket);
		openRequest.stage = RequestStage.Forwarding;
		let outcome: Outcome;
		try {
			outcome = await this.broker.call<Outcome, CallerRequest>('dispatcher.forward', caller);
		} finally {
			discardBody(caller.body, heldBytes);
		}

		const failure = caller.body instanceof Readable ? caller.body.errored : undefined;
		if (failure instanceof BadRequestError) {
			// The rest of the body is discarded.
			this.connections.closeAfter(response);
			// A target has got a part of a late body, so that 408 would be a false promise.
			if (!(failure instanceof BodyTimeoutError) && await this.isFinalRefusal(failure, cancellation)) {
				return {caller, outcome, refusal: failure};
			}
		}

		return {caller, outcome};
	}

	/** Callers don't retry a request that exceeds a limit, so such a refusal is final only if the limit is confirmed as the newest. */
	private async isFinalRefusal(error: BadRequestError, cancellation: Cancellation): Promise<boolean> {
		if (!(error instanceof LimitExceededError)) {
			return true;
		}

		const confirmation = await this.untilEnding(this.options.confirmLimits(cancellation));
		const limits = this.options.limits();
		return confirmation?.result === true && limits !== undefined && limits[error.limit] <= error.limitBytes;
	}

	/** Returns undefined if the daemon ends before the result is there. */
	private async untilEnding<Result>(work: Promise<Result>): Promise<{result: Result} | undefined> {
		if (this.ending.isCancelled) {
			return undefined;
		}

		return new Promise((resolve, reject) => {
			const onEnding = (): void => {
				resolve(undefined);
			};

			this.ending.subscribe(onEnding);
			work.then(result => {
				this.ending.unsubscribe(onEnding);
				resolve({result});
			}, (error: unknown) => {
				this.ending.unsubscribe(onEnding);
				reject(error instanceof Error ? error : new Error(String(error)));
			});
		});
	}

	private addOutcomeHeaders(response: ServerResponse, request: CallerRequest, outcome: Outcome): void {
		if (this.options.outcomeHeaders && !response.headersSent) {
			response.setHeaders(new Map(Object.entries(this.options.outcomeHeaders(request, outcome))));
		}
	}

	private answer(response: ServerResponse, outcome: Outcome): void {
		if (this.isDraining || closingReasons.has(outcome.reason)) {
			this.connections.closeAfter(response);
		}

		switch (outcome.kind) {
			case OutcomeKind.Answered: {
				sendBufferedAnswer(response, outcome);
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

	private async answerFailure(response: ServerResponse, state: RequestState, error: unknown): Promise<void> {
		const {log} = this.options;
		if (error instanceof BadRequestError) {
			const isFinal = await this.isFinalRefusal(error, state.cancellation);
			if (isFinal) {
				this.refusePermanently(response, state, error);
			} else {
				this.refuseTemporarily(response, state, error);
			}

			return;
		}

		log.record(LogEvent.InternalFailure, {detail: error instanceof RouterError ? error.message : describeFailure(error)});
		this.fail(response, state, 502, 'internal_failure');
	}

	private refusePermanently(response: ServerResponse, state: RequestState, error: BadRequestError): void {
		this.options.log.record(LogEvent.RequestMalformed, {status: error.status, detail: error.message});
		// The rest of a refused body is discarded.
		this.connections.closeAfter(response);
		this.fail(response, state, error.status, error.code);
	}

	/** Refuses a request that did not run and that a newer configuration may allow. */
	private refuseTemporarily(response: ServerResponse, state: RequestState, error: BadRequestError): void {
		this.options.log.record(LogEvent.RequestRefused, {reason: OutcomeReason.ConfigurationUnconfirmed, detail: error.message, retryAfterMs: unconfirmedRetryMs});
		this.connections.closeAfter(response);
		if (!this.connections.hasBegun(response)) {
			response.setHeader('retry-after', retryAfterText(unconfirmedRetryMs));
		}

		this.fail(response, state, 503, OutcomeReason.ConfigurationUnconfirmed);
	}

	private fail(response: ServerResponse, state: RequestState, status: number, reason: string): void {
		if (this.connections.hasBegun(response)) {
			response.destroy();
			return;
		}

		this.connections.answer(response, state, 0, () => {
			sendFailure(response, status, reason);
		});
	}

	/** Answers bytes that the parser could not read as a request, after all earlier requests on the connection. */
	private async refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): Promise<void> {
		if (!this.connections.beginRefusal(error, socket)) {
			return;
		}

		const parserStatus = malformedStatus(error.code);
		const isFinal = parserStatus !== 431 || await this.isFinalRefusal(new LimitExceededError(LimitName.HeaderBytes, parserMaxHeaderBytes), new Cancellation());
		const status = isFinal ? parserStatus : 503;
		this.options.log.record(LogEvent.RequestMalformed, {status, detail: error.message});
		this.connections.refuse(socket, status, isFinal ? '' : `Retry-After: ${retryAfterText(unconfirmedRetryMs)}\r\n`);
	}
}

/** Seconds with fractions, the format that the platform's callers expect. */
function retryAfterText(delayMs: number): string {
	return (delayMs / secondMs).toFixed(2);
}

function checkHeaderSize(request: IncomingMessage, {maxHeaderBytes}: CallerLimits): void {
	let bytes = (request.method?.length ?? 0) + (request.url?.length ?? 0);
	for (const text of request.rawHeaders) {
		bytes += text.length + (headerLineBytes / 2);
	}

	if (bytes > maxHeaderBytes) {
		throw new LimitExceededError(LimitName.HeaderBytes, maxHeaderBytes);
	}
}

function sendBufferedAnswer(response: ServerResponse, {answer, body}: Outcome): void {
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
