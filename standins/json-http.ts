/**
 * HTTP helpers of the stand-ins.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';

/** Handles one request; the body is parsed JSON, or text if it is not JSON. */
export type JsonHandler = (request: IncomingMessage, response: ServerResponse, body: unknown) => Promise<void> | void;

/** Handles a request before its body is read; returns true if it did, and reads the body then. */
export type EarlyHandler = (request: IncomingMessage, response: ServerResponse) => boolean;

/** Starts a server on loopback that parses JSON bodies. */
export async function listenJson(port: number, handler: JsonHandler, ip = '127.0.0.1', handleEarly: EarlyHandler = () => false): Promise<Server> {
	const server = createServer((request, response) => {
		if (!handleEarly(request, response)) {
			void handleJson(request, response, handler);
		}
	});
	server.keepAliveTimeout = 60_000;
	await new Promise<void>(resolve => {
		server.listen(port, ip, resolve);
	});
	return server;
}

async function handleJson(request: IncomingMessage, response: ServerResponse, handler: JsonHandler): Promise<void> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of request) {
			chunks.push(chunk as Uint8Array);
		}
	} catch {
		return;
	}

	const text = new TextDecoder().decode(concat(chunks));
	await handler(request, response, parseOrText(text));
}

function parseOrText(text: string): unknown {
	try {
		return text === '' ? {} : JSON.parse(text);
	} catch {
		return text;
	}
}

function concat(chunks: Uint8Array[]): Uint8Array {
	const joined = new Uint8Array(chunks.reduce((sum, chunk) => sum + chunk.length, 0));
	let offset = 0;
	for (const chunk of chunks) {
		joined.set(chunk, offset);
		offset += chunk.length;
	}

	return joined;
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(body));
}
