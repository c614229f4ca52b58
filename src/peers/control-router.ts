/**
 * Procedures of the control interface, called by other daemons and by operators.
 */
import {initTRPC, TRPCError} from '@trpc/server';
import {z} from 'zod';
import type {Assignment, Stored} from '../model/assignment.js';
import {RouterError, type ErrorCode} from '../model/errors.js';
import type {
	Acknowledgement, DaemonStatus, DocumentUpdate, KnownVersions, LoadReport, PeerConfirmation, ServerProbeResult,
} from '../model/peer.js';
import {intentSchema, type Intent, type Plan} from '../model/plan.js';
import type {BurnSample} from '../model/burn.js';
import {knownVersionsSchema, storedAssignmentSchema} from './document-schemas.js';

/** Handlers of calls from other daemons. */
export type PeerHandlers = {
	onConfirm(): Promise<PeerConfirmation>;
	onFetchDocuments(known: KnownVersions): Promise<DocumentUpdate>;
	onPublish(stored: Stored<Assignment>): Promise<Acknowledgement>;
	onProbeServer(server: string): Promise<ServerProbeResult>;
	onAnnounceLeaving(daemon: string): Promise<void>;
	onLoadReport(service: string): Promise<LoadReport>;
};

/** Handlers of calls from operators and veto holders. */
export type OperatorHandlers = {
	submit(intent: Intent, credential: string): Promise<Plan>;
	confirm(planId: string, credential: string): Promise<Plan>;
	reject(planId: string, credential: string): Promise<Plan>;
	showPlan(planId: string): Promise<Plan>;
	listPlans(): Promise<Plan[]>;
	history(service: string): Promise<unknown[]>;
	assignment(service: string): Promise<Assignment | undefined>;
	status(): Promise<DaemonStatus>;
	peerAddresses(): Promise<Array<{daemon: string; address: string}>>;
	burn(): Promise<BurnSample[]>;
	requireReader(credential: string): Promise<void>;
};

/** Context of a call. */
export type ControlContext = {
	credential: string;
	/** True if the credential is the daemons' shared secret. */
	isPeer: boolean;
	peers: PeerHandlers;
	operators: OperatorHandlers;
};

/** Failure in the format that the command line reads. */
export type ControlFailure = {
	code: ErrorCode;
	message: string;
	nextStep: string;
};

const trpc = initTRPC.context<ControlContext>().create({
	errorFormatter({shape, error}) {
		const failure: ControlFailure | undefined = error.cause instanceof RouterError
			? {code: error.cause.code, message: error.cause.message, nextStep: error.cause.nextStep}
			: undefined;
		return {...shape, data: {...shape.data, stack: undefined, failure}};
	},
});

const peerProcedure = trpc.procedure.use(async ({ctx, next}) => {
	if (!ctx.isPeer) {
		throw new TRPCError({code: 'UNAUTHORIZED', message: 'The call requires the daemons\' shared secret.'});
	}

	return next();
});

const readerProcedure = trpc.procedure.use(async ({ctx, next}) => {
	await ctx.operators.requireReader(ctx.credential);
	return next();
});

const planId = z.object({planId: z.string()});
const serviceName = z.object({service: z.string()});

/** The control interface of a daemon. */
export const controlRouter = trpc.router({
	confirmDocuments: peerProcedure.query(async ({ctx}) => ctx.peers.onConfirm()),
	fetchDocuments: peerProcedure.input(knownVersionsSchema).query(async ({ctx, input}) => ctx.peers.onFetchDocuments(input)),
	publish: peerProcedure.input(storedAssignmentSchema).mutation(async ({ctx, input}) => ctx.peers.onPublish(input)),
	probeServer: peerProcedure.input(z.object({server: z.string()})).query(async ({ctx, input}) => ctx.peers.onProbeServer(input.server)),
	announceLeaving: peerProcedure.input(z.object({daemon: z.string()})).mutation(async ({ctx, input}) => ctx.peers.onAnnounceLeaving(input.daemon)),
	loadReport: peerProcedure.input(serviceName).mutation(async ({ctx, input}) => ctx.peers.onLoadReport(input.service)),
	submitIntent: trpc.procedure.input(intentSchema).mutation(async ({ctx, input}) => ctx.operators.submit(input, ctx.credential)),
	confirmPlan: trpc.procedure.input(planId).mutation(async ({ctx, input}) => ctx.operators.confirm(input.planId, ctx.credential)),
	rejectPlan: trpc.procedure.input(planId).mutation(async ({ctx, input}) => ctx.operators.reject(input.planId, ctx.credential)),
	showPlan: trpc.procedure.input(planId).query(async ({ctx, input}) => ctx.operators.showPlan(input.planId)),
	listPlans: trpc.procedure.query(async ({ctx}) => ctx.operators.listPlans()),
	status: readerProcedure.query(async ({ctx}) => ctx.operators.status()),
	peerAddresses: readerProcedure.query(async ({ctx}) => ctx.operators.peerAddresses()),
	assignment: readerProcedure.input(serviceName).query(async ({ctx, input}) => ctx.operators.assignment(input.service)),
	history: readerProcedure.input(serviceName).query(async ({ctx, input}) => ctx.operators.history(input.service)),
	burn: readerProcedure.query(async ({ctx}) => ctx.operators.burn()),
});

/** Type of the control interface, for clients. */
export type ControlRouter = typeof controlRouter;
