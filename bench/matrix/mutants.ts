/**
 * Mutations: deliberate bugs in the decisions, which show that the checks can fail. Only the bench and its tests apply them.
 */
import {Acknowledgements} from '../../src/decisions/acknowledgements.js';
import {Dispatcher} from '../../src/decisions/dispatcher.js';
import {DocumentWriter} from '../../src/decisions/document-writer.js';
import {InFlight} from '../../src/decisions/in-flight.js';
import {Replica} from '../../src/decisions/replica.js';
import {AttemptEnd, type AttemptResult} from '../../src/model/request.js';
import {Fault} from './faults.js';
import type {Cell} from './scenario.js';
import {Step} from './steps.js';

/** A mutation, with cells in which the checks must find a violation. */
export type Mutant = {
	name: string;
	/** False for servers that check neither epochs nor start-by deadlines, so that only the router itself prevents two owners. */
	hasFencing: boolean;
	cells: Cell[];
	/** Applies the mutation and returns the function that reverts it. */
	apply: () => () => void;
};

type Method = (...parameters: never[]) => unknown;

function replaceMethod(owner: unknown, name: string, replacement: (original: Method) => Method): () => void {
	const methods = owner as Record<string, Method>;
	const original = methods[name];
	methods[name] = replacement(original);
	return () => {
		methods[name] = original;
	};
}

export const mutants: Mutant[] = [
	{
		name: 'skip the route-lease check',
		hasFencing: true,
		cells: [{fault: Fault.CutZone, step: Step.MoveRecorded}, {fault: Fault.CutZone, step: Step.RequestSent}],
		apply: () => replaceMethod(Replica.prototype, 'leaseRemainingMs', () => () => 1000),
	},
	{
		name: 'grant before the acknowledgements',
		hasFencing: false,
		cells: [{fault: Fault.CutDaemons, step: Step.MoveRecorded}, {fault: Fault.MessagesDelayed, step: Step.MoveRecorded}],
		apply: () => replaceMethod(Acknowledgements.prototype, 'isOldOwnerOut', () => () => true),
	},
	{
		name: 'resend after an ambiguous failure',
		hasFencing: true,
		cells: [{fault: Fault.CutServerReplies, step: Step.RequestExecuting}, {fault: Fault.CutServerReplies, step: Step.RequestClaimed}],
		apply: () => replaceMethod(Dispatcher.prototype, 'outcomeOf', original => function (this: Dispatcher, ...parameters: never[]) {
			const result = parameters[2] as AttemptResult;
			return result.end === AttemptEnd.Ambiguous ? undefined : original.apply(this, parameters);
		}),
	},
	{
		name: 'act on waking without the term',
		hasFencing: false,
		cells: [{fault: Fault.LeaderPaused, step: Step.ShutdownReadiness}, {fault: Fault.LeaderPaused, step: Step.ShutdownLeadership}],
		apply: () => replaceMethod(DocumentWriter.prototype, 'write', original => async function (this: DocumentWriter, ...parameters: never[]): Promise<unknown> {
			const {transaction, key, ...rest} = parameters[0] as {transaction: Record<string, unknown>; key: string};
			const compare = key.includes('/assignments/') ? {compare: []} : {};
			return Reflect.apply(original, this, [{...rest, key, transaction: {...transaction, ...compare}}]);
		}),
	},
	{
		name: 'accept a lower version',
		hasFencing: true,
		cells: [{fault: Fault.MessagesDuplicated, step: Step.MoveRecorded}, {fault: Fault.MessagesDuplicated, step: Step.Submitted}],
		apply: () => replaceMethod(Replica.prototype, 'acceptAssignment', () => function (this: Replica, ...parameters: never[]) {
			const stored = parameters[0] as {value: {service: string}};
			const {assignments} = this as unknown as {assignments: Map<string, unknown>};
			assignments.set(stored.value.service, stored);
			return true;
		}),
	},
	{
		name: 'acknowledge without draining',
		hasFencing: false,
		cells: [{fault: Fault.StoreSlow, step: Step.MoveRecorded}, {fault: Fault.MessagesDelayed, step: Step.MoveRecorded}],
		apply: () => replaceMethod(InFlight.prototype, 'acknowledge', original => function (this: InFlight, ...parameters: never[]) {
			return {...original.apply(this, parameters) as Record<string, unknown>, inFlight: 0, startByRemainingMs: 0};
		}),
	},
];
