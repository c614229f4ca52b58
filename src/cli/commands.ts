/**
 * Commands of the command line.
 */
import {randomUUID} from 'node:crypto';
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {text as readText} from 'node:stream/consumers';
import {baseShardOfKey} from '../decisions/shard-hash.js';
import {ownerOf, type Assignment} from '../model/assignment.js';
import {ErrorCode} from '../model/errors.js';
import {
	IntentKind, PlanState, type Intent, type Plan,
} from '../model/plan.js';
import {burnReport, renderBurnHtml, renderBurnText} from './burn-report.js';
import {CommandFailure, ExitCode} from './command-failure.js';
import {checkConfigurationFile, exitCodeOf} from './configuration-file.js';
import type {ControlConnection} from './control-connection.js';
import {readIntent} from './intent-file.js';
import {columns, type Output} from './output.js';
import {
	describeFields, parseLogLine, requestTimeline, type LogLine,
} from './request-timeline.js';

/** Connection, output and flags of a command. */
export type CommandContext = {
	connection: ControlConnection;
	output: Output;
	flags: {wait: boolean; id?: string; html?: string};
};

type Command = (operands: string[], context: CommandContext) => Promise<void>;

/** Interval between two status polls of a wait, in milliseconds. */
const waitPollMs = 100;

/** Longest wait until a plan is active on every daemon, in milliseconds. */
const waitLimitMs = 30_000;

const commands: Record<string, Command> = {
	'intent submit': submitIntent,
	'plan list': listPlans,
	'plan show': showPlan,
	'plan confirm': confirmPlan,
	'plan reject': rejectPlan,
	drain: async (operands, context) => submitLeaving(operands, context, IntentKind.Drain),
	restore: async (operands, context) => submitLeaving(operands, context, IntentKind.Restore),
	status: showStatus,
	'assignment show': showAssignment,
	'explain request': explainRequest,
	explain,
	'report burn': reportBurn,
	'configuration check': checkFile,
};

/**
 * Runs the command that the first words name, with the rest as operands.
 *
 * @throws {CommandFailure} with the exit code
 */
export async function runCommand(words: string[], context: CommandContext): Promise<void> {
	for (const length of [2, 1]) {
		const command = commands[words.slice(0, length).join(' ')];
		if (command && words.length >= length) {
			// eslint-disable-next-line no-await-in-loop -- the loop ends after this command.
			await command(words.slice(length), context);
			return;
		}
	}

	throw usage(`Unknown command: ${words.join(' ') || 'none given'}.`);
}

function usage(message: string): CommandFailure {
	return new CommandFailure(ErrorCode.BadRequest, message, 'Run "eelgrasswheel --help" for the commands.', ExitCode.Usage);
}

function operand(operands: string[], name: string): string {
	const value = operands[0];
	if (value === undefined) {
		throw usage(`Expected ${name}.`);
	}

	return value;
}

async function checkFile(operands: string[], {output}: CommandContext): Promise<void> {
	const report = await checkConfigurationFile(operand(operands, 'a FILE'), operands[1]);
	const {errors, warnings, differences} = report;
	output.result(report, [
		...errors.map(text => `error: ${text}`),
		...warnings.map(text => `warning: ${text}`),
		...differences.map(text => `difference: ${text}`),
		`${errors.length} errors, ${warnings.length} warnings, ${differences.length} differences`,
	]);
	process.exitCode = exitCodeOf(report);
}

async function submitIntent(operands: string[], {connection, output}: CommandContext): Promise<void> {
	const intent = await readIntent(operand(operands, 'a FILE'));
	printPlan(await connection.client.submitIntent.mutate(intent) as Plan, output);
}

async function submitLeaving(operands: string[], {connection, output, flags}: CommandContext, kind: IntentKind.Drain | IntentKind.Restore): Promise<void> {
	const server = operand(operands, 'a SERVER');
	const intent: Intent = {id: flags.id ?? `${kind}-${server}-${randomUUID().slice(0, 8)}`, kind, server};
	printPlan(await connection.client.submitIntent.mutate(intent) as Plan, output);
}

