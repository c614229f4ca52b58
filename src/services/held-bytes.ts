/**
 * Memory that the daemon holds for callers and targets that read slowly.
 */
import type {Socket} from 'node:net';
import {LogEvent, type EventLog} from '../model/events.js';

/** Share of the VM's memory that may be held; the rest is for the process itself and the buffers of its kernel. */
const boundShare = 0.25;

/**
 * Share of the bound up to which streamed answers are read ahead of their callers, so that long answers alone never cause refusals.
 */
const readAheadShare = 0.5;

/**
 * Multiple of the bound above which the largest answers are dropped regardless of which callers are slow: requests that were accepted
 * below the bound may be answered all at once. The process and 1.5 times the bound fit into the smallest VM.
 */
const hardBoundFactor = 1.5;

/** Time without any progress after which a caller counts as not reading, in milliseconds; targets wait for some seconds. */
const unreadMs = 2000;

const megabyte = 1_048_576;

/** Answers that are held for one connection. */
type Holding = {
	bytes: number;
	/** Bytes that the kernel had taken when this was last checked. */
	takenBytes: number;
	/** Monotonic time in milliseconds at which the caller last read, or had nothing to read. */
	readAt: number;
};

/** An answer that is read from its target as far as there is memory. */
export type PausedReader = {
	readonly socket: Socket | undefined;
	continueReading(): void;
	destroy(): unknown;
};

/** Counts the bytes of answers and request bodies of all listeners, and drops answers that callers do not read. */
export class HeldBytes {
	/** True if the bytes are bounded. */
	readonly isBounded: boolean;
	private readonly boundBytes: number;
	private readonly holdings = new Map<Socket, Holding>();
	private readonly pausedReaders = new Set<PausedReader>();
	private total = 0;
	private wasFull = false;

	/** @param memoryMb memory of the VM in megabytes; nothing is bounded without it */
	constructor(private readonly log: EventLog, memoryMb?: number) {
		this.isBounded = memoryMb !== undefined;
		this.boundBytes = (memoryMb ?? Infinity) * megabyte * boundShare;
	}

	get bytes(): number {
		return this.total;
	}

	/** True if new requests are refused. */
	get isFull(): boolean {
		return this.total >= this.boundBytes;
	}

	/** True if answers may be read faster than their callers read them. */
	get hasReadAheadRoom(): boolean {
		return this.isBounded && this.total < this.boundBytes * readAheadShare;
	}

	/** Counts bytes of an answer, or no longer counts them if the number is negative. */
	addAnswer(socket: Socket, bytes: number, now = performance.now()): void {
		const holding = this.holdings.get(socket) ?? this.createHolding(socket, bytes, now);
		if (!holding) {
			return;
		}

		const change = Math.max(bytes, -holding.bytes);
		holding.bytes += change;
		if (holding.bytes === 0) {
			this.holdings.delete(socket);
		}

		this.change(change, now);
	}

	/** Counts bytes of a request body, or no longer counts them if the number is negative. */
	addBody(bytes: number): void {
		this.change(bytes, performance.now());
	}

	/** Calls the reader once there is memory to read ahead, or closes its connection if its caller reads nothing meanwhile. */
	pause(reader: PausedReader): void {
		this.pausedReaders.add(reader);
	}

	removeReader(reader: PausedReader): void {
		this.pausedReaders.delete(reader);
	}

	/** Called when a connection was closed: nothing is held for it any more. */
	forget(socket: Socket): void {
		const holding = this.holdings.get(socket);
		this.holdings.delete(socket);
		for (const reader of this.pausedReaders) {
			if (reader.socket === socket) {
				this.pausedReaders.delete(reader);
				reader.destroy();
			}
		}

		this.change(-(holding?.bytes ?? 0), performance.now());
	}

	/** Called periodically: drops answers that callers have not read for long. */
	tick(now = performance.now()): void {
		for (const [socket, holding] of this.holdings) {
			const takenBytes = socket.bytesWritten - socket.writableLength;
			if (takenBytes !== holding.takenBytes || socket.writableLength === 0) {
				holding.takenBytes = takenBytes;
				holding.readAt = now;
			}
		}

		for (const {socket} of this.pausedReaders) {
			// Its target would cut the answer off.
			if (socket && this.isUnread(this.holdings.get(socket), now)) {
				this.drop(socket, now);
			}
		}

		while (this.total > this.boundBytes) {
			const largest = this.largest(holding => this.isUnread(holding, now));
			if (!largest) {
				break;
			}

			this.drop(largest, now);
		}

		if (this.isFull !== this.wasFull) {
			this.wasFull = this.isFull;
			this.log.record(this.isFull ? LogEvent.HeldBytesFull : LogEvent.HeldBytesFree, {bytes: this.total, boundBytes: this.boundBytes});
		}
	}

	private createHolding(socket: Socket, bytes: number, now: number): Holding | undefined {
		if (bytes <= 0 || socket.destroyed) {
			return undefined;
		}

		const holding = {bytes: 0, takenBytes: socket.bytesWritten - socket.writableLength, readAt: now};
		this.holdings.set(socket, holding);
		return holding;
	}

	private change(bytes: number, now: number): void {
		this.total += bytes;
		while (this.total > this.boundBytes * hardBoundFactor) {
			const largest = this.largest(() => true);
			if (!largest) {
				break;
			}

			this.drop(largest, now);
		}

		if (bytes < 0 && this.pausedReaders.size > 0 && this.hasReadAheadRoom) {
			// A reader may pause again while it continues, so a copy is iterated.
			const readers = [...this.pausedReaders];
			for (const reader of readers) {
				if (!this.hasReadAheadRoom) {
					break;
				}

				if (this.pausedReaders.delete(reader)) {
					reader.continueReading();
				}
			}
		}
	}

	private isUnread(holding: Holding | undefined, now: number): boolean {
		return holding !== undefined && now - holding.readAt >= unreadMs;
	}

	private largest(isDroppable: (holding: Holding) => boolean): Socket | undefined {
		let largest: {socket: Socket; bytes: number} | undefined;
		for (const [socket, holding] of this.holdings) {
			if (isDroppable(holding) && holding.bytes > (largest?.bytes ?? 0)) {
				largest = {socket, bytes: holding.bytes};
			}
		}

		return largest?.socket;
	}

	private drop(socket: Socket, now: number): void {
		const {bytes = 0, readAt = now} = this.holdings.get(socket) ?? {};
		this.log.record(LogEvent.AnswersDropped, {bytes, unreadMs: Math.round(now - readAt), heldBytes: this.total});
		socket.destroy();
		this.forget(socket);
	}
}
