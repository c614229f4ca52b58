/**
 * A small deployment on loopback: the daemons as the deploy file starts them, with stand-ins of the platform.
 */
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {ports, zones} from './layout.mjs';
import {Store} from './store.mjs';

const root = fileURLToPath(new URL('../../..', import.meta.url));

const flushedLines = 200;
/** Time after which no other play is begun, in milliseconds; a case may last 120 s. */
const lastPlayMs = 95_000;

const startLimitMs = 15_000;
const stopLimitMs = 8000;

/** True unless the script is to run without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Picks the first two parts of addresses on which the ports are free. */
async function pickNetwork() {
	for (;;) {
		const network = `127.${64 + Math.floor(Math.random() * 150)}.${1 + Math.floor(Math.random() * 250)}`;
		// eslint-disable-next-line no-await-in-loop -- one after another.
		if (await isFree(`${network}.1`, ports.store)) {
			return network;
		}
	}
}

async function isFree(ip, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, ip, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Reads the start command of the only role from the deploy file. */
function readCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const command = /^run = "(?<command>[^"]+)"$/mv.exec(text)?.groups?.command ?? '';
	return command.split(' ');
}

/** Lines with the seconds since the start. */
class CaseRecord {
	startedAt = performance.now();
	lines = [];

	constructor(file) {
		this.file = file;
		writeFileSync(file, '');
	}

	/** True if another play might last longer than a case may. */
	get isLate() {
		return performance.now() - this.startedAt > lastPlayMs;
	}

	add(line) {
		this.lines.push(`${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${line}\n`);
		if (this.lines.length >= flushedLines) {
			this.flush();
		}
	}

	flush() {
		appendFileSync(this.file, this.lines.splice(0).join(''));
	}
}

export class Deployment {
	store = new Store();
	daemons = [];
	targets = [];
	temporary = mkdtempSync(path.join(tmpdir(), 'review-'));

	constructor(record, settings) {
		this.caseRecord = record;
		this.settings = settings;
	}

	/** Writes a line to the record. */
	record(line) {
		this.caseRecord.add(line);
	}

	async startStore(configuration) {
		this.network = await pickNetwork();
		await this.store.listen(`${this.network}.1`, ports.store);
		this.store.put('op/config', JSON.stringify(configuration));
	}

	async startDaemons(count) {
		for (let index = 0; index < count; index += 1) {
			this.daemons.push(this.startDaemon(index));
		}

		await Promise.all(this.daemons.map(async daemon => this.waitUntilReady(daemon)));
	}

	startDaemon(index) {
		const ip = `${this.network}.${10 + index}`;
		const name = `front-${index + 1}`;
		const file = path.join(this.temporary, `${name}.json`);
		writeFileSync(file, JSON.stringify({
			daemon: name,
			availabilityZone: zones[index % zones.length],
			ip,
			callerAddress: `${ip}:${ports.caller}`,
			readinessAddress: `${ip}:${ports.readiness}`,
			peerPorts: [ports.peer, ports.peer + 15],
			storeAddress: `${this.network}.1:${ports.store}`,
			cores: 0.54,
			linkMbps: 1000,
			leaseMinimumMs: 1000,
			targetHeartbeatMs: 1500,
			drainMs: 2000,
			configurationApplyMs: 2000,
			shutdownGraceS: 6,
			retryRatio: 0.2,
			retryWindowS: 10,
			retryReserve: 62,
			holdLimitMs: 10_000,
			thawSlackMs: 300,
			...this.settings,
		}));
		const [program, ...parameters] = readCommand();
		const child = spawn(program, parameters, {
			cwd: root, env: {PATH: process.env.PATH, HOME: this.temporary, EELGRASSWHEEL_BOOT: file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const daemon = {
			name, ip, child, hasEnded: false, output: '',
		};
		process.once('exit', () => {
			child.kill('SIGKILL');
		});
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', chunk => {
				daemon.output += String(chunk);
			});
		}

		daemon.exit = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				daemon.hasEnded = true;
				this.record(`daemon ${name} ended with code ${code} signal ${signal}`);
				resolve();
			});
		});
		return daemon;
	}

	async waitUntilReady(daemon) {
		const limit = performance.now() + startLimitMs;
		while (performance.now() < limit && !daemon.hasEnded) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			if (await this.isReady(daemon)) {
				this.record(`daemon ${daemon.name} is ready`);
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- polling.
			await delay(100);
		}

		throw new Error(`daemon ${daemon.name} did not become ready: ${daemon.output.slice(-500)}`);
	}

	async isReady({ip}) {
		return new Promise(resolve => {
			const call = request({
				host: ip, port: ports.readiness, path: '/eelgrasswheel/readiness', timeout: 1000,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			call.once('timeout', () => {
				call.destroy();
			});
			call.once('error', () => {
				resolve(false);
			});
			call.end();
		});
	}

	/** Stops everything that was started. */
	async stop() {
		for (const {child, hasEnded} of this.daemons) {
			if (!hasEnded) {
				child.kill('SIGCONT');
				child.kill('SIGTERM');
			}
		}

		await Promise.race([Promise.all(this.daemons.map(async ({exit}) => exit)), delay(stopLimitMs)]);
		for (const {child, hasEnded} of this.daemons) {
			if (!hasEnded) {
				child.kill('SIGKILL');
			}
		}

		for (const target of this.targets) {
			target.close();
		}

		this.store.close();
		rmSync(this.temporary, {recursive: true, force: true});
	}
}

/**
 * Runs a case and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param playCount most plays, each with a new deployment; the first that breaks the rule is the last
 */
export async function runCase(recordFile, {playCount = 1, settings = {}}, play) {
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			process.exit(2);
		});
	}

	const record = new CaseRecord(fileURLToPath(recordFile));
	let code = 0;
	for (let count = 1; count <= playCount && code === 0 && !record.isLate; count += 1) {
		record.add(`play ${count}`);
		// eslint-disable-next-line no-await-in-loop -- one after another.
		code = await playOnce(new Deployment(record, settings), play);
	}

	record.add(`result ${code}`);
	record.flush();
	return code;
}

async function playOnce(deployment, play) {
	let code = 2;
	try {
		code = await play(deployment) ? 1 : 0;
	} catch (error) {
		deployment.record(`the case could not run: ${error instanceof Error ? error.stack : error}`);
	}

	await deployment.stop();
	return code;
}
