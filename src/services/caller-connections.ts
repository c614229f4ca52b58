/**
 * Connections of callers to a gateway: the requests that are open on each, and when it can be closed without cutting an answer.
 */
import {
	STATUS_CODES, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Cancellation} from '../model/cancellation.js';
import {BadRequestError, BodyTimeoutError} from '../model/errors.js';
import type {HeldBytes} from './held-bytes.js';
import {OpenRequest, RequestStage, type OpenRequests} from './open-requests.js';
import {BodyFailure} from './request-body.js';
import {WaitingAnswers} from './waiting-answers.js';

/** Time for a caller to close a connection after its last answer, in milliseconds; as long as callers wait to connect. */
const callerCloseMs = 1000;

/** Size of the answers that wait for an earlier one on their connection from which on no further request is served there, in bytes. */
const maxWaitingAnswerBytes = 262_144;

/** Number of requests behind the last one that is served after which a connection is read no further. */
const maxDiscardedRequests = 1000;

/** Code of the parser's error if headers or a body are not sent in time. */
const bodyTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Status codes for malformed requests by the parser's error code; 400 for all others. */
const malformedStatuses = new Map([
	['HPE_HEADER_OVERFLOW', 431],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
	[bodyTimeoutCode, 408],
]);

/** Events of a socket after which its caller takes no further answer: Node's server ends a connection that the caller has closed for writing. */
const callerEndEvents = ['end', 'close'];

/** State of a caller's connection. */
type Connection = {
	/** Cancellations of requests that were read and not yet answered. */
	pending: Set<Cancellation>;
	/** Requests whose answers have not been passed to the kernel, and the last one while its connection is being closed. */
	unfinished: Set<OpenRequest>;
	/** Raw answer to a malformed request; sent once all earlier answers were sent, then the connection closes. */
	lastAnswer: string | undefined;
	/** True until the first request is read. */
	isNew: boolean;
	/** The last request that was read, and its answer. */
	latest: {request: OpenRequest; response: ServerResponse; bodyFailure: BodyFailure} | undefined;
	/** True once the body of the last request has failed; the connection is closed behind its answer. */
	hasBodyFailed: boolean;
	/** Bytes read when the last request was answered. */
	answeredBytes: number;
	/** True once the connection is to be closed, or an answer was begun that closes it; requests from then on get no answer. */
	isClosing: boolean;
	waitingAnswers: WaitingAnswers;
	/** Number of requests that were read and not served because the connection is being closed. */
	discardedCount: number;
};

/** State of a request while it is handled. */
export type RequestState = {
	/** Cancelled when the caller takes no further answer. */
	cancellation: Cancellation;
	/** Fails when the body is malformed, or has not been sent in time. */
	bodyFailure: BodyFailure;
	openRequest: OpenRequest;
	/** Undefined if the caller has closed the connection before the request was read. */
	connection: Connection | undefined;
};

/** The connections of one server. */
export class CallerConnections {
	private readonly connections = new Map<Socket, Connection>();
	/** Streamed answers that have begun, although they may be held back. */
	private readonly begunStreams = new WeakSet<ServerResponse>();
	/** True once the listener is closed; connections are closed as they become idle. */
	private isEnding = false;

	constructor(server: Server, private readonly openRequests: OpenRequests, private readonly held: HeldBytes) {
		server.on('connection', socket => {
			this.add(socket);
		});
		// Node's own functions reset a connection on which the caller's next request crosses, with the answer before it.
		server.closeIdleConnections = () => {
			this.isEnding = true;
			for (const socket of this.connections.keys()) {
				void this.closeIfIdle(socket);
			}
		};

		server.on('timeout', (socket: Socket) => {
			void this.closeIfIdle(socket, socket.bytesRead);
		});
	}

	/** Records a request that was read; undefined if it is behind the last answer on its connection, so that its caller repeats it. */
	begin(request: IncomingMessage, response: ServerResponse): RequestState | undefined {
		const connection = this.connections.get(request.socket);
		if (connection && connection.waitingAnswers.bytes >= maxWaitingAnswerBytes) {
			this.closeAfterLatest(connection);
		}

		if (connection?.isClosing) {
			this.discard(request, connection);
			return undefined;
		}

		const cancellation = new Cancellation();
		const bodyFailure = new BodyFailure();
		connection?.pending.add(cancellation);
		const openRequest = new OpenRequest(request.method ?? 'GET', request.url ?? '/');
		this.openRequests.add(openRequest);
		if (connection) {
			connection.latest = {request: openRequest, response, bodyFailure};
		}

		return {
			cancellation, bodyFailure, openRequest, connection,
		};
	}

