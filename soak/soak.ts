/**
 * One soak: starts a deployment, plays the schedule of a seed, and checks the promises while it runs.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {daemonIp} from './addresses.js';
import {Caller, CallerConnection, CallerKind} from './caller.js';
import {SoakDeployment} from './deployment.js';
import {createFault} from './faults.js';
import {RequestChecks, type CheckCounts} from './request-checks.js';
import {
	FaultKind, isLinkFault, Subject, type Step,
} from './schedule.js';
import {
	Rule, Trace, type RequestRecord, type Violation,
} from './trace.js';
import {keyCount, RouteName} from './traffic.js';

/** Time after a request's end in which it may still run, in milliseconds; longer than the longest delay of links. Late orders run no requests. */
const settleMs = 5000;

const checkIntervalMs = 500;

/** Time until the keys of a lost target are served again if the leader was lost with it, in milliseconds; from docs/platform.md. */
const recoveryLimitMs = 13_700;

/** Keys that are asked for at each daemon after the last fault. */
const sampledKeyCount = 64;

const samplePauseMs = 100;
const sampleBudgetMs = 1000;

/** Time with traffic before the first step, in milliseconds. */
const warmUpMs = 3000;

/** Steps near a violation that are printed, in milliseconds before and after it. */
const nearbyMs = 6000;

/** Time between SIGTERM and SIGKILL in milliseconds, as in the settings. */
const graceMs = 6000;

/** Interval at which stalls of this process are looked for, in milliseconds. */
const stallCheckMs = 50;

/** Longest lateness of a timer that is no stall, in milliseconds; daemons give up grants after 300 ms. */
const stallLimitMs = 200;

/** Longest time for which stalls can put off the end of the recovery, in milliseconds. */
const recoveryEndMs = 60_000;

const callersByKind: Array<[CallerKind, number]> = [[CallerKind.KeepAlive, 6], [CallerKind.Pipelining, 2], [CallerKind.SlowReader, 1], [CallerKind.OneShot, 2]];
const nanosecondsPerMs = 1e6;
const callerSeedStep = 100_000;

export type SoakOptions = {
	seed: number;
	daemonCount: number;
	targetCount: number;
	network: string;
	/** Folder for the logs of the processes if there are violations. */
	logFolder: string | undefined;
	isStrict: boolean;
	hasEra: boolean;
	steps: Step[];
};

export type SoakResult = {
	playedByKind: Map<FaultKind, number>;
	counts: CheckCounts;
	excuses: Map<string, number>;
	grantCount: number;
	lateGrantCount: number;
	/** Overlaps of holders that only the lateness of orders excuses. */
	excusedOverlaps: string[];
	violations: Violation[];
	/** Time from the end of the last fault until all sampled keys were served at all daemons. */
	recoveryMs: number;
	killedAfterGraceCount: number;
	endedBeforeLoadCount: number;
	/** Longest time for which this process did not serve its sockets. */
	longestStallMs: number;
};

/** Runs one seed. */
export class Soak {
	private readonly trace = new Trace();
	private readonly violations: Violation[] = [];
	private readonly deployment: SoakDeployment;
	private readonly checks = new RequestChecks(this.trace, graceMs);
	private readonly checkedIds = new Set<string>();
	private readonly playedByKind = new Map<FaultKind, number>();
	private startedAt = 0;
	/** End of the last stall, in which neither the store nor any target answered. */
	private stalledAt = 0;

	constructor(private readonly options: SoakOptions, private readonly onViolation: (report: string) => void) {
		this.deployment = new SoakDeployment(options, this.trace, violation => {
			this.report(violation);
		});
	}

