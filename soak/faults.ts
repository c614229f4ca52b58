/**
 * Faults of a soak: what each kind of step does.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {wireKeys} from '../src/platform/wire.js';
import type {PlatformSettings} from '../src/platform/settings.js';
import {LinkState} from '../standins/delaying-proxy.js';
import {HoldStart, LateOrders} from '../standins/late-orders.js';
import {StoreFault} from '../standins/memory-coordination-store.js';
import {disturbDaemon, type DaemonSlot} from './daemon-slot.js';
import {
	putDraining, putReady, type SoakDeployment, type TargetSlot,
} from './deployment.js';
import type {Harm} from './link.js';
import {
	Deafness, FaultKind, Subject, type Step,
} from './schedule.js';
import type {Trouble} from './soak-target.js';
import {Part, type Trace} from './trace.js';
import {oddEntryText, oddResources} from './traffic.js';

/** Shortest time for which a target serves after its leaving was acknowledged, in milliseconds; `drainMs` of the settings and a little more. */
const drainServiceMs = 2300;

/** Time until the operator and the targets write their entries after a restore, in milliseconds; a heartbeat is 1 s. */
const rewriteDelayMs = 500;

/** Interval at which the delay of a link changes, in milliseconds. */
const jitterIntervalMs = 150;

/** Part of a delay that always remains, while jitter takes the rest away at times. */
const steadyDelayShare = 0.7;

/** Harms of the faults that stop bytes. */
const harms: ReadonlyMap<FaultKind, Harm> = new Map([
	[FaultKind.LinkSilence, {out: LinkState.Silent, in: LinkState.Silent}],
	[FaultKind.LinkCutOut, {out: LinkState.Cut}],
	[FaultKind.LinkCutIn, {in: LinkState.Cut}],
]);

type TroubleOf = (step: Step, target: number) => Trouble;

const lateOrdersOf: TroubleOf = ({kind, atMs, lateOrders}, target) => (
	{
		lateOrders: new LateOrders({
			...lateOrders, holdStart: kind === FaultKind.OrdersHeldUp ? HoldStart.Execution : HoldStart.Arrival, areProbesLate: false, seed: atMs + target,
		}),
	}
);

const troubles: ReadonlyMap<FaultKind, TroubleOf> = new Map<FaultKind, TroubleOf>([
	[FaultKind.TargetSlow, ({amount}) => ({slowness: amount})],
	[FaultKind.RunsRefused, ({amount}) => ({refusedShare: amount / 100})],
	[FaultKind.AnswersLost, () => ({losesAnswers: true})],
	[FaultKind.OrdersLate, lateOrdersOf],
	[FaultKind.OrdersHeldUp, lateOrdersOf],
	[FaultKind.TargetDeaf, ({amount}) => ({isDeaf: true, ignoresProbes: amount >= Number(Deafness.Probes)})],
]);

const storeFaults: ReadonlyMap<FaultKind, StoreFault> = new Map([
	[FaultKind.StoreDown, StoreFault.Down],
	[FaultKind.StoreLosesAnswers, StoreFault.LosesReplies],
	[FaultKind.StoreWritesLate, StoreFault.DelaysWrites],
]);

/** What a fault acts on. */
export type FaultContext = {deployment: SoakDeployment; trace: Trace; step: Step};

/** A fault; `play` resolves when it is over, and returns false if its subject was not there to be disturbed. */
export type Fault = {
	play(): Promise<boolean>;
};

/** Common parts of the faults of daemons. */
abstract class DaemonFault implements Fault {
	constructor(protected readonly context: FaultContext) {}

	async play(): Promise<boolean> {
		const {deployment, step: {daemon}} = this.context;
		const slot = deployment.daemons[typeof daemon === 'number' ? daemon : deployment.leaderIndex()];
		return slot.hasProcess && this.disturb(slot);
	}

	protected abstract disturb(slot: DaemonSlot): Promise<boolean>;
}

