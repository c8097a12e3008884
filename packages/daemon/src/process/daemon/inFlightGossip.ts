/**
 * What other entries tell of their requests.
 */
import type { Membership } from "@crankfork/coordination";
import type { Member } from "@crankfork/schemas";

/** Sums are kept for a moment, so that a request's way does not walk over all members. */
const REFRESH_MS = 50;

/** Sums over the other live entries. */
export class InFlightGossip {
    private inFlight: ReadonlyMap<string, number> = new Map();
    private demand: ReadonlyMap<string, number> = new Map();
    private refreshedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param membership - the members and what they tell
     */
    constructor(private readonly membership: Membership) {}

    /**
     * Counts requests in flight of other entries.
     * @param upstream - the upstream
     * @returns requests there, as of their last gossip
     */
    count(upstream: string): number {
        this.refreshIfOld();
        return this.inFlight.get(upstream) ?? 0;
    }

    /**
     * Counts requests that run or wait at other entries.
     * @param gate - model or service
     * @returns requests, as of their last gossip
     */
    countDemand(gate: string): number {
        this.refreshIfOld();
        return this.demand.get(gate) ?? 0;
    }

    private refreshIfOld(): void {
        const nowMs = performance.now();
        if (nowMs - this.refreshedMs >= REFRESH_MS) {
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
