/**
 * Intents, plans and confirmations, kept in the store.
 */
import {randomUUID, timingSafeEqual, createHash} from 'node:crypto';
import {isDeepStrictEqual} from 'node:util';
import type {Assignment} from '../model/assignment.js';
import {emptyConfiguration, type Configuration} from '../model/configuration.js';
import {Deadline} from '../model/deadline.js';
import {
	ConflictError, ErrorCode, OperatorRefusalError, type RouterError,
} from '../model/errors.js';
import {LogEvent, type EventLog} from '../model/events.js';
import {storeKeys, type KeyValueStore, type StoreVersion} from '../model/key-value-store.js';
import {PlanState, type Intent, type Plan} from '../model/plan.js';
import type {Timing} from '../model/timing.js';
import {DocumentWriter} from './document-writer.js';
import type {Placement} from './placement.js';
import {applyIntent, computePlan, type PlanBase} from './planner.js';

/** Credentials that the daemon accepts. */
export type Credentials = {
	operatorToken: string;
	/** Veto holders' tokens by customer. */
	vetoTokens: Map<string, string>;
};

/** Dependencies of a plan manager. */
export type PlanManagerParts = {
	store: KeyValueStore;
	credentials: Credentials;
	placement: Placement;
	timing: Timing;
	log: EventLog;
};

/** Number of ids of confirmed intents that the configuration keeps. */
const maxAppliedIntents = 1000;

/** Largest number of attempts at a confirmation that conflicts with other writes. */
const maxConfirmAttempts = 5;

/** Timeout of one store call of an operator's request, in milliseconds. */
const storeCallTimeoutMs = 1000;

type VersionedPlanBase = PlanBase & {
	versions: StoreVersion[];
};

/**
 * Computes plans for intents and applies confirmed plans. Every refusal has an error code and changes nothing.
 */
export class PlanManager {
	private readonly writer: DocumentWriter;

	constructor(private readonly parts: PlanManagerParts) {
		this.writer = new DocumentWriter(parts.store, storeCallTimeoutMs);
	}

	/** Returns the plan for an intent. Submissions with the same id are the same intent. */
	async submit(intent: Intent, credential: string): Promise<Plan> {
		this.requireOperator(credential);
		const key = storeKeys.plan(intent.id);
		const existing = await this.readPlan(intent.id);
		if (existing && !isDeepStrictEqual(existing.plan.intent, intent)) {
			throw this.refuse(ErrorCode.Conflict, `Intent ${intent.id} was submitted before with different content.`, 'Use a new id for a new intent.');
		}

		if (existing && existing.plan.state !== PlanState.Open) {
			return existing.plan;
		}

		const base = await this.readBase();
		if (existing && !this.isStale(existing.plan, base)) {
			return existing.plan;
		}

		const plan = {...computePlan(intent, base, this.parts), token: randomUUID()};
		await this.writer.write({
			key,
			token: plan.token,
			transaction: {compare: [{key, modRevision: existing?.modRevision ?? 0}], puts: [{key, value: JSON.stringify(plan)}]},
		});
		this.parts.log.record(LogEvent.PlanCreated, {plan: plan.id, baseVersion: plan.baseConfigurationVersion});
		return plan;
	}

	/**
	 * Confirms a plan for the customer whose veto credential is given. The last missing confirmation applies the plan.
	 *
	 * @throws {OperatorRefusalError} for a wrong credential, a closed plan or a stale base
	 */
	async confirm(planId: string, credential: string): Promise<Plan> {
		for (let attempt = 1; ; attempt++) {
			try {
				// eslint-disable-next-line no-await-in-loop -- each attempt reads the base again.
				return await this.confirmOnce(planId, credential);
			} catch (error) {
				// A leader may have written an assignment between the read and the commit. If it changed an owner, the next attempt
				// finds the plan stale.
				if (!(error instanceof ConflictError) || attempt === maxConfirmAttempts) {
					throw error;
				}
			}
		}
	}

	/** Rejects a plan, on behalf of an operator or of a veto holder of an affected customer. */
	async reject(planId: string, credential: string): Promise<Plan> {
		const {plan, modRevision} = await this.requirePlan(planId);
		const isVetoHolder = this.customersOf(credential).some(customer => plan.customers.includes(customer));
		if (!isVetoHolder) {
			this.requireOperator(credential);
		}

		this.requireOpen(plan);
		const next = {...plan, state: PlanState.Rejected, token: randomUUID()};
		await this.commit(next, modRevision, undefined);
		this.parts.log.record(LogEvent.PlanRejected, {plan: planId});
		return next;
	}

	async show(planId: string): Promise<Plan> {
		const {plan} = await this.requirePlan(planId);
		return plan;
	}

	async list(): Promise<Plan[]> {
		const entries = await this.parts.store.readPrefix(storeKeys.plans, Deadline.after(storeCallTimeoutMs, 'reading plans'));
		return entries.map(entry => JSON.parse(entry.value) as Plan);
	}

	/** Returns the records of an assignment's last changes, oldest first. */
	async history(service: string): Promise<unknown[]> {
		const entries = await this.parts.store.readPrefix(storeKeys.historyPrefix(service), Deadline.after(storeCallTimeoutMs, 'reading the history'));
		return entries.map(entry => JSON.parse(entry.value) as unknown);
	}

