/**
 * Which of two answers tells an upstream's present limit. Answers overtake each other: the head of a stream comes long before its
 * end, and what was asked before a limit was named may be answered after it. All that is known of an answer is that it was made
 * between the moment at which its request left and the moment at which its head came; two such spans that overlap have no order.
 */

/** A limit, or its end, as an answer told it. */
export interface HeardLimit {
    /** Undefined where the answer named none. */
    readonly requestsASecond: number | undefined;
    /** When the request left that was answered, on the monotonic clock. */
    readonly askedMs: number;
    /** When the head of its answer came. */
    readonly heardMs: number;
}

/**
 * Chooses between what is known and what another answer says. Of two that have no order the lower limit holds: it is kept to a
 * little longer than need be, until a request that was sent after it is answered.
 * @param known - what holds so far; undefined before the first
 * @param heard - what another answer says
 * @returns what holds from now on
 */
export function chooseNewerLimit(known: HeardLimit | undefined, heard: HeardLimit): HeardLimit {
    if (known === undefined || heard.askedMs >= known.heardMs) {
        return heard;
    }
    if (known.askedMs >= heard.heardMs) {
        return known;
    }
    const lower = getRate(heard) <= getRate(known) ? heard : known;
    return {
        ...lower,
        askedMs: Math.max(known.askedMs, heard.askedMs),
        heardMs: Math.max(known.heardMs, heard.heardMs),
    };
}

function getRate({ requestsASecond }: HeardLimit): number {
    return requestsASecond ?? Number.POSITIVE_INFINITY;
}
