/**
 * A client that keeps its connection. It reads as fast as bytes arrive, and discards those of answers in chunks.
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

const headEnd = '\r\n\r\n';

export class KeptClient {
	answeredCount = 0;

	constructor(ip, port) {
		Object.assign(this, {ip, port});
	}

	/** Returns the status, or how the connection ended; a request that is not answered in time ends with its connection. */
	async ask({host, path, id, budgetMs}) {
		if (!this.socket || this.socket.destroyed || !this.socket.writable) {
			this.answeredCount = 0;
			this.socket = connect({host: this.ip, port: this.port, noDelay: true});
			this.socket.on('error', () => undefined);
		}

		const {socket} = this;
		const isKept = this.answeredCount > 0;
		return new Promise(resolve => {
			let received = Buffer.alloc(0);
			let status;
			let byteCount = 0;
			const settle = result => {
				clearTimeout(timer);
				socket.off('data', onData);
				socket.off('close', onClose);
				resolve({
					isKept, status, byteCount, ...result,
				});
			};

			const onClose = () => {
				settle({isClosed: true});
			};

			const onData = chunk => {
				byteCount += chunk.length;
				if (status === undefined) {
					received = Buffer.concat([received, chunk]);
				}

				const head = received.toString('latin1').split(headEnd, 1)[0];
				if (status !== undefined || received.length < head.length + headEnd.length) {
					return;
				}

				const length = /\r\ncontent-length: (?<length>\d+)/iv.exec(head)?.groups.length;
				if (length === undefined) {
					// An answer in chunks; this client waits for its end until its time is over.
					status = Number(head.split(' ')[1]);
				} else if (received.length >= head.length + headEnd.length + Number(length)) {
					this.answeredCount += 1;
					if (/\r\nconnection: close/iv.test(head)) {
						socket.destroy();
					}

					settle({status: Number(head.split(' ')[1]), isComplete: true});
				}
			};

			const timer = setTimeout(() => {
				settle({isTimeout: true});
				socket.destroy();
			}, budgetMs);
			socket.on('data', onData);
			socket.once('close', onClose);
			socket.write(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\nAttempt-Id: ${id}\r\nTime-Budget-Ms: ${budgetMs}\r\n\r\n`);
		});
	}

	close() {
		this.socket?.destroy();
	}
}
