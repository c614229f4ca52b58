/**
 * Message passing between fake processes under the paused clock, with cuts, pauses and losses.
 */
import {
	xoroshiro128plus,
} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {Deadline} from '../src/model/deadline.js';
import {DeadlineExpiredError} from '../src/model/errors.js';

/** Delay of the second copy of a doubled message in milliseconds. */
const repeatDelayMs = 40;

/** State of a fake process. */
export enum ProcessState {
	Running = 'running',
	/** Stopped without knowing it: messages wait in its socket buffers. */
	Paused = 'paused',
	/** Gone: its VM refuses connections. */
	Dead = 'dead',
	/** Gone with its VM: nothing answers. */
	Silent = 'silent',
}

/** A call between two processes. */
export type FakeCall<Result> = {
	from: string;
	to: string;
	deadline: Deadline;
	operation: () => Result | Promise<Result>;
	/** True for messages that may arrive twice; a request on a connection cannot. */
	mayRepeat?: boolean;
	/** Error of a refused connection. */
	refused: () => Error;
};

/** Delivers calls and replies. */
export class FakeNetwork {
	/** One-way delay in milliseconds. */
	delayMs = 1;
	/** Largest additional delay of a message in milliseconds; makes messages overtake each other. */
	jitterMs = 0;
	/** Handles repeatable calls twice. */
	isDoubling = false;
	private readonly states = new Map<string, ProcessState>();
	private readonly waiting = new Map<string, Array<() => void>>();
	private readonly generations = new Map<string, number>();
	private readonly cuts = new Set<string>();
	private readonly random;

	constructor(seed: number) {
		this.random = xoroshiro128plus(seed);
	}

	state(process: string): ProcessState {
		return this.states.get(process) ?? ProcessState.Running;
	}

	setState(process: string, state: ProcessState): void {
		this.states.set(process, state);
		if (state === ProcessState.Paused) {
			return;
		}

		if (state !== ProcessState.Running) {
			// Replies to calls of this process never reach the one that is started in its place.
			this.generations.set(process, (this.generations.get(process) ?? 0) + 1);
		}

		const actions = this.waiting.get(process) ?? [];
		this.waiting.delete(process);
		if (state === ProcessState.Running) {
			for (const action of actions) {
				// One message at a time, as a process that wakes up reads its sockets.
				setTimeout(action, 0);
			}
		}
	}

	/** Cuts messages from one process to another. */
	cut(from: string, to: string): void {
		this.cuts.add(`${from}>${to}`);
	}

	heal(): void {
		this.cuts.clear();
	}

	/** Runs an action of a process now, or when it goes on, or never. */
	whenRunning(process: string, action: () => void): void {
		const state = this.state(process);
		if (state === ProcessState.Running) {
			action();
			return;
		}

		if (state === ProcessState.Paused) {
			this.waiting.set(process, [...this.waiting.get(process) ?? [], action]);
		}
	}

	/** Calls an operation of another process; rejects at the deadline. */
	async call<Result>({from, to, deadline, operation, mayRepeat, refused}: FakeCall<Result>): Promise<Result> {
		return new Promise<Result>((resolve, reject) => {
			let isSettled = false;
			const generation = this.generations.get(from);
			const settle = (action: () => void) => {
				this.whenRunning(from, () => {
					if (!isSettled && this.generations.get(from) === generation) {
						isSettled = true;
						clearTimeout(timer);
						action();
					}
				});
			};

			const timer = setTimeout(() => {
				settle(() => {
					reject(new DeadlineExpiredError(deadline.step));
				});
			}, deadline.remainingMs());
			const reply = (action: () => void) => {
				this.send(to, from, () => {
					settle(action);
				});
			};

			const handle = async () => {
				try {
					const result = await operation();
					reply(() => {
						resolve(result);
					});
				} catch (error) {
					reply(() => {
						reject(error instanceof Error ? error : new Error(String(error)));
					});
				}
			};

			this.send(from, to, () => {
				if (this.state(to) === ProcessState.Dead) {
					reply(() => {
						reject(refused());
					});
					return;
				}

				this.whenRunning(to, () => {
					void handle();
					if (this.isDoubling && mayRepeat) {
						setTimeout(() => {
							void handle();
						}, repeatDelayMs);
					}
				});
			});
		});
	}

	private send(from: string, to: string, deliver: () => void): void {
		if (this.cuts.has(`${from}>${to}`)) {
			return;
		}

		const jitterMs = this.jitterMs === 0 ? 0 : uniformInt(this.random, 0, this.jitterMs);
		setTimeout(deliver, this.delayMs + jitterMs);
	}
}
