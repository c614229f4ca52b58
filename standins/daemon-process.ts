/**
 * A daemon of the users' platform in a process of its own.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {settingsVariable, type PlatformSettings} from '../src/platform/settings.js';
import {wirePaths} from '../src/platform/wire.js';
import {ProgramProcess} from './program-process.js';

/** Interval between readiness checks, in milliseconds. */
const readinessPollMs = 20;

/** Its settings file is deleted when the process has ended. */
export class DaemonProcess extends ProgramProcess {
	private readonly folder: string;

	constructor(readonly settings: PlatformSettings) {
		const folder = mkdtempSync(path.join(tmpdir(), 'eelgrasswheel-'));
		writeFileSync(settingsPath(folder), JSON.stringify(settings));
		super('../src/daemon/platform-main.js', {[settingsVariable]: settingsPath(folder)});
		this.folder = folder;
		void this.exit.then(() => {
			rmSync(folder, {recursive: true, force: true});
		});
	}

	/** Replaces the settings file, without a signal. */
	writeSettings(settings: PlatformSettings): void {
		writeFileSync(settingsPath(this.folder), JSON.stringify(settings));
	}

	/** True if the daemon answers the readiness check with 200. */
	async isReady(): Promise<boolean> {
		return new Promise(resolve => {
			const request = httpRequest(`http://${this.settings.readinessAddress}${wirePaths.ready}`, {agent: false}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			// Not listening, or no longer.
			request.once('error', () => {
				resolve(false);
			});
			request.end();
		});
	}

	/** Waits until the daemon is ready; returns false if it ends before. */
	async waitUntilReady(): Promise<boolean> {
		while (!this.hasExited) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			if (await this.isReady()) {
				return true;
			}

			// eslint-disable-next-line no-await-in-loop -- polling.
			await new Promise(resolve => {
				setTimeout(resolve, readinessPollMs);
			});
		}

		return false;
	}
}

function settingsPath(folder: string): string {
	return path.join(folder, 'settings.json');
}
