/**
 * Load of the other entries, as they report it by gossip.
 */
import type { Membership } from "@crankfork/coordination";
import type { Member } from "@crankfork/schemas";

/** Sums are cached, so that the request path does not iterate over all members. */
const CACHE_TTL_MS = 50;

/** Sums of the load of the other live entries. */
export class InFlightGossip {
    private inFlight: ReadonlyMap<string, number> = new Map();
    private demand: ReadonlyMap<string, number> = new Map();
    private refreshedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param membership - the members and the load that they gossip
     */
    constructor(private readonly membership: Membership) {}

    /**
     * Counts requests of other entries in flight at an upstream.
     * @param upstream - the upstream
     * @returns requests in flight, as of the last gossip
     */
    countInFlight(upstream: string): number {
        this.refreshIfStale();
        return this.inFlight.get(upstream) ?? 0;
    }

    /**
     * Counts running and queued requests at other entries.
     * @param key - key of the model or service
     * @returns requests, as of the last gossip
     */
    countDemand(key: string): number {
        this.refreshIfStale();
        return this.demand.get(key) ?? 0;
    }

    private refreshIfStale(): void {
        const nowMs = performance.now();
        if (nowMs - this.refreshedMs >= CACHE_TTL_MS) {
            this.refreshedMs = nowMs;
            const [, ...others] = this.membership.getLiveMembers();
            this.inFlight = computeSums(others, (member) => member.in_flight);
            this.demand = computeSums(others, (member) => member.demand);
        }
    }
}

function computeSums(
    members: readonly Member[],
    getCounts: (member: Member) => Readonly<Record<string, number>>,
): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    for (const member of members) {
        for (const [name, count] of Object.entries(getCounts(member))) {
            sums.set(name, (sums.get(name) ?? 0) + count);
        }
    }
    return sums;
}
