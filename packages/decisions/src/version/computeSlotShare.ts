/**
 * How much of the shared slots one entry may use: a part evenly, so that an idle entry can start at once, and the rest
 * by demand, since the balancer is uneven. Slots of an entry that died are free as soon as it is known to be dead.
 */

/** Demand of one entry against all. */
export interface SlotShareView {
    /** Slots over all entries. */
    readonly slots: number;
    /** Entries that are alive. */
    readonly entries: number;
    /** Requests that run or wait at this entry. */
    readonly ownDemand: number;
    /** The same at all others, as their last gossip told. */
    readonly othersDemand: number;
}

/** Part of the slots that is shared out evenly. */
const EVEN_PART = 0.25;
/** Entries are seldom all at their share at the same time, and gossip lags. */
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
    const even = slots * EVEN_PART / entries;
    const demand = ownDemand + othersDemand;
    const byDemand = demand === 0 ? slots * (1 - EVEN_PART) / entries : slots * (1 - EVEN_PART) * ownDemand / demand;
    return Math.max(1, Math.ceil((even + byDemand) * OVERCOMMIT));
}
