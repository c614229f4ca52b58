/**
 * Weights for rendezvous hashing: daemons that know the same names select the same ones without messages.
 */
import {createHash} from 'node:crypto';

/** Number of different weights. */
export const weightRange = 2 ** 32;

/** Returns the weight of a text, evenly distributed below `weightRange`. */
export function weightOf(text: string): number {
	return createHash('sha1').update(text).digest().readUInt32BE(0);
}
