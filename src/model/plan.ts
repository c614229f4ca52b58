/**
 * Intents of operators and the plans computed for them.
 */
import {z} from 'zod';
import {configurationBodySchema} from './configuration.js';

/** Kind of change that an intent requests. */
export enum IntentKind {
	Configure = 'configure',
	Drain = 'drain',
	Restore = 'restore',
}

const intentId = z.string().min(1).max(128);

/** An operator's intent; a repeated submission with the same id is the same intent. */
export const intentSchema = z.discriminatedUnion('kind', [
	z.object({id: intentId, kind: z.literal(IntentKind.Configure), configuration: configurationBodySchema}),
	z.object({id: intentId, kind: z.literal(IntentKind.Drain), server: z.string().min(1)}),
	z.object({id: intentId, kind: z.literal(IntentKind.Restore), server: z.string().min(1)}),
]);
export type Intent = z.infer<typeof intentSchema>;

/** State of a plan. */
export enum PlanState {
	Open = 'open',
	Confirmed = 'confirmed',
	Rejected = 'rejected',
}

/** Effect of a plan on one service. */
export type ServiceEffect = {
	service: string;
	/** Ownership version of the service that the effect was computed from. */
	baseVersion: number;
	/** Number of shards that move, by old and new server. */
	moves: Array<{from: string | undefined; to: string; shards: number}>;
	/** Upper bound of the pause of one moving key, in milliseconds. */
	maxPauseMs: number;
	/** Descriptions of the requests that could be refused as "not run". */
	refusals: string[];
};

/** A plan, valid only for the versions it was computed from. */
export type Plan = {
	id: string;
	intent: Intent;
	state: PlanState;
	baseConfigurationVersion: number;
	effects: ServiceEffect[];
	/** Customers whose veto holders must confirm. */
	customers: string[];
	/** Customers whose veto holders have confirmed. */
	approvals: string[];
	/** Description of the plan, one sentence per line. */
	summary: string[];
	token: string;
};
