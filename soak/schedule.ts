/**
 * Schedule of a soak: which fault begins when, decided from the seed alone.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Lateness, LateOrdersOptions} from '../standins/late-orders.js';

/** Kinds of faults and of planned work. */
export enum FaultKind {
	/** SIGTERM, further signals, and SIGKILL after the grace period; the daemon is started again. */
	Stop = 'stop',
	Kill = 'kill',
	/** SIGSTOP, then SIGCONT. */
	Freeze = 'freeze',
	/** SIGHUP with a changed settings file. */
	SettingsChange = 'settings change',
	/** SIGHUP with a malformed settings file. */
	SettingsBreak = 'settings break',
	LinkDelay = 'link delay',
	LinkReset = 'link reset',
	LinkSilence = 'link silence',
	/** Bytes from the daemon are lost. */
	LinkCutOut = 'link cut out',
	/** Bytes to the daemon are lost. */
	LinkCutIn = 'link cut in',
	TargetCrash = 'target crash',
	/** The target ends and starts again under its id at once. */
	TargetRestart = 'target restart',
	TargetDrain = 'target drain',
	TargetSlow = 'target slow',
	/** A share of the requests is answered with a status that says that they have not run, after the run. */
	RunsRefused = 'runs refused',
	/** Requests and orders are carried out, but their answers are lost. */
	AnswersLost = 'answers lost',
	/** A share of the orders gets no answer and is carried out late; holds count from the arrival. */
	OrdersLate = 'orders late',
	/** As above, but held up on their way, so that holds count from when they are carried out. */
	OrdersHeldUp = 'orders held up',
	/** Orders are lost, while requests are served. */
	TargetDeaf = 'target deaf',
	StoreDown = 'store down',
	/** Goes back to a copy of the start of the step. */
	StoreRestored = 'store restored',
	StoreSlow = 'store slow',
	StoreLosesAnswers = 'store loses answers',
	/** Writes get no answer and are carried out late. */
	StoreWritesLate = 'store writes late',
	/** The keys of all leases are taken away, while the leases go on. */
	LeasesRevoked = 'leases revoked',
	StoreCompaction = 'store compaction',
	OddEntry = 'odd entry',
	NewConfiguration = 'new configuration',
	OddConfiguration = 'odd configuration',
}

/** Whom a step concerns instead of a daemon with an index. */
export enum Subject {
	Leader = 'leader',
	All = 'all',
}

/** What a deaf target does not hear or say; each level includes those before it. */
export enum Deafness {
	Orders,
	Probes,
	/** Its entry is removed after some heartbeats, and is written again at the end. */
	Heartbeats,
}

/** First and last value of what is drawn. */
export type Bounds = [number, number];

/** Signal sent to a daemon some time after a step begins. */
export type TimedSignal = {afterMs: number; signal: NodeJS.Signals};

/** One fault. */
export type Step = {
	/** Time after the start of the schedule in milliseconds. */
	atMs: number;
	durationMs: number;
	kind: FaultKind;
	/** Index of the daemon; for links, the daemon's end. */
	daemon: number | Subject;
	/** Index of the target; for links, the far end. Undefined for the store, and for late orders of all targets. */
	target: number | undefined;
	/**
	 * Share of refused runs in percent, delay of links, writes and the store and further service of leaving targets in milliseconds, factor of slow targets,
	 * `Deafness`, number of the odd document, 1 if the leader is cut off from the store when leases are revoked.
	 */
	amount: number;
	lateOrders: Pick<LateOrdersOptions, 'share' | 'lateness'>;
	/** Further signals of a stop. */
	signals: TimedSignal[];
	/** Signals to the process that replaces a stopped one, counted from its start. */
	earlySignals: TimedSignal[];
};

/** What a schedule is drawn for. */
export type ScheduleOptions = {
	seed: number;
	durationMs: number;
	daemonCount: number;
	targetCount: number;
	/** Longest delay of a link per direction in milliseconds; not from the users' pages, which say only that links are harmed. */
	delayLimitMs: number;
	/** True if the store names its era, and is restored from copies. */
	restoresStore?: boolean;
	/** True if targets answer requests that they have run as if they had not. */
	refusesRuns?: boolean;
};

/** Sets of faults that overlap. Faults of every kind at once would leave no request that no fault excuses. */
export enum Theme {
	/** Stops in series, new configurations, settings and documents, without disruption. */
	Planned = 'planned',
	/** Links and targets around keys that change hands. */
	Ownership = 'ownership',
	Store = 'store',
	Mixed = 'mixed',
}

/** Duration of the steps drawn from one theme, in milliseconds. */
const episodeMs = 12_000;

/** Time without steps at the end of an episode, in milliseconds, so that planned work can follow without disruption nearby. */
const calmMs = 2500;

const themeCycle = [Theme.Planned, Theme.Ownership, Theme.Mixed, Theme.Ownership, Theme.Planned, Theme.Store];
/** Lateness of orders; `fleetbench kinds`, applied_late: "gets no answer and is carried out 2 to 12 s later". */
const orderLateness: Lateness = {shortestMs: 2000, longestMs: 12_000};

