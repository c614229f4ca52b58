/**
 * A server that runs requests, and once it is told to, answers some of them with a body that has no end: small chunks at a steady rate,
 * until the caller closes. It is a process of its own; its parent writes its entry.
 */
import {createServer} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const {
	ID: id, IP: ip, PORT: port, CHUNK_BYTES: chunkBytes, BYTES_PER_S: bytesPerS, EVERY: every, WORK_MS: workMs,
} = process.env;

/** Interval at which an endless answer goes on, in milliseconds. */
const stepMs = 20;
const secondMs = 1000;

let isFaulty = false;
let runCount = 0;
let endlessCount = 0;

/** Sends chunks until the caller closes the connection. */
function sendWithoutEnd(response) {
	const chunk = `${Number(chunkBytes).toString(16)}\r\n${'x'.repeat(Number(chunkBytes))}\r\n`;
	const step = chunk.repeat(Math.max(1, Math.round(Number(bytesPerS) * stepMs / secondMs / chunk.length)));
	response.writeHead(200);
	response.flushHeaders();
	const {socket} = response;
	let isBlocked = false;
	socket.on('drain', () => {
		isBlocked = false;
	});
	socket.on('error', () => undefined);
	const timer = setInterval(() => {
		if (socket.destroyed) {
			clearInterval(timer);
		} else {
			isBlocked ||= !socket.write(step);
		}
	}, stepMs);
}

const server = createServer(async (request, response) => {
	const requestId = request.headers['attempt-id'];
	request.resume();
	response.on('error', () => undefined);
	if (requestId !== undefined) {
		response.setHeader('attempt-id', requestId);
	}

	if (request.headers['target-instance'] !== undefined && request.headers['target-instance'] !== id) {
		response.writeHead(421, {'not-executed': '1', 'instance-id': id, 'content-length': '0'}).end();
		return;
	}

	if (request.url === '/health') {
		response.writeHead(200, {'instance-id': id, 'content-length': '0'}).end();
		return;
	}

	process.send({ran: requestId});
	await delay(Number(workMs));
	response.setHeader('response-seal', `${id}.${requestId}`);
	runCount += isFaulty ? 1 : 0;
	if (isFaulty && runCount % Number(every) === 0) {
		endlessCount += 1;
		process.send({endless: endlessCount, requestId});
		sendWithoutEnd(response);
		return;
	}

	response.writeHead(200, {'content-length': '2'}).end('ok');
});
server.keepAliveTimeout = 10_000;
server.listen(Number(port), ip, () => {
	process.send({isListening: true});
});
process.on('message', message => {
	isFaulty = message.isFaulty === true;
});
process.on('disconnect', () => {
	process.exit(0);
});
