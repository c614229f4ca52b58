/**
 * Answers with a JSON body that have been read only in part.
 */
import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {ByteBuffer} from '../model/byte-buffer.js';
import {AnswerTooLargeError} from '../model/errors.js';

/**
 * Reads the body of an answer to its end and parses it.
 *
 * @throws {AnswerTooLargeError} as soon as the body exceeds the limit; its connection is closed
 */
export async function readJsonAnswer(body: Readable, maxBytes: number): Promise<unknown> {
	const received = new ByteBuffer(maxBytes);
	return new Promise((resolve, reject) => {
		body.on('data', (chunk: Uint8Array) => {
			if (received.byteLength + chunk.length > maxBytes) {
				body.destroy(new AnswerTooLargeError(maxBytes));
				return;
			}

			received.add(chunk);
		});
		body.once('error', reject);
		body.once('end', () => {
			try {
				resolve(JSON.parse(Buffer.from(received.take()).toString('utf8')));
			} catch (error) {
				reject(error instanceof Error ? error : new Error(String(error)));
			}
		});
	});
}
