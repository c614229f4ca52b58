/**
 * The leader of all keyed services; it acts only while its leadership is confirmed.
 */
import type {FleetView} from '../fleet/fleet-view.js';
import {AssignmentManager, type AssignmentManagerOptions} from './assignment-manager.js';
import {HoldPolicy, type HoldLimits} from './hold-policy.js';
import {Leadership, type LeadershipOptions} from './leadership.js';
import {TargetResponsiveness} from './target-responsiveness.js';

/** Most request keys taken from one report for a service; a longer report is cut off here and serves as a sample. */
const keySampleLimit = 4000;

/** Dependencies and settings of the leader. */
export type KeyLeaderOptions = LeadershipOptions & Omit<AssignmentManagerOptions, 'leadership' | 'policy' | 'responsiveness'> & {limits: HoldLimits};

/** Acquires leadership and manages the keyed services while it lasts. */
export class KeyLeader {
	readonly leadership: Leadership;
	private readonly view: FleetView;
	private readonly policy: HoldPolicy;
	private responsiveness = new TargetResponsiveness();
	private readonly services = new Map<string, AssignmentManager>();
	private currentTerm = 0;

	constructor(private readonly options: KeyLeaderOptions) {
		this.leadership = new Leadership(options);
		this.policy = new HoldPolicy(options.limits);
		this.view = options.view;
	}

	/** Number of grants of this term that may arrive after they were given up. */
	get unansweredGrants(): number {
		return [...this.services.values()].reduce((sum, service) => sum + service.unansweredGrants, 0);
	}

	/** Called at regular intervals. */
	tick(now = performance.now()): void {
		this.leadership.tick(now);
		this.resetOnTermChange();
		// After a suspension, leadership has to be confirmed again before the daemon sends another order.
		if (!this.leadership.isConfirmed) {
			return;
		}

		this.updateServices(now);
		for (const service of this.services.values()) {
			service.tick(now);
		}

		this.responsiveness.prune(now);
	}

	/** Records the keys of requests that any daemon received. */
	recordKeys(service: string, keys: readonly number[]): void {
		this.services.get(service)?.requestRates.add(keys.slice(0, keySampleLimit));
	}

	/** Discards the state of earlier terms when a term starts or ends. */
	private resetOnTermChange(): void {
		if (this.leadership.isLeader && this.currentTerm === this.leadership.termCount) {
			return;
		}

		this.services.clear();
		this.responsiveness = new TargetResponsiveness();
		this.currentTerm = this.leadership.isLeader ? this.leadership.termCount : 0;
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

			const {leadership, policy, responsiveness} = this;
			this.services.set(rule.name, new AssignmentManager(rule, {
				...this.options, leadership, policy, responsiveness,
			}, now));
		}
	}
}

