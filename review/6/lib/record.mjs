/**
 * The record of a case: lines with the time since its start in seconds.
 */
import {appendFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

const startedAt = performance.now();

export class Record {
	constructor(file) {
		this.file = file;
		writeFileSync(file, '');
	}

	write(text) {
		const line = `${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`;
		appendFileSync(this.file, `${line}\n`);
		if (process.env.VERBOSE) {
			console.log(line);
		}
	}
}

/** True if all ports are free on an address. */
async function areFree(ip, ports) {
	const results = await Promise.allSettled(ports.map(async port => freePort(ip, port)));
	return results.every(({status}) => status === 'fulfilled');
}

/** Returns the first three parts of loopback addresses on which the ports of the daemons are free. */
export async function freeNetwork(daemonCount, ports) {
	for (let attempt = 0; attempt < 50; attempt += 1) {
		const network = `127.${100 + ((process.pid + attempt) % 100)}.${Math.floor(process.pid / 100) % 250}`;
		// eslint-disable-next-line no-await-in-loop -- one network after another.
		const areAllFree = await Promise.all(Array.from({length: daemonCount}, async (_, index) => areFree(`${network}.${index + 1}`, ports)));
		if (areAllFree.every(Boolean)) {
			return network;
		}
	}

	throw new Error('no loopback addresses with free ports');
}

/** Returns a port that is free on an address; rejects if the port is named and not free. */
export async function freePort(ip, wanted = 0) {
	return new Promise((resolve, reject) => {
		const probe = createServer();
		probe.once('error', reject);
		probe.listen(wanted, ip, () => {
			const {port} = probe.address();
			probe.close(() => {
				resolve(port);
			});
		});
	});
}
