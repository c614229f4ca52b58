/**
 * Connections of callers to a gateway: the requests that are open on each, and when it can be closed without cutting an answer.
 */
import {
	STATUS_CODES, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Cancellation} from '../model/cancellation.js';
import {OpenRequest, RequestStage, type OpenRequests} from './open-requests.js';

/** Time for a caller to close a connection after its last answer, in milliseconds; as long as callers wait to connect. */
const callerCloseMs = 1000;

/** Status codes for malformed requests by the parser's error code; 400 for all others. */
const malformedStatuses = new Map([
	['HPE_HEADER_OVERFLOW', 431],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
	['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);

/** Events after which a caller takes no further answer. */
export enum CallerEnd {
	/** The caller has closed the connection for writing, or entirely. */
	Written = 'end',
	Closed = 'close',
}

/** State of a caller's connection. */
type Connection = {
	/** Cancellations of requests that were read and not yet answered. */
	pending: Set<Cancellation>;
	/** Requests whose answers have not been passed to the kernel, and the one whose answer closes the connection. */
	unfinished: Set<OpenRequest>;
	/** Raw answer to a malformed request; sent once all earlier requests are answered, then the connection closes. */
	lastAnswer: string | undefined;
	/** True until the first request is read. */
	isNew: boolean;
	/** Answer to the last request that was read. */
	latest: ServerResponse | undefined;
	/** Bytes read when the last request was answered. */
	answeredBytes: number;
	/** True once an answer was begun that closes the connection; requests behind it get no answer. */
	isClosing: boolean;
};

/** State of a request while it is handled. */
export type RequestState = {
	/** Cancelled when the caller takes no further answer. */
	cancellation: Cancellation;
	openRequest: OpenRequest;
	/** Undefined if the caller has closed the connection before the request was read. */
	connection: Connection | undefined;
};

/** The connections of one server. */
export class CallerConnections {
	private readonly connections = new Map<Socket, Connection>();

	constructor(server: Server, private readonly openRequests: OpenRequests, private readonly ends: readonly CallerEnd[]) {
		server.on('connection', socket => {
			this.add(socket);
		});
		// Node's own function resets a connection on which the caller's next request crosses, with the answer before it.
		server.closeIdleConnections = () => {
			void this.closeIdle();
		};
	}

	/** Records a request that was read; undefined if it is behind the last answer on its connection, so that its caller repeats it. */
	begin(request: IncomingMessage, response: ServerResponse): RequestState | undefined {
		const connection = this.connections.get(request.socket);
		if (connection?.isClosing) {
			request.resume();
			return undefined;
		}

		const cancellation = new Cancellation();
		connection?.pending.add(cancellation);
		const openRequest = new OpenRequest(request.method ?? 'GET', request.url ?? '/');
		this.openRequests.add(openRequest);
		if (connection) {
			connection.latest = response;
		}

		return {cancellation, openRequest, connection};
	}

	/** Records that the answer to a request is decided. */
	end(response: ServerResponse, {cancellation, openRequest, connection}: RequestState): void {
		this.removeWhenFinished(response, openRequest, connection);
		connection?.pending.delete(cancellation);
		this.sendLastAnswer(response.req.socket, connection);
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
		if (response.headersSent || connection?.latest !== response) {
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

	/** Answers bytes that the parser could not read as a request, after all earlier requests on the connection. */
	refuseMalformed(socket: Socket, status: number, headers = ''): void {
		const answer = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nContent-Length: 0\r\n${headers}Connection: close\r\n\r\n`;
		const connection = this.connections.get(socket);
		if (!connection) {
			socket.end(answer);
			return;
		}

		connection.lastAnswer = answer;
		this.sendLastAnswer(socket, connection);
	}

	/** Closes the connections that were used and on which nothing is under way. New ones stay for their first request. */
	private async closeIdle(): Promise<void> {
		// After a stall, requests that have arrived are read first.
		await nextTurn();
		await nextTurn();
		for (const [socket, connection] of this.connections) {
			const {pending, unfinished, isNew, answeredBytes} = connection;
			if (!isNew && pending.size === 0 && unfinished.size === 0 && socket.bytesRead === answeredBytes) {
				connection.isClosing = true;
				socket.destroySoon();
			}
		}
	}

	private add(socket: Socket): void {
		const connection: Connection = {
			pending: new Set(), unfinished: new Set(), lastAnswer: undefined, isNew: true, latest: undefined, answeredBytes: 0, isClosing: false,
		};
		this.connections.set(socket, connection);
		delayClose(socket);
		socket.once('close', () => {
			for (const request of connection.unfinished) {
				this.openRequests.remove(request);
			}
		});
		for (const event of this.ends) {
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
			request.stage = RequestStage.Closing;
			connection.answeredBytes = response.req.socket.bytesRead;
			if (!connection.isClosing || connection.latest !== response) {
				connection.unfinished.delete(request);
				this.openRequests.remove(request);
			}
		};

		if (response.writableFinished) {
			onWritten();
			return;
		}

		response.once('close', onWritten);
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
