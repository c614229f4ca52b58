/**
 * Callers that write requests byte by byte and read answers when they are told to.
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';

export function get(path: string): string {
	return `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
}

/** Sends bytes and returns what was received until the connection closed or the text matched `until`. */
export async function exchange(port: number, text: string, until?: RegExp, host = '127.0.0.1'): Promise<string> {
	return new Promise((resolve, reject) => {
		let received = '';
		const socket = connect(port, host, () => {
			socket.write(text);
		});
		socket.on('data', data => {
			received += data.toString();
			if (until?.test(received)) {
				socket.destroy();
			}
		});
		socket.on('error', reject);
		socket.on('close', () => {
			resolve(received);
		});
	});
}

/** A connection whose bytes are read only on request. */
export async function openUnread(port: number): Promise<Socket> {
	return new Promise(resolve => {
		const socket = connect(port, '127.0.0.1', () => {
			socket.pause();
			resolve(socket);
		});
		socket.on('error', () => {
			// Reported when the rest is read.
		});
	});
}

/** Reads to the end of the connection, and returns what was received and the error that ended it. */
export async function readAll(socket: Socket): Promise<{text: string; error: string | undefined}> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		const finish = (): void => {
			resolve({text: Buffer.concat(chunks).toString(), error: (socket.errored as NodeJS.ErrnoException | undefined)?.code});
		};

		if (socket.closed) {
			finish();
			return;
		}

		socket.on('data', chunk => {
			chunks.push(chunk);
		});
		socket.once('close', finish);
		socket.resume();
	});
}
