/**
 * Whether an instance of a plain service takes one more request from this entry.
 *
 * Load pattern: upstreams that turn away what is too much for them and ask for rest then. One that rests sends its requests to
 * the others, which are too full in turn, one by one until all rest, and come back all together to the same.
 *
 * So where upstreams have asked for rest lately, their slots, and once more what of them seems spare, are shared out among the
 * entries; what goes beyond is refused at once.
 */

/** What is known of one upstream. */
export interface UpstreamCapacityView {
    /** Requests that it works on at a time; 0 where it doesn't tell. */
    readonly slots: number;
    readonly openHere: number;
    /** As the leader told last, some hundred milliseconds ago. */
    readonly openElsewhere: number;
    /** Entries that send to it. */
    readonly entries: number;
}

/**
 * Tells whether there is room.
 * @param view - slots and what is open
 * @returns false where one more would be beyond this entry's share; one request at a time always has room
 */
export function hasUpstreamCapacity({ slots, openHere, openElsewhere, entries }: UpstreamCapacityView): boolean {
    const spare = Math.max(0, slots - openHere - openElsewhere);
    const most = (slots + spare) / entries;
    return slots === 0 || openHere < Math.max(1, most);
}
