/**
 * Service "gateway": accepts callers' requests over HTTP.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Service, ServiceBroker, ServiceSchema} from 'moleculer';
import ApiService from 'moleculer-web';
import type {Denials} from '../decisions/denials.js';
import {OutcomeKind, type Outcome} from '../decisions/outcome.js';
import type {Match, RequestHead} from '../decisions/request-matcher.js';
import {
	BadRequestError, DuplicateInstructionError, NotRunError, OutcomeUnknownError, RouterError,
} from '../model/errors.js';
import {
	ContractHeader, forwardedHeaderList, notRunOutcome, unknownOutcome,
} from '../model/headers.js';
import type {RoutedRequest} from '../model/request.js';
import {
	CallerConnections, malformedStatus, type RequestState,
} from './caller-connections.js';
import {HeldBytes} from './held-bytes.js';
import {RequestStage, type OpenRequests} from './open-requests.js';
import {discardBody, openBody} from './request-body.js';

export type GatewayOptions = {
	host: string;
	port: number;
	/** Secret shared by the daemons; marks requests forwarded by another daemon. */
	peerSecret: string;
	openRequests: OpenRequests;
};

/** Health check paths for the platform's balancer. */
const livePath = '/-/live';
const readyPath = '/-/ready';

/** Timeouts for receiving the headers and the whole request, in milliseconds; the second also closes idle connections. */
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;

const secondMs = 1000;

type ApiRequest = IncomingMessage & {originalUrl?: string};

type HandlerContext = {
	connections: CallerConnections;
	held: HeldBytes;
	peerSecret: string;
	denials: Pick<Denials, 'judge'>;
	isDraining(): boolean;
};

/** What the library adds to the service. */
type GatewayService = {server: Server};

export function createGatewayService(options: GatewayOptions, denials: Pick<Denials, 'judge'>): ServiceSchema {
	let isDraining = false;
	let connections: CallerConnections;
	// This interface has no setting for the memory, so nothing is bounded.
	const held = new HeldBytes({record: () => undefined});
	return {
		name: 'gateway',
		mixins: [ApiService],
		dependencies: ['dispatcher'],
		settings: {
			ip: options.host,
			port: options.port,
			logRequest: undefined,
			logResponse: undefined,
			routes: [{
				path: '/',
				bodyParsers: false,
				mappingPolicy: 'restrict',
				mergeParams: false,
				logging: false,
				use: [
					async function (this: Service, request: ApiRequest, response: ServerResponse) {
						await handle(this.broker, request, response, {
							connections, held, peerSecret: options.peerSecret, denials, isDraining: () => isDraining,
						});
					},
				],
			}],
		},
		actions: {
			/** Reports "not ready" to the balancer from now on; answers close their connections. */
			drain() {
				isDraining = true;
			},
			/** Stops listening; requests in flight continue. */
			closeListener(this: Service) {
				(this as unknown as GatewayService).server.close();
			},
			/** Forwards no further request, for an exit that would cut it. */
			closeConnections() {
				connections.closeAll();
			},
		},
		created(this: Service) {
			const {server} = this as unknown as GatewayService;
			connections = new CallerConnections(server, options.openRequests, held);
			server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
				if (connections.beginRefusal(error, socket as Socket)) {
					connections.refuse(socket as Socket, malformedStatus(error.code));
				}
			});
			server.headersTimeout = headersTimeoutMs;
			server.requestTimeout = requestTimeoutMs;
			server.keepAliveTimeout = requestTimeoutMs;
		},
	};
}

