/**
 * Whether an instance of a plain service (one without engines) can take one more request from this entry.
 *
 * Load pattern: upstreams reject requests beyond their capacity and ask for backoff. The requests of one that backs
 * off go to the others, which are overloaded in turn, one by one until all back off; then all return at once, to the
 * same result.
 *
 * So while upstreams have asked for backoff recently, their slots, and once more those that seem spare, are divided
 * among the entries; requests beyond that are refused at once.
 */

/** What is known of one upstream. */
export interface UpstreamCapacityView {
    /** Requests that it processes at a time; 0 where it does not report this. */
    readonly slots: number;
    readonly openHere: number;
    /** As last reported by the leader, some hundred milliseconds ago. */
    readonly openElsewhere: number;
    /** Entries that send to it. */
    readonly entries: number;
}

/**
 * Tells whether there is capacity.
 * @param view - slots and open requests
 * @returns false where one more would exceed this entry's share; one request at a time is always allowed
 */
export function hasUpstreamCapacity({ slots, openHere, openElsewhere, entries }: UpstreamCapacityView): boolean {
    const spare = Math.max(0, slots - openHere - openElsewhere);
    const maxOpen = (slots + spare) / entries;
    return slots === 0 || openHere < Math.max(1, maxOpen);
}
