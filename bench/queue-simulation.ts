/**
 * Daemons, their limiters and servers with slots, driven by the decisions themselves under the paused clock.
 */
import FakeTimers from '@sinonjs/fake-timers';
import {build, type Histogram} from 'hdr-histogram-js';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {ServerLimiter, type ConcurrencyLimits, type Waiter} from '../src/decisions/server-limiter.js';
import type {WaitOrder} from '../src/decisions/wait-order.js';
import type {Priority} from '../src/model/configuration.js';

/** A class of work. */
export type WorkClass = {
	name: string;
	priority: Priority;
	long: boolean;
	/** Share of all arrivals. */
	share: number;
	workMs: number;
	deadlineMs: number;
};

/** A policy that is compared. */
export type Policy = {
	name: string;
	limits: ConcurrencyLimits;
	order: () => WaitOrder<Waiter>;
	/** True if long work goes through one home daemon per server, one hop more. */
	hasHomeForLong?: boolean;
};

/** A simulated load. */
export type SimulationOptions = {
	seed: number;
	servers: number;
	slots: number;
	daemons: number;
	durationMs: number;
	/** One-way delay between daemon and server in milliseconds. */
	delayMs: number;
	/** Arrivals per second at a time in milliseconds. */
	rateAt: (atMs: number) => number;
	classes: WorkClass[];
};

/** What callers of one class saw. */
export type ClassResult = {
	arrived: number;
	withinDeadline: number;
	refused: number;
	late: number;
	latency: Histogram;
};

/** Units of the histogram per millisecond. */
const unitsPerMs = 100;

/** Resolution of random draws. */
const drawRange = 1_000_000;

/** A server that runs work in the order in which it arrives. */
class FifoServer {
	private busy = 0;
	private readonly queue: Array<{workMs: number; done: () => void}> = [];

	constructor(private readonly slots: number) {}

	submit(workMs: number, done: () => void): void {
		this.queue.push({workMs, done});
		this.pump();
	}

	private pump(): void {
		while (this.busy < this.slots && this.queue.length > 0) {
			const {workMs, done} = this.queue.shift()!;
			this.busy += 1;
			setTimeout(() => {
				this.busy -= 1;
				done();
				this.pump();
			}, workMs);
		}
	}
}

/** Runs a policy under a load. */
export async function simulate(policy: Policy, options: SimulationOptions): Promise<Map<string, ClassResult>> {
	const clock = FakeTimers.install({now: 0, toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date']});
	try {
		const simulation = new Simulation(policy, options);
		for (let at = 0; at < options.durationMs; at++) {
			simulation.arrive(at);
			clock.tick(1);
		}

		clock.tick(Math.max(...options.classes.map(({deadlineMs}) => deadlineMs)) * 2);
		return simulation.results;
	} finally {
		clock.uninstall();
	}
}

class Simulation {
	readonly results: Map<string, ClassResult>;
	private readonly servers: FifoServer[];
	private readonly limiters: ServerLimiter[][];
	private readonly random;
	private owed = 0;

	constructor(private readonly policy: Policy, private readonly options: SimulationOptions) {
		this.random = xoroshiro128plus(options.seed);
		this.servers = Array.from({length: options.servers}, () => new FifoServer(options.slots));
		this.limiters = Array.from({length: options.daemons}, () => this.servers.map((_, index) => new ServerLimiter(`s${index}`, policy.limits, policy.order())));
		this.results = new Map(options.classes.map(({name}) => [name, {
			arrived: 0, withinDeadline: 0, refused: 0, late: 0, latency: build({highestTrackableValue: 100_000_000}),
		}]));
	}

	/** Lets the arrivals of one millisecond in, and expires waiting requests as a daemon's tick does. */
	arrive(at: number): void {
		this.owed += this.options.rateAt(at) / 1000;
		while (this.owed > 0) {
			// Exponential gaps: arrivals of independent callers.
			this.owed += Math.log(1 - (this.draw() / drawRange));
			this.request(at);
		}

		if (at % 20 === 0) {
			for (const limiter of this.limiters.flat()) {
				limiter.expire();
			}
		}
	}

	private draw(): number {
		return uniformInt(this.random, 0, drawRange - 1);
	}

	private request(at: number): void {
		const work = this.drawClass();
		const result = this.results.get(work.name)!;
		const server = uniformInt(this.random, 0, this.servers.length - 1);
		const entry = uniformInt(this.random, 0, this.limiters.length - 1);
		const isForwarded = work.long && this.policy.hasHomeForLong === true;
		const limiter = this.limiters[isForwarded ? server % this.limiters.length : entry][server];
		const hopMs = isForwarded ? this.options.delayMs : 0;
		result.arrived += 1;
		limiter.enter({
			priority: work.priority,
			long: work.long,
			arrivedAt: at,
			expiresAt: at + work.deadlineMs,
			admit: () => {
				const startedAt = performance.now();
				setTimeout(() => {
					this.servers[server].submit(work.workMs, () => {
						setTimeout(() => {
							limiter.release(work.long, performance.now() - startedAt);
							this.finish(work, result, performance.now() - at);
						}, this.options.delayMs);
					});
				}, this.options.delayMs + hopMs);
			},
			refuse() {
				result.refused += 1;
			},
		});
	}

	private finish(work: WorkClass, result: ClassResult, latencyMs: number): void {
		result.latency.recordValue(Math.round(latencyMs * unitsPerMs));
		if (latencyMs <= work.deadlineMs) {
			result.withinDeadline += 1;
			return;
		}

		result.late += 1;
	}

	private drawClass(): WorkClass {
		let draw = this.draw() / drawRange;
		for (const work of this.options.classes) {
			draw -= work.share;
			if (draw < 0) {
				return work;
			}
		}

		return this.options.classes.at(-1)!;
	}
}

/** Returns a quantile of a class's latency in milliseconds. */
export function latencyMs(result: ClassResult, percentile: number): number {
	return result.latency.getValueAtPercentile(percentile) / unitsPerMs;
}
