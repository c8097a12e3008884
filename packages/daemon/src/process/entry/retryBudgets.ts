/**
 * Retry budgets of an entry, one for each service.
 */
import { SharedRetryBudget, type SharedRetryBudgetOptions, type SpendingCoverage } from "@crankfork/decisions";
import type { RetryBudgetUsage } from "@crankfork/schemas";

/** A leader that is reached answers within this time, and an entry without one serves nobody. */
const FIRST_REPORT_MS = 1_500;

/** Retry budgets by service. */
export class RetryBudgets {
    private readonly byService = new Map<string, SharedRetryBudget>();
    /** Budgets are created at the first request for a service, long after the start of the process. */
    private readonly startedMs: number;
    /** Whether a leader has answered since the start. */
    private hasAnswer = false;

    /**
     * @param terms - budget of the whole fleet for a service
     * @param countEntries - returns the number of entries that share it
     * @param getNowMs - the monotonic clock
     * @param random - returns a number from 0 up to, but excluding, 1
     */
    constructor(
        private readonly terms: SharedRetryBudgetOptions,
        private readonly countEntries: () => number,
        private readonly getNowMs: () => number,
        private readonly random: () => number,
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
        this.hasAnswer = true;
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
        const { terms, countEntries, getNowMs, startedMs, random } = this;
        // A leader that has answered has no spending of a service that nobody has used.
        const process = { random, firstReportMs: this.hasAnswer ? 0 : FIRST_REPORT_MS };
        const budget = new SharedRetryBudget(terms, countEntries, getNowMs, startedMs, process);
        this.byService.set(service, budget);
        return budget;
    }
}