async function handle(broker: ServiceBroker, request: ApiRequest, response: ServerResponse, context: HandlerContext): Promise<void> {
	const {connections, denials, isDraining} = context;
	const state = connections.begin(request, response);
	if (!state) {
		return;
	}

	/** Called right before an answer begins. */
	const beginAnswer = (): void => {
		if (isDraining()) {
			connections.closeAfter(response);
		}
	};

	const answerContext = {...context, state, beginAnswer};
	try {
		await respond(broker, request, response, answerContext);
	} catch (error) {
		if (error instanceof BadRequestError) {
			// The rest of a refused body is discarded.
			connections.closeAfter(response);
			fail(response, answerContext, denials.judge(error));
			return;
		}

		fail(response, answerContext, error instanceof RouterError ? error : new OutcomeUnknownError(`The router failed: ${String(error)}`));
	} finally {
		connections.end(response, state);
	}
}

type AnswerContext = HandlerContext & {state: RequestState; beginAnswer(): void};

async function respond(broker: ServiceBroker, request: ApiRequest, response: ServerResponse, context: AnswerContext): Promise<void> {
	const {isDraining} = context;
	const path = request.originalUrl ?? request.url ?? '/';
	if (path === livePath) {
		answer(response, context, 200, {live: true});
		return;
	}

	if (path === readyPath) {
		const isReady = !isDraining() && await broker.call<boolean>('dispatcher.isReady');
		answer(response, context, isReady ? 200 : 503, {ready: isReady});
		return;
	}

	const outcome = await forward(broker, request, response, {...context, path});
	if (outcome.kind !== OutcomeKind.Answered && outcome.truncated !== true && outcome.error) {
		fail(response, context, outcome.error);
	}
}

async function forward(broker: ServiceBroker, request: ApiRequest, response: ServerResponse, context: AnswerContext & {path: string}): Promise<Outcome> {
	const {
		connections, held, state, peerSecret, path, beginAnswer,
	} = context;
	const {cancellation, openRequest} = state;
	const head: RequestHead = {
		method: request.method ?? 'GET', path, host: request.headers.host ?? '', headers: request.headers,
	};
	const {receivedAt} = openRequest;
	const match = await broker.call<Match, RequestHead>('dispatcher.match', head);
	const routed: RoutedRequest = {
		...match,
		method: head.method,
		path,
		headers: forwardedHeaderList(request.headers),
		body: await openBody(request, {maxBytes: match.service.maxBodyBytes, held, failure: state.bodyFailure}),
		isForwarded: request.headers[ContractHeader.Forwarded] === peerSecret,
		receivedAt,
		deadlineAt: receivedAt + match.requestClass.deadlineMs,
		cancellation,
		responder: {
			start: (status, headers) => connections.beginStream(response, state, () => {
				beginAnswer();
				response.writeHead(status, headers);
				return response;
			}),
			abort() {
				response.destroy();
			},
		},
	};
	await connections.detectEarlyDisconnect(request.socket);
	openRequest.stage = RequestStage.Forwarding;
	try {
		return await broker.call<Outcome, RoutedRequest>('dispatcher.dispatch', routed);
	} finally {
		discardBody(routed.body, held);
	}
}

function fail(response: ServerResponse, context: AnswerContext, error: RouterError): void {
	if (context.connections.hasBegun(response)) {
		response.destroy();
		return;
	}

	const body = {error: error.code, message: error.message, nextStep: error.nextStep};
	if (error instanceof BadRequestError) {
		answer(response, context, error.status, body);
		return;
	}

	if (error instanceof NotRunError) {
		response.setHeader(ContractHeader.Outcome, notRunOutcome);
		response.setHeader('retry-after', String(Math.max(1, Math.ceil(error.retryAfterMs / secondMs))));
		answer(response, context, 503, {...body, reason: error.reason, retryAfterMs: Math.round(error.retryAfterMs)});
		return;
	}

	response.setHeader(ContractHeader.Outcome, unknownOutcome);
	answer(response, context, error instanceof DuplicateInstructionError ? 409 : 504, body);
}

function answer(response: ServerResponse, {connections, state, beginAnswer}: AnswerContext, status: number, body: Record<string, unknown>): void {
	const text = `${JSON.stringify(body)}\n`;
	connections.answer(response, state, text.length, () => {
		beginAnswer();
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(text);
	});
}
