/**
 * Starts and stops the processes of the demo and the experiments: daemons and stand-ins on loopback.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {VmRole, VmState, type Vm} from '../src/model/vm-list.js';

/** First port of a deployment; all its ports are offsets from this one. */
export const basePort = Number(process.env.EELGRASSWHEEL_BENCH_PORT ?? 21_000);

/** Credentials of the demo. */
export const credentials = {operator: 'operator-token', veto: 'veto-token-of-customer', peer: 'secret-of-daemons'} as const;

const programPaths = {
	daemon: fileURLToPath(new URL('../src/daemon/main.js', import.meta.url)),
	passThrough: fileURLToPath(new URL('pass-through.js', import.meta.url)),
	standin: fileURLToPath(new URL('../standins/main.js', import.meta.url)),
};

/** Starts processes and stops them; `stopAll` kills every process that was started. */
export class Processes {
	private readonly children = new Map<string, ChildProcess>();

	/** @param logPath file for the output of all processes; dropped if absent */
	constructor(private readonly logPath?: string) {}

	startStore(port: number): void {
		this.start('store', [programPaths.standin, 'store', String(port)]);
	}

	startVmList(port: number, vms: Vm[]): void {
		this.start('vm-list', [programPaths.standin, 'vm-list', String(port), JSON.stringify(vms)]);
	}

	startTarget(id: string, port: number, workMs: number): void {
		this.start(id, [programPaths.standin, 'target', String(port), id, String(workMs)]);
	}

	startPassThrough(port: number, targetUrl: string): void {
		this.start('pass-through', [programPaths.passThrough, String(port), targetUrl]);
	}

	startDaemon(vm: Vm, ports: {gateway: number; store: number; vmList: number}, customers: string[]): void {
		const [host = '', controlPort = ''] = vm.address.split(':');
		this.start(vm.id, [
			programPaths.daemon,
			'--id',
			vm.id,
			'--zone',
			vm.zone,
			'--host',
			host,
			'--port',
			String(ports.gateway),
			'--control-port',
			controlPort,
			'--store',
			`http://127.0.0.1:${ports.store}`,
			'--vm-list',
			`http://127.0.0.1:${ports.vmList}/vms`,
			'--peer-secret',
			credentials.peer,
			'--operator-token',
			credentials.operator,
			'--veto-tokens',
			customers.map(customer => `${customer}=${credentials.veto}`).join(','),
		]);
	}

	/** Throws if a process has exited, for example because its port is in use. */
	requireRunning(name: string): void {
		const child = this.children.get(name);
		if (child?.exitCode !== null) {
			throw new Error(`${name} exited with code ${child?.exitCode}; is its port in use?`);
		}
	}

	signal(name: string, signal: NodeJS.Signals): void {
		this.children.get(name)?.kill(signal);
	}

	pid(name: string): number | undefined {
		return this.children.get(name)?.pid;
	}

	/** Waits until a process exits and returns its exit code, or undefined if a signal killed it. */
	async waitForExit(name: string): Promise<number | undefined> {
		const child = this.children.get(name);
		if (child?.exitCode !== null || child.signalCode !== null) {
			return child?.exitCode ?? undefined;
		}

		return new Promise(resolve => {
			child.once('exit', code => {
				resolve(code ?? undefined);
			});
		});
	}

	async stopAll(): Promise<void> {
		for (const child of this.children.values()) {
			child.kill('SIGKILL');
		}

		await Promise.all([...this.children.keys()].map(async name => this.waitForExit(name)));
		this.children.clear();
	}

	private start(name: string, parameters: string[]): void {
		const child = spawn(process.execPath, parameters, {stdio: ['ignore', this.logPath === undefined ? 'ignore' : 'pipe', this.logPath === undefined ? 'ignore' : 'pipe']});
		if (this.logPath !== undefined) {
			const stream = createWriteStream(this.logPath, {flags: 'a'});
			child.stdout?.pipe(stream);
			child.stderr?.pipe(stream);
		}

		this.children.set(name, child);
	}
}

/** Returns the entry VMs of a deployment, spread over four availability zones. */
export function entryVms(count: number, firstControlPort: number, firstGatewayPort: number): Vm[] {
	return Array.from({length: count}, (_, index) => ({
		id: `entry-${index + 1}`,
		role: VmRole.Entry,
		address: `127.0.0.1:${firstControlPort + index}`,
		gateway: `127.0.0.1:${firstGatewayPort + index}`,
		zone: `zone-${(index % 4) + 1}`,
		state: VmState.Live,
	}));
}

/** Polls a condition until it is true; an error of the condition counts as false. */
export async function waitUntil(condition: () => Promise<boolean>, timeoutMs: number, description: string): Promise<void> {
	const startedAt = performance.now();
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- polling.
		if (await condition().catch(() => false)) {
			return;
		}

		if (performance.now() - startedAt > timeoutMs) {
			throw new Error(`timed out after ${timeoutMs} ms waiting for: ${description}`);
		}

		// eslint-disable-next-line no-await-in-loop -- polling.
		await delay(20);
	}
}

export async function delay(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
