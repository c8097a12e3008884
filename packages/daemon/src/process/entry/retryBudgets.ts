/**
 * The budgets of repeats at one entry: one for each service.
 */
import { type RetryBudgetTerms, SharedRetryBudget } from "@crankfork/decisions";
import type { RetryBudgetUsage } from "@crankfork/schemas";

/** Budgets by service. */
export class RetryBudgets {
    private readonly byService = new Map<string, SharedRetryBudget>();

    /**
     * @param terms - the whole fleet's budget for a service
     * @param countEntries - how many entries share it
     * @param getNowMs - the monotonic clock
     */
    constructor(
        private readonly terms: RetryBudgetTerms,
        private readonly countEntries: () => number,
        private readonly getNowMs: () => number,
    ) {}

    /**
     * Tells what this entry sent.
     * @returns spending by service
     */
    listSpending(): RetryBudgetUsage {
        return Object.fromEntries([...this.byService].map(([service, budget]) => [service, budget.computeSpending()]));
    }

    /**
     * Takes the leader's notice of what other entries sent.
     * @param elsewhere - spending by service
     * @param knownMs - for how long that leader has heard of it
     */
    recordElsewhere(elsewhere: RetryBudgetUsage, knownMs: number): void {
        Object.entries(elsewhere).forEach(([service, spending]) => {
            this.get(service).recordElsewhere(spending, knownMs);
        });
    }

    /**
     * Gets the budget of a service.
     * @param service - its name
     * @returns the budget, made where there was none
     */
    get(service: string): SharedRetryBudget {
        const known = this.byService.get(service);
        if (known !== undefined) {
            return known;
        }
        const budget = new SharedRetryBudget(this.terms, this.countEntries, this.getNowMs);
        this.byService.set(service, budget);
        return budget;
    }
}
