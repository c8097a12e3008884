/**
 * Rate limits of upstreams that this entry received and has not reported to the leader yet.
 */
import type { ReportedRateLimit } from "@crankfork/schemas";
import { formatReportedLimit } from "../formatReportedLimit.js";
import type { UpstreamRateLimits } from "../upstreamRateLimits.js";

/** Maximum number of limits in a message, which keeps it below 10 KB. */
const MAX_REPORTED = 100;

/** Queues limits for the report to the leader. */
export class LimitReportQueue {
    private pending = new Set<string>();
    /** Upstreams that reported a limit to this entry. */
    private readonly receivedHere = new Set<string>();

    /**
     * @param limits - the known limits
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly limits: UpstreamRateLimits, private readonly getNowMs: () => number) {}

    /**
     * Queues an upstream whose limit changed in a response to this entry.
     * @param id - its incarnation
     */
    add(id: string): void {
        this.receivedHere.add(id);
        this.pending.add(id);
    }

    /** Queues all limits received by this entry that are still valid. */
    queueAll(): void {
        this.receivedHere.forEach((id) => {
            if (this.limits.get(id) === undefined) {
                this.receivedHere.delete(id);
            }
        });
        this.pending = new Set(this.receivedHere);
    }

    /**
     * Lists the limits to report.
     * @param wanted - upstreams to include in any case
     * @returns limits, and limits that were lifted
     */
    list(wanted: readonly string[]): readonly ReportedRateLimit[] {
        const ids = new Set([...wanted, ...[...this.pending].slice(0, MAX_REPORTED)]);
        return [...ids].flatMap((id) => {
            const limit = this.limits.get(id);
            if (limit === undefined) {
                this.pending.delete(id);
                return [];
            }
            return [formatReportedLimit(id, limit, this.getNowMs())];
        });
    }

    /**
     * Removes reported limits from the queue, unless they have changed since.
     * @param reported - as reported
     */
    recordReported(reported: readonly ReportedRateLimit[]): void {
        reported.filter(({ id, requests_a_second }) => this.limits.getLimit(id) === requests_a_second).forEach(
            ({ id }) => {
                this.pending.delete(id);
            },
        );
    }
}