	/** Calls `write` once all earlier answers on the connection are written; `bytes` is the size of the body until then. */
	answer(response: ServerResponse, {connection}: RequestState, bytes: number, write: () => void): void {
		if (connection) {
			connection.waitingAnswers.addWhole(response, write, bytes);
			return;
		}

		write();
	}

	/** Returns a stream for the body of an answer, which `begin` begins once all earlier answers on the connection are written. */
	beginStream(response: ServerResponse, {connection}: RequestState, begin: () => Writable): Writable {
		this.begunStreams.add(response);
		return connection ? connection.waitingAnswers.addStream(response, begin) : begin();
	}

	/** True if the answer has begun and can only be continued or aborted. */
	hasBegun(response: ServerResponse): boolean {
		return response.headersSent || this.begunStreams.has(response);
	}

	/** Records that the answer to a request is decided. */
	end(response: ServerResponse, {cancellation, openRequest, connection}: RequestState): void {
		// While the rest of an unread body blocks the connection, neither the next request nor the caller's leaving is noticed.
		response.req.resume();
		this.removeWhenFinished(response, openRequest, connection);
		connection?.pending.delete(cancellation);
		if (connection) {
			this.sendLastAnswer(response.req.socket, connection);
		}
	}

	/**
	 * A caller may disconnect while its connection waits to be accepted. The server reads the end of the connection one event
	 * loop turn after the request, so the first request of a connection waits two turns before it is forwarded.
	 */
	async detectEarlyDisconnect(socket: Socket): Promise<void> {
		const connection = this.connections.get(socket);
		if (!connection?.isNew) {
			return;
		}

		connection.isNew = false;
		await nextTurn();
		await nextTurn();
	}

	/** If the caller has sent another request behind this one, the connection stays open, because that one may run already. */
	closeAfter(response: ServerResponse): void {
		const connection = this.connections.get(response.req.socket);
		if (response.headersSent || connection?.latest?.response !== response) {
			return;
		}

		response.setHeader('connection', 'close');
		connection.isClosing = true;
	}

	/** Closes the connections without an open request; no other request is read from then on. */
	closeAll(): void {
		for (const [socket, connection] of this.connections) {
			connection.isClosing = true;
			if (connection.pending.size === 0 && connection.unfinished.size === 0) {
				socket.destroy();
			}
		}
	}

	/** Returns true if bytes that the parser could not read as a request are to be answered with `refuse`. */
	beginRefusal({code}: NodeJS.ErrnoException, socket: Socket): boolean {
		const connection = this.connections.get(socket);
		// The parser fails again with each byte that follows.
		if (connection?.isClosing && code !== 'ECONNRESET') {
			return false;
		}

		if (code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return false;
		}

		if (connection?.latest && !connection.latest.response.req.complete) {
			this.failBody(socket, connection, connection.latest, code);
			return false;
		}

		if (connection) {
			connection.isClosing = true;
		}

		return true;
	}

