import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {checkConfigurationFile, CheckExitCode, exitCodeOf} from '../src/cli/configuration-file.js';

const folder = mkdtempSync(path.join(tmpdir(), 'eelgrasswheel-check-'));
test.after.always(() => {
	rmSync(folder, {recursive: true});
});

const routeFields = {
	host: 'a.example', prefix: '/a/', kind: 'safe', timeoutMs: 1000, targetLatencyMs: 300, priority: 1, service: 'one', maxAttempts: 2,
};
const route = (changes: Record<string, unknown> = {}, name = 'first') => ({resourceType: 'routes', metadata: {name}, spec: {...routeFields, ...changes}});
const service = (name = 'one', changes: Record<string, unknown> = {}) => ({resourceType: 'services', metadata: {name}, spec: {healthPath: '/health', maxConnections: 300, ...changes}});
const limits = (maxHeaderBytes: number) => ({
	resourceType: 'limits', metadata: {name: 'limits'}, spec: {
		maxHeaderBytes, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
	},
});
const documentOf = (resources: Array<Record<string, unknown>>, version = 2): string => JSON.stringify({version, resources});
const active = documentOf([route(), service(), limits(1000)], 1);

const cases: Array<{title: string; text: string; code: CheckExitCode; finding?: RegExp; before?: string}> = [
	{title: 'accept a sound configuration', text: documentOf([route(), service(), limits(1000)]), code: CheckExitCode.Clean},
	{
		title: 'report differences',
		text: documentOf([route({timeoutMs: 900}), service(), limits(2000)]),
		code: CheckExitCode.Clean,
		finding: /route first: timeoutMs 1000 becomes 900.*limits: maxHeaderBytes 1000 becomes 2000/v,
	},
	{
		title: 'report added and removed parts', text: documentOf([route({}, 'second'), service(), limits(1000)]), code: CheckExitCode.Clean, finding: /route first: removed.*route second: added/v,
	},
	{title: 'reject what is no JSON', text: '{', code: CheckExitCode.Errors},
	{
		title: 'report a removed field',
		text: documentOf([route(), service('one'), limits(1000)]),
		before: documentOf([route(), service('one', {warmupPerS: 2}), limits(1000)], 1),
		code: CheckExitCode.Clean,
		finding: /service one: warmUpPerS 2 becomes none/v,
	},
	{
		title: 'warn of missing limits without reporting a difference',
		text: documentOf([route(), service()]),
		code: CheckExitCode.Warnings,
		finding: /^limits: none are stated, so that running daemons keep the active ones$/v,
	},
	{
		title: 'reject a route without services', text: documentOf([route({trafficSplit: []}), service(), limits(1000)]), code: CheckExitCode.Errors, finding: /route first: without services/v,
	},
	{
		title: 'reject two resources with one name',
		text: documentOf([route(), service(), service(), limits(1000)]),
		code: CheckExitCode.Errors,
		finding: /one: an earlier resource of type services has the same name/v,
	},
	{
		title: 'reject an unknown service', text: documentOf([route()]), code: CheckExitCode.Errors, finding: /service one is not defined/v,
	},
	{
		title: 'reject no attempts', text: documentOf([route({maxAttempts: 0}), service(), limits(1000)]), code: CheckExitCode.Errors, finding: /maxAttempts/v,
	},
	{
		title: 'warn of an unused service', text: documentOf([route(), service(), service('two'), limits(1000)]), code: CheckExitCode.Warnings, finding: /service two: no route uses it/v,
	},
	{
		title: 'warn of a shadowed route',
		text: documentOf([route(), route({host: 'A.example'}, 'second'), service(), limits(1000)]),
		code: CheckExitCode.Warnings,
		finding: /route second: never matches/v,
	},
	{
		title: 'warn of a host with a port', text: documentOf([route({host: 'a.example:80'}), service(), limits(1000)]), code: CheckExitCode.Warnings, finding: /has a port/v,
	},
	{
		title: 'warn of a prefix that is none', text: documentOf([route({prefix: 'a/'}), service(), limits(1000)]), code: CheckExitCode.Warnings, finding: /beginning of a path/v,
	},
	{
		title: 'warn of a target latency above the timeout',
		text: documentOf([route({targetLatencyMs: 2000}), service(), limits(1000)]),
		code: CheckExitCode.Warnings,
		finding: /targetLatencyMs 2000 is above/v,
	},
	{
		title: 'warn of headers that are not read', text: documentOf([route(), service(), limits(65_537)]), code: CheckExitCode.Warnings, finding: /above the 65536 bytes/v,
	},
	{
		title: 'warn of an old version', text: documentOf([route(), service(), limits(1000)], 1), code: CheckExitCode.Warnings, finding: /version 1 is not above/v,
	},
];

for (const [index, {title, text, code, finding, before = active}] of cases.entries()) {
	test(`should ${title}`, async t => {
		const paths = [path.join(folder, `${index}.json`), path.join(folder, `${index}-active.json`)] as const;
		writeFileSync(paths[0], text);
		writeFileSync(paths[1], before);
		const report = await checkConfigurationFile(...paths);
		t.is(exitCodeOf(report), code);
		t.regex([...report.errors, ...report.warnings, ...report.differences].join(' '), finding ?? /^/v);
	});
}

test('should fail if a file cannot be read', async t => {
	await t.throwsAsync(checkConfigurationFile(path.join(folder, 'none.json')), {message: /cannot be read/v});
});
