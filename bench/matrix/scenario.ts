/**
 * One run of a deployment with a fault at a step, under the paused clock.
 */
import {Writable} from 'node:stream';
import FakeTimers from '@sinonjs/fake-timers';
import {groupBy} from 'es-toolkit';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	configurationBodySchema, Fencing, KeySource, Priority, type ConfigurationBody, type Service,
} from '../../src/model/configuration.js';
import {storeKeys} from '../../src/model/key-value-store.js';
import {OutcomeKind} from '../../src/decisions/outcome.js';
import {Cancellation} from '../../src/model/cancellation.js';
import {LogEvent, type LogFields} from '../../src/model/events.js';
import {IntentKind, PlanState, type Intent} from '../../src/model/plan.js';
import type {RoutedRequest} from '../../src/model/request.js';
import {FakeDeployment, fakeCredentials} from '../../standins/fake-deployment.js';
import {ProcessState} from '../../standins/fake-network.js';
import {requestIdHeader, workHeader} from '../../standins/fake-targets.js';
import {checkHistory, longestGap, type Violation} from './checker.js';
import {faultActions, type Fault} from './faults.js';
import {History, type CallRecord} from './history.js';
import {Step} from './steps.js';

/** A fault at a step. */
export type Cell = {
	fault: Fault;
	step: Step;
};

/** What a scenario runs. */
export type ScenarioOptions = {
	seed: number;
	cells: Cell[];
	checks: boolean;
	daemons?: number;
	/** Receives the log, with the time in milliseconds. */
	onLog?: (at: number, daemon: string, event: LogEvent, fields: LogFields) => void;
};

/** Result of a scenario. */
export type ScenarioResult = {
	violations: Violation[];
	/** Cells whose step was reached. */
	reached: Cell[];
	calls: number;
	executions: number;
	/** Longest time a key was not served, in milliseconds. */
	longestGapMs: number;
};

const serviceName = 'registry';
const keyCount = 12;
const deadlineMs = 2000;

/** Duration of a fault in milliseconds. */
const faultMs = 1300;

/** Times of the script in milliseconds after the load began. */
const script = {
	join: 300, resign: 1100, drain: 2600, shutdown: 3800, end: 8500,
} as const;

const logSteps: Partial<Record<LogEvent, Step>> = {
	[LogEvent.PlanCreated]: Step.Planned,
	[LogEvent.PlanConfirmed]: Step.Committed,
	[LogEvent.MovesRecorded]: Step.MoveRecorded,
	[LogEvent.MovesPaused]: Step.MovePaused,
	[LogEvent.OwnersWritten]: Step.OwnerWritten,
	[LogEvent.MovesReleased]: Step.Released,
	[LogEvent.LeadershipLost]: Step.LeaderSteppingDown,
	[LogEvent.LeadershipTaken]: Step.LeaderAcquiring,
};

function service(checks: boolean): Service {
	return configurationBodySchema.parse({
		services: [{
			name: serviceName,
			customer: 'customer',
			pathPrefix: '/registry',
			divided: true,
			shardCount: 8,
			key: {source: KeySource.Path, name: '1'},
			fencing: checks ? Fencing.Epoch : Fencing.None,
			classes: [
				{
					name: 'transfer', methods: ['POST'], priority: Priority.Instruction, deadlineMs, idempotent: false,
				},
				{
					name: 'status', methods: ['GET'], priority: Priority.Read, deadlineMs, idempotent: true,
				},
			],
		}],
		servers: [],
	}).services[0];
}

/** Runs a scenario with its own clock. */
export async function runScenario(options: ScenarioOptions): Promise<ScenarioResult> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	try {
		return await new Scenario(options, clock).run();
	} finally {
		clock.uninstall();
	}
}

class Scenario {
	private readonly history = new History();
	private readonly deployment: FakeDeployment;
	private readonly service: Service;
	private readonly pending: Cell[];
	private readonly reached: Cell[] = [];
	private readonly lostDaemons = new Set<string>();
	private isArmed = false;
	private sequence = 0;
	private readonly random: ReturnType<typeof xoroshiro128plus>;

	constructor(private readonly options: ScenarioOptions, private readonly clock: ReturnType<typeof FakeTimers.install>) {
		this.random = xoroshiro128plus(options.seed);
		this.pending = [...options.cells];
		this.service = service(options.checks);
		this.deployment = new FakeDeployment({
			daemons: options.daemons ?? 5,
			servers: 4,
			checks: options.checks,
			seed: options.seed,
			observer: {
				onLog: (daemon, event, fields) => {
					this.options.onLog?.(Math.round(performance.now()), daemon, event, fields);
					const step = logSteps[event];
					if (step) {
						this.reach(step);
					}
				},
				onPublish: () => {
					this.reach(Step.Distributed);
				},
				onOrder: (_server, {grants, revocations}) => {
					if (revocations.length > 0) {
						this.reach(Step.Revoked);
					}

					if (grants.length > 0) {
						this.reach(Step.Granted);
					}
				},
				onDrained: () => {
					this.reach(Step.Drained);
				},
				onSend: () => {
					this.reach(Step.RequestSent);
				},
				onExecute: () => {
					this.reach(Step.RequestExecuting);
				},
			},
		});
		this.deployment.memory.onWrite = keys => {
			if (keys.some(key => key.includes('/claims/'))) {
				this.reach(Step.RequestClaimed);
			}
		};
	}

