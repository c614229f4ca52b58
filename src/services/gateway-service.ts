/**
 * Service "gateway": accepts callers' requests over HTTP.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
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
import {Cancellation} from '../model/cancellation.js';
import type {RoutedRequest} from '../model/request.js';
import {openBody} from './request-body.js';

export type GatewayOptions = {
	host: string;
	port: number;
	/** Secret shared by the daemons; marks requests forwarded by another daemon. */
	peerSecret: string;
};

/** Health check paths for the platform's balancer. */
const livePath = '/-/live';
const readyPath = '/-/ready';

/** Timeouts for receiving the headers and the whole request, in milliseconds; the second also closes idle connections. */
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;

const secondMs = 1000;

type ApiRequest = IncomingMessage & {originalUrl?: string};

type HandlerContext = {isDraining: boolean; peerSecret: string; denials: Pick<Denials, 'judge'>};

export function createGatewayService(options: GatewayOptions, denials: Pick<Denials, 'judge'>): ServiceSchema {
	let isDraining = false;
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
						await handle(this.broker, request, response, {isDraining, peerSecret: options.peerSecret, denials});
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
				const {server} = this as unknown as {server: {close: () => void; closeIdleConnections: () => void}};
				server.close();
				server.closeIdleConnections();
			},
		},
		created(this: Service) {
			const {server} = this as unknown as {server: {headersTimeout: number; requestTimeout: number; keepAliveTimeout: number}};
			server.headersTimeout = headersTimeoutMs;
			server.requestTimeout = requestTimeoutMs;
			server.keepAliveTimeout = requestTimeoutMs;
		},
	};
}

async function handle(broker: ServiceBroker, request: ApiRequest, response: ServerResponse, {isDraining, peerSecret, denials}: HandlerContext): Promise<void> {
	const path = request.originalUrl ?? request.url ?? '/';
	if (path === livePath) {
		answer(response, 200, {live: true});
		return;
	}

	if (path === readyPath) {
		const isReady = !isDraining && await broker.call<boolean>('dispatcher.isReady');
		answer(response, isReady ? 200 : 503, {ready: isReady});
		return;
	}

	if (isDraining) {
		response.setHeader('connection', 'close');
	}

	try {
		await forward(broker, request, response, {path, peerSecret});
	} catch (error) {
		if (error instanceof BadRequestError) {
			if (!response.headersSent) {
				// The rest of a refused body stays unread.
				response.setHeader('connection', 'close');
			}

			fail(response, denials.judge(error));
			return;
		}

		fail(response, error instanceof RouterError ? error : new OutcomeUnknownError(`The router failed: ${String(error)}`));
	}
}

async function forward(broker: ServiceBroker, request: ApiRequest, response: ServerResponse, {path, peerSecret}: {path: string; peerSecret: string}): Promise<void> {
	const head: RequestHead = {
		method: request.method ?? 'GET', path, host: request.headers.host ?? '', headers: request.headers,
	};
	const receivedAt = performance.now();
	const match = await broker.call<Match, RequestHead>('dispatcher.match', head);
	const cancellation = new Cancellation();
	response.once('close', () => {
		if (!response.writableFinished) {
			cancellation.cancel();
		}
	});
	const routed: RoutedRequest = {
		...match,
		method: head.method,
		path,
		headers: forwardedHeaderList(request.headers),
		body: await openBody(request, match.service.maxBodyBytes),
		isForwarded: request.headers[ContractHeader.Forwarded] === peerSecret,
		receivedAt,
		deadlineAt: receivedAt + match.requestClass.deadlineMs,
		cancellation,
		responder: {
			start(status, headers) {
				response.writeHead(status, headers);
				return response;
			},
			abort() {
				response.destroy();
			},
		},
	};
	finish(response, await broker.call<Outcome, RoutedRequest>('dispatcher.dispatch', routed));
}

function finish(response: ServerResponse, outcome: Outcome): void {
	if (outcome.kind === OutcomeKind.Answered || outcome.truncated === true || !outcome.error) {
		return;
	}

	fail(response, outcome.error);
}

function fail(response: ServerResponse, error: RouterError): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const body = {error: error.code, message: error.message, nextStep: error.nextStep};
	if (error instanceof BadRequestError) {
		answer(response, error.status, body);
		return;
	}

	if (error instanceof NotRunError) {
		response.setHeader(ContractHeader.Outcome, notRunOutcome);
		response.setHeader('retry-after', String(Math.max(1, Math.ceil(error.retryAfterMs / secondMs))));
		answer(response, 503, {...body, reason: error.reason, retryAfterMs: Math.round(error.retryAfterMs)});
		return;
	}

	response.setHeader(ContractHeader.Outcome, unknownOutcome);
	answer(response, error instanceof DuplicateInstructionError ? 409 : 504, body);
}

function answer(response: ServerResponse, status: number, body: Record<string, unknown>): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(`${JSON.stringify(body)}\n`);
}