class StopFault extends DaemonFault {
	protected override async disturb(slot: DaemonSlot): Promise<boolean> {
		const {step: {signals, earlySignals, durationMs}} = this.context;
		const isOwner = slot.claim();
		await slot.stop(signals);
		if (!isOwner) {
			// The signals were further ones in the series of another fault.
			return true;
		}

		await delay(durationMs);
		const [first, ...others] = earlySignals;
		if (first) {
			slot.start();
			await delay(first.afterMs);
			await slot.stop(others);
		}

		slot.release();
		return true;
	}
}

class KillFault extends DaemonFault {
	protected override async disturb(slot: DaemonSlot): Promise<boolean> {
		if (!slot.claim()) {
			return false;
		}

		const end = disturbDaemon(this.context.trace, slot.index, FaultKind.Kill);
		await slot.kill();
		await delay(this.context.step.durationMs);
		slot.release();
		await slot.process?.waitUntilReady();
		end();
		return true;
	}
}

class FreezeFault extends DaemonFault {
	protected override async disturb(slot: DaemonSlot): Promise<boolean> {
		const end = disturbDaemon(this.context.trace, slot.index, FaultKind.Freeze, true);
		const thaw = slot.freeze();
		await delay(this.context.step.durationMs);
		end();
		thaw();
		return true;
	}
}

/** Writes a settings file, sends SIGHUP, and writes the file back without a signal. */
class SettingsFault extends DaemonFault {
	protected override async disturb(slot: DaemonSlot): Promise<boolean> {
		const {step: {kind, durationMs}} = this.context;
		const {process} = slot;
		if (process?.lines.length === 0) {
			// A file that is malformed at the start ends the process, as documented.
			return false;
		}

		const changed = kind === FaultKind.SettingsBreak ? {...slot.settings, cores: 'one'} as unknown as PlatformSettings : {...slot.settings, drainMs: slot.settings.drainMs + 1};
		process?.writeSettings(changed);
		process?.signal('SIGHUP');
		await delay(durationMs);
		if (!process?.hasExited) {
			process?.writeSettings(slot.settings);
		}

		return true;
	}
}

/** Harms links for some time. */
class LinkFault implements Fault {
	constructor(private readonly context: FaultContext) {}

	async play(): Promise<boolean> {
		const {deployment, trace, step: {daemon, target, kind, durationMs, amount}} = this.context;
		const index = daemon === Subject.Leader ? deployment.leaderIndex() : (daemon === Subject.All ? undefined : daemon);
		const links = deployment.linksOf(index, target);
		const isHealing = kind !== FaultKind.LinkDelay;
		const end = trace.disturb(target === undefined ? Part.Store : Part.Link, {
			daemon: index, target, isHealing, detail: kind,
		});
		if (kind === FaultKind.LinkReset) {
			for (const {proxy} of links) {
				proxy.resetCallers();
			}

			end();
			return true;
		}

		const harm = harmOf(kind, amount);
		for (const link of links) {
			link.add(harm);
		}

		await this.hold(harm, durationMs);
		end();
		for (const link of links) {
			link.remove(harm);
			if (kind === FaultKind.LinkCutOut || kind === FaultKind.LinkCutIn) {
				// A connection that lost bytes cannot go on.
				link.proxy.resetCallers();
			}
		}

		return true;
	}

	/** Waits for the duration, while the delay changes. */
	private async hold(harm: Harm, durationMs: number): Promise<void> {
		const {deployment, step: {daemon, target, amount}} = this.context;
		const endsAt = performance.now() + durationMs;
		for (let round = 0; performance.now() < endsAt; round += 1) {
			// eslint-disable-next-line no-await-in-loop -- one change after another.
			await delay(Math.max(0, Math.min(jitterIntervalMs, endsAt - performance.now())));
			if (harm.delayMs !== undefined) {
				harm.delayMs = Math.round(amount * (round % 2 === 0 ? steadyDelayShare : 1));
				for (const link of deployment.linksOf(typeof daemon === 'number' ? daemon : undefined, target)) {
					link.apply();
				}
			}
		}
	}
}

