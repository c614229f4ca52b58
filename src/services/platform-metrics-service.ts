/**
 * Service "metrics" on the users' platform: serves counters, gauges and latency histograms as text on a separate port.
 */
import {createServer} from 'node:http';
import process from 'node:process';
import type {Service, ServiceSchema} from 'moleculer';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {CallerRequest, Outcome} from '../model/forwarding.js';

/** Bucket bounds of the latency histogram in seconds, around the users' latency objectives. */
const latencyBucketsS = [0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6];

const metricsPath = '/metrics';

const secondMs = 1000;

/** Values read on each scrape. */
export type MetricSources = {
	inFlight(): number;
	storeCalls(): number;
	targetConnections(): number;
	isLeader(): boolean;
	/** Grants that may arrive after they were given up. */
	unansweredGrants(): number;
	/** Ranges whose former owners have not proved that they no longer hold them. */
	unreleasedRanges(): number;
	configurationVersion(): number;
	/** Age of the evidence that this version is the newest, in milliseconds. */
	configurationEvidenceAgeMs(): number;
	/** Era of the store; 0 while it names none. */
	storeEra(): number;
	/** Age of the evidence that the known owners of keys are the newest ones, in milliseconds. */
	ownerEvidenceAgeMs(): number;
	isStoreReachable(): boolean;
	/** Targets that name a limit. */
	limitedTargets(): number;
	/** Time since a limit in force was last named, in milliseconds. */
	oldestLimitAgeMs(): number;
	/** Attempts since the start at targets that name a limit. */
	limitedAttempts(): number;
	/** Attempts since the start that were not sent to a target on account of its limit. */
	deniedPermits(): number;
	/** Targets that want no requests from this daemon at present. */
	pausedTargets(): number;
	/** Targets that said that they are leaving. */
	leavingTargets(): number;
	/** Requests for slots of coordinated services since the start. */
	slots(): {granted: number; queued: number; denied: number; uncoordinated: number};
	/** Average time that a request recently waited for its slot, in milliseconds. */
	meanSlotWaitMs(): number;
	/** Attempts since the start that were given up because their targets stayed silent. */
	silentAttempts(): number;
	/** Answers since the start whose status says that the request did not run although it may have. */
	unprovedRefusals(): number;
	/** Targets with a bound on their warm-up that are cold. */
	coldTargets(): number;
	/** Availability zones that are evacuated. */
	evacuatedZones(): number;
	/** Key ranges that targets in these zones own or may hold. */
	evacuatedRanges(): number;
	/** True while this daemon reaches no target and relays its requests. */
	isCutOff(): boolean;
	/** Requests since the start that were relayed to peers. */
	relayedRequests(): number;
	/** Requests since the start that peers relayed to this daemon. */
	receivedRelays(): number;
	/** Bytes of answers and request bodies that are held for callers and targets. */
	heldBytes(): number;
};

/** Metrics of one daemon in their own registry. */
export class PlatformMetrics {
	readonly registry = new Registry();
	private readonly requests = new Counter({
		name: 'eelgrasswheel_requests_total', help: 'Requests by route, outcome and reason.', labelNames: ['route', 'outcome', 'reason'], registers: [this.registry],
	});

	private readonly latency = new Histogram({
		name: 'eelgrasswheel_request_seconds', help: 'Time from the arrival of a request to its final answer.', labelNames: ['route', 'outcome'], buckets: latencyBucketsS, registers: [this.registry],
	});

