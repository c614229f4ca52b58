/**
 * Schemas of documents received from other daemons.
 */
import {z} from 'zod';
import {MoveKind, MovePhase} from '../model/assignment.js';
import {configurationBodySchema} from '../model/configuration.js';

const counter = z.number().int().nonnegative();

const moveSchema = z.object({
	shard: counter,
	kind: z.enum(MoveKind),
	phase: z.enum(MovePhase),
	from: z.string().optional().transform(from => from),
	to: z.string(),
	sinceVersion: counter,
}).transform(move => ({...move, from: move.from}));

const assignmentSchema = z.object({
	service: z.string(),
	version: counter,
	ownershipVersion: counter,
	term: counter,
	leader: z.string(),
	servers: z.array(z.string()),
	owners: z.array(z.number().int()),
	epochs: z.array(counter),
	exceptions: z.array(z.object({key: z.string(), shard: counter})),
	moves: z.array(moveSchema),
	voters: z.array(z.string()),
	votersVersion: counter,
	configurationVersion: counter,
	placedFor: z.string(),
	lost: z.array(z.string()),
	token: z.string(),
});

/** An assignment with its store revision. */
export const storedAssignmentSchema = z.object({value: assignmentSchema, modRevision: counter});

/** Versions that a daemon knows. */
export const knownVersionsSchema = z.object({configuration: counter, assignments: z.record(z.string(), counter)});

/** A configuration with its store revision. */
export const storedConfigurationSchema = z.object({
	value: z.object({
		version: counter, body: configurationBodySchema, appliedIntents: z.array(z.string()), token: z.string(),
	}),
	modRevision: counter,
});
