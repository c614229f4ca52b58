/**
 * Short messages between daemons as datagrams; a lost one is made good by the next.
 */
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import type {Member} from '../model/fleet.js';

/** Largest message in bytes; one datagram carries it. */
const messageLimitBytes = 60_000;

/** Receives a message of a peer. */
export type PeerListener<Message> = (message: Message) => void;

/** Checks what was received; throws if it is no message. */
export type PeerDecoder<Message> = (content: unknown) => Message;

/** Called with messages that cannot be understood and with failures of the socket. */
export type PeerFailureListener = (detail: string) => void;

/** Sends and receives messages in JSON. */
export class DatagramPeers<Message> {
	private readonly socket: Socket = createSocket('udp4');

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

	/** Sends one message to several daemons. */
	send(message: Message, members: Iterable<Member>): void {
		const content = Buffer.from(JSON.stringify(message));
		if (content.length > messageLimitBytes) {
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
		this.socket.close();
	}

	/** No datagram may end the process, whatever it holds. */
	private receive(content: Uint8Array): void {
		try {
			this.onMessage(this.decode(JSON.parse(Buffer.from(content).toString('utf8'))));
		} catch (error) {
			this.onFailure(error instanceof Error ? error.message : String(error));
		}
	}
}
