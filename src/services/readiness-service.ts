/**
 * Service "readiness": answers the balancer's readiness checks; a draining daemon is not ready.
 */
import {createServer, type Server} from 'node:http';
import type {Service, ServiceSchema} from 'moleculer';

export type ReadinessOptions = {
	ip: string;
	port: number;
	path: string;
	isReady(): boolean;
};

export function createReadinessService({ip, port, path, isReady}: ReadinessOptions): ServiceSchema {
	let isDraining = false;
	const server: Server = createServer((request, response) => {
		const isKnown = request.url?.split('?', 1)[0] === path;
		response.writeHead(isKnown ? readyStatus(isReady() && !isDraining) : 404, {'content-length': '0'});
		response.end();
	});
	return {
		name: 'readiness',
		dependencies: ['gateway'],
		actions: {
			drain() {
				isDraining = true;
			},
		},
		async started(this: Service) {
			return new Promise<void>((resolve, reject) => {
				server.once('error', reject);
				server.listen({host: ip, port}, () => {
					server.off('error', reject);
					resolve();
				});
			});
		},
		stopped() {
			server.close();
			server.closeAllConnections();
		},
	};
}

function readyStatus(isReady: boolean): number {
	return isReady ? 200 : 503;
}