/** Share of late orders in percent; `fleetbench kinds`, applied_late: "a share x (.5) of the orders", up to 0.7. */
const lateOrderPercents: Bounds = [50, 70];

/** Share of refused runs in percent; site files, srv_grey: x from 0.38 to 0.55, for 6.5 s. */
const refusedPercents: Bounds = [38, 55];

/** Lateness of writes in milliseconds; `fleetbench kinds`, platform_lost, late: "done 1 to 6 s later". */
const writeLatenessMs: Bounds = [1000, 6000];

/** Service of a leaving target beyond `drainMs`, in milliseconds; PROTOCOL.md: "a little longer (at times many seconds)". */
const lingerMs: Bounds = [0, 6000];

/** Delay of the store in milliseconds; PROTOCOL.md says "may be slow" and names no time, so that the bounds are not from the pages. */
const storeDelayMs: Bounds = [50, 400];

const repeatedSignals: NodeJS.Signals[] = ['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGHUP'];

/** How often a theme draws a kind, and the bounds of what is drawn for it. */
type KindPlan = {
	planned?: number;
	ownership?: number;
	store?: number;
	/** Shortest and longest duration in milliseconds; 300 if absent. */
	shortestMs?: number;
	longestMs?: number;
	amount?: Bounds;
};

const plans: Record<FaultKind, KindPlan> = {
	[FaultKind.Stop]: {
		planned: 6, ownership: 1, store: 1, longestMs: 1500,
	},
	[FaultKind.Kill]: {ownership: 1, longestMs: 2500},
	[FaultKind.Freeze]: {ownership: 1, store: 1, longestMs: 3500},
	[FaultKind.SettingsChange]: {planned: 1},
	[FaultKind.SettingsBreak]: {planned: 1},
	[FaultKind.LinkDelay]: {ownership: 4, store: 1, longestMs: 6000},
	[FaultKind.LinkReset]: {ownership: 1, store: 1},
	[FaultKind.LinkSilence]: {ownership: 1, longestMs: 4000},
	[FaultKind.LinkCutOut]: {ownership: 1, longestMs: 4000},
	[FaultKind.LinkCutIn]: {ownership: 1, longestMs: 4000},
	[FaultKind.TargetCrash]: {ownership: 1, longestMs: 4000},
	[FaultKind.TargetRestart]: {ownership: 1},
	[FaultKind.TargetDrain]: {
		planned: 1, ownership: 1, longestMs: 4500, amount: lingerMs,
	},
	[FaultKind.TargetSlow]: {ownership: 1, longestMs: 4000, amount: [2, 6]},
	[FaultKind.RunsRefused]: {ownership: 6, longestMs: 6500, amount: refusedPercents},
	[FaultKind.AnswersLost]: {ownership: 1, longestMs: 3000},
	[FaultKind.OrdersLate]: {ownership: 1, shortestMs: 2000, longestMs: 9000},
	[FaultKind.OrdersHeldUp]: {ownership: 3, shortestMs: 2000, longestMs: 9000},
	// `fleetbench kinds`, srv_cut: "partitioned from the core and from control, not from the fronts".
	[FaultKind.TargetDeaf]: {
		ownership: 4, shortestMs: 3000, longestMs: 9000, amount: [Deafness.Orders, Deafness.Heartbeats],
	},
	[FaultKind.StoreDown]: {store: 1, longestMs: 4000},
	[FaultKind.StoreRestored]: {store: 2, longestMs: 4000},
	[FaultKind.StoreSlow]: {store: 1, longestMs: 4000, amount: storeDelayMs},
	[FaultKind.StoreLosesAnswers]: {store: 1, longestMs: 3000},
	[FaultKind.StoreWritesLate]: {store: 1, longestMs: 3000, amount: writeLatenessMs},
	// `fleetbench kinds`, platform_down, revoke: "keys are taken away at once, and no request shows it".
	[FaultKind.LeasesRevoked]: {
		ownership: 1, store: 1, longestMs: 4000, amount: [0, 1],
	},
	[FaultKind.StoreCompaction]: {store: 1},
	[FaultKind.OddEntry]: {planned: 1, longestMs: 5000},
	[FaultKind.NewConfiguration]: {planned: 1},
	[FaultKind.OddConfiguration]: {planned: 1},
};

const defaultShortestMs = 300;

/** Part of the limit above which a delay counts as long. */
const longDelayShare = 0.7;

/** Share of the steps that concern one target of an episode, in percent, so that faults overlap at it. */
const focusPercent = 50;

/** Draws of one seed. */
class Draws {
	private readonly generator;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	integer(first: number, last: number): number {
		return uniformInt(this.generator, first, last);
	}

	isTrue(percent: number): boolean {
		return this.integer(1, 100) <= percent;
	}

	item<Item>(items: readonly Item[]): Item {
		return items[this.integer(0, items.length - 1)];
	}
}

