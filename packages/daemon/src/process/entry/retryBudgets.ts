/**
 * Retry budgets of an entry, one for each service.
 */
import { SharedRetryBudget, type SharedRetryBudgetOptions } from "@crankfork/decisions";
import type { RetryBudgetUsage } from "@crankfork/schemas";

/** Retry budgets by service. */
export class RetryBudgets {
    private readonly byService = new Map<string, SharedRetryBudget>();

    /**
     * @param terms - budget of the whole fleet for a service
     * @param countEntries - returns the number of entries that share it
     * @param getNowMs - the monotonic clock
     */
    constructor(
        private readonly terms: SharedRetryBudgetOptions,
        private readonly countEntries: () => number,
        private readonly getNowMs: () => number,
    ) {}

    /**
     * Lists the requests and retries that this entry sent.
     * @returns spending by service
     */
    listSpending(): RetryBudgetUsage {
        return Object.fromEntries([...this.byService].map(([service, budget]) => [service, budget.computeSpending()]));
    }

    /**
     * Records the spending of other entries, as reported by the leader.
     * @param spendingByService - their requests and retries
     * @param knownMs - time for which that leader has received reports of it
     */
    recordRemoteSpending(spendingByService: RetryBudgetUsage, knownMs: number): void {
        Object.entries(spendingByService).forEach(([service, spending]) => {
            this.get(service).recordRemoteSpending(spending, knownMs);
        });
    }

    /**
     * Gets the budget of a service, and creates it where there is none.
     * @param service - its name
     * @returns the budget
     */
    get(service: string): SharedRetryBudget {
        const existing = this.byService.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const budget = new SharedRetryBudget(this.terms, this.countEntries, this.getNowMs);
        this.byService.set(service, budget);
        return budget;
    }
}
