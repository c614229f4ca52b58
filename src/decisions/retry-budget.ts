/** Tokens that one retry costs. */
const retryCost = 1;

/**
 * Budget of retries as a share of first attempts, so that retries cannot multiply an overload.
 */
export class RetryBudget {
	private tokens: number;

	/**
	 * @param ratio retries allowed per first attempt
	 * @param reserve tokens that are available at the start and at most saved up
	 */
	constructor(private readonly ratio = 0.1, private reserve = 20) {
		this.tokens = reserve;
	}

	/** Changes what is saved up at most; a larger reserve has to be earned. */
	limit(reserve: number): void {
		this.reserve = reserve;
		this.tokens = Math.min(this.tokens, reserve);
	}

	/** Notes a first attempt. */
	deposit(): void {
		this.tokens = Math.min(this.reserve, this.tokens + this.ratio);
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
