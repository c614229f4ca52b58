/**
 * Configuration that operators submit and the customers' veto holders confirm, with its schema.
 */
import {z} from 'zod';

/** Where the key or the service name of a request is read from. */
export enum KeySource {
	Header = 'header',
	Path = 'path',
	Query = 'query',
}

/** Whether servers of a service refuse requests and grants with another epoch. */
export enum Fencing {
	Epoch = 'epoch',
	None = 'none',
}

/** Mechanism that keeps a non-idempotent instruction from running twice. */
export enum AtMostOnceMechanism {
	StoreClaim = 'store_claim',
	ServerDeduplication = 'server_deduplication',
}

/** Priorities of request classes, highest first. */
export enum Priority {
	Instruction = 'instruction',
	Read = 'read',
	Extract = 'extract',
	Poll = 'poll',
}

const identifier = z.string().regex(/^[a-z\d][a-z\d.\-]{0,62}$/v, 'expected lower-case letters, digits, dots and hyphens');

/** A class of requests: how they are matched and served. */
export const requestClassSchema = z.object({
	name: identifier,
	methods: z.array(z.string()).min(1),
	pathPrefix: z.string().startsWith('/').default('/'),
	priority: z.enum(Priority),
	deadlineMs: z.number().int().positive(),
	idempotent: z.boolean(),
	long: z.boolean().default(false),
});
export type RequestClass = z.infer<typeof requestClassSchema>;

/** A service: how requests are matched to it and to a key, and how its servers behave. */
export const serviceSchema = z.object({
	name: identifier,
	customer: identifier,
	host: z.string().optional(),
	pathPrefix: z.string().startsWith('/').optional(),
	divided: z.boolean(),
	key: z.object({source: z.enum(KeySource), name: z.string().min(1)}).optional(),
	shardCount: z.number().int().min(1).max(65_536).default(256),
	fencing: z.enum(Fencing).default(Fencing.Epoch),
	atMostOnce: z.enum(AtMostOnceMechanism).default(AtMostOnceMechanism.StoreClaim),
	classes: z.array(requestClassSchema).min(1),
	objective: z.number().min(0.5).max(0.999_99).default(0.999),
	maxBodyBytes: z.number().int().positive().default(1_048_576),
}).refine(service => !service.divided || service.key !== undefined, {error: 'expected a key, because the service is divided by key', path: ['key']})
	.refine(service => service.host !== undefined || service.pathPrefix !== undefined, {error: 'expected host or pathPrefix', path: ['host']});
export type Service = z.infer<typeof serviceSchema>;

/** A server: one process on a target VM, serving one service. */
export const serverSchema = z.object({
	id: identifier,
	service: identifier,
	/** Id of the target VM in the VM list; the server id if absent. */
	vm: identifier.optional(),
	address: z.string().regex(/^[\d.]+:\d+$|^\[[\da-f:]+\]:\d+$/v, 'expected IP:PORT'),
	zone: identifier,
	weight: z.number().positive().default(1),
	slots: z.number().int().positive().default(3),
	connections: z.number().int().positive().default(110),
	leaving: z.boolean().default(false),
});
export type Server = z.infer<typeof serverSchema>;

/** Standing policy: changes that the router may make by itself, without confirmation by a veto holder. */
export const standingPolicySchema = z.object({
	failover: z.boolean().default(true),
	maxLostServers: z.number().int().nonnegative().default(3),
	maxLostShare: z.number().min(0).max(1).default(0.5),
	maxConcurrentMoves: z.number().int().positive().default(64),
	hotKeyMoves: z.boolean().default(true),
	maxHotKeyMovesPerMinute: z.number().int().nonnegative().default(10),
});
export type StandingPolicy = z.infer<typeof standingPolicySchema>;

/** The content of a configuration, as operators submit it. */
export const configurationBodySchema = z.object({
	services: z.array(serviceSchema),
	servers: z.array(serverSchema),
	policy: standingPolicySchema.prefault({}),
}).superRefine((body, context) => {
	const services = new Set(body.services.map(service => service.name));
	for (const [index, server] of body.servers.entries()) {
		if (!services.has(server.service)) {
			context.addIssue({code: 'custom', message: `unknown service ${server.service}`, path: ['servers', index, 'service']});
		}
	}

	for (const field of ['services', 'servers'] as const) {
		const names = body[field].map(item => 'id' in item ? item.id : item.name);
		if (new Set(names).size !== names.length) {
			context.addIssue({code: 'custom', message: 'names must be unique', path: [field]});
		}
	}
});
export type ConfigurationBody = z.infer<typeof configurationBodySchema>;

/** The configuration in the store. */
export type Configuration = {
	/** Rises by one with every confirmed plan. */
	version: number;
	body: ConfigurationBody;
	/** Ids of the latest confirmed intents, newest last. */
	appliedIntents: string[];
	/** Token of the write that created this version. */
	token: string;
};

/** Configuration before the first intent. */
export const emptyConfiguration: Configuration = {
	version: 0,
	body: configurationBodySchema.parse({services: [], servers: []}),
	appliedIntents: [],
	token: '',
};