function harmOf(kind: FaultKind, amount: number): Harm {
	return {...harms.get(kind) ?? {delayMs: amount}};
}

/** Common parts of the faults of targets. */
abstract class TargetFault implements Fault {
	constructor(protected readonly context: FaultContext) {}

	async play(): Promise<boolean> {
		const {deployment, step: {target}} = this.context;
		const slots = deployment.targets.filter(({index, isUp}) => isUp && index === (target ?? index));
		await Promise.all(slots.map(async slot => this.playAt(slot)));
		return slots.length > 0;
	}

	protected get isPlanned(): boolean {
		return false;
	}

	protected abstract disturb(slot: TargetSlot): Promise<void>;

	/** Lasts until the last late order was carried out; the target counts as disturbed only while orders are sent. */
	private async playAt(slot: TargetSlot): Promise<void> {
		const {life, index} = slot;
		const end = this.isPlanned ? () => undefined : this.context.trace.disturb(Part.Target, {target: index, detail: this.context.step.kind});
		await this.disturb(slot);
		end();
		await delay(Math.max(0, life.ordersUntil - performance.now()));
	}
}

class TargetCrashFault extends TargetFault {
	protected override async disturb(slot: TargetSlot): Promise<void> {
		const {deployment, step: {kind, durationMs}} = this.context;
		deployment.endTarget(slot);
		await delay(kind === FaultKind.TargetRestart ? 0 : durationMs);
		await deployment.startTarget(slot);
	}
}

/** Announces the end, serves on, and ends; starts again later. */
class TargetDrainFault extends TargetFault {
	protected override get isPlanned(): boolean {
		return true;
	}

	protected override async disturb(slot: TargetSlot): Promise<void> {
		const {deployment, trace, step: {durationMs, amount}} = this.context;
		slot.isUp = false;
		putDraining(slot);
		await delay(drainServiceMs + amount);
		const end = trace.disturb(Part.Target, {target: slot.index, detail: 'target ends'});
		slot.life.removeEntry();
		deployment.endTarget(slot);
		await delay(durationMs);
		await deployment.startTarget(slot);
		end();
	}
}

class TargetTroubleFault extends TargetFault {
	protected override async disturb(slot: TargetSlot): Promise<void> {
		const {step: {kind, durationMs, amount}} = this.context;
		const {life} = slot;
		const trouble = troubles.get(kind)?.(this.context.step, slot.index) ?? {};
		const isSilent = kind === FaultKind.TargetDeaf && amount >= Number(Deafness.Heartbeats);
		life.troubles.add(trouble);
		if (isSilent) {
			slot.silentSince ??= performance.now();
		}

		await delay(durationMs);
		life.troubles.delete(trouble);
		if (isSilent && slot.isUp && slot.life === life) {
			slot.silentSince = undefined;
			putReady(slot);
		}
	}
}

class StoreTroubleFault implements Fault {
	constructor(private readonly context: FaultContext) {}

	async play(): Promise<boolean> {
		const {deployment, trace, step: {kind, durationMs, amount}} = this.context;
		if (kind === FaultKind.StoreCompaction) {
			deployment.store.compact();
			return true;
		}

		const end = trace.disturb(Part.Store, {detail: kind});
		const fault = storeFaults.get(kind);
		const harm: Harm = kind === FaultKind.StoreSlow ? {delayMs: amount} : {};
		const links = deployment.linksOf(undefined, undefined);
		for (const link of links) {
			link.add(harm);
		}

		deployment.store.fault = fault ?? deployment.store.fault;
		deployment.store.lateWriteDelayMs = amount;
		await delay(durationMs);
		for (const link of links) {
			link.remove(harm);
		}

		deployment.store.fault = fault === undefined ? deployment.store.fault : StoreFault.None;
		end();
		await delay(kind === FaultKind.StoreWritesLate ? amount : 0);
		return true;
	}
}

