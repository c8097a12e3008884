/**
 * How many of the shared slots one entry may use: one part equally, so that an idle entry can start at once, and the
 * rest by demand, since the load balancer in front distributes unevenly. Slots of a failed entry are free as soon as
 * its failure is detected.
 */

/** Demand of one entry against that of all others. */
export interface SlotShareView {
    /** Slots for all entries together. */
    readonly slots: number;
    /** Live entries. */
    readonly entries: number;
    /** Requests that run or wait at this entry. */
    readonly ownDemand: number;
    /** The same at all others, according to their last gossip. */
    readonly othersDemand: number;
}

/** Part of the slots that is shared equally. */
const EQUAL_PART = 0.25;
/** Factor on each share: entries seldom all use their shares at the same time, and gossip lags. */
const OVERCOMMIT = 1.1;

/**
 * Computes one entry's share.
 * @param view - slots and demand
 * @returns requests that it may run at the same time; at least one
 */
export function computeSlotShare(view: SlotShareView): number {
    const { slots, entries, ownDemand, othersDemand } = view;
    if (entries <= 1) {
        return slots;
    }
    const equal = slots * EQUAL_PART / entries;
    const demand = ownDemand + othersDemand;
    const byDemand = demand === 0 ? slots * (1 - EQUAL_PART) / entries : slots * (1 - EQUAL_PART) * ownDemand / demand;
    return Math.max(1, Math.ceil((equal + byDemand) * OVERCOMMIT));
}
