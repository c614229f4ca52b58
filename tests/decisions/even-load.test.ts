/**
 * What callers get if sixty daemons choose among targets of three slots, for each policy. Guards against targets that get much
 * more than the mean load because the information of the daemons is old.
 */
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {SlotCoordinator} from '../../src/decisions/admission/slot-coordinator.js';
import {TargetGroups} from '../../src/decisions/admission/target-groups.js';
import {chooseTarget} from '../../src/decisions/forwarding/target-choice.js';
import {TargetLoads, type LoadReport} from '../../src/decisions/forwarding/target-loads.js';
import type {Member, Target} from '../../src/model/fleet.js';
import type {Route} from '../../src/model/route-configuration.js';
import {
	SlotDecision, SlotEnd, type SlotAnswer, type TargetLoadReport,
} from '../../src/model/slots.js';
import {target} from '../../standins/relayed-fleet.js';

const daemonCount = 60;
const slots = 3;
const linkMs = 1.4;
const startMs = 3000;
const durationMs = 23_000;
const reportMs = 100;
const sampleMs = 10;
const troubleMs = 400;
const groupLoadValidityMs = 500;
const service = 'service';

type Load = {
	speeds: number[];
	count: number;
	workMs: number;
	perS: number;
	aimMs: number;
	isTroubled: boolean;
	ageMs: number;
	seed: number;
};

/** Ends an attempt. */
type Done = (sentMs: number, load: TargetLoadReport) => void;

/** Chooses the target of a request of the daemon, and calls back with it; undefined if the request is denied. */
type Choose = (daemon: number, onTarget: (index: number | undefined, onDone: Done) => void) => void;

class Play {
	now = 0;
	readonly targets: Target[];
	readonly running: number[];
	readonly waiting: Array<Array<() => void>>;
	readonly busyMs: number[];
	readonly latencies: number[] = [];
	denied = 0;
	/** Requests in flight of the targets at each sample. */
	readonly history: number[][] = [];
	private readonly events: Array<{at: number; run: () => void}> = [];
	private readonly generator;

	constructor(readonly load: Load) {
		this.generator = xoroshiro128plus(load.seed);
		this.targets = Array.from({length: load.count}, (_, index) => ({...target(`target-${index}`), availabilityZone: `zone-${index % 3}`}));
		this.running = this.targets.map(() => 0);
		this.waiting = this.targets.map(() => []);
		this.busyMs = this.targets.map(() => 0);
	}

	random = (): number => uniformFloat64(this.generator);

	after(delayMs: number, run: () => void): void {
		const at = this.now + delayMs;
		let index = this.events.length;
		while (index > 0 && this.events[index - 1].at < at) {
			index -= 1;
		}

		this.events.splice(index, 0, {at, run});
	}

	repeat(intervalMs: number, run: () => void): void {
		this.after(intervalMs, () => {
			run();
			this.repeat(intervalMs, run);
		});
	}

	/** Requests in flight at the targets, as far as reports of the chosen age tell. */
	oldInFlight(): number[] {
		return this.history.at(-1 - Math.round(this.load.ageMs / sampleMs)) ?? this.running;
	}

	run(choose: Choose): void {
		this.repeat(sampleMs, () => {
			this.history.push(this.running.map((running, index) => running + this.waiting[index].length));
		});
		this.arrive(choose);
		for (let event = this.events.pop(); event && event.at < durationMs; event = this.events.pop()) {
			this.now = event.at;
			event.run();
		}
	}

	figures(): {busiest: number; inTime: number; p99: number} {
		const sorted = this.latencies.toSorted((left, right) => left - right);
		const mean = this.busyMs.reduce((sum, busy) => sum + busy, 0) / this.busyMs.length;
		return {
			busiest: Math.max(...this.busyMs) / mean,
			inTime: sorted.filter(latency => latency <= this.load.aimMs).length / (sorted.length + this.denied),
			p99: sorted[Math.floor(sorted.length * 0.99)],
		};
	}

	private arrive(choose: Choose): void {
		this.after(-Math.log(1 - this.random()) * 1000 / this.load.perS, () => {
			this.arrive(choose);
			const arrivedAt = this.now;
			choose(Math.floor(this.random() * daemonCount), (index, onDone) => {
				this.send(arrivedAt, index, onDone);
			});
		});
	}

