import {createHash} from 'node:crypto';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {CoordinationPolicy} from '../../src/decisions/admission/coordination-policy.js';
import {SlotRequests} from '../../src/decisions/admission/slot-requests.js';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {Forwarder, type ForwarderOptions} from '../../src/decisions/forwarding/forwarder.js';
import {TargetLoads} from '../../src/decisions/forwarding/target-loads.js';
import {currentMoment} from '../../src/decisions/ownership/moment.js';
import {TargetState} from '../../src/model/fleet.js';
import {AttemptEnd, type AttemptResult} from '../../src/model/forwarding.js';
import {callerRequest} from '../../standins/caller-request.js';
import {createLonePermits} from '../../standins/lone-permits.js';

const requestCount = 400;

/** Ends of attempts; the random numbers of the test select one. */
const ends: AttemptResult[] = [
	...Array.from({length: 7}, () => ({end: AttemptEnd.Answered, answer: {status: 200, headers: {}}, body: new Uint8Array([1])})),
	{end: AttemptEnd.Answered, answer: {status: 500, headers: {}}, body: new Uint8Array([1])},
	{end: AttemptEnd.Refused},
	{end: AttemptEnd.Ambiguous},
];

/** Returns a digest of all attempts and outcomes of a run with fixed random numbers. */
async function digestOfRun(additions: Partial<ForwarderOptions>): Promise<string> {
	const clock = FakeTimers.install({now: 1_800_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
	const generator = xoroshiro128plus(11);
	const draw = (limit: number): number => uniformInt(generator, 0, limit - 1);
	const view = new FleetView();
	view.applyConfiguration({
		version: 1,
		routes: ['read', 'order'].map((name, priority) => ({
			name,
			host: 'host',
			prefix: `/${name}/`,
			shares: [{service: 'plain', weight: 1}],
			isIdempotent: name === 'read',
			timeoutMs: 1000,
			targetLatencyMs: 300,
			priority: 1,
			maxAttempts: 2 + priority,
		})),
		services: new Map([['plain', {
			name: 'plain', healthPath: '/health', maxConnections: 100, isKeyed: false, keyWarmUpMs: 0,
		}]]),
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		hasUnknownRoutes: false,
		hasUnknownLimits: false,
		faults: [],
	});
	view.freshness.confirm(currentMoment());
	for (let index = 0; index < 9; index += 1) {
		view.applyTarget({
			id: `plain-${index}`,
			bornAt: 1,
			address: `plain-${index}:1`,
			service: 'plain',
			availabilityZone: `zone-${index % 3}`,
			softwareVersion: 'v1',
			slots: 3,
			state: TargetState.Ready,
			warmUpLeftMs: index === 4 ? 3000 : 0,
		});
	}

	const lines: string[] = [];
	const forwarder = new Forwarder({
		availabilityZone: 'zone-1',
		view,
		loads: new TargetLoads(),
		...createLonePermits({record: () => undefined}),
		transport: {
			async send(request, attempt) {
				lines.push(`${request.requestId} ${attempt.target.id} ${attempt.timeoutMs} ${attempt.budgetMs} ${attempt.connectionLimit}`);
				const end = ends[draw(ends.length)] ?? {end: AttemptEnd.NotSent};
				await new Promise(resolve => {
					setTimeout(resolve, Math.min(attempt.timeoutMs, 20 + draw(400)));
				});
				return end;
			},
		},
		log: {record: () => undefined},
		retryRatio: 0.2,
		retryReserve: 60,
		random: () => draw(1_000_000) / 1_000_000,
		recordKey: () => undefined,
		...additions,
	});
	try {
		const outcomes = [];
		for (let index = 0; index < requestCount; index += 1) {
			outcomes.push(forwarder.forward(callerRequest(`/${index % 4 === 0 ? 'order' : 'read'}/a`, {requestId: `request-${index}`, key: undefined})));
			// eslint-disable-next-line no-await-in-loop -- requests arrive one after the other.
			await clock.tickAsync(draw(30));
		}

		await clock.tickAsync(5000);
		for (const {kind, reason, retryAfterMs} of await Promise.all(outcomes)) {
			lines.push(`${kind} ${reason} ${retryAfterMs}`);
		}
	} finally {
		clock.uninstall();
	}

	return createHash('sha256').update(lines.join('\n')).digest('hex').slice(0, 16);
}

const unusedRequests = new SlotRequests({
	availabilityZone: 'zone-1',
	groups: {
		groupsOf() {
			throw new Error('expected no request for a slot');
		},
	},
	link: {
		request: () => undefined, release: () => undefined, confirm: () => undefined, tick: () => undefined,
	},
	log: {record: () => undefined},
	random: () => 0.5,
});

/** Guards against changes of decisions for services that are not coordinated; the digest was recorded before coordination existed. */
for (const {title, additions} of [
	{title: 'without coordination', additions: {}},
	{title: 'with coordination of other services', additions: {coordination: {policy: new CoordinationPolicy(), requests: unusedRequests}}},
]) {
	test.serial(`should choose the same targets with the same random numbers as before, ${title}`, async t => {
		t.is(await digestOfRun(additions), '5258c9222ab7e623');
	});
}
