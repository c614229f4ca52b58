/**
 * Format of stored and sent assignments: each owner is listed once, and daemons send each other only the ranges that changed.
 */
import * as z from 'zod/mini';
import {MalformedDocumentError} from '../../model/errors.js';
import {isSameIncarnation, type TargetIncarnation} from '../../model/fleet.js';
import {
	lastKey, type KeyAssignment, type OwnedRange, type UnreleasedRange,
} from '../../model/key-ownership.js';
import {counter, decodeDocument, documentName} from './document-schema.js';
import type {KnownAssignment} from './fleet-view.js';

/** Highest fencing token; far more than a service gets, and low enough that it can still be raised. */
const highestFence = 2 ** 48;

const fencingToken = z.int().check(z.minimum(0), z.maximum(highestFence));

const key = z.int().check(z.minimum(0), z.maximum(lastKey));

/** An owner: id, start time of its process, address. */
const ownerSchema = z.tuple([z.string(), counter, z.string()]);

/** A range: first and last key, index of its owner, fencing token, indexes of previous owners, 1 if it is blocked. */
const rangeSchema = z.tuple([key, key, counter, fencingToken, z.array(counter), z.literal([0, 1])]);

/** An unreleased range: first and last key, index of its holder, fencing token. */
const unreleasedSchema = z.tuple([key, key, counter, fencingToken]);

const assignmentSchema = z.object({
	service: documentName,
	fence: fencingToken,
	writeId: z.string(),
	/** Missing while no era of the store is known. */
	era: z.optional(counter),
	owners: z.array(ownerSchema),
	ranges: z.array(rangeSchema),
	/** Missing in documents of earlier versions. */
	unreleased: z.optional(z.array(unreleasedSchema)),
	/** 1 while targets may hold keys that no range names; missing otherwise. */
	unconfirmed: z.optional(z.literal(1)),
});

type AssignmentDocument = z.infer<typeof assignmentSchema>;

/** Ranges that changed between two revisions; without a base, all ranges. */
export const assignmentChangeSchema = z.extend(assignmentSchema, {base: z.optional(counter), revision: counter});

/** Changed ranges as they are sent. */
export type AssignmentChange = z.infer<typeof assignmentChangeSchema>;

/** Encodes an assignment as JSON. */
export function encodeAssignment(assignment: KeyAssignment): string {
	return JSON.stringify(toDocument(assignment, assignment.ranges));
}

/**
 * Decodes an assignment.
 *
 * @throws {MalformedDocumentError} unless the ranges cover every key once
 */
export function decodeAssignment(text: string): KeyAssignment {
	return requireFullCoverage(fromDocument(decodeDocument('assignment', assignmentSchema, text)));
}

/** Returns the changes of an assignment since a base, or the whole assignment without one. */
export function diffAssignment({assignment, revision}: KnownAssignment, base?: KnownAssignment): AssignmentChange {
	if (!base) {
		return {...toDocument(assignment, assignment.ranges), revision};
	}

	const known = new Map(base.assignment.ranges.map(range => [range.first, range]));
	const changed = assignment.ranges.filter(range => !isSameRange(known.get(range.first), range));
	return {...toDocument(assignment, changed), base: base.revision, revision};
}

/**
 * Applies a change to its base.
 *
 * @throws {MalformedDocumentError} unless the ranges then cover every key once
 */
export function applyAssignmentChange(change: AssignmentChange, base?: KeyAssignment): KnownAssignment {
	const {
		service, fence, writeId, era, ranges, unreleased, isUnconfirmed,
	} = fromDocument(change);
	const kept = base?.ranges.filter(range => !ranges.some(({first, last}) => first <= range.last && last >= range.first)) ?? [];
	const all = [...kept, ...ranges].toSorted((left, right) => left.first - right.first);
	return {
		assignment: requireFullCoverage({
			service, fence, writeId, ...(era !== undefined && {era}), ranges: all, unreleased, ...(isUnconfirmed && {isUnconfirmed}),
		}),
		revision: change.revision,
	};
}

function toDocument({
	service, fence, writeId, era, unreleased, isUnconfirmed,
}: KeyAssignment, ranges: readonly OwnedRange[]): AssignmentDocument {
	const positions = new Map<string, number>();
	const owners: AssignmentDocument['owners'] = [];
	const positionOf = ({id, bornAt, address}: TargetIncarnation): number => {
		const name = `${id}@${bornAt}@${address}`;
		const known = positions.get(name);
		if (known !== undefined) {
			return known;
		}

		positions.set(name, owners.length);
		return owners.push([id, bornAt, address]) - 1;
	};

	return {
		service,
		fence,
		writeId,
		...(era !== undefined && {era}),
		ranges: ranges.map(range => [range.first, range.last, positionOf(range.owner), range.fence, range.previous.map(incarnation => positionOf(incarnation)), range.isBlocked ? 1 : 0]),
		...(unreleased.length > 0 && {unreleased: unreleased.map((range): z.infer<typeof unreleasedSchema> => [range.first, range.last, positionOf(range.holder), range.fence])}),
		...(isUnconfirmed && {unconfirmed: 1 as const}),
		owners,
	};
}

function fromDocument({
	service, fence, writeId, era, owners, ranges, unreleased = [], unconfirmed,
}: AssignmentDocument): KeyAssignment {
	const incarnations = owners.map(([id, bornAt, address]): TargetIncarnation => ({id, bornAt, address}));
	const incarnationAt = (position: number): TargetIncarnation => {
		const incarnation = incarnations[position];
		if (!incarnation) {
			throw new MalformedDocumentError('assignment', [`there is no owner ${position}`]);
		}

		return incarnation;
	};

	return {
		service,
		fence,
		writeId,
		...(era !== undefined && {era}),
		ranges: ranges.map(([first, last, owner, rangeFence, previous, isBlocked]) => ({
			first, last, owner: incarnationAt(owner), fence: rangeFence, previous: previous.map(position => incarnationAt(position)), isBlocked: isBlocked === 1,
		})),
		unreleased: unreleased.map(([first, last, holder, rangeFence]): UnreleasedRange => ({
			first, last, holder: incarnationAt(holder), fence: rangeFence,
		})),
		...(unconfirmed === 1 && {isUnconfirmed: true}),
	};
}

function requireFullCoverage(assignment: KeyAssignment): KeyAssignment {
	let next = 0;
	for (const {first, last} of assignment.ranges) {
		if (first !== next || last < first) {
			throw new MalformedDocumentError('assignment', [`expected a range from ${next}, found ${first} to ${last}`]);
		}

		next = last + 1;
	}

	if (next !== lastKey + 1) {
		throw new MalformedDocumentError('assignment', [`the ranges end before key ${next}`]);
	}

	return assignment;
}

function isSameRange(left: OwnedRange | undefined, right: OwnedRange): boolean {
	return left?.last === right.last && left.fence === right.fence && left.isBlocked === right.isBlocked
		&& isSameIncarnation(left.owner, right.owner) && left.previous.length === right.previous.length
		&& left.previous.every((incarnation, index) => isSameIncarnation(incarnation, right.previous[index]));
}
