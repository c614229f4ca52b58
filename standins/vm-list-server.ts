/**
 * Stand-in of the platform's VM list.
 */
import type {Server} from 'node:http';
import type {Vm} from '../src/model/vm-list.js';
import {listenJson, sendJson} from './json-http.js';

/** Serves a list that tests and the demo replace with PUT. */
export class VmListServer {
	private server: Server | undefined;

	constructor(private vms: Vm[]) {}

	async listen(port: number): Promise<void> {
		this.server = await listenJson(port, (request, response, body) => {
			if (request.method === 'PUT') {
				this.vms = (body as {vms: Vm[]}).vms;
			}

			sendJson(response, 200, {vms: this.vms});
		});
	}

	async close(): Promise<void> {
		this.server?.closeAllConnections();
		await new Promise(resolve => {
			this.server?.close(resolve);
		});
	}
}
