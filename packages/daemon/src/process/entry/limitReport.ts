/**
 * Which limits an entry heard from upstreams and has not told the leader yet.
 */
import type { ReportedLimit } from "@crankfork/schemas";
import { formatReportedLimit } from "../formatReportedLimit.js";
import type { UpstreamRateLimits } from "../upstreamRateLimits.js";

/** Limits told in one message, at the most: a message stays below 10 KB. */
const MOST_TOLD = 100;

/** Keeps what is to be told. */
export class LimitReport {
    private untold = new Set<string>();
    /** Upstreams that told this entry of a limit. */
    private readonly heardHere = new Set<string>();

    /**
     * @param limits - what is known of each
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly limits: UpstreamRateLimits, private readonly getNowMs: () => number) {}

    /**
     * Adds an upstream that changed its limit in an answer to this entry.
     * @param id - one life of it
     */
    add(id: string): void {
        this.heardHere.add(id);
        this.untold.add(id);
    }

    /** Has everything told again that was heard here and still holds. */
    notifyAll(): void {
        this.heardHere.forEach((id) => {
            if (this.limits.get(id) === undefined) {
                this.heardHere.delete(id);
            }
        });
        this.untold = new Set(this.heardHere);
    }

    /**
     * Lists what is to be told.
     * @param wanted - upstreams that are told in any case
     * @returns limits and ends of limits
     */
    list(wanted: readonly string[]): readonly ReportedLimit[] {
        const ids = new Set([...wanted, ...[...this.untold].slice(0, MOST_TOLD)]);
        return [...ids].flatMap((id) => {
            const heard = this.limits.get(id);
            if (heard === undefined) {
                this.untold.delete(id);
                return [];
            }
            return [formatReportedLimit(id, heard, this.getNowMs())];
        });
    }

    /**
     * Takes off what a leader was told, unless it has changed since.
     * @param told - as it was told
     */
    recordReported(told: readonly ReportedLimit[]): void {
        told.filter(({ id, requests_a_second }) => this.limits.getLimit(id) === requests_a_second).forEach(({ id }) => {
            this.untold.delete(id);
        });
    }
}