	private send(arrivedAt: number, index: number | undefined, onDone: Done): void {
		if (index === undefined) {
			this.denied += arrivedAt > startMs ? 1 : 0;
			return;
		}

		const sentAt = this.now;
		const answer = (report: TargetLoadReport): void => {
			if (arrivedAt > startMs) {
				this.latencies.push(this.now - arrivedAt);
			}

			onDone(this.now - sentAt, report);
		};

		this.after(linkMs, () => {
			this.serve(index, () => {
				const report = {
					running: this.running[index], waiting: this.waiting[index].length, slots, slowness: 100 * this.slowness(index, this.now),
				};
				this.after(linkMs, () => {
					answer(report);
				});
			});
		});
	}

	private serve(index: number, onDone: () => void): void {
		if (this.running[index] === slots) {
			this.waiting[index].push(() => {
				this.serve(index, onDone);
			});
			return;
		}

		this.running[index] += 1;
		const workMs = this.endOfWork(index) - this.now;
		this.busyMs[index] += this.now > startMs ? workMs : 0;
		this.after(workMs, () => {
			this.running[index] -= 1;
			onDone();
			this.waiting[index].shift()?.();
		});
	}

	/** Work is the sum of two exponential parts; its speed changes with that of the target. */
	private endOfWork(index: number): number {
		let left = -Math.log((1 - this.random()) * (1 - this.random())) * this.load.workMs / 2 / this.load.speeds[index % this.load.speeds.length];
		let at = this.now;
		while (left > 0) {
			const stepMs = Math.min(left * this.slowness(index, at), ((Math.floor((at / troubleMs) + 1e-9) + 1) * troubleMs) - at);
			left -= stepMs / this.slowness(index, at);
			left = left < 1e-6 ? 0 : left;
			at += stepMs;
		}

		return at;
	}

	/** With slow targets, a fifth of the targets are three times slower, other ones every 400 ms. */
	private slowness(index: number, at: number): number {
		const period = Math.floor((at / troubleMs) + 1e-9);
		return this.load.isTroubled && (index + (period * 7)) % 5 === 0 ? 3 : 1;
	}
}

