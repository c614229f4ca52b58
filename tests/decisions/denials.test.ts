import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {Denials} from '../../src/decisions/denials.js';
import {matchRequest} from '../../src/decisions/request-matcher.js';
import type {RouterCore} from '../../src/decisions/router-core.js';
import {configurationBodySchema, emptyConfiguration, type ConfigurationBody} from '../../src/model/configuration.js';
import {BadRequestError, NotRunError} from '../../src/model/errors.js';
import {LogEvent} from '../../src/model/events.js';
import {IntentKind} from '../../src/model/plan.js';
import {FakeDeployment, fakeCredentials} from '../../standins/fake-deployment.js';
import {ProcessState} from '../../standins/fake-network.js';
import {storeProcess} from '../../standins/fake-store.js';

/** Time in which a change is in force on every daemon, in milliseconds; stated in docs/design/configuration.md. */
const inForceMs = 4000;

/** Time in milliseconds in which a daemon finds out what it can while nothing is wrong. */
const settledMs = 500;

const unproven = 'configuration_unproven';

const judgements: Array<{title: string; proofAgeMs: number; expected: string | number; logged: Array<[LogEvent, unknown]>}> = [
	{
		title: 'deny under a fresh proof', proofAgeMs: 0, expected: 404, logged: [],
	},
	{
		title: 'deny under the oldest proof', proofAgeMs: inForceMs, expected: 404, logged: [],
	},
	{
		title: 'not deny under an older proof, and log it', proofAgeMs: inForceMs + 1, expected: unproven, logged: [[LogEvent.RequestRefused, inForceMs + 1]],
	},
	{
		title: 'not deny without any proof, and log it', proofAgeMs: Infinity, expected: unproven, logged: [[LogEvent.RequestRefused, undefined]],
	},
];

for (const {title, proofAgeMs, expected, logged} of judgements) {
	test(`should ${title}`, t => {
		const records: Array<[LogEvent, unknown]> = [];
		const denials = new Denials({
			confirmation: {proofAgeMs: () => proofAgeMs},
			replica: {configuration: {value: emptyConfiguration, modRevision: 0}},
			log: {
				record(event, fields) {
					records.push([event, fields.proofAgeMs]);
				},
			},
		});
		t.is(toldTo(denials, new BadRequestError('no service', 404)), expected);
		t.deepEqual(records, logged);
	});
}

function toldTo(denials: Denials, denial: BadRequestError): string | number {
	const verdict = denials.judge(denial);
	return verdict instanceof NotRunError ? verdict.reason : verdict.status;
}

function bodyOf(services: string[]): ConfigurationBody {
	return configurationBodySchema.parse({
		services: services.map(name => ({
			name, customer: 'customer', pathPrefix: `/${name}`, divided: true, shardCount: 4, key: {source: 'path', name: '1'}, classes: [{
				name: 'read', methods: ['GET'], priority: 'read', deadlineMs: 1000, idempotent: true,
			}],
		})),
		servers: services.map((service, index) => ({
			id: `server-${index + 1}`, service, address: `127.0.0.1:${index + 1}`, zone: 'zone-1',
		})),
	});
}

/** The daemon that is asked; the operator speaks to another one. */
const asked = 'daemon-3';
const others = ['daemon-1', 'daemon-2'];

function cutOff(deployment: FakeDeployment, from: string[]): void {
	for (const other of from) {
		deployment.network.cut(asked, other);
		deployment.network.cut(other, asked);
	}
}

type Case = {
	title: string;
	/** What happens to the asked daemon before the service is added. */
	fault?: (deployment: FakeDeployment) => void;
	/** What happens after the service was added. */
	laterFault?: (deployment: FakeDeployment) => void;
	/** Time from the last fault to the requests, in milliseconds. */
	waitMs: number;
	/** What callers are told about a path of the added service, of the first service and of no service. */
	expected: {added: string | number; first: string | number; none: string | number};
};

const cases: Case[] = [
	{
		title: 'serve an added service and deny what is in no configuration',
		waitMs: settledMs,
		expected: {added: 'added', first: 'first', none: 404},
	},
	{
		title: 'deny by what a peer with a proof knows while it is cut off from the store itself',
		fault(deployment) {
			cutOff(deployment, [storeProcess]);
		},
		waitMs: inForceMs + settledMs,
		expected: {added: 'added', first: 'first', none: 404},
	},
	{
		title: 'not deny an added service that it could not hear of',
		fault(deployment) {
			cutOff(deployment, [storeProcess, ...others]);
		},
		waitMs: inForceMs + settledMs,
		expected: {added: unproven, first: 'first', none: unproven},
	},
	{
		title: 'not deny by what it remembers from before a pause',
		fault(deployment) {
			deployment.network.setState(asked, ProcessState.Paused);
		},
		waitMs: inForceMs + settledMs,
		expected: {added: unproven, first: 'first', none: unproven},
	},
	{
		title: 'not deny any service after a restart before it has a proof',
		fault(deployment) {
			cutOff(deployment, [storeProcess, ...others]);
			deployment.startDaemon(asked);
		},
		waitMs: settledMs,
		expected: {added: unproven, first: unproven, none: unproven},
	},
	{
		title: 'not take the word of daemons that hold without the store for a proof',
		laterFault(deployment) {
			deployment.storeFaults.isDown = true;
		},
		waitMs: inForceMs + settledMs,
		expected: {added: 'added', first: 'first', none: unproven},
	},
];

for (const {title, fault, laterFault, waitMs, expected} of cases) {
	test.serial(`should ${title}`, async t => {
		const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
		const deployment = new FakeDeployment({
			daemons: 3,
			servers: 2,
			checks: true,
			seed: 1,
			observer: {
				onLog: ignore, onPublish: ignore, onOrder: ignore, onDrained: ignore, onSend: ignore, onExecute: ignore,
			},
		});
		const configure = async (id: string, services: string[]) => {
			const desk = deployment.cores.get(others[0])!.planManager;
			const submitted = desk.submit({id, kind: IntentKind.Configure, configuration: bodyOf(services)}, fakeCredentials.operator);
			await clock.tickAsync(100);
			await submitted;
			const confirmed = desk.confirm(id, fakeCredentials.veto);
			await clock.tickAsync(100);
			await confirmed;
		};

		try {
			await clock.tickAsync(settledMs);
			await configure('one', ['first']);
			await clock.tickAsync(settledMs);
			fault?.(deployment);
			await configure('two', ['first', 'added']);
			await clock.tickAsync(settledMs);
			laterFault?.(deployment);
			await clock.tickAsync(waitMs);
			const core = deployment.cores.get(asked)!;
			t.deepEqual({added: answerTo(core, '/added/1'), first: answerTo(core, '/first/1'), none: answerTo(core, '/none/1')}, expected);
		} finally {
			deployment.close();
			clock.uninstall();
		}
	});
}

function ignore(): void {
	// What is observed does not matter here.
}

/** Returns the service that takes a path, or what the caller is told. */
function answerTo(core: RouterCore, path: string): string | number {
	try {
		const head = {
			method: 'GET', path, host: 'router', headers: {},
		};
		return matchRequest(head, core.replica.configuration.value).service.name;
	} catch (error) {
		return toldTo(core.denials, error as BadRequestError);
	}
}
