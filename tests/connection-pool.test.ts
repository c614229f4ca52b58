import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {ConnectionPool} from '../src/transport/connection-pool.js';
import type {HttpConnection} from '../src/transport/http-connection.js';

async function listen(server: Server): Promise<string> {
	return new Promise(resolve => {
		server.listen(0, '127.0.0.1', () => {
			resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		});
	});
}

async function sendRequest(connection: HttpConnection): Promise<void> {
	return new Promise((resolve, reject) => {
		connection.dispatch({method: 'GET', path: '/'}, {
			onRequestStart() {
				// Undici detects the kind of handler by this method.
			},
			onResponseEnd() {
				setImmediate(resolve);
			},
			onResponseError(_controller, error) {
				reject(error);
			},
		});
	});
}

const limits = [
	{limit: 4, kept: 4},
	{limit: 1, kept: 1},
	{limit: 9, kept: 6},
];

for (const {limit, kept} of limits) {
	test(`should keep ${kept} of 6 connections under a limit of ${limit}`, async t => {
		const server = createServer((_request, response) => {
			response.end('answer');
		});
		const address = await listen(server);
		const pool = new ConnectionPool();
		const connections = Array.from({length: 6}, () => pool.acquire(address));
		await Promise.all(connections.map(async connection => sendRequest(connection)));
		for (const connection of connections) {
			pool.release(connection, limit);
		}

		t.is(pool.idleCount(address), kept);
		t.is(pool.inUseCount(address), 0);
		pool.close();
		server.close();
	});
}
