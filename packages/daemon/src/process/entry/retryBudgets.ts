/**
 * Retry budgets of an entry, one for each service.
 */
import { SharedRetryBudget, type SharedRetryBudgetOptions, type SpendingCoverage } from "@crankfork/decisions";
import type { RetryBudgetUsage } from "@crankfork/schemas";

/** Retry budgets by service. */
export class RetryBudgets {
    private readonly byService = new Map<string, SharedRetryBudget>();
    /** Budgets are created at the first request for a service, long after the start of the process. */
    private readonly startedMs: number;

    /**
     * @param terms - budget of the whole fleet for a service
     * @param countEntries - returns the number of entries that share it
     * @param getNowMs - the monotonic clock
     */
    constructor(
        private readonly terms: SharedRetryBudgetOptions,
        private readonly countEntries: () => number,
        private readonly getNowMs: () => number,
    ) {
        this.startedMs = getNowMs();
    }

    /**
     * Lists the requests and retries that this entry sent, for the report to the leader.
     * @returns spending by service
     */
    listSpending(): RetryBudgetUsage {
        return Object.fromEntries([...this.byService].map(([service, budget]) => [service, budget.computeReport()]));
    }

    /**
     * Records the spending of other entries, as reported by the leader.
     * @param spendingByService - their requests and retries
     * @param coverage - what the report is based on
     */
    recordRemoteSpending(spendingByService: RetryBudgetUsage, coverage: SpendingCoverage): void {
        Object.entries(spendingByService).forEach(([service, spending]) => {
            this.get(service).recordRemoteSpending(spending, coverage);
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
        const budget = new SharedRetryBudget(this.terms, this.countEntries, this.getNowMs, this.startedMs);
        this.byService.set(service, budget);
        return budget;
    }
}