	/** Requires the credential of an operator or a veto holder; both may read the state of the router. */
	requireReader(credential: string): void {
		if (this.customersOf(credential).length === 0) {
			this.requireOperator(credential);
		}
	}

	requireOperator(credential: string): void {
		if (!isSameSecret(credential, this.parts.credentials.operatorToken)) {
			throw this.refuse(ErrorCode.NotAuthorized, 'The credential is not that of an operator.', 'Use the operator\'s credential.');
		}
	}

	private async confirmOnce(planId: string, credential: string): Promise<Plan> {
		const {plan, modRevision} = await this.requirePlan(planId);
		const customers = this.customersOf(credential);
		this.requireVetoHolder(plan, customers);
		this.requireOpen(plan);
		const base = await this.readBase();
		if (this.isStale(plan, base)) {
			throw this.refuse(ErrorCode.StalePlan, `Plan ${planId} was computed from an older version.`, 'Submit the intent again and read the new plan.');
		}

		const approvals = [...new Set([...plan.approvals, ...plan.customers.filter(customer => customers.includes(customer))])];
		const isComplete = plan.customers.every(customer => approvals.includes(customer));
		const next: Plan = {
			...plan, approvals, state: isComplete ? PlanState.Confirmed : PlanState.Open, token: randomUUID(),
		};
		await this.commit(next, modRevision, isComplete ? base : undefined);
		this.parts.log.record(LogEvent.PlanConfirmed, {plan: planId, complete: isComplete, customers: customers.join(',')});
		return next;
	}

	private requireVetoHolder(plan: Plan, customers: string[]): void {
		if (plan.customers.length > 0 && !plan.customers.some(customer => customers.includes(customer))) {
			throw this.refuse(
				ErrorCode.NotAuthorized,
				`The credential is not that of a veto holder of ${plan.customers.join(', ')}.`,
				'Use the credential of the customer\'s veto holder.',
			);
		}
	}

	private async commit(plan: Plan, planRevision: number, base: VersionedPlanBase | undefined): Promise<void> {
		const key = storeKeys.plan(plan.id);
		const compare = [{key, modRevision: planRevision}, ...base?.versions ?? []];
		const puts = [{key, value: JSON.stringify(plan)}];
		if (base) {
			const configuration: Configuration = {
				version: base.configuration.version + 1,
				body: applyIntent(base.configuration.body, plan.intent),
				appliedIntents: [...base.configuration.appliedIntents, plan.intent.id].slice(-maxAppliedIntents),
				token: plan.token,
			};
			puts.push({key: storeKeys.configuration, value: JSON.stringify(configuration)});
		}

		await this.writer.write({key, token: plan.token, transaction: {compare, puts}});
	}

	private isStale(plan: Plan, base: PlanBase): boolean {
		if (plan.baseConfigurationVersion !== base.configuration.version) {
			return true;
		}

		return plan.effects.some(effect => (base.assignments.get(effect.service)?.ownershipVersion ?? 0) !== effect.baseVersion);
	}

	private async readBase(): Promise<VersionedPlanBase> {
		const entries = await this.parts.store.readPrefix(storeKeys.documents, Deadline.after(storeCallTimeoutMs, 'reading documents'));
		const versions: StoreVersion[] = [{key: storeKeys.configuration, modRevision: 0}];
		const base: VersionedPlanBase = {configuration: emptyConfiguration, assignments: new Map(), versions};
		for (const {key, value, modRevision} of entries) {
			if (key === storeKeys.configuration) {
				base.configuration = JSON.parse(value) as Configuration;
				versions[0] = {key, modRevision};
				continue;
			}

			const assignment = JSON.parse(value) as Assignment;
			base.assignments.set(assignment.service, assignment);
			versions.push({key, modRevision});
		}

		return base;
	}

	private async readPlan(planId: string): Promise<{plan: Plan; modRevision: number} | undefined> {
		const entry = await this.parts.store.read(storeKeys.plan(planId), Deadline.after(storeCallTimeoutMs, `reading plan ${planId}`));
		return entry ? {plan: JSON.parse(entry.value) as Plan, modRevision: entry.modRevision} : undefined;
	}

	private async requirePlan(planId: string): Promise<{plan: Plan; modRevision: number}> {
		const found = await this.readPlan(planId);
		if (!found) {
			throw this.refuse(ErrorCode.UnknownPlan, `There is no plan ${planId}.`, 'List the plans with "eelgrasswheel plan list".');
		}

		return found;
	}

	private requireOpen(plan: Plan): void {
		if (plan.state !== PlanState.Open) {
			throw this.refuse(ErrorCode.PlanClosed, `Plan ${plan.id} is ${plan.state}.`, 'Submit a new intent for another change.');
		}
	}

	private customersOf(credential: string): string[] {
		return [...this.parts.credentials.vetoTokens].filter(([, token]) => isSameSecret(credential, token)).map(([customer]) => customer);
	}

	private refuse(code: ErrorCode, message: string, nextStep: string): RouterError {
		this.parts.log.record(LogEvent.OperatorRefused, {code, message});
		return new OperatorRefusalError(code, message, nextStep);
	}
}

function isSameSecret(given: string, expected: string): boolean {
	const digest = (text: string) => createHash('sha256').update(text).digest();
	return expected !== '' && timingSafeEqual(digest(given), digest(expected));
}
