/**
 * Schedules that failed, each with its cause. Those of a seed change with the generator; the others are fixed.
 */
import {exactly, statedLateness} from '../standins/late-orders.js';
import {
	createSchedule, Deafness, FaultKind, Subject, type ScheduleOptions, type Step,
} from './schedule.js';

/** A schedule and the deployment on which it failed. */
export type Regression = {
	name: string;
	/** What was broken, and why. */
	cause: string;
	options: ScheduleOptions;
	steps: Step[];
	/** True if a target answers orders between the call of a late one and its carrying out, so that lateness excuses nothing. */
	isStrict?: boolean;
};

const small = {daemonCount: 3, targetCount: 6, delayLimitMs: 1500};

const oddDocumentCount = 12;

function seeded(options: ScheduleOptions): Pick<Regression, 'options' | 'steps'> {
	return {options, steps: createSchedule(options)};
}

function step(kind: FaultKind, changes: Partial<Step>): Step {
	return {
		atMs: 0, durationMs: 300, kind, daemon: 0, target: 0, amount: 0, lateOrders: {share: 1, lateness: statedLateness}, signals: [], earlySignals: [], ...changes,
	};
}

export const regressions: Regression[] = [
	{
		name: 'signals in series',
		cause: 'LOST: a second SIGTERM or SIGINT ended the process at once',
		...seeded({...small, seed: 15, durationMs: 8000}),
	},
	{
		name: 'late orders',
		cause: 'OWNER: the leader predicted the expiry of a hold from the time at which it sent a grant that came late',
		options: {...small, seed: 101, durationMs: 0},
		steps: [
			step(FaultKind.LinkDelay, {daemon: Subject.All, durationMs: 5000, amount: small.delayLimitMs}),
			step(FaultKind.LinkDelay, {
				atMs: 6000, daemon: Subject.Leader, target: 1, durationMs: 4000, amount: small.delayLimitMs,
			}),
		],
	},
	{
		name: 'orders carried out late',
		cause: 'OWNER: a hold counts as expired 2 s after a grant without an answer, and nothing is sent to the previous owner any more, which takes the grant later',
		options: {...small, seed: 104, durationMs: 0},
		isStrict: true,
		steps: [
			step(FaultKind.OrdersHeldUp, {durationMs: 900, lateOrders: {share: 1, lateness: exactly(8000)}}),
			step(FaultKind.TargetDeaf, {atMs: 900, durationMs: 6000, amount: Deafness.Probes}),
		],
	},
	{
		name: 'odd documents',
		cause: 'EXIT and LOST: an entry with an impossible address raised errors until the daemon exited',
		options: {...small, seed: 102, durationMs: 0},
		steps: Array.from({length: oddDocumentCount}, (_, index) => [
			step(FaultKind.OddEntry, {atMs: index * 200, durationMs: 4000, amount: index}),
			step(FaultKind.OddConfiguration, {atMs: (index * 200) + 100, amount: index}),
		]).flat(),
	},
	{
		name: 'runs refused',
		cause: 'REFUSED: daemons passed a target\'s refusal status on although the target had run the request',
		options: {...small, seed: 105, durationMs: 0},
		// Site file vrt-gateway, srv_grey: x = 0.45, for_s = 6.5.
		steps: [
			step(FaultKind.RunsRefused, {target: undefined, durationMs: 6500, amount: 45}),
			step(FaultKind.Stop, {atMs: 2000, daemon: 1}),
			step(FaultKind.RunsRefused, {
				atMs: 7000, target: 5, durationMs: 4000, amount: 100,
			}),
		],
	},
	{
		name: 'planned stops',
		cause: 'LOST: an answer closed its connection while targets ran requests that were sent behind it; requests that came after the wait for open ones were passed on and cut',
		options: {...small, seed: 103, durationMs: 0},
		steps: Array.from({length: 4}, (_, index) => step(FaultKind.Stop, {atMs: index * 2500, daemon: index % small.daemonCount})),
	},
];
