/**
 * Link of a daemon to a target or to the store; several harms can overlap on it.
 */
import {DelayingProxy, LinkState, type ProxyDirection} from '../standins/delaying-proxy.js';

/** What a fault does to a link; absent fields do nothing. */
export type Harm = {
	/** Delay per direction in milliseconds. */
	delayMs?: number;
	out?: LinkState;
	in?: LinkState;
};

/** A proxy with the harms that are in force. */
export class Link {
	readonly proxy: DelayingProxy;
	private readonly harms = new Set<Harm>();

	constructor(address: string, private readonly ip: string, private readonly port: number) {
		this.proxy = new DelayingProxy(address);
	}

	async listen(): Promise<void> {
		await this.proxy.listen(this.ip, this.port);
	}

	add(harm: Harm): void {
		this.harms.add(harm);
		this.apply();
	}

	remove(harm: Harm): void {
		this.harms.delete(harm);
		this.apply();
	}

	/** Applies harms whose fields have changed. */
	apply(): void {
		const harms = [...this.harms];
		const delayMs = Math.max(0, ...harms.map(harm => harm.delayMs ?? 0));
		setDirection(this.proxy.toServer, delayMs, harms.map(harm => harm.out));
		setDirection(this.proxy.toCaller, delayMs, harms.map(harm => harm.in));
	}
}

/** The state that delivers least goes first. */
function setDirection(direction: ProxyDirection, delayMs: number, states: Array<LinkState | undefined>): void {
	direction.delayMs = delayMs;
	const state = [LinkState.Cut, LinkState.Silent].find(candidate => states.includes(candidate)) ?? LinkState.Open;
	if (direction.state !== state) {
		direction.state = state;
	}
}