	async run(): Promise<SoakResult> {
		const stalls = monitorEventLoopDelay();
		stalls.enable();
		try {
			await this.deployment.start();
			await this.waitUntilServed(() => Infinity);
			this.detectStalls();
			const callers = this.createCallers();
			const running = callers.map(async caller => caller.run());
			const checking = setInterval(() => {
				this.check(performance.now() - settleMs);
			}, checkIntervalMs);
			await delay(warmUpMs);
			this.startedAt = performance.now();
			await Promise.all(this.options.steps.map(async step => this.play(step)));
			const recoveryMs = await this.checkRecovery();
			for (const caller of callers) {
				caller.stop();
			}

			await Promise.all(running);
			await delay(settleMs);
			clearInterval(checking);
			this.check(Infinity);
			this.checkUnasked();
			return this.result(recoveryMs, stalls.max / nanosecondsPerMs);
		} finally {
			await this.deployment.stop();
			this.writeLogs();
		}
	}

	/** Ends everything that was started. */
	async abort(): Promise<void> {
		await this.deployment.stop();
	}

	private async play(step: Step): Promise<void> {
		await delay(step.atMs);
		if (await createFault({deployment: this.deployment, trace: this.trace, step}).play()) {
			this.playedByKind.set(step.kind, (this.playedByKind.get(step.kind) ?? 0) + 1);
		}
	}

	private createCallers(): Caller[] {
		const {seed} = this.options;
		return this.deployment.daemons.flatMap(({index}) => callersByKind.flatMap(([kind, count]) => Array.from({length: count}, (_, number) => {
			const name = `${seed}-${index}-${kind.replaceAll(' ', '-')}-${number}`;
			return new Caller({
				daemon: index,
				ip: daemonIp(this.options.network, index),
				kind,
				name,
				seed: (seed * callerSeedStep) + (number * 20) + (index * 400) + Object.values(CallerKind).indexOf(kind),
				trace: this.trace,
				isInRotation: () => this.deployment.isInRotation(index),
			});
		})));
	}

	/** Checks requests that ended before a time, and holds. */
	private check(until: number): void {
		for (const [id, request] of this.trace.requests) {
			if (!this.checkedIds.has(id) && request.end !== undefined && request.endedAt <= until) {
				this.checkedIds.add(id);
				for (const violation of this.checks.check(request)) {
					this.report(violation);
				}
			}
		}

		this.deployment.ledger.check(Math.min(until, performance.now()));
	}

	private checkUnasked(): void {
		for (const violation of this.checks.checkUnasked()) {
			this.report(violation);
		}
	}

	private async checkRecovery(): Promise<number> {
		// The limit counts from the time at which the machines are back.
		await Promise.all(this.deployment.daemons.map(async ({process}) => process?.waitUntilReady()));
		const lastFaultAt = performance.now();
		// Stalls of this process take the store and all targets away, so that the limit counts from the last one.
		const unserved = await this.waitUntilServed(() => Math.min(Math.max(lastFaultAt, this.stalledAt) + recoveryLimitMs, lastFaultAt + recoveryEndMs));
		if (unserved.length > 0) {
			const answers = unserved.map(({daemon, status, end}) => `daemon ${daemon} ${status ?? end}`).join(', ');
			this.report({
				rule: Rule.Recover, at: performance.now(), requestId: unserved[0]?.id, detail: `keys are not served ${recoveryLimitMs} ms after the last fault: ${answers}`,
			});
		}

		return performance.now() - lastFaultAt;
	}

	private detectStalls(): void {
		let expectedAt = performance.now() + stallCheckMs;
		setInterval(() => {
			const now = performance.now();
			this.stalledAt = now - expectedAt > stallLimitMs ? now : this.stalledAt;
			expectedAt = now + stallCheckMs;
		}, stallCheckMs).unref();
	}

	/** Asks every daemon for keys until each has been served there once or the limit is over; returns the last failures. */
	private async waitUntilServed(endsAt: () => number): Promise<RequestRecord[]> {
		const results = await Promise.all(this.deployment.daemons.map(async ({index}) => this.askForKeys(index, endsAt)));
		return results.filter(record => record !== undefined);
	}