/** Restores the store from a copy of the start of the step; the operator and the targets write their entries again soon after. */
class StoreRestoredFault implements Fault {
	constructor(private readonly context: FaultContext) {}

	async play(): Promise<boolean> {
		const {deployment, trace, step: {kind, durationMs}} = this.context;
		const copy = deployment.store.takeCopy();
		await delay(durationMs);
		const end = trace.disturb(Part.Store, {detail: kind});
		deployment.store.restore(copy);
		await delay(rewriteDelayMs);
		deployment.writeAgain();
		end();
		return true;
	}
}

class LeasesRevokedFault implements Fault {
	constructor(private readonly context: FaultContext) {}

	async play(): Promise<boolean> {
		const {deployment, trace, step: {kind, durationMs, amount}} = this.context;
		const daemon = deployment.leaderIndex();
		deployment.store.removeLeasedKeys();
		if (amount === 0) {
			return true;
		}

		const [link] = deployment.linksOf(daemon, undefined);
		const harm: Harm = {out: LinkState.Silent, in: LinkState.Silent};
		const end = trace.disturb(Part.Store, {daemon, isHealing: true, detail: kind});
		link.add(harm);
		await delay(durationMs);
		end();
		link.remove(harm);
		return true;
	}
}

class OddEntryFault implements Fault {
	constructor(private readonly context: FaultContext) {}

	async play(): Promise<boolean> {
		const {deployment: {store}, step: {amount, durationMs}} = this.context;
		const key = `${wireKeys.targets}odd-${amount}`;
		store.put(key, oddEntryText(amount));
		await delay(durationMs);
		store.delete(key);
		return true;
	}
}

class ConfigurationChange implements Fault {
	constructor(private readonly context: FaultContext) {}

	async play(): Promise<boolean> {
		const {deployment, step: {kind, amount}} = this.context;
		deployment.putConfiguration(kind === FaultKind.OddConfiguration ? oddResources(amount) : []);
		return true;
	}
}

const faultsByKind: Record<FaultKind, new (context: FaultContext) => Fault> = {
	[FaultKind.Stop]: StopFault,
	[FaultKind.Kill]: KillFault,
	[FaultKind.Freeze]: FreezeFault,
	[FaultKind.SettingsChange]: SettingsFault,
	[FaultKind.SettingsBreak]: SettingsFault,
	[FaultKind.LinkDelay]: LinkFault,
	[FaultKind.LinkReset]: LinkFault,
	[FaultKind.LinkSilence]: LinkFault,
	[FaultKind.LinkCutOut]: LinkFault,
	[FaultKind.LinkCutIn]: LinkFault,
	[FaultKind.TargetCrash]: TargetCrashFault,
	[FaultKind.TargetRestart]: TargetCrashFault,
	[FaultKind.TargetDrain]: TargetDrainFault,
	[FaultKind.TargetSlow]: TargetTroubleFault,
	[FaultKind.RunsRefused]: TargetTroubleFault,
	[FaultKind.AnswersLost]: TargetTroubleFault,
	[FaultKind.OrdersLate]: TargetTroubleFault,
	[FaultKind.OrdersHeldUp]: TargetTroubleFault,
	[FaultKind.TargetDeaf]: TargetTroubleFault,
	[FaultKind.StoreDown]: StoreTroubleFault,
	[FaultKind.StoreRestored]: StoreRestoredFault,
	[FaultKind.StoreSlow]: StoreTroubleFault,
	[FaultKind.StoreLosesAnswers]: StoreTroubleFault,
	[FaultKind.StoreWritesLate]: StoreTroubleFault,
	[FaultKind.LeasesRevoked]: LeasesRevokedFault,
	[FaultKind.StoreCompaction]: StoreTroubleFault,
	[FaultKind.OddEntry]: OddEntryFault,
	[FaultKind.NewConfiguration]: ConfigurationChange,
	[FaultKind.OddConfiguration]: ConfigurationChange,
};

export function createFault(context: FaultContext): Fault {
	return new faultsByKind[context.step.kind](context);
}
