/**
 * Processes of the demo and of experiments: daemons and stand-ins on loopback.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {VmRole, VmState, type Vm} from '../src/model/vm-list.js';

/** Ports of one deployment, counted from a base. */
export const basePort = Number(process.env.EELGRASSWHEEL_BENCH_PORT ?? 21_000);

/** Credentials of the demo. */
export const credentials = {operator: 'operator-token', veto: 'veto-token-of-customer', peer: 'secret-of-daemons'} as const;

const programs = {
	daemon: fileURLToPath(new URL('../src/daemon/main.js', import.meta.url)),
	passThrough: fileURLToPath(new URL('pass-through.js', import.meta.url)),
	standin: fileURLToPath(new URL('../standins/main.js', import.meta.url)),
};

/** Starts and stops processes; every process that it started is ended by `stopAll`. */
export class Processes {
	private readonly children = new Map<string, ChildProcess>();

	/** @param logPath file for the output of all processes; dropped if absent */
	constructor(private readonly logPath?: string) {}

	startStore(port: number): void {
		this.start('store', [programs.standin, 'store', String(port)]);
	}

	startVmList(port: number, vms: Vm[]): void {
		this.start('vm-list', [programs.standin, 'vm-list', String(port), JSON.stringify(vms)]);
	}

	startTarget(id: string, port: number, workMs: number): void {
		this.start(id, [programs.standin, 'target', String(port), id, String(workMs)]);
	}

	startPassThrough(port: number, targetUrl: string): void {
		this.start('pass-through', [programs.passThrough, String(port), targetUrl]);
	}

	startDaemon(vm: Vm, ports: {gateway: number; store: number; vmList: number}, customers: string[]): void {
		const [host = '', controlPort = ''] = vm.address.split(':');
		this.start(vm.id, [
			programs.daemon,
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

	/** Throws if a process has ended, for example because another one holds its port. */
	requireRunning(name: string): void {
		const child = this.children.get(name);
		if (child?.exitCode !== null) {
			throw new Error(`${name} has ended with exit code ${child?.exitCode}; is its port in use?`);
		}
	}

	signal(name: string, signal: NodeJS.Signals): void {
		this.children.get(name)?.kill(signal);
	}

	pid(name: string): number | undefined {
		return this.children.get(name)?.pid;
	}

	/** Waits until a process has ended and returns its exit code. */
	async ended(name: string): Promise<number | undefined> {
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

		await Promise.all([...this.children.keys()].map(async name => this.ended(name)));
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

/** Returns the entry VMs of a deployment, spread over availability zones. */
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

/** Waits until a condition holds. */
export async function eventually(condition: () => Promise<boolean>, limitMs: number, what: string): Promise<void> {
	const startedAt = performance.now();
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- polling.
		if (await condition().catch(() => false)) {
			return;
		}

		if (performance.now() - startedAt > limitMs) {
			throw new Error(`not within ${limitMs} ms: ${what}`);
		}

		// eslint-disable-next-line no-await-in-loop -- polling.
		await pause(20);
	}
}

export async function pause(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