async function listPlans(_operands: string[], {connection, output}: CommandContext): Promise<void> {
	const plans = await connection.client.listPlans.query() as Plan[];
	const rows = plans.map(plan => [plan.id, plan.state, String(plan.baseConfigurationVersion), plan.customers.join(',')]);
	output.result(plans, columns([['PLAN', 'STATE', 'BASE', 'CUSTOMERS'], ...rows]));
}

async function showPlan(operands: string[], {connection, output}: CommandContext): Promise<void> {
	printPlan(await connection.client.showPlan.query({planId: operand(operands, 'a plan ID')}) as Plan, output);
}

async function confirmPlan(operands: string[], context: CommandContext): Promise<void> {
	const {connection, output, flags} = context;
	const plan = await connection.client.confirmPlan.mutate({planId: operand(operands, 'a plan ID')}) as Plan;
	if (flags.wait && plan.state === PlanState.Confirmed) {
		await waitUntilActive(plan.baseConfigurationVersion + 1, context);
	}

	printPlan(plan, output);
}

async function rejectPlan(operands: string[], {connection, output}: CommandContext): Promise<void> {
	printPlan(await connection.client.rejectPlan.mutate({planId: operand(operands, 'a plan ID')}) as Plan, output);
}

async function waitUntilActive(version: number, {connection, output}: CommandContext): Promise<void> {
	const startedAt = performance.now();
	while (performance.now() - startedAt < waitLimitMs) {
		// eslint-disable-next-line no-await-in-loop -- polling.
		const answers = await connection.statusOfAll();
		const done = answers.filter(({result}) => result !== undefined && result.configurationVersion >= version && result.assignments.every(({moves}) => moves === 0));
		output.progress(`in force on ${done.length} of ${answers.length} daemons`);
		if (done.length === answers.length) {
			output.endProgress();
			return;
		}

		// eslint-disable-next-line no-await-in-loop -- polling.
		await new Promise(resolve => {
			setTimeout(resolve, waitPollMs);
		});
	}

	throw new CommandFailure(ErrorCode.DeadlineExpired, `Version ${version} was not in force everywhere within ${waitLimitMs} ms.`, 'Look at "eelgrasswheel status".', ExitCode.Unavailable);
}

async function showStatus(_operands: string[], {connection, output}: CommandContext): Promise<void> {
	const answers = await connection.statusOfAll();
	const rows = answers.flatMap(({daemon, result, failure}) => {
		if (!result) {
			return [[daemon, 'unreachable', '', '', '', '', failure ?? '']];
		}

		const state = [result.ready ? 'ready' : 'not ready', result.storeReachable ? '' : 'no store', result.holding ? 'holding' : ''].filter(Boolean).join(', ');
		const services = result.assignments.map(assignment => [
			assignment.service,
			String(assignment.version),
			assignment.leader,
			String(assignment.moves),
			assignment.lost.join(','),
		]);
		const first = [result.daemon, state, String(result.configurationVersion)];
		return (services.length === 0 ? [['', '', '', '', '']] : services).map((cells, index) => [...(index === 0 ? first : ['', '', '']), ...cells]);
	});
	output.result(answers, columns([['DAEMON', 'STATE', 'CONFIGURATION', 'SERVICE', 'VERSION', 'LEADER', 'MOVES', 'LOST'], ...rows]));
}

async function readAssignment(service: string, connection: ControlConnection): Promise<Assignment> {
	const assignment = await connection.client.assignment.query({service}) as Assignment | undefined;
	if (!assignment) {
		throw new CommandFailure(ErrorCode.UnknownService, `There is no assignment for service ${service}.`, 'Services that are not divided by key have none.', ExitCode.Refused);
	}

	return assignment;
}

