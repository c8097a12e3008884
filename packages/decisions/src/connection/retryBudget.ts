/**
 * A retry budget as a share of first attempts, so that a failing upstream can't multiply the load.
 */

/** How a budget is filled. */
export interface RetryBudgetOptions {
    /** Retries earned by each first attempt. */
    readonly tokensPerRequest: number;
    /** Most retries that can be saved up; also the initial amount. */
    readonly maxTokens: number;
}

/** One retry for five requests, ten saved up. */
export const defaultRetryBudgetOptions: RetryBudgetOptions = { tokensPerRequest: 0.2, maxTokens: 10 };

/** Retries left for one service. */
export class RetryBudget {
    private tokens: number;

    /**
     * @param options - how it is filled
     */
    constructor(private readonly options: RetryBudgetOptions = defaultRetryBudgetOptions) {
        this.tokens = options.maxTokens;
    }

    /** Counts a first attempt. */
    recordRequest(): void {
        this.tokens = Math.min(this.options.maxTokens, this.tokens + this.options.tokensPerRequest);
    }

    /**
     * Takes one retry out of the budget.
     * @returns false where the budget is spent: the request must not be retried
     */
    claimRetry(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
