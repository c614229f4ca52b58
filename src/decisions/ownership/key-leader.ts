/**
 * The leader of all keyed services; it acts only while its leadership is proved.
 */
import type {FleetView} from '../fleet/fleet-view.js';
import {ServiceKeys, type ServiceKeysOptions} from './service-keys.js';
import {HoldPolicy, type HoldLimits} from './hold-policy.js';
import {Leadership, type LeadershipOptions} from './leadership.js';
import {TargetTrust} from './target-trust.js';

/** Most keys of requests that are remembered between two balances, for each service; the rest is a sample. */
const keySampleLimit = 4000;

/** What the leader needs. */
export type KeyLeaderOptions = LeadershipOptions & Omit<ServiceKeysOptions, 'leadership' | 'policy' | 'trust'> & {limits: HoldLimits};

/** Takes leadership and does the leader's work. */
export class KeyLeader {
	readonly leadership: Leadership;
	private readonly view: FleetView;
	private readonly policy: HoldPolicy;
	private trust = new TargetTrust();
	private readonly services = new Map<string, ServiceKeys>();
	private term = 0;

	constructor(private readonly options: KeyLeaderOptions) {
		this.leadership = new Leadership(options);
		this.policy = new HoldPolicy(options.limits);
		this.view = options.view;
	}

	/** Called regularly. */
	tick(now = performance.now()): void {
		this.leadership.tick(now);
		this.beginTerm();
		// A daemon that was suspended has to prove its leadership anew before it gives another order.
		if (!this.leadership.isProved) {
			return;
		}

		this.updateServices(now);
		for (const service of this.services.values()) {
			service.tick(now);
		}

		this.trust.prune(now);
	}

	/** Notes keys that were asked for at any daemon. */
	noteKeys(service: string, keys: readonly number[]): void {
		this.services.get(service)?.heat.add(keys.slice(0, keySampleLimit));
	}

	/** What earlier terms knew is void. */
	private beginTerm(): void {
		if (this.leadership.isLeader && this.term === this.leadership.termCount) {
			return;
		}

		this.services.clear();
		this.trust = new TargetTrust();
		this.term = this.leadership.isLeader ? this.leadership.termCount : 0;
	}

	private updateServices(now: number): void {
		const rules = this.view.configuration?.services;
		if (!rules) {
			return;
		}

		for (const name of this.services.keys()) {
			if (!rules.get(name)?.isKeyed) {
				this.services.delete(name);
			}
		}

		for (const rule of rules.values()) {
			if (!rule.isKeyed) {
				continue;
			}

			const service = this.services.get(rule.name);
			if (service) {
				service.rule = rule;
				continue;
			}

			const {leadership, policy, trust} = this;
			this.services.set(rule.name, new ServiceKeys(rule, {
				...this.options, leadership, policy, trust,
			}, now));
		}
	}
}

