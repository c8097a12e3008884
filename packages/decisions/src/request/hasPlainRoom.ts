/**
 * Whether an instance of a plain service takes one more request from this entry.
 *
 * Load pattern: upstreams that turn away what is too much for them and ask for rest then. One that rests sends its requests to
 * the others, which are too full in turn, one by one until all rest, and come back all together to the same. At nine tenths of
 * what five upstreams take 0.25 of the requests were served so, at nearly twice as much 0.05 (restReplay.test.ts, 3 entries,
 * rests of 1.5 s); with this limit 0.92 and 0.49.
 *
 * So where upstreams have asked for rest lately, their slots, and once more what of them seems spare, are shared out among the
 * entries; what goes beyond is refused at once. With none, a quarter or half of the spare ones shared out on top it was as good
 * under too much load and worse below it (0.983 to 0.985 in place of 0.990 with four of five at rest).
 */

/** What is known of one upstream. */
export interface PlainRoomView {
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
export function hasPlainRoom({ slots, openHere, openElsewhere, entries }: PlainRoomView): boolean {
    const spare = Math.max(0, slots - openHere - openElsewhere);
    const most = (slots + spare) / entries;
    return slots === 0 || openHere < Math.max(1, most);
}
