/**
 * Intents of operators and the plans that answer them.
 */
import {z} from 'zod';
import {configurationBodySchema} from './configuration.js';

/** What an intent asks for. */
export enum IntentKind {
	Configure = 'configure',
	Drain = 'drain',
	Restore = 'restore',
}

const intentId = z.string().min(1).max(128);

/** An operator's intent; submitting the same id twice is one intent. */
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
	/** Requests that could be refused as "not run", in words. */
	refusals: string[];
};

/** A plan, bound to the versions it was computed from. */
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
	/** The plan in words, one sentence a line. */
	summary: string[];
	token: string;
};
