/**
 * Short messages between daemons over UDP. Lost messages are not retransmitted; later ones make up for them.
 */
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import type {Member} from '../model/fleet.js';

/** Maximum size of a message in bytes. A message must fit into one datagram. */
const maxMessageBytes = 60_000;

/** Handles a message from a peer. */
export type PeerListener<Message> = (message: Message) => void;

/** Validates received content; throws if it is not a message. */
export type PeerDecoder<Message> = (content: unknown) => Message;

/** Called for malformed messages and for failures of the socket. */
export type PeerFailureListener = (detail: string) => void;

/** Sends and receives JSON messages. */
export class DatagramPeers<Message> {
	private readonly socket: Socket = createSocket('udp4');
	private isClosed = false;

	constructor(
		private readonly decode: PeerDecoder<Message>,
		private readonly onMessage: PeerListener<Message>,
		private readonly onFailure: PeerFailureListener,
	) {
		this.socket.on('message', content => {
			this.receive(content);
		});
		this.socket.on('error', error => {
			this.onFailure(error.message);
		});
	}

	async open(ip: string, port: number): Promise<void> {
		return new Promise((resolve, reject) => {
			this.socket.once('error', reject);
			this.socket.bind(port, ip, () => {
				this.socket.off('error', reject);
				resolve();
			});
		});
	}

	/** Sends a message to several daemons; after the close, which requests in flight may outlast, nothing is sent. */
	send(message: Message, members: Iterable<Member>): void {
		if (this.isClosed) {
			return;
		}

		const content = Buffer.from(JSON.stringify(message));
		if (content.length > maxMessageBytes) {
			this.onFailure(`a message of ${content.length} bytes is too large`);
			return;
		}

		for (const {ip, port} of members) {
			this.socket.send(content, port, ip, error => {
				if (error) {
					this.onFailure(error.message);
				}
			});
		}
	}

	close(): void {
		this.isClosed = true;
		this.socket.close();
	}

	/** Catches all errors, so that no malformed datagram can terminate the process. */
	private receive(content: Uint8Array): void {
		try {
			this.onMessage(this.decode(JSON.parse(Buffer.from(content).toString('utf8'))));
		} catch (error) {
			this.onFailure(error instanceof Error ? error.message : String(error));
		}
	}
}
