/**
 * Simulates daemons and servers with a limited number of slots on a paused clock, with the router's own limiters and queues.
 */
import FakeTimers from '@sinonjs/fake-timers';
import {build, type Histogram} from 'hdr-histogram-js';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {ServerLimiter, type ConcurrencyLimits, type Waiter} from '../src/decisions/server-limiter.js';
import type {WaitQueue} from '../src/decisions/wait-queue.js';
import type {Priority} from '../src/model/configuration.js';

/** A class of requests. */
export type WorkClass = {
	name: string;
	priority: Priority;
	long: boolean;
	/** Share of all arrivals. */
	share: number;
	workMs: number;
	deadlineMs: number;
};

/** Limits and queueing of the daemons that are compared. */
export type Policy = {
	name: string;
	limits: ConcurrencyLimits;
	createQueue: () => WaitQueue<Waiter>;
	/** True if long work is forwarded to one home daemon per server, which costs one more hop. */
	forwardsLongWork?: boolean;
};

/** Deployment and load of a simulation. */
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

/** Outcomes of the requests of one class. */
export type ClassResult = {
	arrived: number;
	withinDeadline: number;
	refused: number;
	late: number;
	latency: Histogram;
};

/** The histogram stores whole numbers; its unit is 10 microseconds. */
const histogramUnitsPerMs = 100;

/** Number of values that a random draw can take. */
const drawRange = 1_000_000;

/** A server that runs work in the order in which it arrives. */
class FifoServer {
	private busySlots = 0;
	private readonly queue: Array<{workMs: number; done: () => void}> = [];

	constructor(private readonly slots: number) {}

	submit(workMs: number, done: () => void): void {
		this.queue.push({workMs, done});
		this.startQueued();
	}

	private startQueued(): void {
		while (this.busySlots < this.slots && this.queue.length > 0) {
			const {workMs, done} = this.queue.shift()!;
			this.busySlots += 1;
			setTimeout(() => {
				this.busySlots -= 1;
				done();
				this.startQueued();
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
			simulation.addArrivals(at);
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
	private dueArrivals = 0;

	constructor(private readonly policy: Policy, private readonly options: SimulationOptions) {
		this.random = xoroshiro128plus(options.seed);
		this.servers = Array.from({length: options.servers}, () => new FifoServer(options.slots));
		this.limiters = Array.from({length: options.daemons}, () => this.servers.map((_, index) => new ServerLimiter(`s${index}`, policy.limits, policy.createQueue())));
		this.results = new Map(options.classes.map(({name}) => [name, {
			arrived: 0, withinDeadline: 0, refused: 0, late: 0, latency: build({highestTrackableValue: 100_000_000}),
		}]));
	}

	/** Sends the requests that arrive in one millisecond, and expires waiting requests every 20 ms as a daemon's tick does. */
	addArrivals(at: number): void {
		this.dueArrivals += this.options.rateAt(at) / 1000;
		while (this.dueArrivals > 0) {
			// Exponentially distributed gaps model independent callers (a Poisson process).
			this.dueArrivals += Math.log(1 - (this.draw() / drawRange));
			this.sendRequest(at);
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

	private sendRequest(at: number): void {
		const workClass = this.drawClass();
		const result = this.results.get(workClass.name)!;
		const server = uniformInt(this.random, 0, this.servers.length - 1);
		const daemon = uniformInt(this.random, 0, this.limiters.length - 1);
		const isForwarded = workClass.long && this.policy.forwardsLongWork === true;
		const limiter = this.limiters[isForwarded ? server % this.limiters.length : daemon][server];
		const hopMs = isForwarded ? this.options.delayMs : 0;
		result.arrived += 1;
		limiter.enter({
			priority: workClass.priority,
			long: workClass.long,
			arrivedAt: at,
			expiresAt: at + workClass.deadlineMs,
			admit: () => {
				const startedAt = performance.now();
				setTimeout(() => {
					this.servers[server].submit(workClass.workMs, () => {
						setTimeout(() => {
							limiter.release(workClass.long, performance.now() - startedAt);
							this.recordResult(workClass, result, performance.now() - at);
						}, this.options.delayMs);
					});
				}, this.options.delayMs + hopMs);
			},
			refuse() {
				result.refused += 1;
			},
		});
	}

	private recordResult(workClass: WorkClass, result: ClassResult, latencyMs: number): void {
		result.latency.recordValue(Math.round(latencyMs * histogramUnitsPerMs));
		if (latencyMs <= workClass.deadlineMs) {
			result.withinDeadline += 1;
			return;
		}

		result.late += 1;
	}

	private drawClass(): WorkClass {
		let draw = this.draw() / drawRange;
		for (const workClass of this.options.classes) {
			draw -= workClass.share;
			if (draw < 0) {
				return workClass;
			}
		}

		return this.options.classes.at(-1)!;
	}
}

/** Returns a latency percentile of a class in milliseconds. */
export function latencyPercentileMs(result: ClassResult, percentile: number): number {
	return result.latency.getValueAtPercentile(percentile) / histogramUnitsPerMs;
}
