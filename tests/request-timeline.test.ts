import {execFile} from 'node:child_process';
import process from 'node:process';
import test from 'ava';
import {
	describeFields, parseLogLine, requestTimeline, type LogLine,
} from '../src/cli/request-timeline.js';
import {LogEvent} from '../src/model/events.js';

const startMs = 1_772_000_000_000;

function text(atMs: number, daemon: string, event: LogEvent, fields: Record<string, unknown>): string {
	return JSON.stringify({
		context: {
			program: 'eelgrasswheeld', daemon, zone: 'zone', event, logLevel: 30, ...fields,
		}, message: LogEvent[event], sequence: '1', time: startMs + atMs, version: '2.0.0',
	});
}

const log = [
	text(0, 'a', LogEvent.StoreRegained, {revision: 0}),
	text(100, 'b', LogEvent.StoreRegained, {revision: 0}),
	text(200, 'b', LogEvent.RangeReleased, {
		service: 'registry', first: 0, last: 99, target: 'old',
	}),
	text(210, 'b', LogEvent.RangeReleased, {
		service: 'registry', first: 100, last: 199, target: 'old',
	}),
	text(300, 'a', LogEvent.RequestRefused, {
		request: 'moving', service: 'registry', key: 7, reason: 'key_moving',
	}),
	text(400, 'b', LogEvent.RangeGranted, {
		service: 'registry', first: 0, last: 99, target: 'new',
	}),
	text(9000, 'a', LogEvent.TargetEjected, {
		request: 'lost', service: 'desk', target: 'slow', detail: 'ECONNRESET',
	}),
	text(9001, 'a', LogEvent.RequestUnknown, {request: 'lost', service: 'desk', reason: 'attempts_used'}),
	text(9500, 'c', LogEvent.TargetRemoved, {target: 'slow'}),
	text(9600, 'c', LogEvent.TargetRemoved, {target: 'other'}),
	text(12_000, 'c', LogEvent.ConfigurationInForce, {version: 4, confirmedMsAgo: 900}),
	text(12_100, 'b', LogEvent.ConfigurationInForce, {version: 6, confirmedMsAgo: 100}),
	text(14_500, 'c', LogEvent.RequestUnrouted, {
		request: 'nowhere', path: '/new/', version: 4, confirmedMsAgo: 2400,
	}),
	text(14_600, 'c', LogEvent.StoreReadFailed, {key: 'configuration'}),
	text(20_000, 'c', LogEvent.RequestRefused, {request: 'peak', service: 'desk', reason: 'overloaded'}),
	text(20_100, 'c', LogEvent.LinesDropped, {of: 'RequestRefused', count: 300}),
	text(20_100, 'a', LogEvent.LinesDropped, {of: 'RequestRefused', count: 400}),
	text(29_000, 'b', LogEvent.RefusalUnproved, {request: 'other', target: 'failing', status: 503}),
	text(30_000, 'a', LogEvent.RefusalUnproved, {
		request: 'booking', service: 'desk', target: 'failing', status: 503, isWithheld: true,
	}),
	text(30_001, 'a', LogEvent.RequestUnknown, {request: 'booking', service: 'desk', reason: 'refusal_unproved'}),
	text(30_500, 'c', LogEvent.TargetRemoved, {target: 'failing'}),
];

const timelines: Array<{request: string; events: LogEvent[]}> = [
	{request: 'moving', events: [LogEvent.StoreRegained, LogEvent.RangeReleased, LogEvent.RequestRefused, LogEvent.RangeGranted]},
	{request: 'lost', events: [LogEvent.TargetEjected, LogEvent.RequestUnknown, LogEvent.TargetRemoved]},
	{request: 'peak', events: [LogEvent.RequestRefused, LogEvent.LinesDropped]},
	{request: 'booking', events: [LogEvent.RefusalUnproved, LogEvent.RequestUnknown, LogEvent.TargetRemoved]},
	{request: 'nowhere', events: [LogEvent.ConfigurationInForce, LogEvent.RequestUnrouted, LogEvent.StoreReadFailed]},
	{request: 'unknown', events: []},
];

for (const {request, events} of timelines) {
	test(`should return the lines related to a request, whatever the order of the files: ${request}`, t => {
		const lines = log.toReversed().map(line => parseLogLine(line)).filter(line => line !== undefined);
		t.deepEqual(requestTimeline(lines, request).map(({event}) => event), events);
	});
}

const lines: Array<{title: string; line: string; expected: Partial<LogLine> | undefined}> = [
	{title: 'read a line of a daemon', line: log[0], expected: {daemon: 'a', name: 'StoreRegained', time: startMs}},
	{title: 'read a line behind the prefix of a collector', line: `12:00 vm-1 ${log[0]}`, expected: {daemon: 'a', name: 'StoreRegained', time: startMs}},
	{title: 'ignore a line that was cut off', line: log[0].slice(0, 40), expected: undefined},
	{title: 'ignore a line of another program', line: '{"message": "hello"}', expected: undefined},
	{title: 'ignore text that is not JSON', line: 'started', expected: undefined},
	{title: 'ignore an empty line', line: '', expected: undefined},
];

for (const {title, line, expected} of lines) {
	test(`should ${title}`, t => {
		const parsed = parseLogLine(line);
		t.deepEqual(parsed && {daemon: parsed.daemon, name: parsed.name, time: parsed.time}, expected as typeof parsed & Record<string, unknown>);
	});
}

test('should leave out the fields that every line has', t => {
	t.is(describeFields(parseLogLine(log[4])!), 'service=registry key=7 reason=key_moving');
});

type Ending = {code: number; output: string; errors: string};

async function explain(request: string): Promise<Ending> {
	return new Promise(resolve => {
		const child = execFile(process.execPath, ['dist/src/cli/main.js', 'explain', 'request', request], (error, output, errors) => {
			resolve({code: Number(error?.code ?? 0), output, errors});
		});
		child.stdin?.end(log.join('\n'));
	});
}

test('should print the timeline of a request from the standard input', async t => {
	const {code, output} = await explain('lost');
	t.is(code, 0);
	t.deepEqual(output.trim().split('\n').map(line => line.split(/\s+/v).find(word => /^[A-Z][a-z]+[A-Z]/v.test(word))), ['TargetEjected', 'RequestUnknown', 'TargetRemoved']);
});

test('should say what to do if no line names the request', async t => {
	const {code, errors} = await explain('nothing');
	t.is(code, 1);
	t.regex(errors, /No line names the request nothing\.\nLook at the logs/v);
});
