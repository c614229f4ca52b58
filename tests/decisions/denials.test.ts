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

/** Time in which every daemon applies a change, in milliseconds; stated in docs/design/configuration.md. */
const configurationApplyMs = 4000;

/** Time in milliseconds in which a daemon reads the current documents in normal operation. */
const settleMs = 500;

const unconfirmed = 'configuration_unproven';

const verdictCases: Array<{title: string; confirmationAgeMs: number; expected: string | number; logged: Array<[LogEvent, unknown]>}> = [
	{
		title: 'deny under a fresh confirmation by the store', confirmationAgeMs: 0, expected: 404, logged: [],
	},
	{
		title: 'deny under the oldest allowed confirmation', confirmationAgeMs: configurationApplyMs, expected: 404, logged: [],
	},
	{
		title: 'not deny under an older confirmation, and log it', confirmationAgeMs: configurationApplyMs + 1, expected: unconfirmed, logged: [[LogEvent.RequestRefused, configurationApplyMs + 1]],
	},
	{
		title: 'not deny without any confirmation, and log it', confirmationAgeMs: Infinity, expected: unconfirmed, logged: [[LogEvent.RequestRefused, undefined]],
	},
];

for (const {title, confirmationAgeMs, expected, logged} of verdictCases) {
	test(`should ${title}`, t => {
		const records: Array<[LogEvent, unknown]> = [];
		const denials = new Denials({
			confirmation: {confirmationAgeMs: () => confirmationAgeMs},
			replica: {configuration: {value: emptyConfiguration, modRevision: 0}},
			log: {
				record(event, fields) {
					records.push([event, fields.proofAgeMs]);
				},
			},
		});
		t.is(answerOf(denials, new BadRequestError('no service', 404)), expected);
		t.deepEqual(records, logged);
	});
}

function answerOf(denials: Denials, denial: BadRequestError): string | number {
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

/** The daemon that gets the requests; the operator uses another one. */
const testedDaemon = 'daemon-3';
const otherDaemons = ['daemon-1', 'daemon-2'];

function cutOff(deployment: FakeDeployment, peers: string[]): void {
	for (const other of peers) {
		deployment.network.cut(testedDaemon, other);
		deployment.network.cut(other, testedDaemon);
	}
}

type Case = {
	title: string;
	/** Fault of the tested daemon before the service is added. */
	fault?: (deployment: FakeDeployment) => void;
	/** Fault after the service was added. */
	laterFault?: (deployment: FakeDeployment) => void;
	/** Time from the last fault to the requests, in milliseconds. */
	waitMs: number;
	/** Answers to callers for a path of the added service, of the first service and of no service. */
	expected: {added: string | number; first: string | number; none: string | number};
};

const cases: Case[] = [
	{
		title: 'serve an added service and deny a path that no service takes',
		waitMs: settleMs,
		expected: {added: 'added', first: 'first', none: 404},
	},
	{
		title: 'deny under the confirmation of a peer while the daemon itself cannot reach the store',
		fault(deployment) {
			cutOff(deployment, [storeProcess]);
		},
		waitMs: configurationApplyMs + settleMs,
		expected: {added: 'added', first: 'first', none: 404},
	},
	{
		title: 'not deny an added service while it can reach neither the store nor a peer',
		fault(deployment) {
			cutOff(deployment, [storeProcess, ...otherDaemons]);
		},
		waitMs: configurationApplyMs + settleMs,
		expected: {added: unconfirmed, first: 'first', none: unconfirmed},
	},
	{
		title: 'not deny under a confirmation from before its process was paused',
		fault(deployment) {
			deployment.network.setState(testedDaemon, ProcessState.Paused);
		},
		waitMs: configurationApplyMs + settleMs,
		expected: {added: unconfirmed, first: 'first', none: unconfirmed},
	},
	{
		title: 'not deny any service after a restart before its first confirmation',
		fault(deployment) {
			cutOff(deployment, [storeProcess, ...otherDaemons]);
			deployment.startDaemon(testedDaemon);
		},
		waitMs: settleMs,
		expected: {added: unconfirmed, first: unconfirmed, none: unconfirmed},
	},
	{
		title: 'not deny while all daemons serve without the store',
		laterFault(deployment) {
			deployment.storeFaults.isDown = true;
		},
		waitMs: configurationApplyMs + settleMs,
		expected: {added: 'added', first: 'first', none: unconfirmed},
	},
];

for (const {title, fault, laterFault, waitMs, expected} of cases) {
	test.serial(`should ${title}`, async t => {
		const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
		const deployment = new FakeDeployment({
			daemons: 3,
			servers: 2,
			hasFencing: true,
			seed: 1,
			observer: {
				onLog: ignore, onPublish: ignore, onOrder: ignore, onDrained: ignore, onSend: ignore, onExecute: ignore,
			},
		});
		const configure = async (id: string, services: string[]) => {
			const manager = deployment.cores.get(otherDaemons[0])!.planManager;
			const submitted = manager.submit({id, kind: IntentKind.Configure, configuration: bodyOf(services)}, fakeCredentials.operator);
			await clock.tickAsync(100);
			await submitted;
			const confirmed = manager.confirm(id, fakeCredentials.veto);
			await clock.tickAsync(100);
			await confirmed;
		};

		try {
			await clock.tickAsync(settleMs);
			await configure('one', ['first']);
			await clock.tickAsync(settleMs);
			fault?.(deployment);
			await configure('two', ['first', 'added']);
			await clock.tickAsync(settleMs);
			laterFault?.(deployment);
			await clock.tickAsync(waitMs);
			const core = deployment.cores.get(testedDaemon)!;
			t.deepEqual({added: answerTo(core, '/added/1'), first: answerTo(core, '/first/1'), none: answerTo(core, '/none/1')}, expected);
		} finally {
			deployment.close();
			clock.uninstall();
		}
	});
}

function ignore(): void {
	// The test does not check what the observer gets.
}

/** Returns the service that takes a path, or the answer to the caller. */
function answerTo(core: RouterCore, path: string): string | number {
	try {
		const head = {
			method: 'GET', path, host: 'router', headers: {},
		};
		return matchRequest(head, core.replica.configuration.value).service.name;
	} catch (error) {
		return answerOf(core.denials, error as BadRequestError);
	}
}
