/**
 * Requests in flight at upstreams, as entries tell each other.
 */
import type { Membership } from "@crankfork/coordination";

/** Counts kept for a moment, so that a request's way does not walk over all members. */
const REFRESH_MS = 50;

/** Counts of other entries' requests, by upstream. */
export class InFlightGossip {
    private counts = new Map<string, number>();
    private refreshedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param membership - the members and what they tell
     */
    constructor(private readonly membership: Membership) {}

    /**
     * Counts the requests of other live entries.
     * @param upstream - the upstream
     * @returns requests in flight there, as of their last gossip
     */
    count(upstream: string): number {
        const nowMs = performance.now();
        if (nowMs - this.refreshedMs >= REFRESH_MS) {
            this.refreshedMs = nowMs;
            this.counts = this.sumCounts();
        }
        return this.counts.get(upstream) ?? 0;
    }

    private sumCounts(): Map<string, number> {
        const counts = new Map<string, number>();
        const [, ...others] = this.membership.getLiveMembers();
        for (const member of others) {
            for (const [upstream, count] of Object.entries(member.in_flight)) {
                counts.set(upstream, (counts.get(upstream) ?? 0) + count);
            }
        }
        return counts;
    }
}
