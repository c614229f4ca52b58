/**
 * Daemons of the project in processes of their own, started with the commands of the deploy file.
 */
/* eslint-disable no-await-in-loop -- steps follow one another. */
import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const repository = fileURLToPath(new URL('../../../', import.meta.url));
const run = /^run = "(?<words>[^"]+)"$/mv.exec(readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8')).groups.words.split(' ');

/** Fills the template of the deploy file in, which holds only placeholders of values. */
function fillTemplate(fields) {
	const template = readFileSync(path.join(repository, 'deploy/settings.template.json'), 'utf8');
	return template.replaceAll(/\{\{(?<name>[\w.]+)\|json\}\}/gv, (_, name) => {
		let value = fields;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return value === undefined ? '' : JSON.stringify(value);
	});
}

export class Daemon {
	constructor({name, zone, ip, storeAddress, ports, logTo}) {
		Object.assign(this, {
			name, zone, ip, ports, logTo,
		});
		this.folder = mkdtempSync(path.join(tmpdir(), 'eelgrasswheel-review-'));
		this.settingsPath = path.join(this.folder, 'node.json');
		writeFileSync(this.settingsPath, fillTemplate({
			nodeName: name,
			zone,
			ip,
			listen: {front: `${ip}:${ports.front}`, readyAddress: `${ip}:${ports.ready}`},
			internalPorts: [ports.internal, ports.internal + 15],
			platform: {address: storeAddress, ttlMinMs: 1000},
			limits: {cpuShare: 0.54, linkMbps: 1000, memoryMb: 350},
			heartbeatMs: 1000,
			bounds: {
				drainMs: 2000, configApplyMs: 2000, graceS: 6, retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 60, holdMaxMs: 10_000, thawSlackMs: 300,
			},
		}));
	}

	start() {
		const [program, ...words] = run;
		this.child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: repository, env: {PATH: process.env.PATH, EELGRASSWHEEL_BOOT: this.settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const {child} = this;
		this.exited = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				resolve({code, signal});
			});
		});
		if (this.logTo) {
			const file = createWriteStream(this.logTo, {flags: 'a'});
			child.stdout.pipe(file);
			child.stderr.pipe(file);
		} else {
			child.stdout.resume();
			child.stderr.resume();
		}
	}

	get hasExited() {
		return this.child.exitCode !== null || this.child.signalCode !== null;
	}

	signal(name) {
		if (!this.hasExited) {
			this.child.kill(name);
		}
	}

	async kill() {
		this.signal('SIGCONT');
		this.signal('SIGKILL');
		return this.exited;
	}

	async isReady() {
		return new Promise(resolve => {
			const question = get({
				host: this.ip, port: this.ports.ready, path: '/eelgrasswheel/readiness', agent: false, timeout: 1000,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			question.once('timeout', () => {
				question.destroy();
			});
			question.once('error', () => {
				resolve(false);
			});
		});
	}

	async waitUntilReady(limitMs = 15_000) {
		for (let waitedMs = 0; waitedMs < limitMs; waitedMs += 50) {
			if (await this.isReady()) {
				return;
			}

			await delay(50);
		}

		throw new Error(`${this.name} is not ready`);
	}

	clean() {
		rmSync(this.folder, {recursive: true, force: true});
	}
}
