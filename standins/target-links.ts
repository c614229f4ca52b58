/**
 * Connections from one daemon to the targets, through proxies on loopback that can be cut.
 */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import type {TargetTransport} from '../src/transport/target-transport.js';

/** What a cut does to open connections; new ones are always refused, because loopback cannot leave them without an answer. */
export enum LinkCut {
	Reset = 'reset',
	/** Open connections stay open and carry nothing. */
	Silent = 'silent',
	/** Open connections work. */
	NewRefused = 'new_refused',
}

/** A proxy for one target. */
type Link = {
	target: string;
	proxy: string;
	server: Server | undefined;
	/** Both ends of each open connection. */
	pairs: Set<readonly [Socket, Socket]>;
};

/** Proxies of one daemon. */
export class TargetLinks {
	private readonly links: Link[];

	/** @param ips addresses of the proxies, one for each target */
	constructor(targets: readonly string[], ips: readonly string[]) {
		this.links = targets.map((target, index) => ({
			target, proxy: `${ips[index]}:${target.split(':')[1]}`, server: undefined, pairs: new Set(),
		}));
	}

	async open(): Promise<void> {
		await Promise.all(this.links.map(async link => listen(link)));
	}

	/** Sends the daemon's requests and probes through the proxies. */
	attach(transport: TargetTransport): void {
		const send = transport.send.bind(transport);
		transport.send = async (request, attempt) => send(request, {...attempt, target: {...attempt.target, address: this.proxyOf(attempt.target.address)}});
		const connects = transport.connects.bind(transport);
		transport.connects = async address => connects(this.proxyOf(address));
	}

	cut(mode: LinkCut): void {
		for (const {server, pairs} of this.links) {
			server?.close();
			for (const pair of pairs) {
				for (const socket of pair) {
					cutSocket(socket, mode);
				}
			}
		}
	}

	/** Ends the cut; connections that were open are reset. */
	async restore(): Promise<void> {
		for (const {pairs} of this.links) {
			resetAll(pairs);
		}

		await this.open();
	}

	close(): void {
		for (const {server, pairs} of this.links) {
			server?.close();
			resetAll(pairs);
		}
	}

	private proxyOf(address: string): string {
		return this.links.find(({target}) => target === address)?.proxy ?? address;
	}
}

async function listen(link: Link): Promise<void> {
	const server = createServer(near => {
		const far = connect(addressOf(link.target));
		const pair = [near, far] as const;
		link.pairs.add(pair);
		for (const socket of pair) {
			socket.on('error', () => {
				socket.destroy();
			});
			socket.once('close', () => {
				link.pairs.delete(pair);
				near.destroy();
				far.destroy();
			});
		}

		near.pipe(far);
		far.pipe(near);
	});
	link.server = server;
	await new Promise<void>(resolve => {
		server.listen(addressOf(link.proxy), resolve);
	});
}

function cutSocket(socket: Socket, mode: LinkCut): void {
	switch (mode) {
		case LinkCut.Reset: {
			socket.resetAndDestroy();
			break;
		}

		case LinkCut.Silent: {
			socket.unpipe();
			socket.pause();
			break;
		}

		case LinkCut.NewRefused: {
			break;
		}
	}
}

function resetAll(pairs: Link['pairs']): void {
	for (const pair of pairs) {
		for (const socket of pair) {
			socket.resetAndDestroy();
		}
	}
}

function addressOf(address: string): {host: string; port: number} {
	const [host = '', port] = address.split(':');
	return {host, port: Number(port)};
}
