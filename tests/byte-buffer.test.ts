import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {ByteBuffer} from '../src/model/byte-buffer.js';

test('should return the bytes of all chunks in order and leave the chunks unchanged', t => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 40})), fc.integer({min: 0, max: 400}), (chunks, usualLimit) => {
		const copies = chunks.map(chunk => Uint8Array.from(chunk));
		const buffer = new ByteBuffer(usualLimit);
		for (const chunk of chunks) {
			buffer.add(chunk);
		}

		t.is(buffer.byteLength, Buffer.concat(copies).length);
		t.deepEqual(Buffer.from(buffer.take()), Buffer.concat(copies));
		t.deepEqual(chunks, copies);
		t.is(buffer.byteLength, 0);
	}), {seed: 1});
});

test('should not change bytes that were taken when more are added', t => {
	const buffer = new ByteBuffer();
	for (const text of ['a', 'b', 'c']) {
		buffer.add(Buffer.from(text));
	}

	const taken = buffer.take();
	buffer.add(Buffer.from('x'));
	buffer.add(Buffer.from('y'));
	t.is(Buffer.from(taken).toString(), 'abc');
});