/** Decides the steps of a seed, in the order of their times. All have ended by `durationMs`, except for restarts that take longer. */
export function createSchedule(options: ScheduleOptions): Step[] {
	const draws = new Draws(options.seed);
	const offset = draws.integer(0, themeCycle.length - 1);
	const steps: Step[] = [];
	for (let episode = 0; (episode * episodeMs) < options.durationMs; episode += 1) {
		const startMs = episode * episodeMs;
		const endMs = Math.min(startMs + episodeMs - calmMs, options.durationMs);
		const theme = themeCycle[(episode + offset) % themeCycle.length];
		const focus = draws.integer(0, options.targetCount - 1);
		steps.push(...createEpisode(theme, [startMs, endMs], focus, {draws, options}));
	}

	return steps.toSorted((left, right) => left.atMs - right.atMs);
}

/** Kinds that came later are drawn only on request, so that the schedules of earlier seeds stay as they were. */
function isDrawn(kind: FaultKind, {restoresStore = false, refusesRuns = false}: ScheduleOptions): boolean {
	return (restoresStore || kind !== FaultKind.StoreRestored) && (refusesRuns || kind !== FaultKind.RunsRefused);
}

function createEpisode(theme: Theme, [startMs, endMs]: Bounds, focus: number, {draws, options}: {draws: Draws; options: ScheduleOptions}): Step[] {
	const steps: Step[] = [];
	const kinds = kindsOf(theme).filter(kind => isDrawn(kind, options));
	for (let atMs = startMs + draws.integer(0, 800); atMs < endMs - defaultShortestMs;) {
		const kind = draws.item(kinds);
		const {shortestMs = defaultShortestMs, longestMs = shortestMs} = plans[kind];
		const durationMs = Math.min(endMs - atMs, draws.integer(shortestMs, longestMs));
		const step = createStep(kind, {atMs, durationMs}, draws, options);
		steps.push(step.target !== undefined && draws.isTrue(focusPercent) ? {...step, target: focus} : step);
		// Short pauses make faults overlap.
		atMs += draws.isTrue(60) ? draws.integer(20, 400) : draws.integer(400, 1500);
	}

	return steps;
}

function createStep(kind: FaultKind, time: {atMs: number; durationMs: number}, draws: Draws, {daemonCount, targetCount, delayLimitMs}: ScheduleOptions): Step {
	const isStop = kind === FaultKind.Stop;
	const isLink = isLinkFault(kind);
	// Delays near the limit are the ones that leaders must allow for.
	const shortestDelayMs = kind === FaultKind.LinkDelay && draws.isTrue(60) ? Math.floor(delayLimitMs * longDelayShare) : 20;
	const [least, largest] = kind === FaultKind.LinkDelay ? [shortestDelayMs, delayLimitMs] : plans[kind].amount ?? [0, 1000];
	return {
		...time,
		kind,
		daemon: draws.isTrue(isLink ? 70 : 35) ? draws.item([Subject.Leader, isLink ? Subject.All : Subject.Leader]) : draws.integer(0, daemonCount - 1),
		target: (isLink && draws.isTrue(20)) || (isLateOrders(kind) && draws.isTrue(70)) ? undefined : draws.integer(0, targetCount - 1),
		amount: draws.integer(least, largest),
		lateOrders: {share: draws.integer(...lateOrderPercents) / 100, lateness: orderLateness},
		signals: isStop ? createSignals(draws, 2500) : [],
		earlySignals: isStop && draws.isTrue(25) ? [{afterMs: draws.integer(0, 900), signal: 'SIGTERM'}, ...createSignals(draws, 1500)] : [],
	};
}

/** True if the far end of a step without a target is the store. */
export function isLinkFault(kind: FaultKind): boolean {
	return [FaultKind.LinkDelay, FaultKind.LinkReset, FaultKind.LinkSilence, FaultKind.LinkCutOut, FaultKind.LinkCutIn].includes(kind);
}

function isLateOrders(kind: FaultKind): boolean {
	return [FaultKind.OrdersLate, FaultKind.OrdersHeldUp].includes(kind);
}

function createSignals(draws: Draws, lastMs: number): TimedSignal[] {
	const count = draws.isTrue(20) ? 0 : draws.integer(1, 4);
	return Array.from({length: count}, () => ({afterMs: draws.integer(5, lastMs), signal: draws.item(repeatedSignals)}));
}

function weightOf({planned = 0, ownership = 0, store = 0}: KindPlan, theme: Theme): number {
	const weights: Record<Theme, number> = {
		[Theme.Planned]: planned, [Theme.Ownership]: ownership, [Theme.Store]: store, [Theme.Mixed]: planned + ownership + store,
	};
	return weights[theme];
}

/** Every kind as often as its weight. */
function kindsOf(theme: Theme): FaultKind[] {
	return Object.values(FaultKind).flatMap(kind => Array.from({length: weightOf(plans[kind], theme)}, () => kind));
}
