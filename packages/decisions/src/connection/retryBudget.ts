/**
 * A budget for retries: a share of fresh requests, so that a failing upstream can't multiply the load.
 */

/** How a budget is filled. */
export interface RetryBudgetOptions {
    /** Retries earned by each fresh request. */
    readonly tokensPerRequest: number;
    /** Most retries that can be saved up; also what it starts with. */
    readonly maxTokens: number;
}

/** The usual budget: one retry for five requests, ten saved up. */
export const defaultRetryBudgetOptions: RetryBudgetOptions = { tokensPerRequest: 0.2, maxTokens: 10 };

/** Retries that may still be made for one service. */
export class RetryBudget {
    private tokens: number;

    /**
     * @param options - how it is filled
     */
    constructor(private readonly options: RetryBudgetOptions = defaultRetryBudgetOptions) {
        this.tokens = options.maxTokens;
    }

    /** Counts a fresh request. */
    recordRequest(): void {
        this.tokens = Math.min(this.options.maxTokens, this.tokens + this.options.tokensPerRequest);
    }

    /**
     * Takes one retry out.
     * @returns false where the budget is spent: the request must end now
     */
    claimRetry(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