	async run(): Promise<ScenarioResult> {
		await this.clock.tickAsync(300);
		this.operate({id: 'first', kind: IntentKind.Configure, configuration: this.body(3)});
		await this.clock.tickAsync(1500);
		this.isArmed = true;
		await this.runScript();
		this.deployment.close();
		return this.result();
	}

	private async runScript(): Promise<void> {
		const actions: Array<[number, () => void]> = [
			[script.join, () => {
				this.operate({id: 'join', kind: IntentKind.Configure, configuration: this.body(4)});
			}],
			[script.resign - 50, () => {
				this.reach(Step.LeaderRenewing);
			}],
			[script.resign, () => {
				this.resignLeader();
			}],
			[script.drain, () => {
				this.operate({id: 'drain', kind: IntentKind.Drain, server: 'server-2'});
			}],
			[script.shutdown, () => {
				void this.shutdownDaemon();
			}],
		];
		const stepMs = 5;
		for (let at = 0; at < script.end; at += stepMs) {
			while ((actions[0]?.[0] ?? Infinity) <= at) {
				actions.shift()![1]();
			}

			this.load(at);
			this.sample();
			// eslint-disable-next-line no-await-in-loop -- time passes in steps.
			await this.clock.tickAsync(stepMs);
		}
	}

	/** Begins the fault of a cell when its step is reached. */
	private reach(step: Step): void {
		const index = this.isArmed ? this.pending.findIndex(cell => cell.step === step) : -1;
		if (index === -1) {
			return;
		}

		const [cell] = this.pending.splice(index, 1);
		this.reached.push(cell);
		this.history.faultAt ??= performance.now();
		const leader = this.leader();
		const end = faultActions[cell.fault]({
			deployment: this.deployment,
			victims: {leader, daemon: this.deployment.daemons.find(daemon => daemon !== leader)!, server: 'server-1'},
			disturb: server => {
				this.history.disturbedServers.add(server);
			},
			lose: daemon => {
				this.lostDaemons.add(daemon);
				for (const call of this.history.calls) {
					call.isDaemonLost ||= call.daemon === daemon && call.outcome === undefined;
				}
			},
			compete: () => {
				this.operate({id: `compete-${this.sequence}`, kind: IntentKind.Drain, server: 'server-3'});
			},
		});
		setTimeout(end, faultMs);
	}

	private leader(): string {
		for (const core of this.deployment.cores.values()) {
			const leader = core.replica.assignment(serviceName)?.value.leader;
			if (leader !== undefined && leader !== '') {
				return leader;
			}
		}

		return this.deployment.daemons[0];
	}

	private resignLeader(): void {
		const leader = this.leader();
		this.deployment.network.whenRunning(leader, () => {
			void this.deployment.cores.get(leader)!.resign();
		});
	}

	/** Follows the order of a daemon's shutdown; new requests go elsewhere. */
	private async shutdownDaemon(): Promise<void> {
		const daemon = this.deployment.daemons.at(-1)!;
		const core = this.deployment.cores.get(daemon)!;
		if (!this.deployment.isRunning(daemon)) {
			return;
		}

		this.lostDaemons.add(daemon);
		this.reach(Step.ShutdownReadiness);
		this.reach(Step.ShutdownLeadership);
		await core.resign();
		this.reach(Step.ShutdownListener);
		core.dispatcher.beginShutdown();
		this.reach(Step.ShutdownInFlight);
		while (core.dispatcher.load > 0) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			await new Promise(resolve => {
				setTimeout(resolve, 20);
			});
		}

