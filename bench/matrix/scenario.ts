/**
 * Runs one scenario: a deployment under load on a paused clock, with faults that begin when given steps are reached.
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

/** A fault and the step at which it begins. */
export type Cell = {
	fault: Fault;
	step: Step;
};

/** Parameters of a scenario. */
export type ScenarioOptions = {
	seed: number;
	cells: Cell[];
	/** False for servers that check neither epochs nor start-by deadlines. */
	hasFencing: boolean;
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
const faultDurationMs = 1300;

/** Times of the scheduled events in milliseconds after the load begins. */
const schedule = {
	join: 300, resign: 1100, drain: 2600, shutdown: 3800, end: 8500,
} as const;

const stepsByLogEvent: Partial<Record<LogEvent, Step>> = {
	[LogEvent.PlanCreated]: Step.Planned,
	[LogEvent.PlanConfirmed]: Step.Committed,
	[LogEvent.MovesRecorded]: Step.MoveRecorded,
	[LogEvent.MovesPaused]: Step.MovePaused,
	[LogEvent.OwnersWritten]: Step.OwnerWritten,
	[LogEvent.MovesReleased]: Step.Released,
	[LogEvent.LeadershipLost]: Step.LeaderSteppingDown,
	[LogEvent.LeadershipTaken]: Step.LeaderAcquiring,
};

function registryService(hasFencing: boolean): Service {
	return configurationBodySchema.parse({
		services: [{
			name: serviceName,
			customer: 'customer',
			pathPrefix: '/registry',
			divided: true,
			shardCount: 8,
			key: {source: KeySource.Path, name: '1'},
			fencing: hasFencing ? Fencing.Epoch : Fencing.None,
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

/** Runs a scenario on a paused clock, which replaces the timers of the whole process until the scenario ends. */
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
	private readonly pendingCells: Cell[];
	private readonly reachedCells: Cell[] = [];
	private readonly stoppedDaemons = new Set<string>();
	private areFaultsEnabled = false;
	private sequence = 0;
	private readonly random: ReturnType<typeof xoroshiro128plus>;

	constructor(private readonly options: ScenarioOptions, private readonly clock: ReturnType<typeof FakeTimers.install>) {
		this.random = xoroshiro128plus(options.seed);
		this.pendingCells = [...options.cells];
		this.service = registryService(options.hasFencing);
		this.deployment = new FakeDeployment({
			daemons: options.daemons ?? 5,
			servers: 4,
			hasFencing: options.hasFencing,
			seed: options.seed,
			observer: {
				onLog: (daemon, event, fields) => {
					this.options.onLog?.(Math.round(performance.now()), daemon, event, fields);
					const step = stepsByLogEvent[event];
					if (step) {
						this.onStepReached(step);
					}
				},
				onPublish: () => {
					this.onStepReached(Step.Distributed);
				},
				onOrder: (_server, {grants, revocations}) => {
					if (revocations.length > 0) {
						this.onStepReached(Step.Revoked);
					}

					if (grants.length > 0) {
						this.onStepReached(Step.Granted);
					}
				},
				onDrained: () => {
					this.onStepReached(Step.Drained);
				},
				onSend: () => {
					this.onStepReached(Step.RequestSent);
				},
				onExecute: () => {
					this.onStepReached(Step.RequestExecuting);
				},
			},
		});
		this.deployment.memoryStore.onWrite = keys => {
			if (keys.some(key => key.includes('/claims/'))) {
				this.onStepReached(Step.RequestClaimed);
			}
		};
	}

	async run(): Promise<ScenarioResult> {
		await this.clock.tickAsync(300);
		this.submitAndConfirm({id: 'first', kind: IntentKind.Configure, configuration: this.configurationBody(3)});
		await this.clock.tickAsync(1500);
		this.areFaultsEnabled = true;
		await this.runSchedule();
		this.deployment.close();
		return this.collectResult();
	}

	private async runSchedule(): Promise<void> {
		const actions: Array<[number, () => void]> = [
			[schedule.join, () => {
				this.submitAndConfirm({id: 'join', kind: IntentKind.Configure, configuration: this.configurationBody(4)});
			}],
			[schedule.resign - 50, () => {
				this.onStepReached(Step.LeaderRenewing);
			}],
			[schedule.resign, () => {
				this.resignLeader();
			}],
			[schedule.drain, () => {
				this.submitAndConfirm({id: 'drain', kind: IntentKind.Drain, server: 'server-2'});
			}],
			[schedule.shutdown, () => {
				void this.shutdownDaemon();
			}],
		];
		const tickMs = 5;
		for (let at = 0; at < schedule.end; at += tickMs) {
			while ((actions[0]?.[0] ?? Infinity) <= at) {
				actions.shift()![1]();
			}

			this.sendDueRequests(at);
			this.recordVersions();
			// eslint-disable-next-line no-await-in-loop -- the paused clock advances in steps.
			await this.clock.tickAsync(tickMs);
		}
	}

	/** Begins the fault of a pending cell if the given step is the one it waits for. */
	private onStepReached(step: Step): void {
		const index = this.areFaultsEnabled ? this.pendingCells.findIndex(cell => cell.step === step) : -1;
		if (index === -1) {
			return;
		}

		const [cell] = this.pendingCells.splice(index, 1);
		this.reachedCells.push(cell);
		this.history.faultAt ??= performance.now();
		const leader = this.currentLeader();
		const endFault = faultActions[cell.fault]({
			deployment: this.deployment,
			victims: {leader, daemon: this.deployment.daemons.find(daemon => daemon !== leader)!, server: 'server-1'},
			markServerDisrupted: server => {
				this.history.disruptedServers.add(server);
			},
			markDaemonStopped: daemon => {
				this.stoppedDaemons.add(daemon);
				for (const call of this.history.calls) {
					call.isDaemonStopped ||= call.daemon === daemon && call.outcome === undefined;
				}
			},
			submitCompetingIntent: () => {
				this.submitAndConfirm({id: `compete-${this.sequence}`, kind: IntentKind.Drain, server: 'server-3'});
			},
		});
		setTimeout(endFault, faultDurationMs);
	}

	private currentLeader(): string {
		for (const core of this.deployment.cores.values()) {
			const leader = core.replica.assignment(serviceName)?.value.leader;
			if (leader !== undefined && leader !== '') {
				return leader;
			}
		}

		return this.deployment.daemons[0];
	}

	private resignLeader(): void {
		const leader = this.currentLeader();
		this.deployment.network.whenRunning(leader, () => {
			void this.deployment.cores.get(leader)!.resign();
		});
	}

	/** Shuts a daemon down in the order of the real shutdown; callers send new requests to the other daemons. */
	private async shutdownDaemon(): Promise<void> {
		const daemon = this.deployment.daemons.at(-1)!;
		const core = this.deployment.cores.get(daemon)!;
		if (!this.deployment.isRunning(daemon)) {
			return;
		}

		this.stoppedDaemons.add(daemon);
		this.onStepReached(Step.ShutdownReadiness);
		this.onStepReached(Step.ShutdownLeadership);
		await core.resign();
		this.onStepReached(Step.ShutdownListener);
		core.dispatcher.beginShutdown();
		this.onStepReached(Step.ShutdownInFlight);
		while (core.dispatcher.load > 0) {
			// eslint-disable-next-line no-await-in-loop -- polling.
			await new Promise(resolve => {
				setTimeout(resolve, 20);
			});
		}

		this.deployment.stopDaemon(daemon, ProcessState.Silent);
	}

	/** Submits an intent as the operator and confirms its plan as the veto holder, retrying until both calls are acknowledged. */
	private submitAndConfirm(intent: Intent): void {
		const attempt = async (retriesLeft: number) => {
			const daemon = this.deployment.daemons.find(candidate => this.deployment.isRunning(candidate) && !this.stoppedDaemons.has(candidate));
			try {
				const plans = this.deployment.cores.get(daemon!)!.planManager;
				this.onStepReached(Step.Submitted);
				const submitted = await plans.submit(intent, fakeCredentials.operator);
				const plan = submitted.state === PlanState.Confirmed ? submitted : await plans.confirm(intent.id, fakeCredentials.veto);
				if (plan.state === PlanState.Confirmed) {
					this.recordConfirmation(intent, plan.baseConfigurationVersion + 1);
				}

				this.onStepReached(Step.Confirmed);
			} catch {
				if (retriesLeft > 0) {
					setTimeout(() => {
						void attempt(retriesLeft - 1);
					}, 250);
				}
			}
		};

		void attempt(12);
	}

	private recordConfirmation(intent: Intent, configurationVersion: number): void {
		this.history.confirmedIntents.push({intent: intent.id, at: performance.now(), configurationVersion});
		if (intent.kind === IntentKind.Drain) {
			this.history.leavingSince.set(intent.server, performance.now());
		}

		// A new configuration replaces the list of leaving servers, including those of earlier drains.
		if (intent.kind === IntentKind.Configure) {
			this.history.leavingSince.clear();
		}
	}

	private configurationBody(servers: number): ConfigurationBody {
		return configurationBodySchema.parse({
			services: [this.service],
			servers: Array.from({length: servers}, (_, index) => ({
				id: `server-${index + 1}`, service: serviceName, address: `127.0.0.1:${index + 1}`, zone: 'zone-1', connections: 110,
			})),
		});
	}

	private sendDueRequests(at: number): void {
		if (at % 25 === 0) {
			for (let key = 0; key < keyCount; key++) {
				this.send(`read-${this.nextSequence()}`, `key-${key}`, true);
			}
		}

		if (at % 50 === 0) {
			this.send(`instruction-${this.nextSequence()}`, `key-${(at / 50) % keyCount}`, false);
		}
	}

	private nextSequence(): number {
		this.sequence += 1;
		return this.sequence;
	}

	private send(id: string, key: string, idempotent: boolean): void {
		const daemons = this.deployment.daemons.filter(daemon => this.deployment.isRunning(daemon) && !this.stoppedDaemons.has(daemon));
		const daemon = daemons.length === 0 ? undefined : daemons[uniformInt(this.random, 0, daemons.length - 1)];
		if (daemon === undefined) {
			return;
		}

		const call: CallRecord = {
			id, key, idempotent, daemon, sentAt: performance.now(), answeredAt: undefined, outcome: undefined, isDaemonStopped: false,
		};
		this.history.calls.push(call);
		this.onStepReached(Step.RequestAccepted);
		const dispatch = async () => {
			const dispatched = this.deployment.cores.get(daemon)!.dispatcher.dispatch(this.request(id, key, idempotent));
			this.onStepReached(Step.RequestQueued);
			const outcome = await dispatched;
			this.deployment.network.whenRunning(daemon, () => {
				call.outcome = outcome.kind;
				call.answeredAt = performance.now();
				if (!idempotent && outcome.kind !== OutcomeKind.Answered) {
					this.retryInstruction(id, key);
				}
			});
		};

		void dispatch();
	}

	/** Retries an instruction with the same id, through any daemon. */
	private retryInstruction(id: string, key: string): void {
		const attempts = this.history.calls.filter(call => call.id === id).length;
		if (attempts < 3) {
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

	private recordVersions(): void {
		const stored = this.deployment.memoryStore.read(storeKeys.assignment(serviceName));
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
			const known = core.replica.knownVersions();
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

	private collectResult(): ScenarioResult {
		const executions = [...this.deployment.models.values()].flatMap(model => model.executions);
		const endedAt = performance.now();
		const stored = this.deployment.memoryStore.read('eelgrasswheel/documents/configuration');
		const violations = checkHistory(this.history, {
			executions,
			endedAt,
			deadlineMs,
			storedVersion: stored ? (JSON.parse(stored.value) as {version: number}).version : 0,
			survivingDaemons: this.deployment.daemons.filter(daemon => !this.stoppedDaemons.has(daemon)),
			boundsUnavailability: this.options.hasFencing,
		});
		const gaps = Object.values(groupBy(this.history.calls, call => call.key)).map(calls => longestGap(calls, endedAt));
		return {
			violations,
			reached: this.reachedCells,
			calls: this.history.calls.length,
			executions: executions.length,
			longestGapMs: Math.max(...gaps),
		};
	}
}
