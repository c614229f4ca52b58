/**
 * Status codes of answers.
 */

/** Lowest and highest status that HTTP defines classes for (RFC 9110, section 15). */
const statusBounds = {lowest: 100, highest: 599};

/** False for a number of three digits that is no status; the HTTP client accepts each from 000 to 999. */
export function isValidStatus(status: number): boolean {
	return status >= statusBounds.lowest && status <= statusBounds.highest;
}