	/** Answers bytes that the parser could not read as a request, after all earlier requests on the connection. */
	refuse(socket: Socket, status: number, headers = ''): void {
		const answer = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nContent-Length: 0\r\n${headers}Connection: close\r\n\r\n`;
		const connection = this.connections.get(socket);
		if (!connection) {
			socket.end(answer);
			return;
		}

		connection.lastAnswer = answer;
		this.sendLastAnswer(socket, connection);
	}

	/**
	 * Closes a connection that was used and on which nothing is under way. A new one stays for its first request.
	 *
	 * @param readBytes bytes that have been read if no part of a request is under way; by default those up to the last answer
	 */
	private async closeIfIdle(socket: Socket, readBytes?: number): Promise<void> {
		// After a stall, requests that have arrived are read first.
		await nextTurn();
		await nextTurn();
		const connection = this.connections.get(socket);
		if (!connection || connection.isClosing) {
			return;
		}

		const {
			pending, unfinished, isNew, latest, answeredBytes,
		} = connection;
		const isIdle = pending.size === 0 && unfinished.size === 0 && socket.bytesRead === (readBytes ?? answeredBytes);
		if (!isNew && latest && isIdle) {
			this.close(socket, connection);
		}
	}

	/** Closes a connection for writing. Its last request counts as open until the caller has closed it as well. */
	private close(socket: Socket, connection: Connection): void {
		connection.isClosing = true;
		if (connection.latest) {
			connection.unfinished.add(connection.latest.request);
			this.openRequests.add(connection.latest.request);
		}

		socket.destroySoon();
	}

	/** Closes a connection behind the last request that was read. */
	private closeAfterLatest(connection: Connection): void {
		const response = connection.latest?.response;
		if (response?.headersSent === false) {
			response.setHeader('connection', 'close');
			connection.isClosing = true;
		}
	}

	/**
	 * Reads a request that is not served. Node's server keeps an object for each of them until all earlier answers are written, so
	 * that a connection with very many of them is read no further; its end is then noticed late.
	 */
	private discard(request: IncomingMessage, connection: Connection): void {
		connection.discardedCount += 1;
		if (connection.discardedCount > maxDiscardedRequests) {
			request.socket.pause();
			return;
		}

		request.resume();
	}

	/** Ends the body of a request whose headers were read. The only answer to the request says whether it may have run. */
	private failBody(socket: Socket, connection: Connection, {request, bodyFailure}: NonNullable<Connection['latest']>, code: string | undefined): void {
		connection.hasBodyFailed = true;
		bodyFailure.fail(code === bodyTimeoutCode ? new BodyTimeoutError() : new BadRequestError(`The body is malformed: ${code}.`, malformedStatus(code)));
		if (request.stage === RequestStage.Closing) {
			this.close(socket, connection);
		}
	}

	private add(socket: Socket): void {
		const connection: Connection = {
			pending: new Set(),
			unfinished: new Set(),
			lastAnswer: undefined,
			isNew: true,
			latest: undefined,
			answeredBytes: 0,
			hasBodyFailed: false,
			isClosing: false,
			waitingAnswers: new WaitingAnswers(socket, this.held),
			discardedCount: 0,
		};
		this.connections.set(socket, connection);
		delayClose(socket);
		socket.once('close', () => {
			this.held.forget(socket);
			for (const request of connection.unfinished) {
				this.openRequests.remove(request);
			}
		});
		for (const event of callerEndEvents) {
			socket.once(event, () => {
				this.remove(socket);
			});
		}
	}

	private remove(socket: Socket): void {
		const connection = this.connections.get(socket);
		this.connections.delete(socket);
		for (const cancellation of connection?.pending ?? []) {
			cancellation.cancel();
		}
	}

	/**
	 * The end of the process destroys what has not been passed to the kernel, and resets a connection with unread bytes, which
	 * may destroy its last answer.
	 */
	private removeWhenFinished(response: ServerResponse, request: OpenRequest, connection: Connection | undefined): void {
		if (response.req.socket.destroyed || !connection) {
			this.openRequests.remove(request);
			return;
		}

		request.stage = RequestStage.Answering;
		connection.unfinished.add(request);
		const onWritten = (): void => {
			void this.finish(response, request, connection);
		};

		if (response.writableFinished) {
			onWritten();
			return;
		}

		response.once('close', onWritten);
	}

	/** Called once an answer is with the kernel. */
	private async finish({req: {socket}}: ServerResponse, request: OpenRequest, connection: Connection): Promise<void> {
		request.stage = RequestStage.Closing;
		connection.answeredBytes = socket.bytesRead;
		if (connection.isClosing && connection.latest?.request === request) {
			this.sendLastAnswer(socket, connection);
			return;
		}

		connection.unfinished.delete(request);
		if (connection.hasBodyFailed && connection.latest?.request === request) {
			this.close(socket, connection);
			return;
		}

		if (this.isEnding) {
			await this.closeIfIdle(socket);
		}

		if (!connection.unfinished.has(request)) {
			this.openRequests.remove(request);
		}
	}

	private sendLastAnswer(socket: Socket, connection: Connection): void {
		const {lastAnswer, pending, unfinished} = connection;
		const isNext = pending.size === 0 && [...unfinished].every(({stage}) => stage === RequestStage.Closing);
		if (lastAnswer !== undefined && isNext && socket.writable) {
			socket.write(lastAnswer);
			this.close(socket, connection);
		}
	}
}

/** Status code for bytes that the parser could not read as a request. */
export function malformedStatus(code: string | undefined): number {
	return malformedStatuses.get(code ?? '') ?? 400;
}

/**
 * Node closes a connection as soon as its last answer was passed to the kernel. If the caller has sent more by then, the kernel
 * resets the connection, which destroys the rest of the answer. So the connection is closed for writing, and what the caller
 * sends is discarded until it closes the connection as well.
 */
function delayClose(socket: Socket): void {
	socket.destroySoon = () => {
		socket.resume();
		socket.end(() => {
			const timer = setTimeout(() => {
				socket.destroy();
			}, callerCloseMs);
			socket.once('close', () => {
				clearTimeout(timer);
			});
		});
	};
}
