/**
 * Splitting and joining of updates, so that each part fits into one message.
 */
import type {StoreChange, StoreUpdate} from '../../model/coordination-store.js';

/**
 * Splits an update between revisions. A revision whose changes are too large for one message is left out: receivers detect the
 * gap before the next part and read the store themselves.
 */
export function splitUpdate({after, changes, revision, ...rest}: StoreUpdate, limitBytes: number): StoreUpdate[] {
	const parts: StoreUpdate[] = [];
	let part: StoreUpdate = {
		...rest, after, changes: [], revision: after,
	};
	let bytes = 0;
	for (const group of groupByRevision(changes)) {
		const groupRevision = group[0]?.revision ?? revision;
		const groupBytes = group.reduce((sum, {value}) => sum + (value?.length ?? 0), 0);
		if (bytes + groupBytes > limitBytes) {
			parts.push(part);
			const start = groupBytes > limitBytes ? groupRevision : part.revision;
			part = {
				...rest, after: start, changes: [], revision: start,
			};
			bytes = 0;
		}

		if (groupBytes <= limitBytes) {
			part.changes.push(...group);
			part.revision = groupRevision;
			bytes += groupBytes;
		}
	}

	parts.push({...part, revision: Math.max(part.revision, revision)});
	return parts.filter((each, index) => each.changes.length > 0 || index === parts.length - 1);
}

/** Leaves out changes that a later change of the same key in the update supersedes. */
export function withoutSuperseded({changes, ...update}: StoreUpdate): StoreUpdate {
	const newest = new Map(changes.map(change => [change.key, change]));
	return {...update, changes: changes.filter(change => newest.get(change.key) === change)};
}

/** Joins successive updates. An update from a listing applies only to a view at exactly its first revision, so it is not joined. */
export function joinUpdates(updates: readonly StoreUpdate[]): StoreUpdate[] {
	const [first] = updates;
	const last = updates.at(-1);
	if (!first || !last || updates.some(({isListing}) => isListing)) {
		return [...updates];
	}

	return [withoutSuperseded({after: first.after, changes: updates.flatMap(({changes}) => changes), revision: last.revision})];
}

function groupByRevision(changes: readonly StoreChange[]): StoreChange[][] {
	const groups: StoreChange[][] = [];
	for (const change of changes) {
		const last = groups.at(-1);
		if (last?.[0]?.revision === change.revision) {
			last.push(change);
		} else {
			groups.push([change]);
		}
	}

	return groups;
}
