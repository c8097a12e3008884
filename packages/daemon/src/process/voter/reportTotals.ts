/**
 * Sums of what entries report to the leader, updated with each report. Summing all reports for each answer would make the
 * leader's work grow with the square of the number of entries.
 */
import type { RetryBudgetUsage, UpstreamLoads } from "@crankfork/schemas";
import { addCounts, countSizedRequests, type UpstreamLoad } from "../sumLoads.js";

/** What one entry reported last. */
export interface EntryReport {
    readonly loads: UpstreamLoads;
    readonly spending: RetryBudgetUsage;
}

interface StoredReport extends EntryReport {
    readonly atMs: number;
}

interface LoadTotal {
    reporters: number;
    open: number;
    unstarted: number;
    tokens: number;
    /** Open requests that `tokens` covers. */
    sized: number;
    rankedOpen: CountTotal;
    rankedUnstarted: CountTotal;
}

interface CountTotal {
    reporters: number;
    readonly counts: number[];
}

interface SpendingTotal {
    reporters: number;
    requests: number;
    repeats: number;
    lost: number;
}

const ADD = 1;
const SUBTRACT = -1;
type Sign = typeof ADD | typeof SUBTRACT;

/** Sums of the reports that are younger than a given time. */
export class ReportTotals {
    /** In the order of the reports' times. */
    private readonly reports = new Map<string, StoredReport>();
    private readonly loads = new Map<string, LoadTotal>();
    private readonly spending = new Map<string, SpendingTotal>();

    /**
     * @param maxAgeMs - age from which on a report is not included, in milliseconds
     */
    constructor(private readonly maxAgeMs: number) {}

    /**
     * Records the report of an entry; it replaces the previous one.
     * @param instance - the entry
     * @param report - its loads and spending, which must not be changed later
     * @param nowMs - the monotonic clock
     */
    record(instance: string, report: EntryReport, nowMs: number): void {
        this.remove(instance);
        this.reports.set(instance, { ...report, atMs: nowMs });
        this.apply(report, ADD);
    }

    /**
     * Removes the report of an entry.
     * @param instance - the entry
     */
    remove(instance: string): void {
        const report = this.reports.get(instance);
        if (report !== undefined) {
            this.reports.delete(instance);
            this.apply(report, SUBTRACT);
        }
    }

    /**
     * Removes reports that are too old.
     * @param nowMs - the monotonic clock
     */
    expire(nowMs: number): void {
        for (const [instance, { atMs }] of this.reports) {
            if (nowMs - atMs <= this.maxAgeMs) {
                return;
            }
            this.remove(instance);
        }
    }

    /** Number of reports included. */
    get size(): number {
        return this.reports.size;
    }

    /**
     * Checks whether the report of an entry is included.
     * @param instance - the entry
     * @returns false if it has expired
     */
    has(instance: string): boolean {
        return this.reports.has(instance);
    }

    /**
     * Sums the loads of all entries but one.
     * @param instance - the entry to leave out
     * @returns loads by upstream
     */
    sumOtherLoads(instance: string): UpstreamLoads {
        const own = this.reports.get(instance)?.loads;
        const sums: [string, UpstreamLoad][] = [];
        for (const [id, total] of this.loads) {
            const ownLoad = own !== undefined && Object.hasOwn(own, id) ? own[id] : undefined;
            if (total.reporters > (ownLoad === undefined ? 0 : 1)) {
                sums.push([id, computeOtherLoad(total, ownLoad)]);
            }
        }
        return Object.fromEntries(sums);
    }

    /**
     * Sums the spending of all entries but one.
     * @param instance - the entry to leave out
     * @returns spending by service, with what restarted entries may have spent in `lost`
     */
    sumOtherSpending(instance: string): ReadonlyMap<string, Required<RetryBudgetUsage[string]>> {
        const own = this.reports.get(instance)?.spending ?? {};
        const sums = new Map<string, Required<RetryBudgetUsage[string]>>();
        for (const [service, { reporters, requests, repeats, lost }] of this.spending) {
            const ownUsage = Object.hasOwn(own, service) ? own[service] : undefined;
            if (reporters > (ownUsage === undefined ? 0 : 1)) {
                sums.set(service, {
                    requests: requests - (ownUsage?.requests ?? 0),
                    repeats: repeats - (ownUsage?.repeats ?? 0),
                    lost: lost - (ownUsage?.lost ?? 0),
                });
            }
        }
        return sums;
    }

    private apply({ loads, spending }: EntryReport, sign: Sign): void {
        for (const [id, load] of Object.entries(loads)) {
            const total = this.loads.get(id) ?? createLoadTotal();
            this.loads.set(id, total);
            applyLoad(total, load, sign);
            if (total.reporters === 0) {
                this.loads.delete(id);
            }
        }
        for (const [service, { requests, repeats, lost = 0 }] of Object.entries(spending)) {
            const total = this.spending.get(service) ?? { reporters: 0, requests: 0, repeats: 0, lost: 0 };
            this.spending.set(service, total);
            total.reporters += sign;
            total.requests += sign * requests;
            total.repeats += sign * repeats;
            total.lost += sign * lost;
            if (total.reporters === 0) {
                this.spending.delete(service);
            }
        }
    }
}

function createLoadTotal(): LoadTotal {
    return {
        reporters: 0,
        open: 0,
        unstarted: 0,
        tokens: 0,
        sized: 0,
        rankedOpen: { reporters: 0, counts: [] },
        rankedUnstarted: { reporters: 0, counts: [] },
    };
}

function applyLoad(total: LoadTotal, load: UpstreamLoad, sign: Sign): void {
    total.reporters += sign;
    total.open += sign * load.open;
    total.unstarted += sign * load.unstarted;
    total.tokens += sign * (load.tokens ?? 0);
    total.sized += sign * countSizedRequests(load);
    applyCounts(total.rankedOpen, load.open_by_rank, sign);
    applyCounts(total.rankedUnstarted, load.unstarted_by_rank, sign);
}

function applyCounts(total: CountTotal, counts: readonly number[] | undefined, sign: Sign): void {
    if (counts !== undefined) {
        total.reporters += sign;
        addCounts(total.counts, counts, sign);
    }
}

function computeOtherLoad(total: LoadTotal, own: UpstreamLoad | undefined): UpstreamLoad {
    const open = total.open - (own?.open ?? 0);
    const sized = total.sized - (own === undefined ? 0 : countSizedRequests(own));
    const openByRank = computeOtherCounts(total.rankedOpen, own?.open_by_rank);
    const unstartedByRank = computeOtherCounts(total.rankedUnstarted, own?.unstarted_by_rank);
    return {
        open,
        unstarted: total.unstarted - (own?.unstarted ?? 0),
        ...(sized === 0 ? {} : { tokens: total.tokens - (own?.tokens ?? 0) }),
        ...(sized === 0 || sized === open ? {} : { sized_open: sized }),
        ...(unstartedByRank === undefined ? {} : { unstarted_by_rank: unstartedByRank }),
        ...(openByRank === undefined ? {} : { open_by_rank: openByRank }),
    };
}

/** Ranks without requests at the end are left out, as in the reports. */
function computeOtherCounts(total: CountTotal, own: readonly number[] | undefined): number[] | undefined {
    if (total.reporters === (own === undefined ? 0 : 1)) {
        return undefined;
    }
    const counts = total.counts.map((count, rank) => count - (own?.[rank] ?? 0));
    while (counts.at(-1) === 0) {
        counts.pop();
    }
    return counts;
}
