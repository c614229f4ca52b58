/**
 * One HTTP connection to a server, with one exchange at a time.
 */
import {connect, type Socket} from 'node:net';
import {Client, type buildConnector, type Dispatcher} from 'undici';

/** Probes of an idle connection begin after this time in milliseconds, so that a silent peer is found. */
const keepAliveProbeMs = 2000;

/** Time for which an idle connection is kept if the server names none, in milliseconds; below the usual 10 s of servers. */
const idleMs = 8000;

/** The library gives up a connection this long before the server's own timeout, in milliseconds. */
const idleMarginMs = 1000;

/** How long the library itself waits for a connection; callers set shorter limits of their own. */
const connectLimitMs = 3000;

/** Code of a reset as the library sees it: it takes `ECONNRESET` for a possible end of an answer, and then fails on a paused one. */
const resetCode = 'RESET';

/** A connection that is opened by its first exchange. */
export class HttpConnection {
	private readonly client: Client;
	private socket: Socket | undefined;
	private hasFailed = false;
	private isClosed = false;

	constructor(readonly address: string) {
		this.client = new Client(`http://${address}`, {
			pipelining: 1,
			keepAliveTimeout: idleMs,
			keepAliveTimeoutThreshold: idleMarginMs,
			headersTimeout: 0,
			bodyTimeout: 0,
			strictContentLength: false,
			connect: (_options, callback) => {
				this.open(callback);
			},
		});
	}

	/** True while the connection can take another exchange without being opened anew. */
	get isReusable(): boolean {
		return !this.isClosed && !this.hasFailed && this.socket?.destroyed === false && this.socket.readable;
	}

	/** True if the socket failed or was reset; an answer that ends with the connection is then not whole. */
	get isBroken(): boolean {
		return this.hasFailed;
	}

	dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
		this.client.dispatch(options, handler);
	}

	/** Closes at once; the peer sees a reset if bytes are unread. */
	destroy(): void {
		if (this.isClosed) {
			return;
		}

		this.isClosed = true;
		// Without an error, the library would try to finish the answer, which throws while it is paused.
		this.socket?.destroy(new Error('The connection is discarded.'));
		void this.client.destroy();
	}

	private open(callback: buildConnector.Callback): void {
		const [host, port] = this.address.split(':');
		const socket = connect({
			host, port: Number(port), noDelay: true, keepAlive: true, keepAliveInitialDelay: keepAliveProbeMs,
		});
		this.socket = socket;
		const limit = setTimeout(() => {
			socket.destroy(new Error('The connection was not established in time.'));
		}, connectLimitMs);
		let isOpen = false;
		// This listener comes before the library's, which takes a reset for the end of an answer without a length.
		socket.on('error', (error: NodeJS.ErrnoException) => {
			this.hasFailed = true;
			if (error.code === 'ECONNRESET') {
				error.code = resetCode;
			}

			clearTimeout(limit);
			if (!isOpen) {
				callback(error, null);
			}
		});
		// The runtime reports a reset that arrives together with bytes as an ordinary end, but a reset socket has no peer.
		socket.on('end', () => {
			this.hasFailed ||= socket.remoteAddress === undefined;
		});
		socket.once('connect', () => {
			isOpen = true;
			clearTimeout(limit);

			callback(null, socket);
		});
		socket.once('close', () => {
			clearTimeout(limit);
		});
	}
}
