/**
 * Which of two answers tells an upstream's present limit. Answers overtake each other: the head of a stream comes long before its
 * end, and what was asked before a limit was named may be answered after it. All that is known of an answer is that it was made
 * between the moment at which its request left and the moment at which its head came; two such spans that overlap have no order.
 */

/** A limit, or its end, as an answer told it. */
export interface ObservedLimit {
    /** Undefined where the answer named none. */
    readonly requestsASecond: number | undefined;
    /** When the request left that was answered, on the monotonic clock. */
    readonly requestSentMs: number;
    /** When the head of its answer came. */
    readonly responseReceivedMs: number;
}

/**
 * Chooses between what is known and what another answer says. Of two that have no order the lower limit holds: it is kept to a
 * little longer than need be, until a request that was sent after it is answered.
 * @param known - what holds so far; undefined before the first
 * @param heard - what another answer says
 * @returns what holds from now on
 */
export function chooseNewerLimit(known: ObservedLimit | undefined, heard: ObservedLimit): ObservedLimit {
    if (known === undefined || heard.requestSentMs >= known.responseReceivedMs) {
        return heard;
    }
    if (known.requestSentMs >= heard.responseReceivedMs) {
        return known;
    }
    const lower = getRate(heard) <= getRate(known) ? heard : known;
    return {
        ...lower,
        requestSentMs: Math.max(known.requestSentMs, heard.requestSentMs),
        responseReceivedMs: Math.max(known.responseReceivedMs, heard.responseReceivedMs),
    };
}

function getRate({ requestsASecond }: ObservedLimit): number {
    return requestsASecond ?? Number.POSITIVE_INFINITY;
}
