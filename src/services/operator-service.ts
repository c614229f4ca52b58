/**
 * Service "operator": serves intents, plans and the state of the daemon to operators.
 */
import type {Context, ServiceSchema} from 'moleculer';
import type {BurnRecorder} from '../decisions/burn-recorder.js';
import type {RouterCore} from '../decisions/router-core.js';
import type {Assignment} from '../model/assignment.js';
import type {BurnSample} from '../model/burn.js';
import {StoreUnavailableError} from '../model/errors.js';
import type {DaemonStatus} from '../model/peer.js';
import type {Intent, Plan} from '../model/plan.js';

type PlanDecision = {planId: string; credential: string};

export function createOperatorService(core: RouterCore, burnRecorder: BurnRecorder): ServiceSchema {
	return {
		name: 'operator',
		actions: {
			async submit(context: Context<{intent: Intent; credential: string}>): Promise<Plan> {
				return core.planManager.submit(context.params.intent, context.params.credential);
			},
			async confirm(context: Context<PlanDecision>): Promise<Plan> {
				return core.planManager.confirm(context.params.planId, context.params.credential);
			},
			async reject(context: Context<PlanDecision>): Promise<Plan> {
				return core.planManager.reject(context.params.planId, context.params.credential);
			},
			async showPlan(context: Context<{planId: string}>): Promise<Plan> {
				return core.planManager.show(context.params.planId);
			},
			async listPlans(): Promise<Plan[]> {
				return core.planManager.list();
			},
			async history(context: Context<{service: string}>): Promise<unknown[]> {
				return core.planManager.history(context.params.service);
			},
			assignment(context: Context<{service: string}>): Assignment | undefined {
				const known = core.replica.assignment(context.params.service);
				if (!known && !core.denials.mayDeny()) {
					throw new StoreUnavailableError('this daemon cannot confirm whether the service has an assignment');
				}

				return known?.value;
			},
			status(): DaemonStatus {
				return core.status();
			},
			peerAddresses(): Array<{daemon: string; address: string}> {
				return core.directory.peers().map(vm => ({daemon: vm.id, address: vm.address}));
			},
			burn(): BurnSample[] {
				return burnRecorder.all();
			},
			requireReader(context: Context<{credential: string}>): void {
				core.planManager.requireReader(context.params.credential);
			},
		},
	};
}
