/**
 * Baseline for the data path: a bare pass-through proxy on node:http and undici. Parameters: PORT TARGET_URL
 */
import {createServer} from 'node:http';
import process from 'node:process';
import {Pool} from 'undici';

const [port = '0', target = ''] = process.argv.slice(2);
const pool = new Pool(target, {connections: 50, pipelining: 1});

const server = createServer((request, response) => {
	void pool.stream({path: request.url ?? '/', method: 'GET', headers: request.headers as Record<string, string>}, ({statusCode, headers}) => {
		response.writeHead(statusCode, headers as Record<string, string>);
		return response;
	});
});
server.listen(Number(port), '127.0.0.1');