	constructor(sources: MetricSources) {
		this.addGauge('requests_in_flight', 'Requests without a final answer.', () => sources.inFlight());
		this.addGauge('store_calls', 'Calls to the platform\'s store since the start.', () => sources.storeCalls());
		this.addGauge('target_connections_opened', 'Connections to targets that were opened since the start.', () => sources.targetConnections());
		this.addGauge('leader', '1 while this daemon leads the keyed services.', () => Number(sources.isLeader()));
		this.addGauge('unanswered_grants', 'Grants of this leader that got no answer and may still arrive.', () => sources.unansweredGrants());
		this.addGauge('unreleased_ranges', 'Ranges whose former owners have not proved that they no longer hold them.', () => sources.unreleasedRanges());
		this.addGauge('configuration_version', 'Version of the configuration in force.', () => sources.configurationVersion());
		this.addGauge('configuration_evidence_age_seconds', 'Age of the evidence that this version is the newest one.', () => sources.configurationEvidenceAgeMs() / secondMs);
		this.addGauge('store_era', 'Era of the platform\'s store, which rises at each restore from a copy; 0 while it names none.', () => sources.storeEra());
		this.addGauge('owner_evidence_age_seconds', 'Age of the evidence that the known owners of keys are the newest ones.', () => sources.ownerEvidenceAgeMs() / secondMs);
		this.addGauge('store_reachable', '1 while the platform\'s store answers.', () => Number(sources.isStoreReachable()));
		this.addGauge('limited_targets', 'Targets that name a limit.', () => sources.limitedTargets());
		this.addGauge('oldest_limit_age_seconds', 'Time since a limit in force was last named, for the target of which this is longest.', () => sources.oldestLimitAgeMs() / secondMs);
		this.addGauge('limited_attempts', 'Attempts since the start at targets that name a limit.', () => sources.limitedAttempts());
		this.addGauge('denied_permits', 'Attempts since the start that were not sent to a target on account of its limit.', () => sources.deniedPermits());
		this.addGauge('paused_targets', 'Targets that want no requests from this daemon at present.', () => sources.pausedTargets());
		this.addGauge('leaving_targets', 'Targets that said in an answer that they are leaving.', () => sources.leavingTargets());
		this.addGauge('granted_slots', 'Requests since the start that a coordinator granted a slot.', () => sources.slots().granted);
		this.addGauge('queued_slot_requests', 'Requests since the start that waited at a coordinator for a slot.', () => sources.slots().queued);
		this.addGauge('denied_slots', 'Requests since the start that a coordinator denied a slot.', () => sources.slots().denied);
		this.addGauge('uncoordinated_requests', 'Requests since the start whose target this daemon chose on its own because no coordinator answered.', () => sources.slots().uncoordinated);
		this.addGauge('slot_wait_mean_seconds', 'Average time that a request recently waited for its slot.', () => sources.meanSlotWaitMs() / secondMs);
		this.addGauge('silent_attempts', 'Attempts since the start that were given up because their targets stayed silent.', () => sources.silentAttempts());
		this.addGauge('unproved_refusals', 'Answers of targets since the start whose status says, without proof, that the request did not run.', () => sources.unprovedRefusals());
		this.addGauge('cold_targets', 'Targets with a bound on their warm-up that are cold.', () => sources.coldTargets());
		this.addGauge('evacuated_zones', 'Availability zones that are evacuated.', () => sources.evacuatedZones());
		this.addGauge('evacuated_ranges', 'Key ranges that targets in evacuated zones own or may hold.', () => sources.evacuatedRanges());
		this.addGauge('cut_off', '1 while this daemon reaches no target and relays its requests through peers.', () => Number(sources.isCutOff()));
		this.addGauge('relayed_requests', 'Requests since the start that were relayed to peers.', () => sources.relayedRequests());
		this.addGauge('received_relays', 'Requests since the start that peers relayed to this daemon.', () => sources.receivedRelays());
		this.addGauge('held_bytes', 'Bytes of answers and request bodies held for callers and targets.', () => sources.heldBytes());
		this.addGauge('resident_bytes', 'Memory of the process.', () => process.memoryUsage.rss());
	}

	/** Records the outcome and latency of a request. */
	recordOutcome(request: CallerRequest, outcome: Outcome): void {
		const route = outcome.route?.name ?? 'none';
		this.requests.inc({route, outcome: outcome.kind, reason: outcome.reason ?? 'none'});
		this.latency.observe({route, outcome: outcome.kind}, (performance.now() - request.receivedAt) / secondMs);
	}

	private addGauge(name: string, help: string, read: () => number): void {
		const gauge = new Gauge({
			name: `eelgrasswheel_${name}`, help, registers: [this.registry], collect() {
				gauge.set(read());
			},
		});
	}
}

export function createPlatformMetricsService(metrics: PlatformMetrics, {ip, port}: {ip: string; port: number}): ServiceSchema {
	const server = createServer((request, response) => {
		if (request.url !== metricsPath) {
			response.writeHead(404);
			response.end();
			return;
		}

		void metrics.registry.metrics().then(text => {
			response.writeHead(200, {'content-type': metrics.registry.contentType});
			response.end(text);
		});
	});
	return {
		name: 'metrics',
		async started(this: Service) {
			return new Promise<void>((resolve, reject) => {
				server.once('error', reject);
				server.listen({host: ip, port}, () => {
					server.off('error', reject);
					resolve();
				});
			});
		},
		stopped() {
			server.close();
			server.closeAllConnections();
		},
	};
}