async function showAssignment(operands: string[], {connection, output}: CommandContext): Promise<void> {
	const assignment = await readAssignment(operand(operands, 'a SERVICE'), connection);
	const counts = assignment.servers.map((server, index) => [server, String(assignment.owners.filter(owner => owner === index).length)]);
	const moves = assignment.moves.map(move => `  shard ${move.shard}: ${move.from ?? 'nobody'} -> ${move.to} (${move.kind}, ${move.phase})`);
	output.result(assignment, [
		`service ${assignment.service}: version ${assignment.version}, term ${assignment.term}, leader ${assignment.leader}`,
		`voters: ${assignment.voters.join(', ')}`,
		...columns([['SERVER', 'SHARDS'], ...counts]),
		...assignment.exceptions.map(({key, shard}) => `hot key ${key}: shard ${shard}, owner ${ownerOf(assignment, shard) ?? 'nobody'}`),
		...(moves.length > 0 ? ['moves under way:', ...moves] : ['no move is under way']),
	]);
}

type HistoryRecord = {version: number; term: number; leader: string; reason: string; at: string; moves: Array<{shard: number; from?: string; to: string; phase: string}>};

async function explain(operands: string[], {connection, output}: CommandContext): Promise<void> {
	const service = operand(operands, 'a SERVICE');
	const key = operands[1];
	const assignment = await readAssignment(service, connection);
	const history = await connection.client.history.query({service}) as HistoryRecord[];
	const exception = assignment.exceptions.find(candidate => candidate.key === key);
	const shard = key === undefined ? undefined : exception?.shard ?? baseShardOfKey(key, assignment.owners.length - assignment.exceptions.length);
	const relevant = history.filter(record => shard === undefined || record.moves.some(move => move.shard === shard));
	const lines = relevant.map(record => {
		const move = record.moves.find(candidate => candidate.shard === shard);
		const detail = move ? ` (shard ${move.shard}: ${move.from ?? 'nobody'} -> ${move.to}, ${move.phase})` : '';
		return `${record.at} version ${record.version}, term ${record.term}, by ${record.leader}: ${record.reason}${detail}`;
	});
	const owner = shard === undefined ? undefined : ownerOf(assignment, shard);
	const head = shard === undefined
		? `service ${service}, version ${assignment.version}`
		: `key ${key ?? ''} is in shard ${shard}${exception ? ' of its own' : ''}, owned by ${owner ?? 'nobody'} at epoch ${assignment.epochs[shard] ?? 0}`;
	output.result({shard, owner, history: relevant}, [head, ...lines]);
}

async function reportBurn(_operands: string[], {connection, output, flags}: CommandContext): Promise<void> {
	const answers = await connection.burnOfAll();
	const report = burnReport(answers.flatMap(({result}) => result ?? []), Date.now());
	if (flags.html !== undefined) {
		await writeFile(flags.html, renderBurnHtml(report));
	}

	const missing = answers.filter(({failure}) => failure !== undefined).map(({daemon}) => `daemon ${daemon} did not answer; its requests are missing`);
	output.result({report, missing}, [...renderBurnText(report), ...missing]);
}

function printPlan(plan: Plan, output: Output): void {
	output.result(plan, [`plan ${plan.id} (${plan.state}), computed from configuration ${plan.baseConfigurationVersion}`, ...plan.summary]);
}

/** Reads daemon logs from files or from the standard input and prints the timeline of a request. */
async function explainRequest(operands: string[], {output}: CommandContext): Promise<void> {
	const request = operand(operands, 'a REQUEST-ID');
	const lines = await readLogs(operands.slice(1));
	const timeline = requestTimeline(lines, request);
	if (timeline.length === 0) {
		const next = 'Look at the logs of all daemons around that time. Only one in fifty served requests is logged, and LinesDropped counts the lines above the limit.';
		throw new CommandFailure(ErrorCode.BadRequest, `No line names the request ${request}.`, next, ExitCode.Failed);
	}

	const rows = timeline.map(line => [new Date(line.time).toISOString(), line.daemon, line.fields.request === request ? '*' : '', line.name, describeFields(line)]);
	output.result(timeline, columns(rows));
}

async function readLogs(files: string[]): Promise<LogLine[]> {
	const texts = files.length === 0 || files[0] === '-' ? [await readText(process.stdin)] : await Promise.all(files.map(async file => readLog(file)));
	return texts.flatMap(text => text.split('\n')).map(line => parseLogLine(line)).filter(line => line !== undefined);
}

async function readLog(file: string): Promise<string> {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw usage(`The log ${file} cannot be read: ${error instanceof Error ? error.message : String(error)}.`);
	}
}
