/**
 * TCP proxy that delivers late: bytes that it has taken are delivered even if their sender has closed or reset the connection.
 */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';

/** What happens to bytes that travel in one direction. */
export enum LinkState {
	/** Delivered after the delay. */
	Open,
	/** Kept until the state changes, then delivered. */
	Silent,
	/** Discarded; the direction of a connection that lost bytes stays cut. */
	Cut,
}

/** Settings of one direction; they apply to bytes that are taken from then on. */
export class ProxyDirection {
	/** Time between taking and delivering bytes, in milliseconds. */
	delayMs = 0;
	private currentState = LinkState.Open;
	private readonly carriers = new Set<Carrier>();

	get state(): LinkState {
		return this.currentState;
	}

	set state(state: LinkState) {
		this.currentState = state;
		for (const carrier of this.carriers) {
			carrier.deliverDue();
		}
	}

	/** Bytes that were taken and not yet delivered. */
	get pendingBytes(): number {
		return [...this.carriers].reduce((sum, carrier) => sum + carrier.pendingBytes, 0);
	}

	/** Carries bytes to a socket. */
	add(receiver: Socket): Carrier {
		const carrier = new Carrier(this, receiver);
		this.carriers.add(carrier);
		receiver.once('close', () => {
			carrier.stop();
			this.carriers.delete(carrier);
		});
		return carrier;
	}
}

type Delivery = {at: number; chunk?: Uint8Array; deliver: (receiver: Socket) => void};

/** Delivers the bytes of one direction of a connection in their order. */
class Carrier {
	private readonly deliveries: Delivery[] = [];
	private timer: NodeJS.Timeout | undefined;
	private isCut = false;

	constructor(private readonly direction: ProxyDirection, private readonly receiver: Socket) {}

	get pendingBytes(): number {
		return this.deliveries.reduce((sum, {chunk}) => sum + (chunk?.length ?? 0), 0);
	}

	take(chunk: Uint8Array): void {
		this.isCut ||= this.direction.state === LinkState.Cut;
		this.add({
			chunk,
			deliver(receiver) {
				receiver.write(chunk);
			},
		});
	}

	takeEnd(): void {
		this.add({
			deliver(receiver) {
				receiver.end();
			},
		});
	}

	takeReset(): void {
		this.add({
			deliver(receiver) {
				receiver.resetAndDestroy();
			},
		});
	}

	deliverDue(): void {
		clearTimeout(this.timer);
		if (this.direction.state !== LinkState.Open) {
			return;
		}

		const now = performance.now();
		while (this.deliveries[0] && this.deliveries[0].at <= now) {
			this.deliveries.shift()?.deliver(this.receiver);
		}

		const [next] = this.deliveries;
		if (next) {
			this.timer = setTimeout(() => {
				this.deliverDue();
			}, Math.ceil(next.at - now));
		}
	}

	stop(): void {
		clearTimeout(this.timer);
		this.deliveries.length = 0;
	}

	private add(delivery: Omit<Delivery, 'at'>): void {
		if (this.isCut) {
			return;
		}

		const at = Math.max(performance.now() + this.direction.delayMs, this.deliveries.at(-1)?.at ?? 0);
		this.deliveries.push({...delivery, at});
		this.deliverDue();
	}
}

/** Stands between callers and one server. */
export class DelayingProxy {
	readonly toServer = new ProxyDirection();
	readonly toCaller = new ProxyDirection();
	private server: Server | undefined;
	private readonly callers = new Set<Socket>();
	private readonly servers = new Set<Socket>();

	/** @param address host and port of the server */
	constructor(private readonly address: string) {}

	/** Starts to accept connections; after `refuse`, accepts them again. */
	async listen(ip: string, port: number): Promise<void> {
		const server = createServer({allowHalfOpen: true, noDelay: true}, caller => {
			this.relay(caller);
		});
		this.server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, ip, resolve);
		});
	}

	/** Refuses new connections; open ones stay. */
	refuse(): void {
		this.server?.close();
	}

	/** Resets the callers' connections; bytes that were taken still reach the server. */
	resetCallers(): void {
		for (const caller of this.callers) {
			caller.resetAndDestroy();
		}
	}

	/** Resets the connections to the server; bytes that were taken still reach the callers. */
	resetServers(): void {
		for (const server of this.servers) {
			server.resetAndDestroy();
		}
	}

	/** Closes everything and discards what was taken. */
	close(): void {
		this.server?.close();
		for (const socket of [...this.callers, ...this.servers]) {
			socket.destroy();
		}
	}

	private relay(caller: Socket): void {
		const [host, port] = this.address.split(':');
		const server = connect({
			host, port: Number(port), noDelay: true, allowHalfOpen: true,
		});
		this.callers.add(caller);
		this.servers.add(server);
		forward(caller, this.toServer.add(server));
		forward(server, this.toCaller.add(caller));
		caller.once('close', () => {
			this.callers.delete(caller);
		});
		server.once('close', () => {
			this.servers.delete(server);
		});
	}
}

/** Hands what a socket receives to the carrier, its end and its failure included. */
function forward(sender: Socket, carrier: Carrier): void {
	let hasEnded = false;
	sender.on('data', chunk => {
		carrier.take(chunk);
	});
	sender.once('end', () => {
		hasEnded = true;
		carrier.takeEnd();
	});
	sender.on('error', () => {
		// 'close' follows.
	});
	sender.once('close', () => {
		if (!hasEnded) {
			carrier.takeReset();
		}
	});
}
