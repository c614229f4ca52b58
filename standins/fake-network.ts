/**
 * Message passing between fake processes under a paused clock, with cut connections, paused processes, and delayed or
 * duplicated messages.
 */
import {
	xoroshiro128plus,
} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {Deadline} from '../src/model/deadline.js';
import {DeadlineExpiredError} from '../src/model/errors.js';

/** Time between the two copies of a duplicated message, in milliseconds. */
const duplicateDelayMs = 40;

/** State of a fake process. */
export enum ProcessState {
	Running = 'running',
	/** Suspended without notice: messages wait in its socket buffers. */
	Paused = 'paused',
	/** Stopped: its VM refuses connections. */
	Dead = 'dead',
	/** Stopped together with its VM: nothing answers. */
	Silent = 'silent',
}

/** A call between two processes. */
export type FakeCall<Result> = {
	from: string;
	to: string;
	deadline: Deadline;
	operation: () => Result | Promise<Result>;
	/** True for messages that may arrive twice; a request on a connection arrives only once. */
	canBeDuplicated?: boolean;
	/** Error of a refused connection. */
	refused: () => Error;
};

/** Delivers calls and replies. */
export class FakeNetwork {
	/** One-way delay in milliseconds. */
	delayMs = 1;
	/** Largest additional delay of a message in milliseconds; lets messages overtake each other. */
	jitterMs = 0;
	/** True while calls that can be duplicated are handled twice. */
	duplicatesCalls = false;
	private readonly states = new Map<string, ProcessState>();
	private readonly deferredActions = new Map<string, Array<() => void>>();
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
			// Replies to calls of this process must not reach the process that is started in its place.
			this.generations.set(process, (this.generations.get(process) ?? 0) + 1);
		}

		const actions = this.deferredActions.get(process) ?? [];
		this.deferredActions.delete(process);
		if (state === ProcessState.Running) {
			for (const action of actions) {
				// A resumed process reads its sockets one message at a time.
				setTimeout(action, 0);
			}
		}
	}

	/** Drops messages from one process to another until `heal` is called. */
	cut(from: string, to: string): void {
		this.cuts.add(`${from}>${to}`);
	}

	heal(): void {
		this.cuts.clear();
	}

	/** Runs an action of a process now, or after it resumes if it is paused; never if it has stopped. */
	whenRunning(process: string, action: () => void): void {
		const state = this.state(process);
		if (state === ProcessState.Running) {
			action();
			return;
		}

		if (state === ProcessState.Paused) {
			this.deferredActions.set(process, [...this.deferredActions.get(process) ?? [], action]);
		}
	}

	/** Calls an operation of another process; rejects at the deadline. */
	async call<Result>({from, to, deadline, operation, canBeDuplicated, refused}: FakeCall<Result>): Promise<Result> {
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
					if (this.duplicatesCalls && canBeDuplicated) {
						setTimeout(() => {
							void handle();
						}, duplicateDelayMs);
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