const policies: Record<string, (play: Play) => Choose> = {
	random: play => (_, onTarget) => {
		onTarget(Math.floor(play.random() * play.targets.length), () => undefined);
	},
	bestOfTwo: play => (_, onTarget) => {
		const [left, right] = [0, 0].map(() => Math.floor(play.random() * play.targets.length));
		const inFlight = play.oldInFlight();
		onTarget(inFlight[left] <= inFlight[right] ? left : right, () => undefined);
	},
	present(play) {
		const loads = Array.from({length: daemonCount}, () => new TargetLoads());
		// Count and sum of the samples of all daemons, and as far as each daemon received them.
		const samples = play.targets.map(() => [0, 0]);
		for (const [daemon, each] of loads.entries()) {
			let received = play.targets.map(() => [0, 0]);
			const exchange = (): void => {
				const own = each.ownInFlight();
				const inFlight = play.oldInFlight();
				const report: LoadReport = {inFlight: {}, samples: {}};
				for (const [index, {id}] of play.targets.entries()) {
					report.inFlight[id] = Math.max(0, inFlight[index] - (own[id] ?? 0));
					if (samples[index][0] > received[index][0]) {
						report.samples[id] = [samples[index][0] - received[index][0], samples[index][1] - received[index][1]];
					}
				}

				each.receiveReport('peers', report, play.now);
				for (const [id, [count, sumMs]] of Object.entries(each.takeReport().samples)) {
					const sample = samples[Number(id.split('-')[1])];
					sample[0] += count;
					sample[1] += sumMs;
				}

				received = samples.map(sample => [...sample]);
			};

			play.after(daemon * reportMs / daemonCount, () => {
				play.repeat(reportMs, exchange);
			});
		}

		const route: Route = {
			name: '', host: '', prefix: '/', shares: [], isIdempotent: true, timeoutMs: 1000, targetLatencyMs: play.load.aimMs, priority: 0, maxAttempts: 1,
		};
		return (daemon, onTarget) => {
			const chosen = chooseTarget(loads[daemon], {
				targets: play.targets, excludedTargets: new Set(), route, availabilityZone: `zone-${daemon % 3}`, connectionLimit: Infinity, now: play.now, warmUpLeft: () => 0, random: play.random,
			});
			const index = chosen ? play.targets.indexOf(chosen.target) : 0;
			const key = loads[daemon].startAttempt(play.targets[index], play.now);
			onTarget(index, () => {
				loads[daemon].recordAnswer(play.targets[index], key, false, play.now);
			});
		};
	},
	coordinator(play) {
		const members = new Map(Array.from({length: daemonCount}, (_, index): [string, Member] => [`daemon-${index}`, {
			daemon: `daemon-${index}`, availabilityZone: `zone-${index % 3}`, ip: '', port: 0, room: 0.2 + (index % 5 / 4),
		}]));
		const view = {
			members, configuration: undefined, readyTargets: () => play.targets, warmUpLeft: () => 0,
		};
		const groups = new TargetGroups(view);
		const answering = new Map<string, (answer: SlotAnswer) => void>();
		const coordinators = new Map([...members.keys()].map(daemon => [daemon, new SlotCoordinator({
			daemon, view, loads: {inFlight: () => 0, estimatedServiceMs: () => 120}, random: play.random, log: {record: () => undefined},
		})]));
		const groupLoads = Array.from({length: daemonCount}, (): Array<{load: number; at: number}> => []);
		const deliver = (answers: SlotAnswer[]): void => {
			for (const answer of answers) {
				play.after(linkMs, () => {
					answering.get(`${answer.daemon} ${answer.number}`)?.(answer);
				});
			}
		};

		play.repeat(20, () => {
			for (const coordinator of coordinators.values()) {
				deliver(coordinator.advance(play.now));
			}
		});
		let number = 0;
		return (index, onTarget) => {
			const daemon = `daemon-${index}`;
			number += 1;
			const all = groups.groupsOf(service, play.now);
			const drawn = [0, 0].map(() => groups.groupOf(service, play.targets[Math.floor(play.random() * play.targets.length)].id, play.now) ?? all[0]);
			const [left, right] = drawn.map(group => {
				const known = groupLoads[index][group.number];
				return known && play.now - known.at < groupLoadValidityMs ? known.load : undefined;
			});
			const group = drawn[left !== undefined && right !== undefined && right < left ? 1 : 0];
			const request = {
				number, service, group: group.number, excluded: [], availabilityZone: `zone-${index % 3}`, priority: 0,
				targetLatencyMs: play.load.aimMs, dueMs: play.load.aimMs, leftMs: 4 * play.load.aimMs,
			};
			const coordinator = coordinators.get(group.coordinators[0]);
			answering.set(`${daemon} ${number}`, answer => {
				groupLoads[index][group.number] = {load: answer.load, at: play.now};
				if (answer.decision === SlotDecision.Queued) {
					return;
				}

				answering.delete(`${daemon} ${answer.number}`);
				onTarget(answer.decision === SlotDecision.Denied ? undefined : play.targets.findIndex(({id}) => id === answer.target), (sentMs, load) => {
					play.after(linkMs, () => {
						deliver(coordinator?.release(daemon, {
							number: answer.number, service, target: answer.target, end: SlotEnd.Answered, durationMs: sentMs, load,
						}, play.now) ?? []);
					});
				});
			});
			play.after(linkMs, () => {
				deliver(coordinator?.request(daemon, request, play.now) ?? []);
			});
		};
	},
};

const services = {
	small: {
		speeds: [0.7, 0.7, 1.6], count: 13, workMs: 84, perS: 200, aimMs: 250,
	},
	large: {
		speeds: [0.5, 1, 1, 1.5], count: 36, workMs: 158, perS: 320, aimMs: 608,
	},
};

for (const [name, shape] of Object.entries(services)) {
	for (const isTroubled of [false, true]) {
		test(`should load the targets of the ${name} service evenly ${isTroubled ? 'with slow targets' : 'in normal operation'}`, t => {
			const results = Object.fromEntries(Object.entries(policies).map(([policy, create]) => {
				const play = new Play({
					...shape, isTroubled, ageMs: 200, seed: 1,
				});
				play.run(create(play));
				const figures = play.figures();
				t.log(policy, `busiest ${figures.busiest.toFixed(2)}, in time ${figures.inTime.toFixed(4)}, p99 ${Math.round(figures.p99)} ms, denied ${play.denied}`);
				return [policy, figures];
			}));
			const {coordinator, ...others} = results;
			t.true(coordinator.busiest <= (isTroubled ? 1.6 : 1.3), `busiest target ${coordinator.busiest}`);
			for (const other of Object.values(others)) {
				t.true(coordinator.inTime > other.inTime);
				t.true(coordinator.p99 < other.p99);
			}
		});
	}
}
