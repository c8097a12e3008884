/**
 * What an entry reported last, as it falls out of the budget's window while the entry reports nothing more.
 */
import type { RetrySpending } from "./sharedRetryBudget.js";

/** Age up to which a report shows the whole window; entries report more often. */
const MAX_REPORT_AGE_MS = 1_500;

/**
 * Computes what a report still shows. Of the requests, which raise the budget, the part that has left the window is
 * removed; of a restarted entry they would otherwise count beside those of its successor. Retries count in full, since
 * the entry may have sent them just before its report.
 * @param spending - the last report of an entry
 * @param ageMs - time since that report, in milliseconds
 * @param windowMs - window of the budget, in milliseconds
 * @returns requests and retries of the current window
 */
export function decaySpending(spending: RetrySpending, ageMs: number, windowMs: number): RetrySpending {
    const remainingShare = ageMs <= MAX_REPORT_AGE_MS ? 1 : Math.max(0, 1 - ageMs / windowMs);
    return { ...spending, requests: Math.floor(spending.requests * remainingShare) };
}
