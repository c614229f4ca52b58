import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Readable, Writable} from 'node:stream';
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {ByteBlocks} from '../src/model/byte-blocks.js';
import {JoinedWrites} from '../src/transport/joined-writes.js';
import {limitReads} from '../src/transport/small-reads.js';

const pieces = [1, 8, 64, 300, 4096, 1, 20_000, 7].flatMap((size, index) => Array.from({length: 40}, () => new Uint8Array(size).fill(index)));

const sinks = [
	{title: 'takes each write at once', delayTurns: 0},
	{title: 'takes each write some turns later', delayTurns: 3},
];

for (const {title, delayTurns} of sinks) {
	// Guards against pieces that are lost, or passed on in another order, when they are joined.
	test.serial(`should write all pieces in their order to a sink that ${title}`, async t => {
		const written: Uint8Array[] = [];
		const sink = new Writable({
			async write(chunk: Uint8Array, _encoding, callback) {
				written.push(chunk);
				for (let turn = 0; turn < delayTurns; turn += 1) {
					// eslint-disable-next-line no-await-in-loop -- one turn after another.
					await nextTurn();
				}

				callback();
			},
		});
		const writes = new JoinedWrites(sink);
		for (const [index, piece] of pieces.entries()) {
			if (!writes.write(piece)) {
				// eslint-disable-next-line no-await-in-loop -- the sink is full.
				await once(sink, 'drain');
			}

			if (index % 50 === 0) {
				// eslint-disable-next-line no-await-in-loop -- pieces arrive in several turns.
				await nextTurn();
			}
		}

		writes.end();
		await once(sink, 'finish');
		t.deepEqual(Buffer.concat(written), Buffer.concat(pieces));
		t.true(written.length < pieces.length / 2, `${written.length} writes`);
	});
}

// Guards against the last bytes of a burst that wait until the next ones arrive.
test.serial('should write a small piece behind a large one although nothing follows', async t => {
	let writtenBytes = 0;
	const sink = new Writable({
		write(chunk: Uint8Array, _encoding, callback) {
			writtenBytes += chunk.length;
			setTimeout(callback, 20);
		},
	});
	const writes = new JoinedWrites(sink);
	writes.write(new Uint8Array(4096));
	writes.write(new Uint8Array(10));
	await delay(200);
	t.is(writtenBytes, 4106);
});

// Guards against the objects around small pieces of an answer, which took some hundred bytes of heap each.
test('should take little more memory than the bytes of small pieces that wait', t => {
	const blocks = new ByteBlocks();
	const pieceCount = 100_000;
	const received = Buffer.alloc(pieceCount);
	for (let index = 0; index < pieceCount; index += 1) {
		blocks.add(received.subarray(index, index + 1));
	}

	let count = 0;
	while (blocks.byteLength > 0) {
		const block = blocks.take();
		t.not(block.buffer, received.buffer);
		count += 1;
	}

	t.is(count, Math.ceil(pieceCount / 16_384));
});

/** A socket that has received many pieces; the parser takes a millisecond for each. */
function busySocket(pieceCount: number): {socket: Readable; readCounts: number[]} {
	const socket = new Readable({highWaterMark: 10_000_000, read: () => undefined});
	const readCounts: number[] = [];
	limitReads(socket);
	socket.on('readable', () => {
		let count = 0;
		while (socket.read() !== null) {
			const endsAt = performance.now() + 1;
			while (performance.now() < endsAt) {
				// Parses.
			}

			count += 1;
		}

		readCounts.push(count);
	});
	for (let index = 0; index < pieceCount; index += 1) {
		socket.push(Buffer.alloc(4096));
	}

	return {socket, readCounts};
}

// Guards against one connection with a burst of small chunks that blocks all others for as long as it lasts.
test.serial('should share the turns of the event loop among sockets', async t => {
	const busy = Array.from({length: 8}, () => busySocket(40));
	await nextTurn();
	const short = busySocket(1);
	await nextTurn();
	await nextTurn();
	t.is(short.readCounts[0], 1, 'a short answer does not wait');
	while (busy.some(({socket}) => socket.readableLength > 0)) {
		// eslint-disable-next-line no-await-in-loop -- one turn after another.
		await nextTurn();
	}

	for (const {readCounts} of busy) {
		t.is(readCounts.reduce((sum, count) => sum + count, 0), 40);
		t.true(Math.max(...readCounts) <= 3, `${Math.max(...readCounts)} pieces in a turn`);
	}
});
