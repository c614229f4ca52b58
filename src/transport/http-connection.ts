/**
 * An HTTP connection to a server, without pipelining.
 */
import {connect, type Socket} from 'node:net';
import {Client, type buildConnector, type Dispatcher} from 'undici';
import {parseAddress, type Address} from './address.js';
import {limitReads} from './small-reads.js';

/** Idle time after which TCP keep-alive probes start, in milliseconds. They detect a peer that vanished without closing. */
const keepAliveProbeDelayMs = 2000;

/** Idle timeout if the server announces none, in milliseconds. Servers usually close idle connections after 10 s. */
const defaultIdleTimeoutMs = 8000;

/** Idle connections are closed this long before the timeout that the server announces, in milliseconds. */
const idleTimeoutMarginMs = 1000;

/** Upper bound for opening a connection, in milliseconds. The exchanges on it have shorter timeouts. */
const connectTimeoutMs = 3000;

/** Refusals after which a connection is not used again, so that the ids that it keeps are few. */
const refusalLimit = 64;

/** Replaces the code `ECONNRESET`, which undici treats as a possible end of the answer; it then throws if the answer is paused. */
const maskedResetCode = 'RESET';

/** Replaces an address that is none, which undici rejects with an exception. No connection to it is opened. */
const placeholderAddress = '0.0.0.0:1';

/**
 * Opens its socket on the first exchange, and another one if the server closes the idle socket as the next exchange begins.
 * Exchanges fail unsent if the address is none.
 */
export class HttpConnection {
	private readonly client: Client;
	private readonly parsedAddress: Address | undefined;
	private socket: Socket | undefined;
	/** True if the latest socket has failed. */
	private hasSocketFailed = false;
	private isClosed = false;
	/** Ids of the requests that were refused on this connection. */
	private readonly refusedIds = new Set<string>();

	constructor(readonly address: string) {
		this.parsedAddress = parseAddress(address);
		this.client = new Client(`http://${this.parsedAddress ? address : placeholderAddress}`, {
			pipelining: 1,
			keepAliveTimeout: defaultIdleTimeoutMs,
			keepAliveTimeoutThreshold: idleTimeoutMarginMs,
			headersTimeout: 0,
			bodyTimeout: 0,
			strictContentLength: false,
			connect: (_options, callback) => {
				this.open(callback);
			},
		});
	}

	/** True until the first exchange opens the socket. */
	get isNew(): boolean {
		return this.socket === undefined;
	}

	/** True if another exchange can use the open socket. */
	get isReusable(): boolean {
		return !this.isClosed && this.refusedIds.size < refusalLimit && !this.hasSocketFailed && this.socket?.destroyed === false && this.socket.readable
			&& this.socket.readableLength === 0;
	}

	/** True if the socket failed or was reset. An answer delimited by the end of the connection is then incomplete. */
	get isBroken(): boolean {
		return this.hasSocketFailed;
	}

	/** Records that a request was refused. */
	recordRefusal(requestId: string): void {
		this.refusedIds.add(requestId);
	}

	/** True if the request was refused on this connection before: a faulty server may write that refusal again. */
	hasRefused(requestId: string): boolean {
		return this.refusedIds.has(requestId);
	}

	dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
		this.client.dispatch(options, handler);
	}

	/** Closes the socket immediately. The peer receives a reset if it sent bytes that were not read. */
	destroy(): void {
		if (this.isClosed) {
			return;
		}

		this.isClosed = true;
		// Without an error, undici would try to complete the answer, and throw if it is paused.
		this.socket?.destroy(new Error('The connection was discarded.'));
		void this.client.destroy();
	}

	/** Resets the socket, so that bytes that this system has not delivered yet are dropped. */
	reset(): void {
		if (this.socket && !this.socket.connecting) {
			this.socket.resetAndDestroy();
		}

		this.destroy();
	}

	private open(callback: buildConnector.Callback): void {
		if (!this.parsedAddress) {
			callback(new Error('the address is not an IPv4 address with a port'), null);
			return;
		}

		const {ip, port} = this.parsedAddress;
		const socket = connect({
			host: ip, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: keepAliveProbeDelayMs,
		});
		limitReads(socket);
		this.socket = socket;
		this.hasSocketFailed = false;
		const recordFailure = (): void => {
			this.hasSocketFailed ||= this.socket === socket;
		};

		const connectTimer = setTimeout(() => {
			socket.destroy(new Error('The connection was not established in time.'));
		}, connectTimeoutMs);
		let isOpen = false;
		// Must be registered before undici's listener, which treats a reset as the end of an answer without a length.
		socket.on('error', (error: NodeJS.ErrnoException) => {
			recordFailure();
			if (error.code === 'ECONNRESET') {
				error.code = maskedResetCode;
			}

			clearTimeout(connectTimer);
			if (!isOpen) {
				callback(error, null);
			}
		});
		// Node reports a reset that arrives together with data as a normal end, but the socket has no remote address then.
		socket.on('end', () => {
			if (socket.remoteAddress === undefined) {
				recordFailure();
			}
		});
		socket.once('connect', () => {
			isOpen = true;
			clearTimeout(connectTimer);

			callback(null, socket);
		});
		socket.once('close', () => {
			clearTimeout(connectTimer);
		});
	}
}
