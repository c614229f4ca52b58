/**
 * Provisional answers (1xx) to one request.
 */

/** Number of provisional answers to a request that are ignored; servers send one or two. */
const maxProvisionalAnswers = 16;

/** Counts provisional answers, because a faulty server may send them without end. */
export class ProvisionalAnswers {
	private count = 0;

	/** Records the status of an answer; returns true if it is one provisional answer too many. */
	isExceededBy(status: number): boolean {
		this.count += status < 200 ? 1 : 0;
		return this.count > maxProvisionalAnswers;
	}
}

/** Listener of undici's `request` that ends it after too many provisional answers. */
export function limitProvisionalAnswers(): (answer: {statusCode: number}) => void {
	const answers = new ProvisionalAnswers();
	return ({statusCode}) => {
		if (answers.isExceededBy(statusCode)) {
			// Undici aborts a request whose listener throws.
			throw new Error('too many provisional answers');
		}
	};
}