	/** Returns the last failure if a key was not served in time. */
	private async askForKeys(daemon: number, endsAt: () => number): Promise<RequestRecord | undefined> {
		let connection: CallerConnection | undefined;
		let attempt = 0;
		for (let sample = 0; sample < sampledKeyCount;) {
			connection = connection?.isUsable ? connection : new CallerConnection(daemonIp(this.options.network, daemon), this.trace);
			attempt += 1;
			// eslint-disable-next-line no-await-in-loop -- one after another on a connection.
			const record = await connection.send({
				id: `${this.options.seed}-${this.startedAt > 0 ? 'recovery' : 'start'}-${daemon}-${attempt}`, daemon, route: RouteName.Lookup, budgetMs: sampleBudgetMs,
			}, Math.floor(sample * keyCount / sampledKeyCount), `/${RouteName.Lookup}/0/10/${attempt}`);
			if (record.status === 200) {
				sample += 1;
			} else if (performance.now() > endsAt()) {
				return record;
			} else {
				// eslint-disable-next-line no-await-in-loop -- polling.
				await delay(samplePauseMs);
			}
		}

		connection?.close();
		return undefined;
	}

	private result(recoveryMs: number, longestStallMs: number): SoakResult {
		const {playedByKind, violations, deployment: {ledger}} = this;
		return {
			playedByKind,
			counts: this.checks.counts,
			excuses: this.checks.excuses,
			grantCount: ledger.grantCount,
			lateGrantCount: ledger.lateGrantCount,
			excusedOverlaps: ledger.excusedOverlaps,
			violations,
			recoveryMs,
			killedAfterGraceCount: this.deployment.daemons.reduce((sum, daemon) => sum + daemon.killedAfterGraceCount, 0),
			endedBeforeLoadCount: this.deployment.daemons.reduce((sum, daemon) => sum + daemon.endedBeforeLoadCount, 0),
			longestStallMs,
		};
	}

	private report(violation: Violation): void {
		this.violations.push(violation);
		this.onViolation(describeViolation(violation, this.options.steps, {seed: this.options.seed, startedAt: this.startedAt}));
	}

	/** Keeps the logs of a soak with violations. */
	private writeLogs(): void {
		const {logFolder, seed} = this.options;
		if (logFolder === undefined || this.violations.length === 0) {
			return;
		}

		const folder = path.join(logFolder, `seed-${seed}`);
		mkdirSync(folder, {recursive: true});
		writeFileSync(path.join(folder, 'violations.txt'), this.violations.map(violation => describeViolation(violation, this.options.steps, {seed, startedAt: this.startedAt})).join('\n'));
		for (const {index, processes} of this.deployment.daemons) {
			for (const [number, {lines, otherOutput}] of processes.entries()) {
				const texts = lines.map(({time, fields}) => JSON.stringify({atMs: Math.round(time - performance.timeOrigin - this.startedAt), ...fields}));
				writeFileSync(path.join(folder, `daemon-${index}.${number}.log`), [...texts, ...otherOutput].join('\n'));
			}
		}
	}
}

export function describeStep({
	atMs, durationMs, kind, daemon, target, amount, signals, earlySignals,
}: Step): string {
	const describeSignals = (list: Step['signals']): string => list.map(({afterMs, signal}) => `${signal} +${afterMs}`).join(', ');
	const end = kind === FaultKind.Stop ? `, then ${describeSignals(signals) || 'no signals'}; after the restart ${describeSignals(earlySignals) || 'none'}` : '';
	return `${atMs} ms ${kind}: daemon ${daemon}, target ${target ?? (isLinkFault(kind) ? 'store' : Subject.All)}, ${durationMs} ms, amount ${amount}${end}`;
}

/** The violation with the steps near it. */
export function describeViolation({rule, at, requestId, detail}: Violation, steps: Step[], {seed, startedAt}: {seed: number; startedAt: number}): string {
	const atMs = Math.round(at - startedAt);
	const nearby = steps.filter(step => step.atMs <= atMs && step.atMs + step.durationMs + nearbyMs >= atMs);
	return [`${rule} seed ${seed} at ${atMs} ms${requestId === undefined ? '' : `, request ${requestId}`}: ${detail}`, ...nearby.map(step => `    ${describeStep(step)}`)].join('\n');
}
