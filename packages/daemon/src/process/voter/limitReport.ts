/**
 * Limits the counts that an entry reports. Beyond the integers that can be counted on, a sum of them could be read by no other entry,
 * and would stay wrong once the report has expired.
 */
import type { RetryBudgetUsage } from "@crankfork/schemas";
import type { UpstreamLoad } from "../sumLoads.js";
import type { EntryReport } from "./reportTotals.js";

/** Highest count of one entry: the sum over 8,000 of them is a safe integer. */
const MAX_REPORTED_COUNT = 2 ** 40;

/**
 * Limits the counts of a report.
 * @param report - loads and spending as reported
 * @returns the report itself if all counts are within the limit; otherwise a copy in which higher ones are lowered to it
 */
export function limitReport(report: EntryReport): EntryReport {
    const loads = Object.entries(report.loads);
    const spending = Object.entries(report.spending);
    const isWithin = loads.every(([, load]) => isLoadWithin(load))
        && spending.every(([, { requests, repeats, lost = 0 }]) =>
            Math.max(requests, repeats, lost) <= MAX_REPORTED_COUNT
        );
    return isWithin ? report : {
        loads: Object.fromEntries(loads.map(([id, load]) => [id, limitLoad(load)])),
        spending: Object.fromEntries(spending.map(([service, usage]) => [service, limitUsage(usage)])),
    };
}

function isLoadWithin({ open, unstarted, sized_open = 0, open_by_rank, unstarted_by_rank }: UpstreamLoad): boolean {
    const areWithin = (counts: readonly number[] = []): boolean => counts.every((one) => one <= MAX_REPORTED_COUNT);
    return Math.max(open, unstarted, sized_open) <= MAX_REPORTED_COUNT
        && areWithin(open_by_rank) && areWithin(unstarted_by_rank);
}

function limitLoad(load: UpstreamLoad): UpstreamLoad {
    const { sized_open, open_by_rank, unstarted_by_rank } = load;
    return {
        ...load,
        open: limitCount(load.open),
        unstarted: limitCount(load.unstarted),
        ...(sized_open === undefined ? {} : { sized_open: limitCount(sized_open) }),
        ...(open_by_rank === undefined ? {} : { open_by_rank: open_by_rank.map(limitCount) }),
        ...(unstarted_by_rank === undefined ? {} : { unstarted_by_rank: unstarted_by_rank.map(limitCount) }),
    };
}

function limitUsage({ requests, repeats, lost }: RetryBudgetUsage[string]): RetryBudgetUsage[string] {
    return {
        requests: limitCount(requests),
        repeats: limitCount(repeats),
        ...(lost === undefined ? {} : { lost: limitCount(lost) }),
    };
}

function limitCount(count: number): number {
    return Math.min(count, MAX_REPORTED_COUNT);
}
