/**
 * Stable hash of keys to shards.
 */
import xxhash, {type XXHashAPI} from 'xxhash-wasm';
import type {Assignment} from '../model/assignment.js';

/** The hash functions; loading them compiles a small WebAssembly module. */
export const hash: XXHashAPI = await xxhash();

/** Returns the shard of a key, with exceptions for hot keys taken into account. */
export function shardOfKey(key: string, assignment: Assignment): number {
	const exception = assignment.exceptions.find(candidate => candidate.key === key);
	return exception?.shard ?? baseShardOfKey(key, assignment.owners.length - assignment.exceptions.length);
}

/** Returns the shard that a key hashes to, without exceptions. */
export function baseShardOfKey(key: string, shardCount: number): number {
	return hash.h32(key) % shardCount;
}
