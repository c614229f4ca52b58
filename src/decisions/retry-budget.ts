/** Tokens that one retry costs. */
const retryCost = 1;

/**
 * Limits retries to a share of first attempts, so that retries cannot amplify an overload.
 */
export class RetryBudget {
	private tokens: number;

	/**
	 * @param ratio retries allowed per first attempt
	 * @param reserve tokens that are available at the start, and the most that can accumulate
	 */
	constructor(private readonly ratio = 0.1, private reserve = 20) {
		this.tokens = reserve;
	}

	/** Sets the most tokens that can accumulate. A larger reserve fills up only through first attempts. */
	setReserve(reserve: number): void {
		this.reserve = reserve;
		this.tokens = Math.min(this.tokens, reserve);
	}

	/** Adds the tokens that a first attempt earns. */
	deposit(): void {
		this.tokens = Math.min(this.reserve, this.tokens + this.ratio);
	}

	/** True if a retry can be taken at present. */
	get allowsRetry(): boolean {
		return this.tokens >= retryCost;
	}

	/** Takes the cost of one retry; false if the budget is used up. */
	withdraw(): boolean {
		if (this.tokens < retryCost) {
			return false;
		}

		this.tokens -= retryCost;
		return true;
	}
}