		this.deployment.stopDaemon(daemon, ProcessState.Silent);
	}

	/** An operator and a veto holder who repeat what was not acknowledged. */
	private operate(intent: Intent): void {
		const attempt = async (tries: number) => {
			const daemon = this.deployment.daemons.find(candidate => this.deployment.isRunning(candidate) && !this.lostDaemons.has(candidate));
			try {
				const desk = this.deployment.cores.get(daemon!)!.planManager;
				this.reach(Step.Submitted);
				const submitted = await desk.submit(intent, fakeCredentials.operator);
				const plan = submitted.state === PlanState.Confirmed ? submitted : await desk.confirm(intent.id, fakeCredentials.veto);
				if (plan.state === PlanState.Confirmed) {
					this.noteConfirmed(intent, plan.baseConfigurationVersion + 1);
				}

				this.reach(Step.Confirmed);
			} catch {
				if (tries > 0) {
					setTimeout(() => {
						void attempt(tries - 1);
					}, 250);
				}
			}
		};

		void attempt(12);
	}

	private noteConfirmed(intent: Intent, configurationVersion: number): void {
		this.history.confirmed.push({intent: intent.id, at: performance.now(), configurationVersion});
		if (intent.kind === IntentKind.Drain) {
			this.history.leavingSince.set(intent.server, performance.now());
		}

		// A configuration states anew which servers leave.
		if (intent.kind === IntentKind.Configure) {
			this.history.leavingSince.clear();
		}
	}

	private body(servers: number): ConfigurationBody {
		return configurationBodySchema.parse({
			services: [this.service],
			servers: Array.from({length: servers}, (_, index) => ({
				id: `server-${index + 1}`, service: serviceName, address: `127.0.0.1:${index + 1}`, zone: 'zone-1', connections: 110,
			})),
		});
	}

	private load(at: number): void {
		if (at % 25 === 0) {
			for (let key = 0; key < keyCount; key++) {
				this.send(`read-${this.next()}`, `key-${key}`, true);
			}
		}

		if (at % 50 === 0) {
			this.send(`instruction-${this.next()}`, `key-${(at / 50) % keyCount}`, false);
		}
	}

	private next(): number {
		this.sequence += 1;
		return this.sequence;
	}

	private send(id: string, key: string, idempotent: boolean): void {
		const daemons = this.deployment.daemons.filter(daemon => this.deployment.isRunning(daemon) && !this.lostDaemons.has(daemon));
		const daemon = daemons.length === 0 ? undefined : daemons[uniformInt(this.random, 0, daemons.length - 1)];
		if (daemon === undefined) {
			return;
		}

		const call: CallRecord = {
			id, key, idempotent, daemon, sentAt: performance.now(), answeredAt: undefined, outcome: undefined, isDaemonLost: false,
		};
		this.history.calls.push(call);
		this.reach(Step.RequestAccepted);
		const run = async () => {
			const dispatched = this.deployment.cores.get(daemon)!.dispatcher.dispatch(this.request(id, key, idempotent));
			this.reach(Step.RequestQueued);
			const outcome = await dispatched;
			this.deployment.network.whenRunning(daemon, () => {
				call.outcome = outcome.kind;
				call.answeredAt = performance.now();
				if (!idempotent && outcome.kind !== OutcomeKind.Answered) {
					this.repeat(id, key);
				}
			});
		};

		void run();
	}

	/** The caller of an instruction tries again with the same id, through any daemon. */
	private repeat(id: string, key: string): void {
		const tries = this.history.calls.filter(call => call.id === id).length;
		if (tries < 3) {
			setTimeout(() => {
				this.send(id, key, false);
			}, 150);
		}
	}

	private request(id: string, key: string, idempotent: boolean): RoutedRequest {
		const now = performance.now();
		const workMs = this.sequence % 13 === 0 ? 120 : 2;
		return {
			service: this.service,
			requestClass: this.service.classes.find(candidate => candidate.idempotent === idempotent)!,
			key,
			instructionId: idempotent ? undefined : id,
			method: idempotent ? 'GET' : 'POST',
			path: `/registry/${key}`,
			headers: [requestIdHeader, id, workHeader, String(workMs)],
			body: undefined,
			isForwarded: false,
			receivedAt: now,
			deadlineAt: now + deadlineMs,
			cancellation: new Cancellation(),
			responder: {
				start: () => new Writable(),
				abort: () => undefined,
			},
		};
	}

	private sample(): void {
		const stored = this.deployment.memory.read(storeKeys.assignment(serviceName));
		if (stored) {
			const {version} = JSON.parse(stored.value) as {version: number};
			this.history.versions.push({
				at: performance.now(), daemon: 'store', document: serviceName, version,
			});
		}

		for (const [daemon, core] of this.deployment.cores) {
			if (!core.isReady() || !this.deployment.isRunning(daemon)) {
				continue;
			}

			const at = performance.now();
			const known = core.replica.known();
			this.history.versions.push(
				{
					at, daemon, document: 'configuration', version: known.configuration,
				},
				{
					at, daemon, document: serviceName, version: known.assignments[serviceName] ?? 0,
				},
			);
		}
	}

	private result(): ScenarioResult {
		const executions = [...this.deployment.models.values()].flatMap(model => model.executions);
		const endedAt = performance.now();
		const stored = this.deployment.memory.read('eelgrasswheel/documents/configuration');
		const violations = checkHistory(this.history, {
			executions,
			endedAt,
			deadlineMs,
			storedVersion: stored ? (JSON.parse(stored.value) as {version: number}).version : 0,
			soundDaemons: this.deployment.daemons.filter(daemon => !this.lostDaemons.has(daemon)),
			expectsService: this.options.checks,
		});
		const gaps = Object.values(groupBy(this.history.calls, call => call.key)).map(calls => longestGap(calls, endedAt));
		return {
			violations,
			reached: this.reached,
			calls: this.history.calls.length,
			executions: executions.length,
			longestGapMs: Math.max(...gaps),
		};
	}
}
